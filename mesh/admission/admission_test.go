package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

const ms = time.Millisecond

func at(n int) monotime.Time { return monotime.Time(time.Second + time.Duration(n)*ms) }

// ask comes at n ms, of 40 ms work, with an aim of 400 and a deadline of 1200 ms.
func ask(id uint64, rank, n int) Request {
	return Request{ID: id, Rank: rank, Work: 40 * ms, Early: at(n + 95), Aim: at(n + 400), Until: at(n + 1200)}
}

func ready(slots int) *Queue {
	b := New(DefaultSettings())
	b.SetSlots(at(0), "e", slots, 0)
	return b
}

func of(acts []Verdict, w Decision) (ids []uint64) {
	for _, a := range acts {
		if a.Decision == w {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// Five requests of three ranks come, one leaves, runs end, in every order: no more than
// slots and one are out, each gets one word at most, none goes that quit or was turned away,
// and a higher rank in the queue always goes before a lower one.
func TestAllOrdersOfComingAndGoing(t *testing.T) {
	ranks := []int{2, 0, 1, 2, 0}
	for _, order := range perms(7) {
		b, word, out, quit := ready(1), map[uint64]Decision{}, map[uint64]bool{}, map[uint64]bool{}
		waits := map[uint64]int{}
		take := func(acts []Verdict) {
			for _, a := range acts {
				_, had := word[a.ID]
				must.False(t, had, must.Sprintf("%v: two words for %d", order, a.ID))
				must.False(t, quit[a.ID], must.Sprintf("%v: a word for %d that quit", order, a.ID))
				word[a.ID] = a.Decision
				rank, waited := waits[a.ID]
				delete(waits, a.ID)
				if a.Decision == Admit {
					out[a.ID] = true
					for _, r := range waits {
						must.True(t, !waited || rank <= r, must.Sprintf("%v: %d overtook", order, a.ID))
					}
				}
			}
			must.LessEq(t, 2, len(out))
		}
		done := func(n int) {
			for id := range uint64(6) {
				if out[id] {
					delete(out, id)
					take(slices.Clone(b.Done(at(n), "e", id, Served, 40*ms)))
					return
				}
			}
		}
		for n, x := range order {
			switch {
			case x < 5:
				id := uint64(x + 1)
				if quit[id] {
					continue
				}
				waits[id] = ranks[x]
				take(slices.Clone(b.Offer(at(n), "e", ask(id, ranks[x], n))))
			case x == 5:
				if _, w := waits[4]; w || word[4] == 0 && !out[4] {
					quit[4] = true
					delete(waits, 4)
					take(slices.Clone(b.Abandon(at(n), "e", 4)))
				}
			default:
				done(n)
			}
		}
		for n := range 8 {
			done(10 + n)
		}
		must.MapEmpty(t, waits, must.Sprintf("%v: somebody was forgotten", order))
	}
}

func perms(n int) [][]int {
	if n == 0 {
		return [][]int{{}}
	}
	var out [][]int
	for _, p := range perms(n - 1) {
		for i := range n {
			out = append(out, slices.Insert(slices.Clone(p), i, n-1))
		}
	}
	return out
}

// Unknown slots are no bound, as they were before there was a bay.
func TestUnknownSlotsLetAllGo(t *testing.T) {
	b := New(DefaultSettings())
	for id := range uint64(500) {
		must.Eq(t, []Verdict{{ID: id, Decision: Admit}}, b.Offer(at(0), "e", ask(id, 3, 0)))
	}
}

// What can't be in time is turned away when it comes, with a time to come back that grows
// with what waits; a higher rank still gets in.
func TestTurnedAwayAtOnceWhenTooManyWait(t *testing.T) {
	b, turned, retry := ready(2), 0, time.Duration(0)
	for id := range uint64(60) {
		acts := b.Offer(at(0), "e", ask(id, 2, 0))
		if len(of(acts, Reject)) > 0 {
			turned++
			must.Eq(t, Busy, acts[0].Reason)
			retry = max(retry, acts[0].RetryAfter)
		}
	}
	// Two slots do 400 ms of 40 ms work: about twenty may be in time.
	must.Between(t, 38, turned, 46)
	must.Between(t, 150*ms, retry, 600*ms)
	must.SliceNotContains(t, of(b.Offer(at(0), "e", ask(100, 0, 0)), Reject), 100)
	must.Eq(t, 100, b.Done(at(40), "e", 0, Served, 40*ms)[0].ID)
}

// A full line gives its last place to a higher rank, and the one that had it is told.
func TestAFullLineGivesPlaceToAHigherRank(t *testing.T) {
	set := DefaultSettings()
	set.QueuePerSlot = 1
	b := New(set)
	b.SetSlots(at(0), "e", 1, 0)
	for id := range uint64(3) { // two go, one waits
		must.SliceEmpty(t, of(b.Offer(at(0), "e", ask(id, 2, 0)), Reject))
	}
	must.Eq(t, []uint64{3}, of(b.Offer(at(1), "e", ask(3, 2, 1)), Reject))
	must.Eq(t, []uint64{2}, of(b.Offer(at(2), "e", ask(4, 1, 2)), Reject))
	must.Eq(t, []uint64{4}, of(b.Done(at(40), "e", 0, Served, 40*ms), Admit))
}

// A waiting request whose endpoint stalls is turned away while that costs nothing, and
// none is held beyond its aim. The bay says itself when to look.
func TestStalledEndpointLetsItsLineGoEarly(t *testing.T) {
	b, gone := ready(2), map[uint64]int{}
	for id := range uint64(17) {
		a := ask(id, 2, 0)
		a.Work = 25 * ms
		must.SliceEmpty(t, of(b.Offer(at(0), "e", a), Reject))
	}
	now := at(1)
	for {
		due, ok := b.NextTick(now)
		if !ok {
			break
		}
		must.Between(t, now, due, at(400))
		now = max(due, now.Add(ms))
		for _, id := range of(b.Tick(now), Reject) {
			gone[id] = int(now.Since(at(0)) / ms)
		}
	}
	must.MapLen(t, 14, gone)
	early := 0
	for _, n := range gone {
		must.LessEq(t, 400, n)
		if n <= 98 {
			early++
		}
	}
	must.Between(t, 1, early, 4) // the last of the line only: the others may be in time yet
}

// An endpoint that takes five times as long says so soon, is given nothing that it can't
// do in time but for one at a time, and is given all again when it is well.
func TestSlowEndpointIsLearntAndForgiven(t *testing.T) {
	b, id := ready(6), uint64(0)
	run := func(n int, took time.Duration) {
		id++
		must.Eq(t, []uint64{id}, of(b.Offer(at(n), "e", ask(id, 2, n)), Admit))
		b.Done(at(n).Add(took), "e", id, Served, took)
	}
	for n := range 60 {
		run(50*n, 40*ms)
	}
	must.Between(t, 0.9, tell(b, at(3000)).RelativeTime, 1.1)
	for n := range 60 {
		run(3000+400*n, 500*ms)
	}
	must.Between(t, 9.0, tell(b, at(30000)).RelativeTime, 12.6)
	must.Eq(t, []uint64{900}, of(b.Offer(at(30000), "e", ask(900, 2, 30000)), Admit))
	acts := b.Offer(at(30000), "e", ask(901, 2, 30000))
	must.Eq(t, []uint64{901}, of(acts, Reject))
	must.Eq(t, Slow, acts[0].Reason)
	must1 := ask(902, 2, 30000)
	must1.LastResort = true
	must.Eq(t, []uint64{902}, of(b.Offer(at(30000), "e", must1), Admit))
	b.Done(at(30040), "e", 900, Served, 40*ms)
	b.Done(at(30040), "e", 902, Served, 40*ms)
	for n := range 100 {
		run(31000+50*n, 40*ms)
	}
	must.Between(t, 0.9, tell(b, at(40000)).RelativeTime, 1.3)
}

// Its start makes an endpoint slower for a while; that is expected, and not learnt.
func TestSlowStartIsExpected(t *testing.T) {
	b := New(DefaultSettings())
	b.SetSlots(at(0), "e", 6, 3*time.Second)
	for n := range 40 {
		b.Offer(at(50*n), "e", ask(uint64(n), 2, 50*n))
		b.Done(at(50*n+80), "e", uint64(n), Served, 80*ms)
	}
	must.Between(t, 1.9, tell(b, at(2500)).RelativeTime, 2.1)
	must.Between(t, 0.9, tell(b, at(3100)).RelativeTime, 1.1)
}

// An endpoint that fails half its runs gets one trial in a while and those that must;
// when its peers fail as much it is as good as they; when it is well it gets all.
func TestEndpointThatFailsGetsTrialsOnly(t *testing.T) {
	b, id := ready(6), uint64(0)
	offer := func(n int, change func(*Request)) bool {
		id++
		a := ask(id, 2, n)
		change(&a)
		return len(of(b.Offer(at(n), "e", a), Admit)) == 1
	}
	plain := func(*Request) {}
	count := func(from int, end func(i uint64) Outcome, change func(*Request)) (went int) {
		for n := range 100 {
			if offer(from+10*n, change) {
				went++
				b.Done(at(from+10*n+5), "e", id, end(id), 5*ms)
			}
		}
		return went
	}
	half := func(i uint64) Outcome { return Outcome(i % 2) }
	well := func(uint64) Outcome { return Served }
	must.Eq(t, 100, count(0, well, plain))
	count(1000, half, func(a *Request) { a.LastResort = true })
	must.Between(t, 0.4, tell(b, at(2000)).FailureRate, 0.6)
	must.Between(t, 4, count(2000, half, plain), 30)
	must.Eq(t, 100, count(3000, half, func(a *Request) { a.PeerFailureRate = 0.5 }))
	count(4000, well, plain)
	count(5000, well, plain)
	must.Eq(t, 100, count(6000, well, plain))
}

// Who waits for an endpoint that is no more is told.
func TestDropTellsWhoWaits(t *testing.T) {
	b := ready(1)
	for id := range uint64(5) {
		b.Offer(at(0), "e", ask(id, 1, 0))
	}
	must.Eq(t, []uint64{2, 3, 4}, of(b.RejectAll("e"), Reject))
	must.SliceEmpty(t, b.RejectAll("e"))
	must.Eq(t, 2, tell(b, at(1)).Running)
	b.Offer(at(1), "e", ask(5, 1, 1))
	must.Eq(t, []uint64{5}, of(b.Remove("e"), Reject))
	must.SliceEmpty(t, b.Done(at(1), "e", 0, Served, ms))
	_, ok := b.LoadReport(at(1), "e")
	must.False(t, ok)
}

func tell(b *Queue, now monotime.Time) loadreport.Report {
	out, _ := b.LoadReport(now, "e")
	return out
}
