package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/meshtest"
)

const ms = time.Millisecond

func at(n int) monotime.Time { return monotime.Time(time.Second + time.Duration(n)*ms) }

// newRequest returns a request that arrives at n ms, with a service time of 40 ms, a target of 400
// ms and a deadline of 1200 ms.
func newRequest(id uint64, rank, n int) Request {
	return Request{ID: id, Rank: rank, ServiceTime: 40 * ms, FreeRejectUntil: at(n + 95), Target: at(n + 400), Deadline: at(n + 1200)}
}

func newQueue(slots int) *Queue {
	queue := New(DefaultSettings())
	queue.SetSlots(at(0), "e", slots, 0)
	return queue
}

func withDecision(verdicts []Verdict, decision Decision) (ids []uint64) {
	for _, verdict := range verdicts {
		if verdict.Decision == decision {
			ids = append(ids, verdict.ID)
		}
	}
	return ids
}

// orderRun runs one order of submissions, an abandonment and completions on a queue with one slot,
// and tracks the state of the requests by ID.
type orderRun struct {
	t           *testing.T
	order       []int
	queue       *Queue
	decisions   map[uint64]Decision
	running     map[uint64]bool
	abandoned   map[uint64]bool
	waitingRank map[uint64]int
}

func newOrderRun(t *testing.T, order []int) *orderRun {
	return &orderRun{
		t:           t,
		order:       order,
		queue:       newQueue(1),
		decisions:   map[uint64]Decision{},
		running:     map[uint64]bool{},
		abandoned:   map[uint64]bool{},
		waitingRank: map[uint64]int{},
	}
}

// apply checks and records the verdicts of a step.
func (r *orderRun) apply(verdicts []Verdict) {
	for _, verdict := range slices.Clone(verdicts) {
		_, decided := r.decisions[verdict.ID]
		must.False(r.t, decided, must.Sprintf("%v: two verdicts for request %d", r.order, verdict.ID))
		must.False(r.t, r.abandoned[verdict.ID], must.Sprintf("%v: a verdict for the abandoned request %d", r.order, verdict.ID))
		r.decisions[verdict.ID] = verdict.Decision
		rank, waited := r.waitingRank[verdict.ID]
		delete(r.waitingRank, verdict.ID)
		if verdict.Decision == Admit {
			r.running[verdict.ID] = true
			for _, other := range r.waitingRank {
				must.True(r.t, !waited || rank <= other, must.Sprintf("%v: request %d overtook a request of a higher rank", r.order, verdict.ID))
			}
		}
	}
	must.LessEq(r.t, 2, len(r.running))
}

// submit submits a request unless the request was abandoned.
func (r *orderRun) submit(n int, id uint64, rank int) {
	if r.abandoned[id] {
		return
	}
	r.waitingRank[id] = rank
	r.apply(r.queue.Submit(at(n), "e", newRequest(id, rank, n)))
}

// abandon abandons a request that is waiting or has not been submitted yet.
func (r *orderRun) abandon(n int, id uint64) {
	if _, waits := r.waitingRank[id]; waits || r.decisions[id] == 0 && !r.running[id] {
		r.abandoned[id] = true
		delete(r.waitingRank, id)
		r.apply(r.queue.Abandon(at(n), "e", id))
	}
}

// done completes the running request with the lowest ID, if there is one.
func (r *orderRun) done(n int) {
	for id := range uint64(6) {
		if r.running[id] {
			delete(r.running, id)
			r.apply(r.queue.Done(at(n), "e", id, Served, 40*ms))
			return
		}
	}
}

// Five requests of three ranks are submitted, one is abandoned, and runs complete, in every order.
// At most slots plus one requests are in flight, each request gets at most one verdict, no
// abandoned or rejected request is admitted, and a waiting request of a higher rank is always
// admitted before one of a lower rank.
func TestAllOrdersOfSubmitAbandonAndDone(t *testing.T) {
	ranks := []int{2, 0, 1, 2, 0}
	const abandonStep = 5 // lower steps submit requests, the higher step completes a run
	for _, order := range meshtest.Permutations(7) {
		run := newOrderRun(t, order)
		for n, step := range order {
			switch {
			case step < abandonStep:
				run.submit(n, uint64(step+1), ranks[step])
			case step == abandonStep:
				run.abandon(n, 4)
			default:
				run.done(n)
			}
		}
		for n := range 8 {
			run.done(10 + n)
		}
		must.MapEmpty(t, run.waitingRank, must.Sprintf("%v: a request got no verdict", order))
	}
}

// An unknown number of slots imposes no limit.
func TestUnknownSlotCountAdmitsAll(t *testing.T) {
	queue := New(DefaultSettings())
	for id := range uint64(500) {
		must.Eq(t, []Verdict{{ID: id, Decision: Admit}}, queue.Submit(at(0), "e", newRequest(id, 3, 0)))
	}
}

// A request that cannot be in time is rejected on Submit, with a RetryAfter that grows with the
// number of waiting requests. A request of a higher rank is still accepted.
func TestRequestsBeyondCapacityAreRejectedOnSubmit(t *testing.T) {
	queue, rejected, longestRetry := newQueue(2), 0, time.Duration(0)
	for id := range uint64(60) {
		verdicts := queue.Submit(at(0), "e", newRequest(id, 2, 0))
		if len(withDecision(verdicts, Reject)) > 0 {
			rejected++
			must.Eq(t, Busy, verdicts[0].Reason)
			longestRetry = max(longestRetry, verdicts[0].RetryAfter)
		}
	}
	// Two slots process 400 ms of requests of 40 ms each, so about twenty can be in time.
	must.Between(t, 38, rejected, 46)
	must.Between(t, 150*ms, longestRetry, 600*ms)
	must.SliceNotContains(t, withDecision(queue.Submit(at(0), "e", newRequest(100, 0, 0)), Reject), 100)
	must.Eq(t, 100, queue.Done(at(40), "e", 0, Served, 40*ms)[0].ID)
}

// In a full queue, a request of a higher rank displaces the last waiting request, which is
// rejected.
func TestHigherRankDisplacesLastInFullQueue(t *testing.T) {
	settings := DefaultSettings()
	settings.QueuePerSlot = 1
	queue := New(settings)
	queue.SetSlots(at(0), "e", 1, 0)
	for id := range uint64(3) { // two requests are admitted, one waits
		must.SliceEmpty(t, withDecision(queue.Submit(at(0), "e", newRequest(id, 2, 0)), Reject))
	}
	must.Eq(t, []uint64{3}, withDecision(queue.Submit(at(1), "e", newRequest(3, 2, 1)), Reject))
	must.Eq(t, []uint64{2}, withDecision(queue.Submit(at(2), "e", newRequest(4, 1, 2)), Reject))
	must.Eq(t, []uint64{4}, withDecision(queue.Done(at(40), "e", 0, Served, 40*ms), Admit))
}

// A nested request precedes the client requests of the same rank that were submitted earlier, and
// follows all requests of a higher rank.
func TestNestedRequestPrecedesItsRank(t *testing.T) {
	nested := func(id uint64, rank, n int) Request {
		request := newRequest(id, rank, n)
		request.Nested, request.Target = true, request.Deadline
		return request
	}
	queue := newQueue(1)
	for id := range uint64(1 + queue.settings.ExtraRequests) { // occupies the slot and the extra requests
		must.Eq(t, []uint64{100 + id}, withDecision(queue.Submit(at(0), "e", newRequest(100+id, 0, 0)), Admit))
	}
	for _, request := range []Request{newRequest(1, 1, 1), newRequest(2, 0, 2), nested(3, 1, 3), nested(4, 0, 4), newRequest(5, 1, 5)} {
		must.SliceEmpty(t, queue.Submit(at(5), "e", request), must.Sprint(request.ID))
	}
	var order []uint64
	for _, waiting := range queue.endpoints["e"].waiting {
		order = append(order, waiting.ID)
	}
	must.Eq(t, []uint64{4, 2, 3, 1, 5}, order)
}

// While rejections are free, waiting requests of a stalled endpoint are rejected early. No request
// waits beyond its target. NextTick returns when to check.
func TestStalledEndpointRejectsWaitingRequestsEarly(t *testing.T) {
	queue, rejectedAtMs := newQueue(2), map[uint64]int{}
	for id := range uint64(17) {
		request := newRequest(id, 2, 0)
		request.ServiceTime = 25 * ms
		must.SliceEmpty(t, withDecision(queue.Submit(at(0), "e", request), Reject))
	}
	now := at(1)
	for {
		due, ok := queue.NextTick(now)
		if !ok {
			break
		}
		must.Between(t, now, due, at(400))
		now = max(due, now.Add(ms))
		for _, id := range withDecision(queue.Tick(now), Reject) {
			rejectedAtMs[id] = int(now.Since(at(0)) / ms)
		}
	}
	must.MapLen(t, 14, rejectedAtMs)
	early := 0
	for _, n := range rejectedAtMs {
		must.LessEq(t, 400, n)
		if n <= 98 {
			early++
		}
	}
	must.Between(t, 1, early, 4) // only the last requests of the queue; the others can still be in time
}

// An endpoint that becomes slower reports a higher relative time and gets at most one request at a
// time that it cannot finish in time. After the endpoint has recovered, it gets all requests
// again.
func TestSlowEndpointIsThrottledUntilItRecovers(t *testing.T) {
	queue, id := newQueue(6), uint64(0)
	run := func(n int, elapsed time.Duration) {
		id++
		must.Eq(t, []uint64{id}, withDecision(queue.Submit(at(n), "e", newRequest(id, 2, n)), Admit))
		queue.Done(at(n).Add(elapsed), "e", id, Served, elapsed)
	}
	for n := range 60 {
		run(50*n, 40*ms)
	}
	must.Between(t, 0.9, loadReportOf(queue, at(3000)).RelativeTime, 1.1)
	for n := range 60 {
		run(3000+400*n, 500*ms)
	}
	must.Between(t, 9.0, loadReportOf(queue, at(30000)).RelativeTime, 12.6)
	must.Eq(t, []uint64{900}, withDecision(queue.Submit(at(30000), "e", newRequest(900, 2, 30000)), Admit))
	verdicts := queue.Submit(at(30000), "e", newRequest(901, 2, 30000))
	must.Eq(t, []uint64{901}, withDecision(verdicts, Reject))
	must.Eq(t, Slow, verdicts[0].Reason)
	lastResort := newRequest(902, 2, 30000)
	lastResort.LastResort = true
	must.Eq(t, []uint64{902}, withDecision(queue.Submit(at(30000), "e", lastResort), Admit))
	queue.Done(at(30040), "e", 900, Served, 40*ms)
	queue.Done(at(30040), "e", 902, Served, 40*ms)
	for n := range 100 {
		run(31000+50*n, 40*ms)
	}
	must.Between(t, 0.9, loadReportOf(queue, at(40000)).RelativeTime, 1.3)
}

// The expected slow start of an endpoint does not change its estimates.
func TestSlowStartDoesNotChangeEstimates(t *testing.T) {
	queue := New(DefaultSettings())
	queue.SetSlots(at(0), "e", 6, 3*time.Second)
	for n := range 40 {
		queue.Submit(at(50*n), "e", newRequest(uint64(n), 2, 50*n))
		queue.Done(at(50*n+80), "e", uint64(n), Served, 80*ms)
	}
	must.Between(t, 1.9, loadReportOf(queue, at(2500)).RelativeTime, 2.1)
	must.Between(t, 0.9, loadReportOf(queue, at(3100)).RelativeTime, 1.1)
}

// An endpoint that fails half of its runs gets only one trial request per TrialInterval and
// last-resort requests. The endpoint gets all requests if its peers fail equally often, and after
// it has recovered.
func TestFailingEndpointGetsTrialRequestsOnly(t *testing.T) {
	queue, id := newQueue(6), uint64(0)
	submit := func(n int, change func(*Request)) bool {
		id++
		request := newRequest(id, 2, n)
		change(&request)
		return len(withDecision(queue.Submit(at(n), "e", request), Admit)) == 1
	}
	unchanged := func(*Request) {}
	count := func(from int, outcome func(i uint64) Outcome, change func(*Request)) (admitted int) {
		for n := range 100 {
			if submit(from+10*n, change) {
				admitted++
				queue.Done(at(from+10*n+5), "e", id, outcome(id), 5*ms)
			}
		}
		return admitted
	}
	failsHalf := func(i uint64) Outcome { return Outcome(i % 2) }
	healthy := func(uint64) Outcome { return Served }
	must.Eq(t, 100, count(0, healthy, unchanged))
	count(1000, failsHalf, func(request *Request) { request.LastResort = true })
	must.Between(t, 0.4, loadReportOf(queue, at(2000)).FailureRate, 0.6)
	must.Between(t, 4, count(2000, failsHalf, unchanged), 30)
	must.Eq(t, 100, count(3000, failsHalf, func(request *Request) { request.PeerFailureRate = 0.5 }))
	count(4000, healthy, unchanged)
	count(5000, healthy, unchanged)
	must.Eq(t, 100, count(6000, healthy, unchanged))
}

// RejectAll and Remove reject the requests that wait for an endpoint.
func TestRemoveRejectsWaitingRequests(t *testing.T) {
	queue := newQueue(1)
	for id := range uint64(5) {
		queue.Submit(at(0), "e", newRequest(id, 1, 0))
	}
	must.Eq(t, []uint64{2, 3, 4}, withDecision(queue.RejectAll("e"), Reject))
	must.SliceEmpty(t, queue.RejectAll("e"))
	must.Eq(t, 2, loadReportOf(queue, at(1)).Running)
	queue.Submit(at(1), "e", newRequest(5, 1, 1))
	must.Eq(t, []uint64{5}, withDecision(queue.Remove("e"), Reject))
	must.SliceEmpty(t, queue.Done(at(1), "e", 0, Served, ms))
	_, ok := queue.LoadReport(at(1), "e")
	must.False(t, ok)
}

func loadReportOf(queue *Queue, now monotime.Time) loadreport.Report {
	report, _ := queue.LoadReport(now, "e")
	return report
}
