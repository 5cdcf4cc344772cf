package admission

import "time"

const (
	// runMemory is over how many runs the estimates of time are averaged, and failureMemory the same
	// of the failure rate.
	runMemory     = 24
	failureMemory = 16
	// maxRelativeTime bounds the relative time.
	maxRelativeTime = 50
)

// failureByOutcome is what each outcome counts in the failure rate; GivenUp does not count.
var failureByOutcome = map[Outcome]float64{Served: 0, Failed: 1}

// runEstimate is what was learnt from the runs of one endpoint: exponential moving averages.
type runEstimate struct {
	// spentTime over expectedTime is the relative time; a part of 1/runMemory of both fades with
	// each run. Both are in nanoseconds.
	spentTime, expectedTime float64
	// meanTime is the mean time of a run, in nanoseconds.
	meanTime    float64
	failureRate float64
}

// newRunEstimate starts with the expected time of unknown work, at the weight of a few runs.
func newRunEstimate(unknownWork time.Duration) runEstimate {
	initial := float64(unknownWork) * runMemory / 4
	return runEstimate{spentTime: initial, expectedTime: initial, meanTime: float64(unknownWork)}
}

// relativeTime is how many times as long the endpoint takes as the service's mean endpoint.
func (e *runEstimate) relativeTime() float64 { return e.spentTime / e.expectedTime }

// workOf is a request's work at the service's mean endpoint, by the mean time here if it is unknown.
func (e *runEstimate) workOf(work time.Duration) time.Duration {
	if work > 0 {
		return work
	}
	return time.Duration(e.meanTime * e.expectedTime / e.spentTime)
}

// record takes a run: its outcome, how long it took without the slow start of the endpoint, in
// nanoseconds, and its work at the service's mean endpoint.
func (e *runEstimate) record(outcome Outcome, elapsed float64, work time.Duration) {
	if failed, counts := failureByOutcome[outcome]; counts {
		e.failureRate += (failed - e.failureRate) / failureMemory
	}
	// How soon a run failed tells nothing of its work; but one that was given up late would have
	// taken longer still.
	if elapsed <= 0 || outcome == Failed || outcome == GivenUp && elapsed <= float64(work)*e.spentTime/e.expectedTime {
		return
	}
	e.meanTime += (min(elapsed, 8*e.meanTime) - e.meanTime) / runMemory
	e.spentTime += min(elapsed, 8*maxRelativeTime*float64(work)) - e.spentTime/runMemory
	e.expectedTime += float64(work) - e.expectedTime/runMemory
}
