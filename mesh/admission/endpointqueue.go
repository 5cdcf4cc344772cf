package admission

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

const (
	// stallFactor is how many times their expected time the requests at an endpoint may have been
	// there, on the mean, before the endpoint counts as slower than its runs say.
	stallFactor = 2.5
	// slowRelativeTime is the relative time above which requests that the endpoint alone would make
	// late are rejected.
	slowRelativeTime = 2
	// tickTolerance is how late a Tick may come after a request's FreeRejectUntil.
	tickTolerance = 3 * time.Millisecond
)

// endpointQueue is the queue of one endpoint. Invariants: no more than slots and ExtraRequests are at the
// endpoint while slots are known; waiting is in order of rank, then target; a waiting request is not
// at the endpoint.
type endpointQueue struct {
	settings   *Settings
	estimate   runEstimate
	slots      int
	slowUntil  monotime.Time
	waiting    []Request
	atEndpoint []running
	nextTrial  monotime.Time
}

// running is a request at the endpoint.
type running struct {
	id        uint64
	work      time.Duration
	startedAt monotime.Time
}

func newEndpointQueue(settings *Settings) *endpointQueue {
	return &endpointQueue{settings: settings, estimate: newRunEstimate(settings.DefaultServiceTime)}
}

// limit is how many requests may be at the endpoint; 0 is no limit.
func (e *endpointQueue) limit() int {
	if e.slots == 0 {
		return 0
	}
	return e.slots + e.settings.ExtraRequests
}

func (e *endpointQueue) hasOpenSlot() bool { return e.slots == 0 || len(e.atEndpoint) < e.limit() }

// freeSlots is how many more may be admitted at once.
func (e *endpointQueue) freeSlots() int {
	if e.slots == 0 {
		return len(e.waiting) + 1
	}
	return max(0, e.limit()-len(e.atEndpoint))
}

// capacity is how many may wait.
func (e *endpointQueue) capacity() int { return e.slots * e.settings.QueuePerSlot }

// relativeTime is how many times as long the endpoint takes as the service's mean endpoint, without
// its slow start. Requests that are at it for much longer than expected count too.
func (e *endpointQueue) relativeTime(now monotime.Time) float64 {
	relative := e.estimate.relativeTime()
	if len(e.atEndpoint) < 2 {
		return relative
	}
	age, expected := time.Duration(0), time.Duration(0)
	for _, run := range e.atEndpoint {
		age += now.Since(run.startedAt)
		expected += run.work
	}
	if stalledAfter := float64(expected) * relative * e.startFactor(now) * stallFactor; float64(age) > stalledAfter && stalledAfter > 0 {
		relative *= float64(age) / stalledAfter
	}
	return min(relative, maxRelativeTime)
}

// startFactor is how many times as long the endpoint takes because it has just started.
func (e *endpointQueue) startFactor(now monotime.Time) float64 {
	if e.slowUntil.After(now) {
		return max(e.settings.SlowStartFactor, 1)
	}
	return 1
}

// slowdown is how many times as long the endpoint takes now as the service's mean endpoint.
func (e *endpointQueue) slowdown(now monotime.Time) float64 {
	return e.relativeTime(now) * e.startFactor(now)
}

// waitingWork is the work of some waiting requests at the service's mean endpoint.
func (e *endpointQueue) waitingWork(requests []Request) (sum time.Duration) {
	for _, request := range requests {
		sum += e.estimate.workOf(request.ServiceTime)
	}
	return sum
}

// expectedRun is how long the endpoint will take for a request.
func (e *endpointQueue) expectedRun(now monotime.Time, work time.Duration) time.Duration {
	return time.Duration(float64(e.estimate.workOf(work)) * e.relativeTime(now) * e.startFactor(now))
}

// expectedWait is how long a request waits for a slot that has others before it in the queue, which
// take so long at one slot. Invariant: 0 while a slot is free.
func (e *endpointQueue) expectedWait(now monotime.Time, ahead time.Duration) time.Duration {
	if e.slots == 0 || len(e.atEndpoint) < e.slots {
		return 0
	}
	sum := time.Duration(0)
	for _, run := range e.atEndpoint {
		sum += run.work
	}
	// The mean run of those at the endpoint stands for the time until a slot is free; those beyond
	// its slots take a slot first.
	nextFree := float64(sum) / float64(len(e.atEndpoint)) * float64(len(e.atEndpoint)-e.slots+1) * e.relativeTime(now) * e.startFactor(now)
	return (time.Duration(nextFree) + ahead) / time.Duration(e.slots)
}

// workAhead is how long one slot takes for the waiting requests before one that comes now.
func (e *endpointQueue) workAhead(now monotime.Time, request Request) time.Duration {
	return time.Duration(float64(e.waitingWork(e.waiting[:e.position(request)])) * e.slowdown(now))
}

// position is the index at which a request is queued: after those of its rank and target.
func (e *endpointQueue) position(request Request) int {
	i, _ := slices.BinarySearchFunc(e.waiting, request, func(x, y Request) int {
		if before(y, x) {
			return 1
		}
		return -1
	})
	return i
}

func (e *endpointQueue) insert(request Request) {
	e.waiting = slices.Insert(e.waiting, e.position(request), request)
}

// rejection returns why a request that comes now is to be rejected and after how long it may be
// tried again; no reason if it is not.
func (e *endpointQueue) rejection(now monotime.Time, request Request) (Reason, time.Duration) {
	if e.slots == 0 {
		return "", 0
	}
	run := e.expectedRun(now, request.ServiceTime)
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
		// An idle endpoint gets one all the same, or it could never prove to be faster.
		if len(e.atEndpoint) > 0 && e.relativeTime(now) > slowRelativeTime && e.missesTarget(now, &request, run) {
			return Slow, e.settings.MinRetryAfter
		}
	}
	if e.freeSlots() > len(e.waiting) {
		return "", 0
	}
	if reason := e.rejectWaiting(now, &request, e.workAhead(now, request)); reason != "" {
		return reason, e.retryAfter(now, request)
	}
	if len(e.waiting) >= e.capacity() && !before(request, e.waiting[len(e.waiting)-1]) {
		return Busy, e.retryAfter(now, request)
	}
	return "", 0
}

// missesTarget reports whether a request misses its target if its response comes after a delay.
func (e *endpointQueue) missesTarget(now monotime.Time, request *Request, delay time.Duration) bool {
	return now.Add(delay).After(request.target())
}

// rejectWaiting returns why a request is not to wait any longer that has others before it, which
// take so long at one slot; no reason if it may wait. While a rejection costs nothing, it is
// rejected once it is expected to miss its target, by a margin; later only if it would miss it
// without running at all, or its deadline.
func (e *endpointQueue) rejectWaiting(now monotime.Time, request *Request, ahead time.Duration) Reason {
	wait, run := e.expectedWait(now, ahead), e.expectedRun(now, request.ServiceTime)
	switch {
	case now.Add(run / 4).After(request.Deadline), now >= request.target():
		return Late
	case request.FreeRejectUntil.Add(tickTolerance) >= now && e.missesTarget(now, request, wait+time.Duration(float64(run)*e.settings.RunTimeMargin)):
		return Busy
	case now.Add(wait + run/4).After(request.Deadline), e.missesTarget(now, request, wait):
		return Busy
	}
	return ""
}

// recheckAt is when a waiting request must be checked again: when its rejection begins to cost, and
// when it is late.
func (e *endpointQueue) recheckAt(now monotime.Time, request *Request) monotime.Time {
	at := min(request.target(), request.Deadline.Add(-e.expectedRun(now, request.ServiceTime)/4))
	if request.FreeRejectUntil.After(now) {
		at = min(at, request.FreeRejectUntil)
	}
	return at
}

// retryAfter is after how long a rejected request may be tried again: when all that waits now has been
// admitted. It is spread by the request's ID, so that those rejected together do not come together.
func (e *endpointQueue) retryAfter(now monotime.Time, request Request) time.Duration {
	ahead := time.Duration(float64(e.waitingWork(e.waiting)) * e.relativeTime(now) * e.startFactor(now))
	wait := e.expectedWait(now, ahead)
	jitter := (request.ID * 0x9e3779b97f4a7c15) >> 56 // 0 to 255
	return min(max(wait*time.Duration(192+jitter/2)/256, e.settings.MinRetryAfter), e.settings.MaxRetryAfter)
}

// takeNext takes the request out of the queue that is admitted next. While few wait it is, of those
// that can still be in time, the one with the least time to spare, unless one of a higher rank would
// miss its target for it. Otherwise it is the first in the queue that can be in time, and if none
// can, the first.
func (e *endpointQueue) takeNext(now monotime.Time) Request {
	factor := e.slowdown(now)
	expectedRun := func(request *Request) time.Duration {
		return time.Duration(float64(e.estimate.workOf(request.ServiceTime)) * factor)
	}
	first, chosen := e.inTime(now, expectedRun)
	if chosen > first && (len(e.waiting) > e.settings.LeastSlackQueuePerSlot*e.slots || !e.canGoFirst(now, chosen, expectedRun)) {
		chosen = first
	}
	chosen = max(chosen, 0)
	request := e.waiting[chosen]
	e.waiting = slices.Delete(e.waiting, chosen, chosen+1)
	return request
}

// inTime finds, of the waiting requests that can still be in time, the first and the one with the
// least time to spare; both are -1 if there is none.
func (e *endpointQueue) inTime(now monotime.Time, expectedRun func(*Request) time.Duration) (first, tightest int) {
	first, tightest = -1, -1
	leastSpare := time.Duration(0)
	for i := range e.waiting {
		spare := e.waiting[i].target().Since(now) - expectedRun(&e.waiting[i])
		if spare < 0 {
			continue
		}
		if first < 0 {
			first = i
		}
		if tightest < 0 || spare < leastSpare {
			tightest, leastSpare = i, spare
		}
	}
	return first, tightest
}

// canGoFirst reports whether all waiting requests of a higher rank are still in time if the one at
// an index goes first.
func (e *endpointQueue) canGoFirst(now monotime.Time, index int, expectedRun func(*Request) time.Duration) bool {
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

// admit counts a request as being at the endpoint.
func (e *endpointQueue) admit(now monotime.Time, request Request) {
	e.atEndpoint = append(e.atEndpoint, running{request.ID, e.estimate.workOf(request.ServiceTime), now})
}

// done ends a request at the endpoint, if it is known, and learns from it.
func (e *endpointQueue) done(now monotime.Time, id uint64, outcome Outcome, elapsed time.Duration) {
	i := slices.IndexFunc(e.atEndpoint, func(run running) bool { return run.id == id })
	if i < 0 {
		return
	}
	work := e.atEndpoint[i].work
	e.atEndpoint = slices.Delete(e.atEndpoint, i, i+1)
	e.estimate.record(outcome, float64(elapsed)/e.startFactor(now), work)
}

// failsTooOften reports whether the endpoint fails more than its peers do.
func (e *endpointQueue) failsTooOften(peers float64) bool {
	return e.estimate.failureRate > e.settings.MaxFailureRate+1.5*peers
}

func (e *endpointQueue) loadReport(now monotime.Time) loadreport.Report {
	factor := e.slowdown(now)
	return loadreport.Report{
		Running:      len(e.atEndpoint),
		Waiting:      len(e.waiting),
		Slots:        e.slots,
		RelativeTime: factor,
		FailureRate:  e.estimate.failureRate,
		QueueDelay:   e.expectedWait(now, time.Duration(float64(e.waitingWork(e.waiting))*factor)),
	}
}
