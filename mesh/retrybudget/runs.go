package retrybudget

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

// decayAfterRuns is after how many runs the counts of runs and of their calls are halved.
const decayAfterRuns = 256

// runTracker tracks the runs of this machine's endpoint that are in flight. Which of its calls belongs
// to which run can't be seen, so each call counts as one of a repeat by the part that repeats have in
// the runs in flight. Invariants: inFlight and expectedRepeats return to zero when nothing is in
// flight; downstream lists the services that the endpoint called, in the order of their first call.
type runTracker struct {
	inFlight        int
	expectedRepeats float64 // sum of the chances that a run in flight is a repeat
	decayedCount    float64 // count of runs, halved after every decayAfterRuns
	downstream      []*downstreamService
}

// begin counts a run with its chance to be a repeat.
func (r *runTracker) begin(repeat float64) {
	r.decayedCount++
	if r.decayedCount > decayAfterRuns {
		r.decayedCount /= 2
		for _, service := range r.downstream {
			service.nestedCalls /= 2
		}
	}
	r.inFlight++
	r.expectedRepeats += repeat
}

// end takes a run out of flight.
func (r *runTracker) end(repeat float64) {
	r.inFlight--
	r.expectedRepeats = max(0, r.expectedRepeats-repeat)
	if r.inFlight <= 0 {
		r.inFlight, r.expectedRepeats = 0, 0
	}
}

// repeatChance is the chance that a call of the endpoint belongs to a repeat.
func (r *runTracker) repeatChance() float64 {
	if r.inFlight <= 0 {
		return 0
	}
	return min(1, r.expectedRepeats/float64(r.inFlight))
}

// addDownstream notes that the endpoint may have called a service.
func (r *runTracker) addDownstream(service *serviceBudget, ratio float64) {
	if !service.hasNested {
		service.hasNested = true
		r.downstream = append(r.downstream, &downstreamService{service, ratio})
	}
	service.nestedCalls++
}

// downstreamService is a service that the endpoint calls, with its ratio at the first call.
type downstreamService struct {
	*serviceBudget
	ratio float64
}

// BeginRun begins a run of this machine's endpoint; repeat is the chance, 0 to 1, that it repeats an
// earlier one, as the sender's attempt.Decision has it. It returns false for a repeat that must not be
// run here, since the retry budget of a service that the endpoint calls has no room for the calls the
// run would make. It is then to be rejected before it reaches the endpoint, without EndRun.
func (b *Budget) BeginRun(now monotime.Time, repeat float64) bool {
	repeat = clampChance(repeat)
	if repeat >= 1 && !b.Unlimited && !b.affordsRepeat(now) {
		b.RejectedRepeats++
		return false
	}
	b.runs.begin(repeat)
	return true
}

// EndRun ends a run, with the same repeat as its BeginRun.
func (b *Budget) EndRun(repeat float64) { b.runs.end(clampChance(repeat)) }

func clampChance(chance float64) float64 { return min(1, max(0, chance)) }

// affordsRepeat reports whether the services that the endpoint calls have room for the calls of one
// more repeat and of those in flight.
func (b *Budget) affordsRepeat(now monotime.Time) bool {
	runs := &b.runs
	watched, share := b.watch.Observe(now), float64(b.Share(now))
	for _, service := range runs.downstream {
		service.advance(b.slotLength, now, watched)
		saved, shared := service.available(service.ratio, share)
		if saved+max(0, shared) <= runs.expectedRepeats*service.nestedCalls/max(1, runs.decayedCount) {
			return false
		}
	}
	return true
}

// CountNestedRequest counts the first attempt of a request that this machine's endpoint may have made.
// It gives the chance that the request comes from a repeat; that much is spent from the budget of the
// service called, whether there is room or not.
func (b *Budget) CountNestedRequest(now monotime.Time, service validation.Service, caller string) (repeat float64) {
	forService, forCaller := b.buckets(now, &service, caller)
	ratio := b.ratio(&service)
	repeat = b.runs.repeatChance()
	b.runs.addDownstream(forService, ratio)
	saves := 0.0
	if b.limits.CountNested {
		saves = ratio * (1 - repeat)
	}
	b.countRequest(now, forService, forCaller, saves)
	if repeat > 0 {
		saved, shared := forService.available(ratio, float64(b.Share(now)))
		forService.overdraw(repeat, saved, shared)
	}
	return repeat
}
