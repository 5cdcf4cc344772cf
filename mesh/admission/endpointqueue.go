package admission

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

const (
	// memory is how many runs an estimate leans on, and ills those of the part that fails.
	memory = 24
	ills   = 16
	// stall is how many times its expected work what is at the endpoint may have been
	// there, on the mean, before the endpoint counts as slower than it was.
	stall = 2.5
	// paceMost bounds what an estimate may say.
	paceMost = 50
	// slop is how late a look may come at the end of the time in which rejecting is free.
	slop = 3 * time.Millisecond
)

// endpointQueue is the queue of one endpoint. Invariants: no more than slots and Extra are at the
// endpoint while slots are known; waiting is in order of rank, then aim; a waiting request is not
// at the endpoint.
type endpointQueue struct {
	set        *Settings
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
	id   uint64
	work time.Duration
	at   monotime.Time
}

func newEndpointQueue(s *Settings) *endpointQueue {
	start := float64(s.UnknownWork) * memory / 4 // what is not known weighs as a few runs
	return &endpointQueue{set: s, spentTime: start, expectedTime: start, meanTime: float64(s.UnknownWork)}
}

// limit is how many may be at the endpoint; 0 is no limit.
func (e *endpointQueue) limit() int {
	if e.slots == 0 {
		return 0
	}
	return e.slots + e.set.Extra
}

func (e *endpointQueue) open() bool { return e.slots == 0 || len(e.atEndpoint) < e.limit() }

// free is how many more may go at once.
func (e *endpointQueue) free() int {
	if e.slots == 0 {
		return len(e.waiting) + 1
	}
	return max(0, e.limit()-len(e.atEndpoint))
}

func (e *endpointQueue) room() int { return e.slots * e.set.QueuePerSlot }

// relativeTime is how many times as long the endpoint takes as the service's mean one, its start
// aside. What has long been at it and has not come back counts too.
func (e *endpointQueue) relativeTime(now monotime.Time) float64 {
	p := e.spentTime / e.expectedTime
	if len(e.atEndpoint) < 2 {
		return p
	}
	age, want := time.Duration(0), time.Duration(0)
	for _, h := range e.atEndpoint {
		age += now.Since(h.at)
		want += h.work
	}
	if full := float64(want) * p * e.startFactor(now) * stall; float64(age) > full && full > 0 {
		p *= float64(age) / full
	}
	return min(p, paceMost)
}

// startFactor is how many times as long it takes since it has just started.
func (e *endpointQueue) startFactor(now monotime.Time) float64 {
	if e.slowUntil.After(now) {
		return max(e.set.ColdFactor, 1)
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
	for _, h := range e.atEndpoint {
		sum += h.work
	}
	// The mean of what is at the endpoint stands for the turn of the next one; those
	// beyond its slots go first.
	turn := float64(sum) / float64(len(e.atEndpoint)) * float64(len(e.atEndpoint)-e.slots+1) * e.relativeTime(now) * e.startFactor(now)
	return (time.Duration(turn) + ahead) / time.Duration(e.slots)
}

// ahead is the work that goes before a request that comes now.
func (e *endpointQueue) ahead(now monotime.Time, a Request) (sum time.Duration) {
	p := e.relativeTime(now) * e.startFactor(now)
	for _, x := range e.waiting[:e.position(a)] {
		sum += e.workOf(x.Work)
	}
	return time.Duration(float64(sum) * p)
}

func before(a, b Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.aim() < b.aim()
}

func (a *Request) aim() monotime.Time {
	if a.Aim == 0 {
		return a.Until
	}
	return a.Aim
}

// position is where a request stands in the queue: behind its like.
func (e *endpointQueue) position(a Request) int {
	i, _ := slices.BinarySearchFunc(e.waiting, a, func(x, y Request) int {
		if before(y, x) {
			return 1
		}
		return -1
	})
	return i
}

func (e *endpointQueue) insert(a Request) { e.waiting = slices.Insert(e.waiting, e.position(a), a) }

// rejection says why a request that comes now is to be rejected, if it is.
func (e *endpointQueue) rejection(now monotime.Time, a Request) (Reason, time.Duration) {
	if e.slots == 0 {
		return "", 0
	}
	work := e.expectedRun(now, a.Work)
	if now.Add(work / 4).After(a.Until) {
		return Late, e.set.MinRetryAfter
	}
	if !a.LastResort {
		if e.failsTooOften(a.PeerFailureRate) {
			if e.nextTrial.After(now) {
				return Failing, e.set.MinRetryAfter
			}
			e.nextTrial = now.Add(e.set.TrialInterval)
			return "", 0
		}
		// With nothing at it one goes all the same, or nothing would ever be learnt.
		if len(e.atEndpoint) > 0 && e.relativeTime(now) > 2 && e.missesAim(now, &a, work) {
			return Slow, e.set.MinRetryAfter
		}
	}
	if e.free() > len(e.waiting) {
		return "", 0
	}
	if why := e.rejectWaiting(now, &a, e.ahead(now, a)); why != "" {
		return why, e.retryAfter(now, a)
	}
	if len(e.waiting) >= e.room() && !before(a, e.waiting[len(e.waiting)-1]) {
		return Busy, e.retryAfter(now, a)
	}
	return "", 0
}

// missesAim tells whether a request that begins so much later would miss its aim.
func (e *endpointQueue) missesAim(now monotime.Time, a *Request, later time.Duration) bool {
	return now.Add(later).After(a.aim())
}

// rejectWaiting says why one that has ahead of work before it is not to wait any longer.
// While it may be rejected at no price it is once its aim would be missed; after that
// only when its time would be over, or its aim is.
func (e *endpointQueue) rejectWaiting(now monotime.Time, a *Request, ahead time.Duration) Reason {
	wait, work := e.expectedWait(now, ahead), e.expectedRun(now, a.Work)
	switch {
	case now.Add(work / 4).After(a.Until), now >= a.aim():
		return Late
	case a.Early.Add(slop) >= now && e.missesAim(now, a, wait+time.Duration(float64(work)*e.set.Margin)):
		return Busy
	case now.Add(wait + work/4).After(a.Until), e.missesAim(now, a, wait):
		return Busy
	}
	return ""
}

// recheckAt is when a waiting request must be looked at again: at the end of the time in which
// it may be rejected at no price, and when it is late.
func (e *endpointQueue) recheckAt(now monotime.Time, a *Request) monotime.Time {
	at := min(a.aim(), a.Until.Add(-e.expectedRun(now, a.Work)/4))
	if a.Early.After(now) {
		at = min(at, a.Early)
	}
	return at
}

// retryAfter is when a request that was rejected may come retryAfter: when what waits now has
// gone. The ends of many are spread by their names, so that they don't come together.
func (e *endpointQueue) retryAfter(now monotime.Time, a Request) time.Duration {
	sum := time.Duration(0)
	for _, x := range e.waiting {
		sum += e.workOf(x.Work)
	}
	w := e.expectedWait(now, time.Duration(float64(sum)*e.relativeTime(now)*e.startFactor(now)))
	part := (a.ID * 0x9e3779b97f4a7c15) >> 56 // 0 to 255
	return min(max(w*time.Duration(192+part/2)/256, e.set.MinRetryAfter), e.set.MaxRetryAfter)
}

// next takes who goes now. While few wait it is, of those who can still be in time, the one
// with the least time to spare, unless somebody of a higher rank would miss an aim for it.
// Otherwise it is the first in the queue who can be in time, and if nobody can, the first.
func (e *endpointQueue) next(now monotime.Time) Request {
	p := e.relativeTime(now) * e.startFactor(now)
	need := func(a *Request) time.Duration { return time.Duration(float64(e.workOf(a.Work)) * p) }
	first, at, least := -1, -1, time.Duration(0)
	for i := range e.waiting {
		spare := e.waiting[i].aim().Since(now) - need(&e.waiting[i])
		if spare < 0 {
			continue
		}
		if first < 0 {
			first = i
		}
		if at < 0 || spare < least {
			at, least = i, spare
		}
	}
	if at > first && (len(e.waiting) > e.set.YieldPerSlot*e.slots || !e.canGoFirst(now, at, need)) {
		at = first
	}
	at = max(at, 0)
	a := e.waiting[at]
	e.waiting = slices.Delete(e.waiting, at, at+1)
	return a
}

// canGoFirst tells whether all of a higher rank than a waiting one can let it go first.
func (e *endpointQueue) canGoFirst(now monotime.Time, at int, need func(*Request) time.Duration) bool {
	ahead := need(&e.waiting[at])
	for i := range e.waiting[:at] {
		a := &e.waiting[i]
		if a.Rank == e.waiting[at].Rank {
			break
		}
		own := need(a)
		if e.missesAim(now, a, ahead/time.Duration(e.slots)+own*3/2) {
			return false
		}
		ahead += own
	}
	return true
}

// failedBy is what each end tells of the endpoint's health; Over tells nothing.
var failedBy = map[Outcome]float64{Served: 0, Failed: 1}

func (e *endpointQueue) admit(now monotime.Time, a Request) {
	e.atEndpoint = append(e.atEndpoint, running{a.ID, e.workOf(a.Work), now})
}

func (e *endpointQueue) done(now monotime.Time, id uint64, end Outcome, took time.Duration) {
	i := slices.IndexFunc(e.atEndpoint, func(h running) bool { return h.id == id })
	if i < 0 {
		return
	}
	h := e.atEndpoint[i]
	e.atEndpoint = slices.Delete(e.atEndpoint, i, i+1)
	if x, tells := failedBy[end]; tells {
		e.failureRate += (x - e.failureRate) / ills
	}
	x := float64(took) / e.startFactor(now)
	// How soon it failed says nothing of its work; but what was given up late would have
	// taken longer still.
	if took <= 0 || end == Failed || end == GivenUp && x <= float64(h.work)*e.spentTime/e.expectedTime {
		return
	}
	e.meanTime += (min(x, 8*e.meanTime) - e.meanTime) / memory
	e.spentTime += min(x, 8*paceMost*float64(h.work)) - e.spentTime/memory
	e.expectedTime += float64(h.work) - e.expectedTime/memory
}

// failsTooOften tells whether it fails more than its peers do.
func (e *endpointQueue) failsTooOften(peers float64) bool {
	return e.failureRate > e.set.MaxFailureRate+1.5*peers
}

func (e *endpointQueue) loadReport(now monotime.Time) loadreport.Report {
	sum := time.Duration(0)
	for _, x := range e.waiting {
		sum += e.workOf(x.Work)
	}
	p := e.relativeTime(now) * e.startFactor(now)
	return loadreport.Report{Running: len(e.atEndpoint), Waiting: len(e.waiting), Slots: e.slots, RelativeTime: p, FailureRate: e.failureRate,
		QueueDelay: e.expectedWait(now, time.Duration(float64(sum)*p))}
}
