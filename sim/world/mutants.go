package world

import (
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/mutant"
)

// Mutant names a fault that is put into the system on purpose, so that a rule is broken. The empty
// Mutant is no fault.
type Mutant string

// The mutants that apply to every world.
const (
	MutantSkipChecks          Mutant = "gate"      // requests are sent to endpoints without a final check
	MutantIgnoreLeave         Mutant = "leaver"    // endpoints that leave still receive requests
	MutantForgetSignOff       Mutant = "forget"    // a late heartbeat readmits an endpoint that has signed off
	MutantIgnoreHeartbeatLoss Mutant = "silence"   // endpoints without heartbeats still receive requests
	MutantRetryUnsafe         Mutant = "retry"     // requests that may run at most once are retried
	MutantWrongOutcome        Mutant = "fate"      // unknown outcomes are reported as not executed
	MutantWrongResponse       Mutant = "return"    // lost and malformed responses count as served
	MutantDelayFailures       Mutant = "held"      // failures are reported only at the deadline
	MutantUnlimitedRetries    Mutant = "allowance" // there is no retry budget
	MutantIgnoreUrgency       Mutant = "urgent"    // urgent requests have no priority in the queue
	MutantIgnoreUpdates       Mutant = "deaf"      // sidecars rarely poll cores and ignore their peers
	MutantKeepStaleCore       Mutant = "stay"      // sidecars keep polling a core whose state is stale
	MutantNoPeerCache         Mutant = "witness"   // configurations are enforced before peers have them
	MutantExtendWait          Mutant = "wait"      // a newer configuration restarts the wait for peers
	MutantForgetAccepted      Mutant = "replica"   // acceptors forget their accepted records
	MutantQuorumOfOne         Mutant = "quorum"    // one response counts as a majority
	MutantNoReadRepair        Mutant = "mend"      // stale replicas are not repaired
	MutantIgnoreBase          Mutant = "offer"     // proposals based on an old revision are accepted
	MutantAuditGaps           Mutant = "audit"     // some audit entries are left out
	MutantLockExpires         Mutant = "lock"      // locks expire immediately
	MutantUnlimitedClockSteps Mutant = "clock"     // leases are measured by a clock that may jump forward
	MutantNoHistory           Mutant = "history"   // keys lose the history of their changes
	MutantAbruptStop          Mutant = "stop"      // planned stops end the process without waiting
	MutantNoRestart           Mutant = "restart"   // sidecars do not restart after the last outage
	MutantBypassJoinQueue     Mutant = "join"      // every sidecar joins with quorum operations of its own
)

// The mutants for keyspaces, and for locks that keep their fencing token.
const (
	MutantRepeatRevision Mutant = "cell-twice"   // a put is answered with the revision before its own
	MutantReadOldest     Mutant = "cell-old"     // a read returns the oldest retained put
	MutantSkipEvent      Mutant = "cell-skip"    // a watch skips a put
	MutantNoRetention    Mutant = "cell-history" // puts are not retained
	MutantAssumeRejected Mutant = "cell-fate"    // clients treat unknown outcomes as rejections
	MutantShareToken     Mutant = "cell-keep"    // a held lock is granted to others
)

// The mutants for worlds with admission queues; see World.Platform.
const (
	MutantExecuteRejected Mutant = "bay"      // requests that the admission queue rejected are executed
	MutantDecideTwice     Mutant = "bay-act"  // the admission queue delivers a decision twice
	MutantQueueInStop     Mutant = "bay-stop" // requests keep waiting in a queue during a planned stop
	MutantIgnoreTarget    Mutant = "fence"    // endpoints execute requests that name another endpoint
	MutantExecuteShed     Mutant = "shed"     // endpoints execute requests that they shed
	MutantRetryFailed     Mutant = "failed"   // requests that an endpoint executed and failed are retried
	MutantLazySync        Mutant = "soft"     // opening a ring does not sync the ring
	MutantUnsyncedFolder  Mutant = "folder"   // the folder of a ring is never synced
)

// Mutants maps each mutant to the rules whose violation must be detected with that mutant.
var Mutants = map[Mutant][]string{
	MutantSkipChecks:          {invariant.WrongService},
	MutantIgnoreLeave:         {invariant.RequestAfterLeave},
	MutantForgetSignOff:       {invariant.RequestAfterLeave},
	MutantIgnoreHeartbeatLoss: {invariant.RequestAfterLeave},
	MutantRetryUnsafe:         {invariant.DoubleExecution},
	MutantWrongOutcome:        {invariant.FalseNotExecuted},
	MutantWrongResponse:       {invariant.WrongResponse},
	MutantDelayFailures:       {invariant.LateFailure},
	MutantUnlimitedRetries:    {invariant.RetryBudget},
	MutantIgnoreUrgency:       {invariant.UrgentRejected},
	MutantIgnoreUpdates:       {invariant.ConfigLate},
	MutantKeepStaleCore:       {invariant.ConfigLate},
	MutantNoPeerCache:         {invariant.ConfigRegressed},
	MutantExtendWait:          {invariant.ConfigLate},
	MutantForgetAccepted:      {invariant.ConfigRegressed, invariant.StaleRead},
	MutantQuorumOfOne:         {invariant.SequenceRepeated, invariant.StaleRead},
	MutantNoReadRepair:        {invariant.NotRepaired},
	MutantIgnoreBase:          {invariant.ConfigRejected},
	MutantAuditGaps:           {invariant.AuditLog},
	MutantLockExpires:         {invariant.LockShared},
	MutantUnlimitedClockSteps: {invariant.LockShared},
	MutantNoHistory:           {invariant.WatchIncomplete},
	MutantAbruptStop:          {invariant.DroppedInStop},
	MutantNoRestart:           {invariant.SlowRecovery},
	MutantBypassJoinQueue:     {invariant.HerdReady},

	MutantRepeatRevision: {invariant.EntryOrder},
	MutantReadOldest:     {invariant.EntryStale},
	MutantSkipEvent:      {invariant.EntryWatch},
	MutantNoRetention:    {invariant.EntryWatch},
	MutantAssumeRejected: {invariant.EntryRejected},
	MutantShareToken:     {invariant.LockShared},

	MutantExecuteRejected: {invariant.AdmissionRejected},
	MutantDecideTwice:     {invariant.AdmissionDecision},
	MutantQueueInStop:     {invariant.AdmissionStop},
	MutantIgnoreTarget:    {invariant.WrongService},
	MutantExecuteShed:     {invariant.FalseNotExecuted},
	MutantRetryFailed:     {invariant.DoubleExecution},
	MutantLazySync:        {invariant.DiskDamaged},
	MutantUnsyncedFolder:  {invariant.DiskDamaged},
}

// NeedsPlatform reports whether the mutant applies only to worlds with World.Platform.
func (m Mutant) NeedsPlatform() bool {
	switch m {
	case MutantExecuteRejected, MutantDecideTwice, MutantQueueInStop, MutantIgnoreTarget, MutantExecuteShed, MutantRetryFailed, MutantLazySync, MutantUnsyncedFolder:
		return true
	}
	return false
}

// quorumOverride returns the number of responses that counts as a majority, or 0 for a real
// majority.
func (w *World) quorumOverride() int {
	if w.Mutant == MutantQuorumOfOne {
		return 1
	}
	return 0
}

// stateMachine returns the state machine of the control keys, with the fault of the mutant.
func (w *World) stateMachine() proposer.StateMachine {
	return mutant.Handlers(string(w.Mutant), w.HistoryRetention)
}
