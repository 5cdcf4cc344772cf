package loadbalancer

import "time"

// Settings configures a balancer. Every choice reads the settings, so the settings may be changed at
// any time.
type Settings struct {
	// SampleSize is the number of random workloads that are compared, 0 for all workloads. With a
	// larger sample, sidecars that choose at the same time more often choose the same workload.
	SampleSize int
	// Jitter is the maximum random increase of the cost of a workload, as a fraction of the cost.
	Jitter float64
	// LoadHalfLife is the age at which the load of a report has half its weight. HealthHalfLife is
	// the same for the relative time and the failure rate.
	LoadHalfLife, HealthHalfLife time.Duration
	// ZonePenalty is the cost of a response from another zone. CrossZoneCostPerKB is the
	// additional cost per KB of such a response.
	ZonePenalty, CrossZoneCostPerKB time.Duration
	// DefaultSlots is the number of slots of a workload whose reports do not state the number.
	DefaultSlots int
	// MaxFailureRate is the limit on the fraction of failed runs, in addition to one and a half
	// times the mean of the service. Above the limit, a workload is ejected as an outlier.
	// MaxEjectedShare is the maximum fraction of the workloads of a service that may be ejected.
	MaxFailureRate, MaxEjectedShare float64
	// SlowStart is how long a workload that joins after the others counts as slow, unless a load
	// report arrives earlier.
	SlowStart time.Duration
	// DefaultServiceTime is the service time of a route without a response so far.
	DefaultServiceTime time.Duration
}

// DefaultSettings returns the settings that were used for the simulations in mesh/admission.
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
