package loadbalancer

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry"
)

const (
	// maxReportedLoad limits the influence of one load report on the mean load of its service.
	maxReportedLoad = 4
	// Smoothing factors: each sample moves a mean by 1/factor of the difference between the sample
	// and the mean.
	loadSmoothing        = 16
	failureRateSmoothing = 32
	routeSmoothing       = 32
	// A run is the execution of one request at an endpoint. The time of a run counts in the mean of
	// the run's route as at most maxSampleFactor times the mean plus serviceTimeAllowance.
	maxSampleFactor      = 8
	serviceTimeAllowance = time.Millisecond
)

// endpointStats holds the statistics of one workload. Invariant: inFlight is the number of
// requests of this sidecar at the workload; inFlightAtReport is how many of these requests were
// already in flight when the last load report arrived, and are therefore included in the report.
type endpointStats struct {
	server           ident.Server
	service          *serviceStats
	inFlight         int
	inFlightAtReport int
	reportedAt       monotime.Time
	report           loadreport.Report
	suspectUntil     monotime.Time
	slowStart        slowStart
}

// serviceStats holds the statistics of all workloads of one service. Invariant: endpoints[i] holds
// the statistics of entries[i].
type serviceStats struct {
	entries         []registry.Entry
	endpoints       []*endpointStats
	meanLoad        float64 // running and waiting requests per slot
	meanFailureRate float64 // fraction of failed runs
	reported        bool    // a load report was received
	initialized     bool    // false until the first list of entries was processed
	lastUsed        monotime.Time
}

// update adds a load report of one workload to the means of the service.
func (s *serviceStats) update(report loadreport.Report, defaultSlots int) {
	slots := report.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	load := min(float64(report.Running+report.Waiting)/float64(max(slots, 1)), maxReportedLoad)
	if !s.reported {
		s.reported, s.meanLoad = true, load
	}
	s.meanLoad += (load - s.meanLoad) / loadSmoothing
	s.meanFailureRate += (report.FailureRate - s.meanFailureRate) / failureRateSmoothing
}

// routeStats holds statistics of the responses of one route.
type routeStats struct {
	meanServiceTime float64 // nanoseconds at an endpoint
	meanBytes       float64 // per response
	lastUsed        monotime.Time
}

// update adds a run to the means. The influence of a single very long run is limited.
func (r *routeStats) update(elapsed time.Duration, size int64) {
	r.meanServiceTime += (min(float64(elapsed), maxSampleFactor*r.meanServiceTime+float64(serviceTimeAllowance)) - r.meanServiceTime) / routeSmoothing
	r.meanBytes += (float64(size) - r.meanBytes) / routeSmoothing
}

// decay returns the weight of a load report by age: one half at the half-life, one third at twice
// the half-life, and so on.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

// steepDecay returns the weight of a load report by age. Compared with decay, the weight stays
// high for longer and then drops to almost nothing, so that a workload that was avoided because of
// the report is tried again.
func steepDecay(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	ratio := float64(age) / float64(halfLife)
	return 1 / (1 + ratio*ratio)
}
