package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/group"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// cuts are the ways in which a core may be cut off from the others.
var cuts = map[string]func(at, to ident.Addr, m message.Message) bool{
	"both": func(at, to ident.Addr, m message.Message) bool { return (m.From == at) != (to == at) },
	"in":   func(at, to ident.Addr, m message.Message) bool { return to == at && m.From != at },
	"out":  func(at, to ident.Addr, m message.Message) bool { return m.From == at && to != at },
}

func (x *trio) cut(at ident.Addr, way string) {
	x.lost = func(to ident.Addr, m message.Message) bool { return cuts[way](at, to, m) }
}

// call runs an operation at a core until it has ended.
func (x *trio) call(at ident.Addr, d proposer.Operation, budget time.Duration) (e failureOrBody) {
	x.tickets++
	ticket, began := x.tickets, x.now
	x.out(at, x.nodes[at].Submit(x.now, ticket, d, budget))
	for x.end(ticket) == nil && x.now.Since(began) < budget+time.Second {
		x.run(10 * time.Millisecond)
	}
	if end := x.end(ticket); end != nil {
		return failureOrBody{string(end.Body), end.Failure, x.now.Since(began)}
	}
	return failureOrBody{took: -1}
}

type failureOrBody struct {
	body    string
	failure *failure.Error
	took    time.Duration
}

func (e failureOrBody) kind() failure.Kind {
	if e.failure == nil {
		return ""
	}
	return e.failure.Kind
}

func operationOf(key ident.Key, kind string, args any) proposer.Operation {
	return proposer.Operation{Key: key, Kind: kind, Args: operation.Encode(args), Repeatable: true}
}

// known are calls that a core which owns every key answers, or refuses, when it is well:
// each names the answer, which it knows from its own term's memory.
var known = []struct {
	operation proposer.Operation
	says      failure.Kind // "" for a yes
}{
	{operationOf("lock/l", "lock/claim", lock.Args{Holder: "other", TTL: 60000}), failure.Held},
	{operationOf("lock/l", "lock/claim", lock.Args{Holder: "me", TTL: 60000, Keep: true}), ""},
	{operationOf("lock/l", "lock/renew", lock.Args{Holder: "me", Fence: 1, TTL: 60000}), ""},
	{operationOf("lock/l", "lock/renew", lock.Args{Holder: "me", Fence: 7}), failure.NotHolder},
	{operationOf("lock/l", "lock/release", lock.Args{Holder: "other", Fence: 1}), failure.NotHolder},
	{operationOf("lock/l", "lock/read", lock.Args{}), ""},
	{operationOf("number/n", "number/next", map[string]int{}), ""},
	{operationOf("number/n", "number/read", map[string]int{}), ""},
	{operationOf(group.Key("g."), "group/read", group.Args{Name: "a"}), ""},
	{operationOf(group.Key("g."), "group/read", group.Args{Name: "none"}), failure.Missing},
	{operationOf(group.Key("g."), "group/put", group.Args{Name: "a", Value: []byte(`"1"`)}), ""},
	{operationOf(group.Key("g."), "group/put", group.Args{Name: "a", Value: []byte(`"2"`), If: new(ident.Revision)}), failure.Conflict},
	{operationOf(group.Key("g."), "group/since", group.Args{After: new(ident.Revision)}), ""},
	{operationOf(offer.Key, "manifest/epoch", nil), ""},
	{operationOf(offer.Key, "manifest/read", nil), ""},
	{operationOf(offer.Key, "manifest/offer", offer.Args{BaseRelease: new(uint64), Loose: true, Body: []byte(`{"release":9}`)}), failure.Conflict},
	{operationOf(offer.Key, "manifest/offer", offer.Args{Body: []byte(`{"ways":{"w":{"host":"h","service":"none"}}}`)}), failure.Invalid},
	{operationOf("share", "share/take", share.Args{Node: "s", Claim: 1}), failure.Conflict},
	{operationOf("share", "share/read", nil), ""},
	{operationOf("number/n", "no/such", nil), failure.Malformed},
}

// fill gives every key of the table a state, and has one core own them all.
func (x *trio) fill(t *testing.T, at ident.Addr) {
	for _, d := range []proposer.Operation{
		operationOf("lock/l", "lock/claim", lock.Args{Holder: "me", TTL: 60000}),
		operationOf("number/n", "number/next", map[string]int{}),
		operationOf(group.Key("g."), "group/put", group.Args{Name: "a", Value: []byte(`"1"`)}),
		operationOf(offer.Key, "manifest/offer", offer.Args{Loose: true, Body: []byte(`{"release":3}`)}),
		operationOf("share", "share/take", share.Args{Node: "s", Claim: 2}),
	} {
		x.out(at, x.nodes[at].Step(x.now, message.Message{Handover: &message.Handover{Keys: []ident.Key{d.Key}}}))
		x.run(50 * time.Millisecond)
		must.Eq(t, "", x.call(at, d, 4*time.Second).kind(), must.Sprint(d.Kind))
	}
}

// own makes one core own a key again, by taking it.
func (x *trio) own(at ident.Addr, k ident.Key) {
	x.out(at, x.nodes[at].Step(x.now, message.Message{Handover: &message.Handover{Keys: []ident.Key{k}}}))
	x.run(50 * time.Millisecond)
}

// A core that owns a key, and so remembers all of its state, neither answers nor refuses
// from memory: cut off in any way, and called at any time after that, it says that no
// majority answered, or that the fate of a change is not known, and nothing else. What it
// said was not done is not done afterwards. Well, it gives each of the answers.
func TestCutOffCoreAnswersNothingFromMemory(t *testing.T) {
	const budget = 900 * time.Millisecond
	for way := range cuts {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second, 3100 * time.Millisecond} {
			x := newTrio(t)
			x.fill(t, "a:1")
			for i, c := range known {
				must.Eq(t, c.says, x.call("a:1", c.operation, budget).kind(), must.Sprint(i, c.operation.Kind))
			}
			x.call("a:1", operationOf("number/n", "number/next", map[string]int{}), budget)
			for i, c := range known {
				x.own("a:1", c.operation.Key)
				x.cut("a:1", way)
				x.run(after)
				at := fmt.Sprintf("call %d, %s, cut %s, %v after it", i, c.operation.Kind, way, after)
				got := x.call("a:1", c.operation, budget)
				must.NotNil(t, got.failure, must.Sprint(at, got.body))
				must.SliceContains(t, []failure.Kind{failure.NoMajority, failure.UnknownOutcome}, got.kind(), must.Sprint(at))
				must.Eq(t, got.kind() == failure.NoMajority, got.failure.Outcome == failure.NotExecuted, must.Sprint(at))
				must.Between(t, 0, got.took, budget+50*time.Millisecond, must.Sprint(at))
				if way != "out" && after > 1200*time.Millisecond || after > 3*time.Second {
					must.Eq(t, failure.NoMajority, got.kind(), must.Sprint(at))
					must.Less(t, 50*time.Millisecond, got.took, must.Sprint(at))
				}
				x.lost = nil
				x.run(time.Second)
				if c.operation.Kind == "number/next" && got.failure.Outcome == failure.NotExecuted {
					must.Eq(t, `{"number":3}`, x.call("b:1", operationOf("number/n", "number/read", nil), budget).body, must.Sprint(at))
				}
			}
		}
	}
}

// What waits at a core when it loses the majority is answered then and not at the end of
// its time: a read at once, and a change that was not begun at once too; both as not run.
// A change that was begun has an unknown outcome, and is answered with its end if the majority
// is back in time.
func TestWaitingCallsEndWithTheMajority(t *testing.T) {
	const budget = 4 * time.Second
	next, read := operationOf("number/n", "number/next", map[string]int{}), operationOf("number/n", "number/read", map[string]int{})
	next.Repeatable = false // so that the copies of one call act once
	start := func(way string) *trio {
		x := newTrio(t)
		x.fill(t, "a:1")
		x.own("a:1", "number/n")
		x.cut("a:1", way)
		return x
	}
	for _, way := range []string{"both", "in"} {
		x := start(way)
		got := x.call("a:1", read, budget)
		must.Eq(t, failure.NoMajority, got.kind())
		must.Less(t, 1300*time.Millisecond, got.took)

		// The first change is in a round; the ones behind it are not begun.
		x = start(way)
		for ticket := uint64(1); ticket <= 3; ticket++ {
			x.out("a:1", x.nodes["a:1"].Submit(x.now, ticket, next, budget))
		}
		x.run(1300 * time.Millisecond)
		must.Nil(t, x.end(1))
		for ticket := uint64(2); ticket <= 3; ticket++ {
			must.NotNil(t, x.end(ticket))
			must.Eq(t, failure.NotExecuted, x.end(ticket).Failure.Outcome)
		}
		x.lost = nil
		x.run(budget)
		must.Nil(t, x.end(1).Failure)
		must.Eq(t, `{"number":3}`, x.call("b:1", next, budget).body, must.Sprint("one of three took effect"))
	}
}

// A core that has just started, and has heard no majority yet, keeps a call until it hears
// one: those that live may not have said so.
func TestStartingCoreKeepsCalls(t *testing.T) {
	x := newTrio(t)
	x.dead["c:1"] = true
	x.start(t, "c:1", "", three)
	got := x.call("c:1", operationOf("number/n", "number/next", map[string]int{}), 2*time.Second)
	must.Nil(t, got.failure)
}

// hold has a core hold the manifest of an epoch, as the daemon does once it has read it.
func (x *trio) hold(at ident.Addr, e ident.Epoch) {
	x.nodes[at].Leases.Manifest(&check.Manifest{Epoch: e})
}

// stale asks as a sidecar that renews whether a core can tell what the newest manifest is.
func (x *trio) stale(t *testing.T, at ident.Addr) bool {
	got, fx, d := x.nodes[at].Renew(x.now, record.Renewal{Node: "s", LeaseEpoch: 1, Seq: 1, Report: &record.Report{Node: "s"}})
	must.Nil(t, d)
	x.out(at, fx)
	return got.Stale
}

// A core that is cut off tells the sidecars that renew at it so in time, however it is cut:
// within a second once it hears no majority, and within one after it has heard of a
// manifest that it can't get. Well, it never does.
func TestCutOffCoreSendsItsSidecarsAway(t *testing.T) {
	for way := range cuts {
		x := newTrio(t)
		x.fill(t, "a:1")
		for _, a := range three {
			x.hold(a, 1)
		}
		for range 50 {
			x.run(100 * time.Millisecond)
			must.False(t, x.stale(t, "a:1"), must.Sprint(way))
		}
		x.cut("a:1", way)
		x.run(1300 * time.Millisecond) // the others take the key over
		must.Eq(t, way != "out", x.stale(t, "a:1"), must.Sprint(way))
		must.Eq(t, "", x.call("b:1", operationOf(offer.Key, "manifest/offer", offer.Args{Loose: true, Body: []byte(`{"release":4}`)}), time.Second).kind(), must.Sprint(way))
		x.hold("b:1", 2)
		x.hold("c:1", 2)
		x.run(1300 * time.Millisecond)
		must.True(t, x.stale(t, "a:1"), must.Sprint(way, ": it holds an older manifest and does not say so"))
		must.False(t, x.stale(t, "b:1"), must.Sprint(way))
		x.lost = nil
		x.run(time.Second)
		x.hold("a:1", 2)
		x.run(100 * time.Millisecond)
		must.False(t, x.stale(t, "a:1"), must.Sprint(way, ": healed"))
	}
}

// A core is cut off for twenty seconds, in which a spare core takes its slot of the membership
// and the others go on changing what it owned. All the while it says 503 or 504; once it is
// back it is a new disk, holds nothing of the old one, and tells the newest state.
func TestReplacedWhileCutOff(t *testing.T) {
	const budget = 900 * time.Millisecond
	next, read := operationOf("number/n", "number/next", nil), operationOf("number/n", "number/read", nil)
	for way := range cuts {
		x := newTrio(t)
		x.start(t, "d:1", "disk-d:1", three)
		x.run(10 * time.Second)
		x.fill(t, "a:1")
		x.own("a:1", "number/n")
		disk := x.nodes["a:1"].Disk
		x.cut("a:1", way)
		for began := x.now; x.now.Since(began) < 20*time.Second; {
			if got := x.call("b:1", next, budget); x.now.Since(began) > 4*time.Second {
				must.Nil(t, got.failure, must.Sprint(way, ": a core that has a majority serves not, after ", x.now.Since(began)))
			}
			for _, d := range []proposer.Operation{read, next, known[0].operation, known[9].operation, known[15].operation} {
				got := x.call("a:1", d, budget)
				must.NotNil(t, got.failure, must.Sprint(way, d.Kind, got.body))
				must.SliceContains(t, []failure.Kind{failure.NoMajority, failure.UnknownOutcome}, got.kind(), must.Sprint(way, d.Kind))
			}
		}
		if way != "in" { // else the others hear it
			_, in := x.nodes["b:1"].Membership().Find(disk)
			must.False(t, in, must.Sprint(way, ": the spare did not take the slot"))
		}
		top := x.call("b:1", read, budget).body
		x.lost = nil
		x.run(5 * time.Second)
		if way != "in" {
			must.NotEq(t, disk, x.nodes["a:1"].Disk, must.Sprint(way))
		}
		must.Eq(t, top, x.call("a:1", read, budget).body, must.Sprint(way))
		must.Eq(t, failure.Held, x.call("a:1", known[0].operation, budget).kind(), must.Sprint(way))
	}
}
