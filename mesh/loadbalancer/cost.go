package loadbalancer

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/registry"
)

// failureCostFactor is the cost of a failed run as a multiple of its service time.
const failureCostFactor = 10

// routeCost holds the cost parameters of a route that are the same for all workloads, in
// nanoseconds.
type routeCost struct {
	serviceTime float64 // run time at the average workload of the service
	crossZone   float64 // extra cost of a response from another zone
}

func (b *Balancer) routeCost(route *routeStats) routeCost {
	cost := routeCost{serviceTime: float64(b.DefaultServiceTime), crossZone: float64(b.ZonePenalty)}
	if route != nil {
		if route.meanServiceTime > 0 {
			cost.serviceTime = route.meanServiceTime
		}
		cost.crossZone += route.meanBytes / 1024 * float64(b.CrossZoneCostPerKB)
	}
	return cost
}

// workloadEstimate is the expected state of a workload for one more request.
type workloadEstimate struct {
	load              float64 // requests at the workload per slot, this request included
	relativeTime      float64 // run time relative to the average workload of the service
	excessFailureRate float64 // failure rate in excess of the mean of the service
}

// estimate combines the load report of a workload, weighted by its age, with the means of the
// service.
func (b *Balancer) estimate(now monotime.Time, entry *registry.Entry, endpoint *endpointStats) workloadEstimate {
	slots, service := float64(b.DefaultSlots), endpoint.service
	estimate := workloadEstimate{load: entry.Load, relativeTime: 1}
	if service.reported {
		estimate.load = service.meanLoad
	}
	inFlight := endpoint.inFlight
	if endpoint.reportedAt == 0 {
		estimate.relativeTime = endpoint.slowStart.relativeTime(now)
	} else {
		report, age := &endpoint.report, now.Since(endpoint.reportedAt)
		if report.Slots > 0 {
			slots = float64(report.Slots)
		}
		loadWeight, healthWeight := decay(age, b.LoadHalfLife), steepDecay(age, b.HealthHalfLife)
		estimate.load = loadWeight*float64(report.Running+report.Waiting)/slots + (1-loadWeight)*estimate.load
		if report.RelativeTime > 0 {
			estimate.relativeTime += healthWeight * (report.RelativeTime - 1)
		}
		estimate.excessFailureRate = healthWeight * max(0, report.FailureRate-service.meanFailureRate)
		inFlight = max(0, endpoint.inFlight-endpoint.inFlightAtReport)
	}
	estimate.load += (float64(inFlight) + 1) / slots
	return estimate
}

// cost returns the expected cost of a response of a workload, in nanoseconds of waiting.
func (b *Balancer) cost(now monotime.Time, route routeCost, entry *registry.Entry, endpoint *endpointStats) float64 {
	estimate := b.estimate(now, entry, endpoint)
	// A slot that is occupied now may be free when the request arrives, and vice versa, so the
	// expected wait grows even before all slots are occupied.
	utilization := min(estimate.load, 1)
	wait := utilization*utilization*utilization/4 + max(estimate.load-1, 0)
	cost := route.serviceTime * estimate.relativeTime * (1 + wait) / float64(max(entry.Weight, 1))
	cost += route.serviceTime * estimate.excessFailureRate * failureCostFactor
	if entry.Zone != b.zone {
		cost += route.crossZone
	}
	return cost
}
