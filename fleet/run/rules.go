package run

// Rules of sim/invariant that the fleet itself judges, by the names that reports give them.
const (
	ruleConfigBack     = "manifest-back"
	ruleConfigLate     = "manifest-late"
	ruleConfigRejected = "manifest-turned"
	ruleDropped        = "dropped-in-stop"
	ruleLateToLeaver   = "late-to-leaver"
	ruleLockShared     = "lock-shared"
	ruleNumberRepeated = "number-repeated"
	ruleRetries        = "further-tries"
	ruleSlowRecovery   = "slow-recovery"
	ruleStaleRead      = "stale-read"
	ruleWorkForLeft    = "work-for-left"
	ruleWatchCompacted = "watch-forgotten"
	ruleWrongResponse  = "wrong-return"
)

// Excuses that reports count observations under which no rule can be judged by.
const (
	excuseRunEnded      = "the day ended"
	excuseAfterStopping = "coming after a planned stop"
)
