package retrybudget

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

// decayAfterRuns is after how many runs what was seen of them counts half.
const decayAfterRuns = 256

// runTracker are what this machine's endpoint has in hand. Which call belongs to which run
// can't be seen, so a call that the endpoint makes counts as a repeat by the part that
// repeats have in the runs in hand. Invariants: hand and heavy return to zero when nothing
// is in hand; below lists the services that the endpoint called, in the order of their
// first call.
type runTracker struct {
	inFlight        int
	expectedRepeats float64 // sum of the chances that a run in hand is a repeat
	decayedCount    float64 // decayed count of runs
	downstream      []*downstreamService
}

// downstreamService is a service that the endpoint calls.
type downstreamService struct {
	*serviceBudget
	ratio float64
}

// BeginRun takes a run of this machine's endpoint in hand; repeat is the chance, 0 to 1, that
// it is one, as the sender's Choice says it. It answers false when a repeat may not be run
// here, since the calls it would make find no room in the allowance of a service below:
// then it is turned away before it reaches the endpoint, and End must not be called.
func (b *Budget) BeginRun(now monotime.Time, repeat float64) bool {
	repeat = min(1, max(0, repeat))
	if repeat >= 1 && !b.Unlimited && !b.affordsRepeat(now) {
		b.RejectedRepeats++
		return false
	}
	r := &b.runs
	if r.decayedCount++; r.decayedCount > decayAfterRuns {
		r.decayedCount /= 2
		for _, service := range r.downstream {
			service.nestedCalls /= 2
		}
	}
	r.inFlight++
	r.expectedRepeats += repeat
	return true
}

// affordsRepeat tells whether the services below have room for what one repeat more and those in
// hand will call.
func (b *Budget) affordsRepeat(now monotime.Time) bool {
	r := &b.runs
	watched, share := b.watch.Observe(now), float64(b.Share(now))
	for _, service := range r.downstream {
		service.advance(b.slotLength, now, watched)
		saved, shared := service.available(service.ratio, share)
		if saved+max(0, shared) <= r.expectedRepeats*service.nestedCalls/max(1, r.decayedCount) {
			return false
		}
	}
	return true
}

// EndRun takes a run out of hand, with the same repeat as its Begin.
func (b *Budget) EndRun(repeat float64) {
	r := &b.runs
	r.inFlight--
	r.expectedRepeats = max(0, r.expectedRepeats-min(1, max(0, repeat)))
	if r.inFlight <= 0 {
		r.inFlight, r.expectedRepeats = 0, 0
	}
}

// CountNestedRequest counts a first try that this machine's endpoint may have made, and gives the
// chance that it comes from a repeat, which is spent whether there is room or not.
func (b *Budget) CountNestedRequest(now monotime.Time, service validation.Service, caller string) (repeat float64) {
	r := &b.runs
	forService, forCaller := b.buckets(now, &service, caller)
	ratio := b.ratio(&service)
	if r.inFlight > 0 {
		repeat = min(1, r.expectedRepeats/float64(r.inFlight))
	}
	if !forService.hasNested {
		forService.hasNested = true
		r.downstream = append(r.downstream, &downstreamService{forService, ratio})
	}
	forService.nestedCalls++
	deposit := 0.0
	if b.limits.CountNested {
		deposit = ratio * (1 - repeat)
	}
	b.countRequest(now, forService, forCaller, deposit)
	if repeat > 0 {
		saved, shared := forService.available(ratio, float64(b.Share(now)))
		forService.overdraw(repeat, saved, shared)
	}
	return repeat
}
