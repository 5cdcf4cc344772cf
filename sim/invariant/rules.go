package invariant

import "time"

// The rules of requests.
const (
	// DoubleExecution: a request that may run at most once never runs twice.
	DoubleExecution = "double-run"
	// FalseNotExecuted: a request that its client was told was not executed never ran.
	FalseNotExecuted = "false-not-run"
	// RequestAfterLeave: no request reaches an endpoint long after it left or was lost.
	RequestAfterLeave = "late-to-leaver"
	// WrongService: no endpoint of another service runs a request.
	WrongService = "wrong-service"
	// WrongResponse: a request is served only if an endpoint gave a complete response.
	WrongResponse = "wrong-return"
	// RetryBudget: retries stay a small part of the requests.
	RetryBudget = "further-tries"
	// SlowRecovery: soon after an outage a good part of the requests is served again.
	SlowRecovery = "slow-recovery"
	// UrgentRejected: no urgent request is rejected by its own sidecar for want of room.
	UrgentRejected = "urgent-turned"
	// LateFailure: a request that was given up is answered at once.
	LateFailure = "held-back"
	// DroppedInStop: a planned stop drops nothing that is in flight.
	DroppedInStop = "dropped-in-stop"
)

// The rules of configurations and of the audit log.
const (
	// ConfigLate: a confirmed configuration is soon in force at every reachable sidecar.
	ConfigLate = "manifest-late"
	// ConfigRegressed: no node shows an older configuration after a newer one.
	ConfigRegressed = "manifest-back"
	// ConfigRejected: no rejected proposal is ever in force, and no invalid one is confirmed.
	ConfigRejected = "manifest-turned"
	// ConfigInvalid: every configuration in force is valid.
	ConfigInvalid = "invalid"
	// AuditLog: the audit log holds each confirmed revision once and in order.
	AuditLog = "audit"
)

// The rules of coordination values and of storage.
const (
	// LockShared: no lock has two holders, and fencing tokens rise.
	LockShared = "lock-shared"
	// SequenceRepeated: no sequence gives a number twice or a lower one later.
	SequenceRepeated = "number-repeated"
	// StaleRead: reads are linearizable.
	StaleRead = "stale-read"
	// WatchIncomplete: a watch that asks in time is given every change, in order.
	WatchIncomplete = "watch-forgotten"
	// NotRepaired: after a calm time all voters hold the same records.
	NotRepaired = "not-mended"
	// DiskDamaged: no process finds its own disk damaged.
	DiskDamaged = "disk"
	// ResponseDamaged: every response can be decoded.
	ResponseDamaged = "damaged"
)

// The rules of keyspace entries.
const (
	// EntryOrder: revisions of a keyspace never repeat or go back, and no conditional put
	// succeeds over a later one.
	EntryOrder = "cell-order"
	// EntryStale: no read is older than an acknowledged put.
	EntryStale = "cell-stale"
	// EntryWatch: a watch skips no put and does not learn too early that its revision is
	// compacted.
	EntryWatch = "cell-watch"
	// EntryRejected: a value whose every put was rejected is never shown.
	EntryRejected = "cell-turned"
)

// The rules of admission queues.
const (
	// AdmissionRejected: a request that the queue rejected never ran.
	AdmissionRejected = "bay-turned"
	// AdmissionDecision: every waiting request gets exactly one decision.
	AdmissionDecision = "bay-told"
	// AdmissionStop: soon after a planned stop began nobody waits.
	AdmissionStop = "bay-stop"
)

// HerdReady is the rule that sidecars which start together are all ready soon after a majority
// of the cores is there. Only faults that are asked for by name observe it.
const HerdReady = "herd-ready"

// Rules lists every rule in the order of reports.
var Rules = []string{
	DoubleExecution, FalseNotExecuted, RequestAfterLeave, WrongService, WrongResponse, ConfigLate, ConfigRegressed,
	ConfigRejected, DroppedInStop, RetryBudget, LockShared, SequenceRepeated, StaleRead, WatchIncomplete,
	EntryOrder, EntryStale, EntryWatch, EntryRejected, AdmissionRejected, AdmissionDecision, AdmissionStop,
	SlowRecovery, UrgentRejected, LateFailure, NotRepaired, AuditLog, DiskDamaged, ConfigInvalid, ResponseDamaged, HerdReady,
}

// onDemand lists the rules that only faults asked for by name observe.
var onDemand = map[string]bool{HerdReady: true}

// ConfigDeadline is how soon after its confirmation a configuration must be in force.
const ConfigDeadline = 2 * time.Second

// The other bounds of the rules.
const (
	leaveDeadline    = 2 * time.Second
	recoveryDeadline = 15 * time.Second
	maxHoldBack      = time.Millisecond
)

// A service may be sent retries for a fifth of its requests and a fixed number more, in any
// window; the checker allows one beyond that, for a retry at the window's very end.
const (
	retryWindow   = 10 * time.Second
	retryPart     = 0.2
	retriesBeyond = 60 + 1
)

// Recovery compares the rate of served requests in the first seconds with that in the last
// seconds before the deadline.
const (
	normalWindow   = 5 * time.Second
	recoveryWindow = 2 * time.Second
	recoveredPart  = 0.25
)

// defaultRequiredObservations is how often a rule must have been observed for a verdict.
const defaultRequiredObservations = 10

// requiredObservations are the exceptions: rules that faults observe which come once or twice
// in a run.
var requiredObservations = map[string]int{SlowRecovery: 1, DroppedInStop: 1, DiskDamaged: 1, RequestAfterLeave: 1, AdmissionStop: 1}
