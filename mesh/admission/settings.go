package admission

import "time"

// Settings configures an admission queue.
type Settings struct {
	// ExtraRequests is how many requests beyond its slots an endpoint may hold, so that no slot is
	// idle while the next request is in transit.
	ExtraRequests int
	// QueuePerSlot is the maximum number of waiting requests per slot.
	QueuePerSlot int
	// LeastSlackQueuePerSlot is the queue length per slot up to which a request of a lower rank
	// that has less slack may be admitted before requests of a higher rank. 0 disables such
	// admissions.
	LeastSlackQueuePerSlot int
	// RunTimeMargin is the minimum time between the expected start of a run and the target, as a
	// multiple of the expected run time. A request with less time is rejected while a rejection
	// has no cost.
	RunTimeMargin float64
	// SlowStartFactor is the run time factor for an endpoint that has just started.
	SlowStartFactor float64
	// MaxFailureRate is the limit on the fraction of failed runs, in addition to one and a half
	// times the failure rate of the peers. Above the limit, an endpoint gets at most one request,
	// a trial, per TrialInterval.
	MaxFailureRate float64
	TrialInterval  time.Duration
	// DefaultServiceTime is the expected service time while none has been measured.
	DefaultServiceTime time.Duration
	// MinRetryAfter and MaxRetryAfter are the bounds of the RetryAfter of a rejected request.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultSettings returns the settings that were used for the simulations in model_test.go.
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
