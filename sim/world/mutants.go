package world

import (
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/mutant"
)

// Mutant names a rule that is broken on purpose, none if empty.
type Mutant string

// The mutants of any world.
const (
	MutantSkipChecks       Mutant = "gate"      // endpoints are handed requests without a last check
	MutantIgnoreLeave      Mutant = "leaver"    // an endpoint that leaves goes on being served
	MutantForgetSignOff    Mutant = "forget"    // a late heartbeat brings back what has signed off
	MutantIgnoreSilence    Mutant = "silence"   // an endpoint without heartbeats does too
	MutantRetryUnsafe      Mutant = "retry"     // requests that may run once are retried
	MutantWrongOutcome     Mutant = "fate"      // unknown outcomes are reported as not executed
	MutantWrongResponse    Mutant = "return"    // lost and damaged responses pass for served
	MutantHoldBack         Mutant = "held"      // failures are reported at the deadline only
	MutantUnlimitedRetries Mutant = "allowance" // there is no retry budget
	MutantIgnoreUrgency    Mutant = "urgent"    // urgent requests queue with the others
	MutantDeaf             Mutant = "deaf"      // sidecars rarely poll and ignore their peers
	MutantStay             Mutant = "stay"      // sidecars stay with a core that is behind
	MutantNoPeerCache      Mutant = "witness"   // a configuration is shown before peers have it
	MutantExtendWait       Mutant = "wait"      // a newer configuration starts the wait for peers anew
	MutantAmnesia          Mutant = "replica"   // acceptors forget what they accepted
	MutantQuorumOfOne      Mutant = "quorum"    // one response passes for a majority
	MutantNoReadRepair     Mutant = "mend"      // copies are not repaired
	MutantIgnoreBase       Mutant = "offer"     // proposals on an old base are accepted
	MutantAuditGaps        Mutant = "audit"     // some audit entries are left out
	MutantLockExpires      Mutant = "lock"      // locks expire at once
	MutantUnwatchedClock   Mutant = "clock"     // leases are measured by a clock that may jump
	MutantNoHistory        Mutant = "history"   // keys forget their past changes
	MutantAbruptStop       Mutant = "stop"      // planned stops wait for nothing
	MutantNoRestart        Mutant = "restart"   // sidecars do not come back after the last outage
	MutantJoinSingly       Mutant = "join"      // every sidecar joins by quorum operations of its own
)

// The mutants of clients that use keyspaces and locks that keep their fencing token.
const (
	MutantRepeatRevision Mutant = "cell-twice"   // a put is given the revision before its own
	MutantReadOldest     Mutant = "cell-old"     // a read shows the oldest put
	MutantSkipEvent      Mutant = "cell-skip"    // a watch skips a put
	MutantNoRetention    Mutant = "cell-history" // puts are not retained
	MutantAssumeRejected Mutant = "cell-fate"    // clients take unknown outcomes for rejections
	MutantShareToken     Mutant = "cell-keep"    // a held lock is granted to others
)

// The mutants of worlds with admission queues; see World.Platform.
const (
	MutantExecuteRejected Mutant = "bay"      // what the admission queue rejects runs all the same
	MutantDecideTwice     Mutant = "bay-act"  // the admission queue decides twice
	MutantQueueInStop     Mutant = "bay-stop" // requests wait on in a planned stop
	MutantIgnoreFence     Mutant = "fence"    // endpoints run what names another one
	MutantExecuteShed     Mutant = "shed"     // endpoints run what they shed
	MutantRetryFailed     Mutant = "failed"   // requests that an endpoint ran and failed are retried
	MutantLazySync        Mutant = "soft"     // opening a ring does not sync it
	MutantUnsyncedFolder  Mutant = "folder"   // the folder of a ring is never synced
)

// Mutants lists the rules that each mutant must be seen to break.
var Mutants = map[Mutant][]string{
	MutantSkipChecks:       {invariant.WrongService},
	MutantIgnoreLeave:      {invariant.RequestAfterLeave},
	MutantForgetSignOff:    {invariant.RequestAfterLeave},
	MutantIgnoreSilence:    {invariant.RequestAfterLeave},
	MutantRetryUnsafe:      {invariant.DoubleExecution},
	MutantWrongOutcome:     {invariant.FalseNotExecuted},
	MutantWrongResponse:    {invariant.WrongResponse},
	MutantHoldBack:         {invariant.LateFailure},
	MutantUnlimitedRetries: {invariant.RetryBudget},
	MutantIgnoreUrgency:    {invariant.UrgentRejected},
	MutantDeaf:             {invariant.ConfigLate},
	MutantStay:             {invariant.ConfigLate},
	MutantNoPeerCache:      {invariant.ConfigRegressed},
	MutantExtendWait:       {invariant.ConfigLate},
	MutantAmnesia:          {invariant.ConfigRegressed, invariant.StaleRead},
	MutantQuorumOfOne:      {invariant.SequenceRepeated, invariant.StaleRead},
	MutantNoReadRepair:     {invariant.NotRepaired},
	MutantIgnoreBase:       {invariant.ConfigRejected},
	MutantAuditGaps:        {invariant.AuditLog},
	MutantLockExpires:      {invariant.LockShared},
	MutantUnwatchedClock:   {invariant.LockShared},
	MutantNoHistory:        {invariant.WatchIncomplete},
	MutantAbruptStop:       {invariant.DroppedInStop},
	MutantNoRestart:        {invariant.SlowRecovery},
	MutantJoinSingly:       {invariant.HerdReady},

	MutantRepeatRevision: {invariant.EntryOrder},
	MutantReadOldest:     {invariant.EntryStale},
	MutantSkipEvent:      {invariant.EntryWatch},
	MutantNoRetention:    {invariant.EntryWatch},
	MutantAssumeRejected: {invariant.EntryRejected},
	MutantShareToken:     {invariant.LockShared},

	MutantExecuteRejected: {invariant.AdmissionRejected},
	MutantDecideTwice:     {invariant.AdmissionDecision},
	MutantQueueInStop:     {invariant.AdmissionStop},
	MutantIgnoreFence:     {invariant.WrongService},
	MutantExecuteShed:     {invariant.FalseNotExecuted},
	MutantRetryFailed:     {invariant.DoubleExecution},
	MutantLazySync:        {invariant.DiskDamaged},
	MutantUnsyncedFolder:  {invariant.DiskDamaged},
}

// NeedsPlatform tells whether the mutant needs a world of the platform's kind.
func (m Mutant) NeedsPlatform() bool {
	switch m {
	case MutantExecuteRejected, MutantDecideTwice, MutantQueueInStop, MutantIgnoreFence, MutantExecuteShed, MutantRetryFailed, MutantLazySync, MutantUnsyncedFolder:
		return true
	}
	return false
}

// quorumOverride is the number of responses that stands in for a majority, 0 if none does.
func (w *World) quorumOverride() int {
	if w.Mutant == MutantQuorumOfOne {
		return 1
	}
	return 0
}

// stateMachine is the state machine of the control keys, with what the mutant breaks.
func (w *World) stateMachine() proposer.StateMachine {
	return mutant.Handlers(string(w.Mutant), w.HistoryRetention)
}
