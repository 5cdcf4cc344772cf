package admission

import "time"

// Settings of an admission queue.
type Settings struct {
	// ExtraRequests is how many requests beyond its slots an endpoint may hold, so that a slot is not idle
	// while the next request is on its way.
	ExtraRequests int
	// QueuePerSlot is how many may wait for each slot.
	QueuePerSlot int
	// LeastSlackQueuePerSlot is how many may wait for each slot while requests of a higher rank let those of a
	// lower rank go first that have less time to spare; 0 is never.
	LeastSlackQueuePerSlot int
	// RunTimeMargin is how many times its expected run a request must have left before its target when a
	// slot becomes free for it; else it is rejected while that costs nothing.
	RunTimeMargin float64
	// SlowStartFactor is how many times as long an endpoint takes that has just started.
	SlowStartFactor float64
	// MaxFailureRate is the part of runs that may fail, beyond one and a half times the rate of its
	// peers, before an endpoint gets no more than one request, a trial, in every TrialInterval.
	MaxFailureRate float64
	TrialInterval  time.Duration
	// DefaultServiceTime is what a request is expected to take when nothing is known of it.
	DefaultServiceTime time.Duration
	// MinRetryAfter and MaxRetryAfter bound after how long a rejected request may be tried again.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultSettings returns the settings that the model in model_test.go was run with.
func DefaultSettings() Settings {
	return Settings{
		ExtraRequests:          1,
		QueuePerSlot:           8,
		LeastSlackQueuePerSlot: 1,
		RunTimeMargin:          1.25,
		SlowStartFactor:        2,
		MaxFailureRate:         0.25,
		TrialInterval:          200 * time.Millisecond,
		DefaultServiceTime:     50 * time.Millisecond,
		MinRetryAfter:          10 * time.Millisecond,
		MaxRetryAfter:          time.Second,
	}
}
