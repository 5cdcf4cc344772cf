package retrybudget

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

// decayAfterRuns is the number of runs after which the counts of runs and of their calls are
// halved.
const decayAfterRuns = 256

// runTracker tracks the runs of the local endpoint that are in flight. Which call of the endpoint
// belongs to which run is not visible, so each call counts as the call of a repeat in proportion
// to the repeats among the runs in flight. Invariants: inFlight and expectedRepeats return to zero
// when no run is in flight; downstream lists the services that the endpoint called, in the order
// of their first call.
type runTracker struct {
	inFlight        int
	expectedRepeats float64 // sum, over the runs in flight, of the probability that the run is a repeat
	decayedRunCount float64 // number of runs, halved whenever it exceeds decayAfterRuns
	downstream      []*downstreamService
}

// begin adds a run to the runs in flight, with its probability of being a repeat.
func (r *runTracker) begin(repeatChance float64) {
	r.decayedRunCount++
	if r.decayedRunCount > decayAfterRuns {
		r.decayedRunCount /= 2
		for _, service := range r.downstream {
			service.nestedCalls /= 2
		}
	}
	r.inFlight++
	r.expectedRepeats += repeatChance
}

// end removes a run from the runs in flight.
func (r *runTracker) end(repeatChance float64) {
	r.inFlight--
	r.expectedRepeats = max(0, r.expectedRepeats-repeatChance)
	if r.inFlight <= 0 {
		r.inFlight, r.expectedRepeats = 0, 0
	}
}

// repeatChance returns the probability that a call of the endpoint belongs to a repeat.
func (r *runTracker) repeatChance() float64 {
	if r.inFlight <= 0 {
		return 0
	}
	return min(1, r.expectedRepeats/float64(r.inFlight))
}

// addDownstream counts a call that the endpoint may have made to a service.
func (r *runTracker) addDownstream(service *serviceBudget, ratio float64) {
	if !service.hasNested {
		service.hasNested = true
		r.downstream = append(r.downstream, &downstreamService{service, ratio})
	}
	service.nestedCalls++
}

// downstreamService is a service that the endpoint calls, with the ratio at the first call.
type downstreamService struct {
	*serviceBudget
	ratio float64
}

// BeginRun begins a run of the local endpoint. repeatChance is the probability (0 to 1) that the
// run repeats an earlier run, from the attempt.Decision of the sender. BeginRun returns false for
// a repeat that must not run here, because the retry budget of a service that the endpoint calls
// has no room for the calls of the run. Such a repeat must be rejected before it reaches the
// endpoint, without a call of EndRun.
func (b *Budget) BeginRun(now monotime.Time, repeatChance float64) bool {
	repeatChance = clampChance(repeatChance)
	if repeatChance >= 1 && !b.Unlimited && !b.hasRoomForRepeat(now) {
		b.RejectedRepeats++
		return false
	}
	b.runs.begin(repeatChance)
	return true
}

// EndRun ends a run. repeatChance must be the same as for BeginRun.
func (b *Budget) EndRun(repeatChance float64) { b.runs.end(clampChance(repeatChance)) }

func clampChance(chance float64) float64 { return min(1, max(0, chance)) }

// hasRoomForRepeat reports whether the budgets of the services that the endpoint calls have room
// for the calls of one more repeat and of the repeats in flight.
func (b *Budget) hasRoomForRepeat(now monotime.Time) bool {
	runs := &b.runs
	limitedNow, share := b.stepLimiter.Observe(now), float64(b.Share(now))
	for _, service := range runs.downstream {
		service.advance(b.slotLength, now, limitedNow)
		saved, shared := service.available(service.ratio, share)
		if saved+max(0, shared) <= runs.expectedRepeats*service.nestedCalls/max(1, runs.decayedRunCount) {
			return false
		}
	}
	return true
}

// CountNestedRequest counts the first attempt of a request that the local endpoint may have made.
// CountNestedRequest returns the probability that the request comes from a repeat, and spends that
// amount from the budget of the called service, whether or not there is room.
func (b *Budget) CountNestedRequest(now monotime.Time, service validation.Service, caller string) (repeatChance float64) {
	forService, forCaller := b.buckets(now, &service, caller)
	ratio := b.ratio(&service)
	repeatChance = b.runs.repeatChance()
	b.runs.addDownstream(forService, ratio)
	savedByRequest := 0.0
	if b.limits.CountNested {
		savedByRequest = ratio * (1 - repeatChance)
	}
	b.countRequest(now, forService, forCaller, savedByRequest)
	if repeatChance > 0 {
		saved, shared := forService.available(ratio, float64(b.Share(now)))
		forService.overdraw(repeatChance, saved, shared)
	}
	return repeatChance
}
