package admission

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

const (
	// runMemory is how many runs an estimate leans on, and ills those of the part that fails.
	runMemory     = 24
	failureMemory = 16
	// stallFactor is how many times its expected work what is at the endpoint may have been
	// there, on the mean, before the endpoint counts as slower than it was.
	stallFactor = 2.5
	// maxRelativeTime bounds what an estimate may say.
	maxRelativeTime = 50
	// tickTolerance is how late a look may come at the end of the time in which rejecting is free.
	tickTolerance = 3 * time.Millisecond
)

// endpointQueue is the queue of one endpoint. Invariants: no more than slots and Extra are at the
// endpoint while slots are known; waiting is in order of rank, then aim; a waiting request is not
// at the endpoint.
type endpointQueue struct {
	settings   *Settings
	slots      int
	slowUntil  monotime.Time
	waiting    []Request
	atEndpoint []running
	// spentTime over expectedTime is the relative time; both fade by one in memory with each run.
	// meanTime is the mean time of a run of unknown work.
	spentTime, expectedTime float64
	meanTime                float64
	failureRate             float64
	nextTrial               monotime.Time
}

type running struct {
	id        uint64
	work      time.Duration
	startedAt monotime.Time
}

func newEndpointQueue(settings *Settings) *endpointQueue {
	initial := float64(settings.UnknownWork) * runMemory / 4 // what is not known weighs as a few runs
	return &endpointQueue{settings: settings, spentTime: initial, expectedTime: initial, meanTime: float64(settings.UnknownWork)}
}

// limit is how many may be at the endpoint; 0 is no limit.
func (e *endpointQueue) limit() int {
	if e.slots == 0 {
		return 0
	}
	return e.slots + e.settings.Extra
}

func (e *endpointQueue) hasOpenSlot() bool { return e.slots == 0 || len(e.atEndpoint) < e.limit() }

// freeSlots is how many more may go at once.
func (e *endpointQueue) freeSlots() int {
	if e.slots == 0 {
		return len(e.waiting) + 1
	}
	return max(0, e.limit()-len(e.atEndpoint))
}

func (e *endpointQueue) capacity() int { return e.slots * e.settings.QueuePerSlot }

// relativeTime is how many times as long the endpoint takes as the service's mean one, its start
// aside. What has long been at it and has not come back counts too.
func (e *endpointQueue) relativeTime(now monotime.Time) float64 {
	relative := e.spentTime / e.expectedTime
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

// startFactor is how many times as long it takes since it has just started.
func (e *endpointQueue) startFactor(now monotime.Time) float64 {
	if e.slowUntil.After(now) {
		return max(e.settings.SlowStartFactor, 1)
	}
	return 1
}

// workOf is the work of a request, also of one that is not known.
func (e *endpointQueue) workOf(work time.Duration) time.Duration {
	if work > 0 {
		return work
	}
	return time.Duration(e.meanTime * e.expectedTime / e.spentTime)
}

// expectedRun is how long a request will take here.
func (e *endpointQueue) expectedRun(now monotime.Time, work time.Duration) time.Duration {
	return time.Duration(float64(e.workOf(work)) * e.relativeTime(now) * e.startFactor(now))
}

// expectedWait is how long one waits that has ahead of work before it in the queue. Invariant: 0 while
// a slot is free.
func (e *endpointQueue) expectedWait(now monotime.Time, ahead time.Duration) time.Duration {
	if e.slots == 0 || len(e.atEndpoint) < e.slots {
		return 0
	}
	sum := time.Duration(0)
	for _, run := range e.atEndpoint {
		sum += run.work
	}
	// The mean of what is at the endpoint stands for the turn of the next one; those
	// beyond its slots go first.
	nextFree := float64(sum) / float64(len(e.atEndpoint)) * float64(len(e.atEndpoint)-e.slots+1) * e.relativeTime(now) * e.startFactor(now)
	return (time.Duration(nextFree) + ahead) / time.Duration(e.slots)
}

// workAhead is the work that goes before a request that comes now.
func (e *endpointQueue) workAhead(now monotime.Time, request Request) (sum time.Duration) {
	factor := e.relativeTime(now) * e.startFactor(now)
	for _, waiting := range e.waiting[:e.position(request)] {
		sum += e.workOf(waiting.Work)
	}
	return time.Duration(float64(sum) * factor)
}

func before(a, b Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.target() < b.target()
}

func (r *Request) target() monotime.Time {
	if r.Target == 0 {
		return r.Deadline
	}
	return r.Target
}

// position is where a request stands in the queue: behind its like.
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

// rejection says why a request that comes now is to be rejected, if it is.
func (e *endpointQueue) rejection(now monotime.Time, request Request) (Reason, time.Duration) {
	if e.slots == 0 {
		return "", 0
	}
	work := e.expectedRun(now, request.Work)
	if now.Add(work / 4).After(request.Deadline) {
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
		// With nothing at it one goes all the same, or nothing would ever be learnt.
		if len(e.atEndpoint) > 0 && e.relativeTime(now) > 2 && e.missesTarget(now, &request, work) {
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

// missesTarget tells whether a request that begins so much later would miss its aim.
func (e *endpointQueue) missesTarget(now monotime.Time, request *Request, delay time.Duration) bool {
	return now.Add(delay).After(request.target())
}

// rejectWaiting says why one that has ahead of work before it is not to wait any longer.
// While it may be rejected at no price it is once its aim would be missed; after that
// only when its time would be over, or its aim is.
func (e *endpointQueue) rejectWaiting(now monotime.Time, request *Request, ahead time.Duration) Reason {
	wait, work := e.expectedWait(now, ahead), e.expectedRun(now, request.Work)
	switch {
	case now.Add(work / 4).After(request.Deadline), now >= request.target():
		return Late
	case request.FreeRejectUntil.Add(tickTolerance) >= now && e.missesTarget(now, request, wait+time.Duration(float64(work)*e.settings.Margin)):
		return Busy
	case now.Add(wait + work/4).After(request.Deadline), e.missesTarget(now, request, wait):
		return Busy
	}
	return ""
}

// recheckAt is when a waiting request must be looked at again: at the end of the time in which
// it may be rejected at no price, and when it is late.
func (e *endpointQueue) recheckAt(now monotime.Time, request *Request) monotime.Time {
	at := min(request.target(), request.Deadline.Add(-e.expectedRun(now, request.Work)/4))
	if request.FreeRejectUntil.After(now) {
		at = min(at, request.FreeRejectUntil)
	}
	return at
}

// retryAfter is when a request that was rejected may come retryAfter: when what waits now has
// gone. The ends of many are spread by their names, so that they don't come together.
func (e *endpointQueue) retryAfter(now monotime.Time, request Request) time.Duration {
	sum := time.Duration(0)
	for _, waiting := range e.waiting {
		sum += e.workOf(waiting.Work)
	}
	wait := e.expectedWait(now, time.Duration(float64(sum)*e.relativeTime(now)*e.startFactor(now)))
	jitter := (request.ID * 0x9e3779b97f4a7c15) >> 56 // 0 to 255
	return min(max(wait*time.Duration(192+jitter/2)/256, e.settings.MinRetryAfter), e.settings.MaxRetryAfter)
}

// takeNext takes who goes now. While few wait it is, of those who can still be in time, the one
// with the least time to spare, unless somebody of a higher rank would miss an aim for it.
// Otherwise it is the first in the queue who can be in time, and if nobody can, the first.
func (e *endpointQueue) takeNext(now monotime.Time) Request {
	factor := e.relativeTime(now) * e.startFactor(now)
	expectedRun := func(request *Request) time.Duration { return time.Duration(float64(e.workOf(request.Work)) * factor) }
	first, tightest, leastSpare := -1, -1, time.Duration(0)
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
	if tightest > first && (len(e.waiting) > e.settings.YieldPerSlot*e.slots || !e.canGoFirst(now, tightest, expectedRun)) {
		tightest = first
	}
	tightest = max(tightest, 0)
	request := e.waiting[tightest]
	e.waiting = slices.Delete(e.waiting, tightest, tightest+1)
	return request
}

// canGoFirst tells whether all of a higher rank than a waiting one can let it go first.
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

// failureByOutcome is what each end tells of the endpoint's health; Over tells nothing.
var failureByOutcome = map[Outcome]float64{Served: 0, Failed: 1}

func (e *endpointQueue) admit(now monotime.Time, request Request) {
	e.atEndpoint = append(e.atEndpoint, running{request.ID, e.workOf(request.Work), now})
}

func (e *endpointQueue) done(now monotime.Time, id uint64, outcome Outcome, elapsed time.Duration) {
	i := slices.IndexFunc(e.atEndpoint, func(run running) bool { return run.id == id })
	if i < 0 {
		return
	}
	run := e.atEndpoint[i]
	e.atEndpoint = slices.Delete(e.atEndpoint, i, i+1)
	if x, tells := failureByOutcome[outcome]; tells {
		e.failureRate += (x - e.failureRate) / failureMemory
	}
	x := float64(elapsed) / e.startFactor(now)
	// How soon it failed says nothing of its work; but what was given up late would have
	// taken longer still.
	if elapsed <= 0 || outcome == Failed || outcome == GivenUp && x <= float64(run.work)*e.spentTime/e.expectedTime {
		return
	}
	e.meanTime += (min(x, 8*e.meanTime) - e.meanTime) / runMemory
	e.spentTime += min(x, 8*maxRelativeTime*float64(run.work)) - e.spentTime/runMemory
	e.expectedTime += float64(run.work) - e.expectedTime/runMemory
}

// failsTooOften tells whether it fails more than its peers do.
func (e *endpointQueue) failsTooOften(peers float64) bool {
	return e.failureRate > e.settings.MaxFailureRate+1.5*peers
}

func (e *endpointQueue) loadReport(now monotime.Time) loadreport.Report {
	sum := time.Duration(0)
	for _, waiting := range e.waiting {
		sum += e.workOf(waiting.Work)
	}
	factor := e.relativeTime(now) * e.startFactor(now)
	return loadreport.Report{Running: len(e.atEndpoint), Waiting: len(e.waiting), Slots: e.slots, RelativeTime: factor, FailureRate: e.failureRate,
		QueueDelay: e.expectedWait(now, time.Duration(float64(sum)*factor))}
}
