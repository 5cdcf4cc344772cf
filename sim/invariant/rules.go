package invariant

import "time"

// The rules of requests.
const (
	// DoubleExecution: an at-most-once request is never executed twice.
	DoubleExecution = "double-run"
	// FalseNotExecuted: a request that was reported as not executed was never executed.
	FalseNotExecuted = "false-not-run"
	// RequestAfterLeave: no request reaches an endpoint later than leaveDeadline after the leaving
	// or the loss of the endpoint was confirmed.
	RequestAfterLeave = "late-to-leaver"
	// WrongService: no endpoint of another service executes a request.
	WrongService = "wrong-service"
	// WrongResponse: a request is served only if an endpoint sent a complete response.
	WrongResponse = "wrong-return"
	// RetryBudget: the retries of a service stay within its retry budget.
	RetryBudget = "further-tries"
	// SlowRecovery: by recoveryDeadline after an outage, requests are served at no less than
	// recoveredRatio of the earlier rate.
	SlowRecovery = "slow-recovery"
	// UrgentRejected: the client's sidecar rejects no urgent request because its queue is full.
	UrgentRejected = "urgent-turned"
	// LateFailure: a failure is reported to the client immediately after the last attempt.
	LateFailure = "held-back"
	// DroppedInStop: a planned stop drops no request in flight.
	DroppedInStop = "dropped-in-stop"
)

// The rules of configurations and of the audit log.
const (
	// ConfigLate: every reachable sidecar applies a confirmed configuration within ConfigDeadline.
	ConfigLate = "manifest-late"
	// ConfigRegressed: no node shows an older configuration after a newer one.
	ConfigRegressed = "manifest-back"
	// ConfigRejected: no rejected proposal is ever applied, and no invalid proposal is confirmed.
	ConfigRejected = "manifest-turned"
	// ConfigInvalid: every configuration that is applied is valid.
	ConfigInvalid = "invalid"
	// AuditLog: the audit log holds each confirmed revision exactly once, in order.
	AuditLog = "audit"
)

// The rules of coordination values and of storage.
const (
	// LockShared: no lock has two holders at the same time, and fencing tokens increase.
	LockShared = "lock-shared"
	// SequenceRepeated: the numbers of a sequence strictly increase.
	SequenceRepeated = "number-repeated"
	// StaleRead: reads are linearizable.
	StaleRead = "stale-read"
	// WatchIncomplete: a watch that continues within the retention receives every change, in order.
	WatchIncomplete = "watch-forgotten"
	// NotRepaired: after a period without faults all voters hold the same records.
	NotRepaired = "not-mended"
	// DiskDamaged: no process finds corrupt data on its own disk.
	DiskDamaged = "disk"
	// ResponseDamaged: every response can be decoded.
	ResponseDamaged = "damaged"
)

// The rules of keyspace entries.
const (
	// EntryOrder: the revisions of a keyspace never repeat or decrease, and no conditional put
	// succeeds if another put followed the revision that the condition names.
	EntryOrder = "cell-order"
	// EntryStale: no read returns a revision older than a put acknowledged before the read.
	EntryStale = "cell-stale"
	// EntryWatch: a watch skips no put, and the revision of a watch is not compacted before the
	// end of its retention.
	EntryWatch = "cell-watch"
	// EntryRejected: no response shows a value whose every put was rejected.
	EntryRejected = "cell-turned"
)

// The rules of admission queues.
const (
	// AdmissionRejected: a request that the queue rejected is never executed.
	AdmissionRejected = "bay-turned"
	// AdmissionDecision: every queued request gets exactly one decision.
	AdmissionDecision = "bay-told"
	// AdmissionStop: soon after a planned stop begins, the queue is empty.
	AdmissionStop = "bay-stop"
)

// HerdReady is the rule that a herd, many sidecars that start at the same time, is ready soon after
// a majority of the cores is available. Only faults that are selected by name observe HerdReady.
const HerdReady = "herd-ready"

// Rules lists every rule in the order of the report.
var Rules = []string{
	DoubleExecution, FalseNotExecuted, RequestAfterLeave, WrongService, WrongResponse, ConfigLate, ConfigRegressed,
	ConfigRejected, DroppedInStop, RetryBudget, LockShared, SequenceRepeated, StaleRead, WatchIncomplete,
	EntryOrder, EntryStale, EntryWatch, EntryRejected, AdmissionRejected, AdmissionDecision, AdmissionStop,
	SlowRecovery, UrgentRejected, LateFailure, NotRepaired, AuditLog, DiskDamaged, ConfigInvalid, ResponseDamaged, HerdReady,
}

// onDemandRules lists the rules that only faults selected by name observe.
var onDemandRules = map[string]bool{HerdReady: true}

// ConfigDeadline is the maximum time from the confirmation of a configuration until every reachable
// sidecar applies the configuration.
const ConfigDeadline = 2 * time.Second

// The other time limits of the rules.
const (
	leaveDeadline    = 2 * time.Second
	recoveryDeadline = 15 * time.Second
	maxFailureDelay  = time.Millisecond
)

// The retry budget of a service in any window is a fifth of its requests plus a fixed number of 60.
// The checker allows one more, for a retry at the very end of the window.
const (
	retryWindow         = 10 * time.Second
	retryRatio          = 0.2
	fixedRetryAllowance = 60 + 1
)

// SlowRecovery compares the rate of served requests in baselineWindow, at the start of the load,
// with the rate in recoveryWindow, right before the deadline.
const (
	baselineWindow = 5 * time.Second
	recoveryWindow = 2 * time.Second
	recoveredRatio = 0.25
)

// defaultRequiredObservations is how many observations of a rule a verdict requires.
const defaultRequiredObservations = 10

// requiredObservations overrides the default for rules that only faults observe which occur once or
// twice in a run.
var requiredObservations = map[string]int{SlowRecovery: 1, DroppedInStop: 1, DiskDamaged: 1, RequestAfterLeave: 1, AdmissionStop: 1}
