package loadbalancer

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry"
)

const (
	// maxReportedLoad bounds the load of one report in the mean of its service.
	maxReportedLoad = 4
	// A mean moves by one part of so many towards each sample.
	loadSmoothing        = 16
	failureRateSmoothing = 32
	routeSmoothing       = 32
	// A run counts in the mean of its route as no more than maxWorkFactor times the mean and
	// workMargin together.
	maxWorkFactor = 8
	workMargin    = time.Millisecond
)

// endpointStats is what is known of one workload. Invariant: inFlight counts requests of this sidecar;
// inFlightAtReport of them were in flight when the report was taken, and are counted in it.
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

// serviceStats is what is known of one service's workloads together. Invariant: endpoints[i] is what is
// known of entries[i].
type serviceStats struct {
	entries         []registry.Entry
	endpoints       []*endpointStats
	meanLoad        float64 // requests that run or wait, per slot
	meanFailureRate float64 // the part of runs that fails
	reported        bool    // a report has come
	initialized     bool    // a list of entries has been seen before
	lastUsed        monotime.Time
}

// update takes a report of one of the service's workloads into the means.
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

// routeStats is what was learnt from the responses of one route.
type routeStats struct {
	meanWork  float64 // nanoseconds at an endpoint
	meanBytes float64 // of a response
	lastUsed  monotime.Time
}

// update takes a run into the means. How much a single run that took very long counts is bounded.
func (r *routeStats) update(elapsed time.Duration, size int64) {
	r.meanWork += (min(float64(elapsed), maxWorkFactor*r.meanWork+float64(workMargin)) - r.meanWork) / routeSmoothing
	r.meanBytes += (float64(size) - r.meanBytes) / routeSmoothing
}

// decay is the weight of a report at an age: half at the half-life, and less and less slowly after.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

// steepDecay is the weight of a report that holds for longer and then is all but forgotten, so that a
// workload that was avoided because of it is tried again.
func steepDecay(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	ratio := float64(age) / float64(halfLife)
	return 1 / (1 + ratio*ratio)
}
