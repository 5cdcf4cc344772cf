package run

// Names of the rules of sim/invariant that the fleet itself checks, as shown in reports.
const (
	ruleConfigRegressed   = "manifest-back"
	ruleConfigLate        = "manifest-late"
	ruleConfigRejected    = "manifest-turned"
	ruleDroppedInStop     = "dropped-in-stop"
	ruleRequestAfterLeave = "late-to-leaver"
	ruleLockShared        = "lock-shared"
	ruleSequenceRepeated  = "number-repeated"
	ruleRetryBudget       = "further-tries"
	ruleSlowRecovery      = "slow-recovery"
	ruleStaleRead         = "stale-read"
	ruleAbandonedWork     = "work-for-left"
	ruleWatchIncomplete   = "watch-forgotten"
	ruleWrongResponse     = "wrong-return"
)

// Reasons, as shown in reports, why an event could not be checked against a rule.
const (
	excuseRunEnded         = "the day ended"
	excuseAfterPlannedStop = "coming after a planned stop"
)
