package loadbalancer

import "time"

// Settings of a balancer. Each is read at every choice, so they may be changed at any time.
type Settings struct {
	// SampleSize is how many workloads are compared, 0 for all of them. The more there are, the more
	// often sidecars that choose at the same time agree on one.
	SampleSize int
	// Jitter is the part of its cost by which a workload may seem to cost more than it does.
	Jitter float64
	// LoadHalfLife is at what age the load of a report counts half, and HealthHalfLife the same of its
	// relative time and failure rate.
	LoadHalfLife, HealthHalfLife time.Duration
	// ZonePenalty is the cost of a response from another zone, and CrossZoneCostPerKB that of each KB
	// of it.
	ZonePenalty, CrossZoneCostPerKB time.Duration
	// DefaultSlots is how many requests a workload works on at once if its reports do not say.
	DefaultSlots int
	// MaxFailureRate is the part of runs that may fail, beyond one and a half times the service's
	// mean, before a workload is ejected as an outlier. MaxEjectedShare is the most of a service's
	// workloads that may be ejected.
	MaxFailureRate, MaxEjectedShare float64
	// SlowStart is for how long a workload that came after the others is taken to be slow, until it
	// reports.
	SlowStart time.Duration
	// DefaultServiceTime is the work of a route of which there was no response yet.
	DefaultServiceTime time.Duration
}

// DefaultSettings returns the settings that the model in mesh/admission was run with.
func DefaultSettings() Settings {
	return Settings{
		SampleSize:         0,
		Jitter:             0.1,
		LoadHalfLife:       2 * time.Second,
		HealthHalfLife:     3 * time.Second,
		ZonePenalty:        2 * time.Millisecond,
		DefaultSlots:       6,
		MaxFailureRate:     0.25,
		MaxEjectedShare:    0.34,
		SlowStart:          3 * time.Second,
		DefaultServiceTime: 50 * time.Millisecond,
	}
}
