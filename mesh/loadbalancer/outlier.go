package loadbalancer

import "cottonarch.example/cottonarch/base/monotime"

// peerFailureFactor is the tolerated failure rate of a workload as a multiple of the mean failure
// rate of its service. A workload above this tolerance plus Settings.MaxFailureRate is an outlier.
const peerFailureFactor = 1.5

// outlierEjection ejects workloads that fail more often than their peers. If more than
// Settings.MaxEjectedShare of the candidates are outliers, no workload is ejected, because the cause
// of so many failures is probably outside the workloads.
type outlierEjection struct{ *Settings }

// isOutlier reports whether a workload fails more often than its peers, according to the workload's
// last load report. The weight of the report decreases with age.
func (o outlierEjection) isOutlier(now monotime.Time, endpoint *endpointStats) bool {
	if endpoint.reportedAt == 0 || endpoint.service == nil || endpoint.report.FailureRate <= o.MaxFailureRate {
		return false
	}
	failureRate := endpoint.report.FailureRate * steepDecay(now.Since(endpoint.reportedAt), o.HealthHalfLife)
	return failureRate > o.MaxFailureRate+peerFailureFactor*endpoint.service.meanFailureRate
}

// mayEject reports whether the given number of outliers among the candidates may be ejected.
func (o outlierEjection) mayEject(outliers, candidates int) bool {
	return float64(outliers) <= o.MaxEjectedShare*float64(candidates)
}
