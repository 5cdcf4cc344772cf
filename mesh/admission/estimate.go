package admission

import "time"

const (
	// runSmoothing is the number of runs over which the time estimates are averaged, and
	// failureRateSmoothing the number of runs over which the failure rate is averaged.
	runSmoothing         = 24
	failureRateSmoothing = 16
	// maxRelativeTime is the upper bound of the relative time.
	maxRelativeTime = 50
)

// failureSampleByOutcome maps outcomes to samples of the failure rate. GivenUp is no sample.
var failureSampleByOutcome = map[Outcome]float64{Served: 0, Failed: 1}

// runEstimate holds estimates from the runs of one endpoint, as exponential moving averages.
type runEstimate struct {
	// actualTime divided by expectedTime is the relative time. With each run, both decay by a
	// fraction of 1/runSmoothing. Both are in nanoseconds.
	actualTime, expectedTime float64
	// meanRunTime is the mean run time in nanoseconds.
	meanRunTime float64
	failureRate float64
}

// newRunEstimate returns an initial estimate with the default service time, weighted like a few
// runs.
func newRunEstimate(defaultServiceTime time.Duration) runEstimate {
	initial := float64(defaultServiceTime) * runSmoothing / 4
	return runEstimate{actualTime: initial, expectedTime: initial, meanRunTime: float64(defaultServiceTime)}
}

// relativeTime returns the run time at the endpoint relative to the average endpoint of the
// service.
func (e *runEstimate) relativeTime() float64 { return e.actualTime / e.expectedTime }

// serviceTimeOrMean returns the service time of a request at the average endpoint of the service.
// An unknown service time (0) is estimated from the mean run time at this endpoint.
func (e *runEstimate) serviceTimeOrMean(serviceTime time.Duration) time.Duration {
	if serviceTime > 0 {
		return serviceTime
	}
	return time.Duration(e.meanRunTime * e.expectedTime / e.actualTime)
}

// record updates the estimates with a run. elapsed is the run time in nanoseconds, without the
// effect of the slow start; serviceTime is the service time of the request at the average endpoint
// of the service.
func (e *runEstimate) record(outcome Outcome, elapsed float64, serviceTime time.Duration) {
	if failed, counts := failureSampleByOutcome[outcome]; counts {
		e.failureRate += (failed - e.failureRate) / failureRateSmoothing
	}
	// The time until a failure gives no information about the service time. A run that was given
	// up later than expected does count, because the run would have taken even longer.
	if elapsed <= 0 || outcome == Failed || outcome == GivenUp && elapsed <= float64(serviceTime)*e.actualTime/e.expectedTime {
		return
	}
	e.meanRunTime += (min(elapsed, 8*e.meanRunTime) - e.meanRunTime) / runSmoothing
	e.actualTime += min(elapsed, 8*maxRelativeTime*float64(serviceTime)) - e.actualTime/runSmoothing
	e.expectedTime += float64(serviceTime) - e.expectedTime/runSmoothing
}
