package admission

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

const (
	// stallFactor is the limit on the age of the requests in flight, as a multiple of their
	// expected run time, on average. Above the limit, the endpoint counts as slower than its
	// completed runs indicate.
	stallFactor = 2.5
	// slowRelativeTime is the relative time above which the queue rejects requests whose run time
	// alone would exceed their target.
	slowRelativeTime = 2
	// tickTolerance is how late a Tick may come after the FreeRejectUntil of a request.
	tickTolerance = 3 * time.Millisecond
)

// endpointQueue is the admission queue of one endpoint. Invariants: while the number of slots is
// known, at most slots plus ExtraRequests requests are in flight; waiting is sorted by precedes,
// that is by rank, then nested requests first, then target; a waiting request has not been sent to
// the endpoint.
type endpointQueue struct {
	settings       *Settings
	estimate       runEstimate
	slots          int
	slowStartUntil monotime.Time
	waiting        []Request
	inFlight       []inFlightRequest
	nextTrial      monotime.Time
}

// inFlightRequest is a request that was admitted to the endpoint and has not ended.
type inFlightRequest struct {
	id          uint64
	serviceTime time.Duration
	startedAt   monotime.Time
}

func newEndpointQueue(settings *Settings) *endpointQueue {
	return &endpointQueue{settings: settings, estimate: newRunEstimate(settings.DefaultServiceTime)}
}

// limit returns the maximum number of requests in flight, 0 for no limit.
func (e *endpointQueue) limit() int {
	if e.slots == 0 {
		return 0
	}
	return e.slots + e.settings.ExtraRequests
}

func (e *endpointQueue) hasFreeSlot() bool { return e.slots == 0 || len(e.inFlight) < e.limit() }

// freeSlots returns how many more requests may be admitted immediately.
func (e *endpointQueue) freeSlots() int {
	if e.slots == 0 {
		return len(e.waiting) + 1
	}
	return max(0, e.limit()-len(e.inFlight))
}

// capacity returns the maximum number of waiting requests.
func (e *endpointQueue) capacity() int { return e.slots * e.settings.QueuePerSlot }

// relativeTime returns the run time at the endpoint relative to the average endpoint of the
// service, without the effect of the slow start. Requests that have been in flight for much longer
// than expected increase the relative time too.
func (e *endpointQueue) relativeTime(now monotime.Time) float64 {
	relative := e.estimate.relativeTime()
	if len(e.inFlight) < 2 {
		return relative
	}
	age, expected := time.Duration(0), time.Duration(0)
	for _, run := range e.inFlight {
		age += now.Since(run.startedAt)
		expected += run.serviceTime
	}
	if stalledAfter := float64(expected) * relative * e.slowStartFactor(now) * stallFactor; float64(age) > stalledAfter && stalledAfter > 0 {
		relative *= float64(age) / stalledAfter
	}
	return min(relative, maxRelativeTime)
}

// slowStartFactor returns the factor by which runs take longer because the endpoint has just
// started.
func (e *endpointQueue) slowStartFactor(now monotime.Time) float64 {
	if e.slowStartUntil.After(now) {
		return max(e.settings.SlowStartFactor, 1)
	}
	return 1
}

// slowdown returns the current run time at the endpoint relative to the average endpoint of the
// service, slow start included.
func (e *endpointQueue) slowdown(now monotime.Time) float64 {
	return e.relativeTime(now) * e.slowStartFactor(now)
}

// totalServiceTime returns the sum of the service times of requests at the average endpoint of the
// service.
func (e *endpointQueue) totalServiceTime(requests []Request) (sum time.Duration) {
	for _, request := range requests {
		sum += e.estimate.serviceTimeOrMean(request.ServiceTime)
	}
	return sum
}

// expectedRunTime returns the expected run time of a request at this endpoint.
func (e *endpointQueue) expectedRunTime(now monotime.Time, serviceTime time.Duration) time.Duration {
	return time.Duration(float64(e.estimate.serviceTimeOrMean(serviceTime)) * e.relativeTime(now) * e.slowStartFactor(now))
}

// expectedWait returns how long a request is expected to wait for a slot. ahead is the total run
// time, at one slot, of the waiting requests ahead of the request. Invariant: the result is 0
// while a slot is free.
func (e *endpointQueue) expectedWait(now monotime.Time, ahead time.Duration) time.Duration {
	if e.slots == 0 || len(e.inFlight) < e.slots {
		return 0
	}
	sum := time.Duration(0)
	for _, run := range e.inFlight {
		sum += run.serviceTime
	}
	// The mean run time of the requests in flight approximates the time until a slot becomes free.
	// Requests in flight beyond the number of slots occupy a slot first.
	nextFree := float64(sum) / float64(len(e.inFlight)) * float64(len(e.inFlight)-e.slots+1) * e.relativeTime(now) * e.slowStartFactor(now)
	return (time.Duration(nextFree) + ahead) / time.Duration(e.slots)
}

// runTimeAhead returns the total run time, at one slot, of the waiting requests ahead of a new
// request.
func (e *endpointQueue) runTimeAhead(now monotime.Time, request Request) time.Duration {
	return time.Duration(float64(e.totalServiceTime(e.waiting[:e.position(request)])) * e.slowdown(now))
}

// position returns the index at which a new request is queued: behind all waiting requests that it
// does not precede.
func (e *endpointQueue) position(request Request) int {
	i, _ := slices.BinarySearchFunc(e.waiting, request, func(x, y Request) int {
		if precedes(y, x) {
			return 1
		}
		return -1
	})
	return i
}

func (e *endpointQueue) insert(request Request) {
	e.waiting = slices.Insert(e.waiting, e.position(request), request)
}

// checkNew returns the reason to reject a new request and the delay after which the request may be
// retried. An empty reason means that the request is not rejected.
func (e *endpointQueue) checkNew(now monotime.Time, request Request) (Reason, time.Duration) {
	if e.slots == 0 {
		return "", 0
	}
	run := e.expectedRunTime(now, request.ServiceTime)
	if now.Add(run / 4).After(request.Deadline) {
		return Late, e.settings.MinRetryAfter
	}
	if !request.LastResort {
		if e.failsTooOften(request.PeerFailureRate) {
			if e.nextTrial.After(now) {
				return Failing, e.settings.MinRetryAfter
			}
			e.nextTrial = now.Add(e.settings.TrialInterval)
			return "", 0
		}
		// An idle endpoint still gets one request at a time; otherwise no run would show that the
		// endpoint has become faster.
		if len(e.inFlight) > 0 && e.relativeTime(now) > slowRelativeTime && e.missesTarget(now, &request, run) {
			return Slow, e.settings.MinRetryAfter
		}
	}
	if e.freeSlots() > len(e.waiting) {
		return "", 0
	}
	if reason := e.checkWaiting(now, &request, e.runTimeAhead(now, request)); reason != "" {
		return reason, e.retryAfter(now, request)
	}
	if len(e.waiting) >= e.capacity() && !precedes(request, e.waiting[len(e.waiting)-1]) {
		return Busy, e.retryAfter(now, request)
	}
	return "", 0
}

// missesTarget reports whether a response after the given delay would miss the target of a
// request.
func (e *endpointQueue) missesTarget(now monotime.Time, request *Request, delay time.Duration) bool {
	return now.Add(delay).After(request.effectiveTarget())
}

// checkWaiting returns the reason to reject a waiting request, or an empty reason if the request
// may keep waiting. ahead is the total run time, at one slot, of the waiting requests ahead of the
// request. Until FreeRejectUntil, a request is rejected as soon as it is expected to miss its
// target, with a margin. Afterwards, a request is rejected only if its target would pass before
// its run starts, or if it would miss its deadline.
func (e *endpointQueue) checkWaiting(now monotime.Time, request *Request, ahead time.Duration) Reason {
	wait, run := e.expectedWait(now, ahead), e.expectedRunTime(now, request.ServiceTime)
	switch {
	case now.Add(run / 4).After(request.Deadline), now >= request.effectiveTarget():
		return Late
	case request.FreeRejectUntil.Add(tickTolerance) >= now && e.missesTarget(now, request, wait+time.Duration(float64(run)*e.settings.RunTimeMargin)):
		return Busy
	case now.Add(wait + run/4).After(request.Deadline), e.missesTarget(now, request, wait):
		return Busy
	}
	return ""
}

// recheckAt returns when a waiting request must be checked again: at FreeRejectUntil, when
// rejections begin to have a cost, and when the request is late.
func (e *endpointQueue) recheckAt(now monotime.Time, request *Request) monotime.Time {
	at := min(request.effectiveTarget(), request.Deadline.Add(-e.expectedRunTime(now, request.ServiceTime)/4))
	if request.FreeRejectUntil.After(now) {
		at = min(at, request.FreeRejectUntil)
	}
	return at
}

// retryAfter returns the delay after which a rejected request may be retried: the time until all
// requests that wait now have been admitted. A jitter derived from the request ID keeps requests
// that are rejected together from being retried together.
func (e *endpointQueue) retryAfter(now monotime.Time, request Request) time.Duration {
	ahead := time.Duration(float64(e.totalServiceTime(e.waiting)) * e.relativeTime(now) * e.slowStartFactor(now))
	wait := e.expectedWait(now, ahead)
	jitter := (request.ID * 0x9e3779b97f4a7c15) >> 56 // 0 to 255
	return min(max(wait*time.Duration(192+jitter/2)/256, e.settings.MinRetryAfter), e.settings.MaxRetryAfter)
}

// takeNext removes the next request to admit from the queue and returns the request. While few
// requests wait, takeNext picks, of the requests that can still meet their target, the request with
// the least slack, unless a request of a higher rank would then miss its target. Otherwise
// takeNext picks the first request in the queue that can still meet its target, or the first
// request if no request can.
func (e *endpointQueue) takeNext(now monotime.Time) Request {
	factor := e.slowdown(now)
	expectedRun := func(request *Request) time.Duration {
		return time.Duration(float64(e.estimate.serviceTimeOrMean(request.ServiceTime)) * factor)
	}
	first, chosen := e.feasible(now, expectedRun)
	if chosen > first && (len(e.waiting) > e.settings.LeastSlackQueuePerSlot*e.slots || !e.canOvertake(now, chosen, expectedRun)) {
		chosen = first
	}
	chosen = max(chosen, 0)
	request := e.waiting[chosen]
	e.waiting = slices.Delete(e.waiting, chosen, chosen+1)
	return request
}

// feasible returns, of the waiting requests that can still meet their target, the index of the
// first request and the index of the request with the least slack. Both are -1 if no request can.
func (e *endpointQueue) feasible(now monotime.Time, expectedRun func(*Request) time.Duration) (first, leastSlackIndex int) {
	first, leastSlackIndex = -1, -1
	leastSlack := time.Duration(0)
	for i := range e.waiting {
		slack := e.waiting[i].effectiveTarget().Since(now) - expectedRun(&e.waiting[i])
		if slack < 0 {
			continue
		}
		if first < 0 {
			first = i
		}
		if leastSlackIndex < 0 || slack < leastSlack {
			leastSlackIndex, leastSlack = i, slack
		}
	}
	return first, leastSlackIndex
}

// canOvertake reports whether all waiting requests of a higher rank still meet their target if the
// request at index is admitted first.
func (e *endpointQueue) canOvertake(now monotime.Time, index int, expectedRun func(*Request) time.Duration) bool {
	ahead := expectedRun(&e.waiting[index])
	for i := range e.waiting[:index] {
		higher := &e.waiting[i]
		if higher.Rank == e.waiting[index].Rank {
			break
		}
		own := expectedRun(higher)
		if e.missesTarget(now, higher, ahead/time.Duration(e.slots)+own*3/2) {
			return false
		}
		ahead += own
	}
	return true
}

// admit adds a request to the requests in flight.
func (e *endpointQueue) admit(now monotime.Time, request Request) {
	e.inFlight = append(e.inFlight, inFlightRequest{request.ID, e.estimate.serviceTimeOrMean(request.ServiceTime), now})
}

// complete ends a request in flight, if its ID is known, and updates the estimates with its run.
func (e *endpointQueue) complete(now monotime.Time, id uint64, outcome Outcome, elapsed time.Duration) {
	i := slices.IndexFunc(e.inFlight, func(run inFlightRequest) bool { return run.id == id })
	if i < 0 {
		return
	}
	serviceTime := e.inFlight[i].serviceTime
	e.inFlight = slices.Delete(e.inFlight, i, i+1)
	e.estimate.record(outcome, float64(elapsed)/e.slowStartFactor(now), serviceTime)
}

// failsTooOften reports whether the failure rate of the endpoint exceeds Settings.MaxFailureRate plus
// one and a half times the failure rate of its peers.
func (e *endpointQueue) failsTooOften(peers float64) bool {
	return e.estimate.failureRate > e.settings.MaxFailureRate+1.5*peers
}

func (e *endpointQueue) loadReport(now monotime.Time) loadreport.Report {
	factor := e.slowdown(now)
	return loadreport.Report{
		Running:      len(e.inFlight),
		Waiting:      len(e.waiting),
		Slots:        e.slots,
		RelativeTime: factor,
		FailureRate:  e.estimate.failureRate,
		QueueDelay:   e.expectedWait(now, time.Duration(float64(e.totalServiceTime(e.waiting))*factor)),
	}
}
