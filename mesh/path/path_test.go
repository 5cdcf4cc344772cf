package path

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/allowance"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const start = monotime.Time(time.Second)

func ready(split ...check.Split) *Path {
	p := New(start, "d", 1, allowance.Terms{})
	p.Tree.Free = true
	p.Enforce(&check.Manifest{Epoch: 1, Services: map[ident.Service]check.Service{"a": {Hostname: "a", Part: 0.2}, "b": {Hostname: "b", Part: 0.2}},
		Ways: []check.Way{{Name: "w", Host: "h", PathStart: "/", Service: "a", Limit: 4 * time.Second, Tries: 3, Split: split}}})
	var recs []record.Address
	for _, svc := range []ident.Service{"a", "b"} {
		for i := range 3 {
			recs = append(recs, record.Address{Workload: &record.Workload{UID: ident.Server(fmt.Sprint(svc, i)), Service: svc, Gate: ident.Addr(fmt.Sprint("g", i)), Weight: 1, Status: record.Healthy}})
		}
	}
	p.Index.Merge([]record.Set{{Author: "n", LeaseEpoch: 1, Records: recs}})
	return p
}

// Every order of three verdicts, for a safe and an unsafe method: what may have run
// is never tried again unless it is safe, "no" is never said after an unknown end,
// and no server is tried twice.
func TestAllOrdersOfVerdicts(t *testing.T) {
	kinds := []Verdict{Ran, NotRun, Unsure}
	for _, method := range []string{"GET", "POST"} {
		for n := range 27 {
			p, c := ready(), &Call{Host: "h", Path: "/x", Method: method, Caller: "c"}
			must.Nil(t, p.Way(start, c, 0))
			unsure, seen := false, map[ident.Server]bool{}
			for i := 0; ; i++ {
				ch := p.Next(start.Add(time.Duration(i)*time.Millisecond), c)
				if ch.Failure != nil {
					must.Eq(t, unsure, ch.Failure.Outcome == failure.OutcomeUnknown, must.Sprintf("%s %d: fate %s", method, n, ch.Failure.Outcome))
					break
				}
				must.False(t, unsure && method == "POST", must.Sprintf("%d: an unknown POST was tried again", n))
				must.False(t, seen[ch.Entry.UID])
				seen[ch.Entry.UID] = true
				v := kinds[n/[]int{1, 3, 9}[i]%3]
				unsure = unsure || v == Unsure
				again := p.Ended(start.Add(time.Duration(i)*time.Millisecond), c, End{Verdict: v, Failure: &failure.Error{Kind: failure.LostResponse, Outcome: failure.OutcomeUnknown}})
				if v == Ran {
					must.False(t, again)
					break
				}
				must.Eq(t, v == NotRun || method == "GET", again)
				if !again {
					must.Eq(t, failure.OutcomeUnknown, p.Final(c).Outcome)
					break
				}
			}
		}
	}
}

// What the way says of repeats goes before the method, for a try with unknown end.
func TestWaySaysWhatMayRepeat(t *testing.T) {
	for repeat, may := range map[check.Repeat]map[string]bool{
		check.ByMethod: {"GET": true, "POST": false}, check.Repeatable: {"GET": true, "POST": true}, check.Download: {"GET": true, "POST": true},
		check.OneShot: {"GET": false, "POST": false}, check.Upload: {"GET": false, "PUT": false},
	} {
		for method, want := range may {
			p, c := ready(), &Call{Host: "h", Path: "/x", Method: method, Caller: "c"}
			p.manifest.Ways[0].Repeat = repeat
			must.Nil(t, p.Way(start, c, 0))
			must.Eq(t, want, c.Safe())
			must.Nil(t, p.Next(start, c).Failure)
			must.Eq(t, want, p.Ended(start, c, End{Verdict: Unsure, Failure: failure.Unsure(failure.LostResponse, "x")}), must.Sprint(repeat, method))
		}
	}
}

// Parts finer than a hundredth are kept to.
func TestFineParts(t *testing.T) {
	p, n := ready(check.Split{Service: "b", Percent: 33, Rest: 3333}), 0
	for range 30000 {
		c := &Call{Host: "h", Path: "/", Method: "GET"}
		must.Nil(t, p.Way(start, c, 0))
		if c.Way.Service == "b" {
			n++
		}
	}
	must.Between(t, 9700, n, 10300)
}

// A session moves to the new service at most once while its part grows, and the parts
// are kept to.
func TestSessionsMoveOnce(t *testing.T) {
	side := map[string]ident.Service{}
	for _, percent := range []int{0, 5, 25, 50, 100} {
		p := ready(check.Split{Service: "b", Percent: percent})
		moved := 0
		for i := range 2000 {
			s := fmt.Sprint("session", i)
			c := &Call{Host: "h", Path: "/", Method: "GET", Session: s}
			must.Nil(t, p.Way(start, c, 0))
			must.False(t, side[s] == "b" && c.Way.Service == "a", must.Sprint("a session went back"))
			side[s] = c.Way.Service
			if side[s] == "b" {
				moved++
			}
		}
		must.Between(t, percent*20-60, moved, percent*20+60)
	}
}

// Without a well workload the caller is told at once, and when to come back.
func TestNoWorkloadIsSaidAtOnce(t *testing.T) {
	p := ready()
	p.Index.Merge([]record.Set{{Author: "n", LeaseEpoch: 2}})
	c := &Call{Host: "h", Path: "/", Method: "POST"}
	must.Nil(t, p.Way(start, c, 0))
	d := p.Next(start, c).Failure
	must.NotNil(t, d)
	must.Eq(t, 503, d.Status())
	must.Eq(t, failure.NotExecuted, d.Outcome)
	must.Positive(t, d.RetryAfter)
	must.Eq(t, 404, p.Way(start, &Call{Host: "other", Path: "/"}, 0).Status())
}

// A manifest below what was confirmed at the entry is never put in force, whichever
// core or peer gives it.
func TestNothingBelowTheFloorIsEnforced(t *testing.T) {
	p := New(start, "d", 1, allowance.Terms{})
	p.Floor = 10
	must.False(t, p.Enforce(&check.Manifest{Epoch: 9}))
	must.Eq(t, 0, p.Epoch())
	must.True(t, p.Enforce(&check.Manifest{Epoch: 10}))
	must.False(t, p.Enforce(&check.Manifest{Epoch: 10}))
	must.Eq(t, 10, p.Epoch())
}

// All orders of four ends before the last try: only what may have arrived at an endpoint
// is charged for, once, and counts against the way's tries; gates that refuse and dials
// that fail cost nothing, but are not gone on with for ever.
func TestOnlyArrivalsAreCharged(t *testing.T) {
	ends := []End{{Verdict: NotRun, Turned: true}, {Verdict: NotRun, Lost: true}, {Verdict: NotRun, Arrived: true}, {Verdict: Unsure}}
	for n := range 256 {
		p, c := ready(), &Call{Host: "h", Path: "/", Method: "GET", Caller: "c"}
		more := []record.Address{}
		for i := range 12 {
			more = append(more, record.Address{Workload: &record.Workload{UID: ident.Server(fmt.Sprint("more", i)), Service: "a", Gate: ident.Addr(fmt.Sprint("m", i)), Weight: 1, Status: record.Healthy}})
		}
		p.Index.Merge([]record.Set{{Author: "m", LeaseEpoch: 1, Records: more}})
		must.Nil(t, p.Way(start, c, 0))
		arrived, free, paid := 0, 0, 0
		for i := 0; ; i++ {
			ch := p.Next(start, c)
			if arrived == 3 || free > freeMost {
				must.NotNil(t, ch.Failure)
				break
			}
			must.Nil(t, ch.Failure)
			must.Eq(t, arrived > 0, ch.Further)
			must.Eq(t, arrived > 0, ch.Repeat == 1)
			paid = arrived // one for each that follows an arrival, and never twice
			must.Eq(t, uint64(paid), p.Tree.Granted, must.Sprint(n, i))
			e := ends[[]int{n % 4, n / 4 % 4, n / 16 % 4, n / 64 % 4}[i%4]]
			e.Failure = &failure.Error{Kind: failure.LostResponse}
			if e.Verdict == Unsure || e.Arrived {
				arrived++
			} else {
				free++
			}
			must.True(t, p.Ended(start, c, e))
		}
	}
}

// A machine that refuses everything sees no more than a few tries of a call.
func TestFreeTriesEnd(t *testing.T) {
	p, c := ready(), &Call{Host: "h", Path: "/", Method: "POST"}
	p.Tree.Free = false
	must.Nil(t, p.Way(start, c, 0))
	n := 0
	for ; p.Next(start, c).Failure == nil; n++ {
		delete(c.past, c.now.UID)
		must.True(t, p.Ended(start, c, End{Verdict: NotRun, Turned: true, Failure: &failure.Error{}}))
	}
	must.Eq(t, freeMost+1, n)
	must.Eq(t, uint64(0), p.Tree.Granted+p.Tree.Denied)
}

// A try has all the time that is left, however often the call may go again: an endpoint
// that is silent may be at work, and to break it off is to drop the request.
func TestTryHasAllTheTimeLeft(t *testing.T) {
	p := ready()
	for _, method := range []string{"GET", "POST"} {
		for _, ask := range []time.Duration{0, time.Second} {
			c := &Call{Host: "h", Path: "/", Method: method}
			must.Nil(t, p.Way(start, c, ask))
			got := p.Next(start, c)
			must.Nil(t, got.Failure)
			must.Eq(t, c.Until.Since(start), got.Limit, must.Sprint(method, ask))
		}
	}
}

// A repeat that finds no room at a gate says nothing of the endpoint behind it, so first
// tries still go there; any other refusal of a gate sends them around it.
func TestBusyRepeatLeavesTheEndpointAlone(t *testing.T) {
	for kind, there := range map[failure.Kind]bool{failure.Busy: true, failure.Gate: false} {
		p, c := ready(), &Call{Host: "h", Path: "/", Method: "GET", Caller: "c"}
		must.Nil(t, p.Way(start, c, 0))
		must.Nil(t, p.Next(start, c).Failure)
		must.True(t, p.Ended(start, c, End{Verdict: NotRun, Arrived: true, Failure: &failure.Error{Kind: failure.Busy}}))
		again := p.Next(start, c)
		must.True(t, again.Further)
		must.True(t, p.Ended(start, c, End{Verdict: NotRun, Turned: true, Failure: &failure.Error{Kind: kind}}))
		seen := false
		for range 100 {
			next := &Call{Host: "h", Path: "/", Method: "GET", Caller: "c"}
			must.Nil(t, p.Way(start, next, 0))
			ch := p.Next(start, next)
			seen = seen || ch.Entry.UID == again.Entry.UID
			p.Ended(start, next, End{Verdict: Ran})
		}
		must.Eq(t, there, seen, must.Sprint(kind))
	}
}
