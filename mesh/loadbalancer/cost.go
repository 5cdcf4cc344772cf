package loadbalancer

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/registry"
)

// failureCostFactor is how many times its work a failed run costs.
const failureCostFactor = 10

// routeCost is what a route adds to the cost of any workload, in nanoseconds.
type routeCost struct {
	work float64 // a run at the service's mean workload
	zone float64 // a response from another zone
}

func (b *Balancer) routeCost(route *routeStats) routeCost {
	cost := routeCost{work: float64(b.DefaultServiceTime), zone: float64(b.ZonePenalty)}
	if route != nil {
		if route.meanWork > 0 {
			cost.work = route.meanWork
		}
		cost.zone += route.meanBytes / 1024 * float64(b.CrossZoneCostPerKB)
	}
	return cost
}

// workloadEstimate is what one more request is expected to find at a workload.
type workloadEstimate struct {
	load              float64 // requests at the workload with this one, per slot
	relativeTime      float64 // its time over that of the service's mean workload
	excessFailureRate float64 // its failure rate beyond the service's mean
}

// estimate weighs what a workload reported, by its age, with the means of its service.
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

// cost is what a response of a workload is expected to cost, in nanoseconds of waiting.
func (b *Balancer) cost(now monotime.Time, route routeCost, entry *registry.Entry, endpoint *endpointStats) float64 {
	estimate := b.estimate(now, entry, endpoint)
	// A slot that is taken now may be free when the request comes, and the other way round: the wait
	// grows before all slots are taken.
	utilization := min(estimate.load, 1)
	wait := utilization*utilization*utilization/4 + max(estimate.load-1, 0)
	cost := route.work * estimate.relativeTime * (1 + wait) / float64(max(entry.Weight, 1))
	cost += route.work * estimate.excessFailureRate * failureCostFactor
	if entry.Zone != b.zone {
		cost += route.zone
	}
	return cost
}
