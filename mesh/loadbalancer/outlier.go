package loadbalancer

import "cottonarch.example/cottonarch/base/monotime"

// peerFailureFactor is how many times the mean failure rate of its service a workload may have, beside
// Settings.MaxFailureRate, before it is an outlier.
const peerFailureFactor = 1.5

// outlierEjection leaves workloads out that fail more often than their peers, but no more than a part
// of a service: where many fail, the fault is not theirs.
type outlierEjection struct{ *Settings }

// isOutlier reports whether a workload fails more often than its peers.
func (o outlierEjection) isOutlier(now monotime.Time, endpoint *endpointStats) bool {
	if endpoint.reportedAt == 0 || endpoint.service == nil || endpoint.report.FailureRate <= o.MaxFailureRate {
		return false
	}
	failureRate := endpoint.report.FailureRate * steepDecay(now.Since(endpoint.reportedAt), o.HealthHalfLife)
	return failureRate > o.MaxFailureRate+peerFailureFactor*endpoint.service.meanFailureRate
}

// mayEject reports whether so many outliers of so many candidates may be ejected.
func (o outlierEjection) mayEject(outliers, candidates int) bool {
	return float64(outliers) <= o.MaxEjectedShare*float64(candidates)
}
