package owner_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/control/register/replica"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

// put is a machine that writes its args as the value; "read" changes nothing.
type put struct{}

func (put) Apply(_ owner.Turn, value json.RawMessage, d owner.Deed) owner.Verdict {
	if d.Kind == "read" || d.Kind == owner.Mend {
		return owner.Verdict{Body: value}
	}
	return owner.Verdict{Value: d.Args, Changed: true, Body: d.Args}
}

// bench is three replicas and some owners, with every message in the test's hand.
type bench struct {
	t      *testing.T
	roster cell.Membership
	reps   map[ident.Disk]*replica.Replica
	own    map[string]*owner.Owner
	ends   map[string][]owner.Outcome
	asks   []mail
	now    moment.Moment
}

type mail struct {
	from string
	to   ident.Disk
	ask  cell.Ask
}

func newBench(t *testing.T, owners ...string) *bench {
	b := &bench{t: t, reps: map[ident.Disk]*replica.Replica{}, own: map[string]*owner.Owner{}, ends: map[string][]owner.Outcome{}, now: moment.Moment(time.Second)}
	b.roster.Epoch = 1
	for _, d := range []ident.Disk{"d1", "d2", "d3"} {
		b.roster.Voters = append(b.roster.Voters, cell.Voter{Disk: d, Counted: true})
		b.reps[d] = replica.New(d)
	}
	for _, o := range owners {
		b.own[o] = owner.New(o, put{})
		b.own[o].SetMembership(b.now, b.roster)
	}
	return b
}

func (b *bench) take(o string, fx owner.Effects) {
	for _, s := range fx.Sends {
		b.asks = append(b.asks, mail{o, s.To.Disk, s.Ask})
	}
	b.ends[o] = append(b.ends[o], fx.Outcomes...)
}

func (b *bench) submit(o, kind, val string) {
	raw, _ := json.Marshal(val)
	b.take(o, b.own[o].Submit(b.now, owner.Deed{Op: ident.Op(o + kind + val), Key: "k", Kind: kind, Args: raw}))
}

// deliver delivers one ask and its return at once.
func (b *bench) deliver(i int) {
	m := b.asks[i]
	b.asks = append(b.asks[:i:i], b.asks[i+1:]...)
	if r, _, say := b.reps[m.to].Step(1, m.ask); say {
		b.take(m.from, b.own[m.from].Step(b.now, r))
	}
}

// run delivers everything that keep lets through; the rest is lost.
func (b *bench) run(keep func(mail) bool) {
	for len(b.asks) > 0 {
		if keep == nil || keep(b.asks[0]) {
			b.deliver(0)
			continue
		}
		b.asks = b.asks[1:]
	}
}

func (b *bench) tick(o string, d time.Duration) {
	b.now = b.now.Add(d)
	b.take(o, b.own[o].Tick(b.now))
}

func (b *bench) last(o string) owner.Outcome {
	must.SliceNotEmpty(b.t, b.ends[o])
	return b.ends[o][len(b.ends[o])-1]
}

// A change that a deposed owner left on a minority must not come back over what a
// later tenure has already answered. Found by seeds 1152 and 1181: a lock was passed
// on by an owner that did not know of renewals confirmed under the next tenure.
func TestDeposedOwnersChangeIsNotRevived(t *testing.T) {
	b := newBench(t, "a", "b")
	b.submit("a", "write", "one")
	b.run(nil)
	must.Eq(t, `"one"`, string(b.last("a").Body))
	// b takes the key by d1 and d2 and answers a read.
	cut := func(m mail) bool { return m.to != "d3" }
	b.submit("b", "read", "")
	b.run(cut)
	for range 3 {
		b.tick("b", 100*time.Millisecond)
		b.run(cut)
	}
	must.Eq(t, `"one"`, string(b.last("b").Body))
	// a, deposed and not knowing it, reaches all three; d3 alone takes it.
	b.submit("a", "write", "two")
	b.run(nil)
	must.True(t, b.last("a").Lost)
	must.True(t, b.last("a").Risk)
	// a takes the key again by d2 and d3.
	b.submit("a", "read", "")
	for range 5 {
		b.run(func(m mail) bool { return m.to != "d1" })
		b.tick("a", 100*time.Millisecond)
	}
	must.Eq(t, `"one"`, string(b.last("a").Body))
}

// Two owners write and read one key; every order of delivering their messages, with
// each pair of replicas cut for one of them, keeps what was answered.
func TestAllOrdersOfTwoOwners(t *testing.T) {
	orders := 0
	for _, lost := range []ident.Disk{"", "d1", "d2", "d3"} {
		for seed := range 4 * 3 * 4 * 3 * 4 * 3 {
			orders++
			b := newBench(t, "a", "b")
			pick := seed
			b.submit("a", "write", "one")
			b.submit("b", "write", "two")
			sure := map[ident.Revision]string{}
			for step := 0; step < 200 && (len(b.asks) > 0 || step < 60); step++ {
				if len(b.asks) == 0 {
					b.tick("a", 60*time.Millisecond)
					b.tick("b", 60*time.Millisecond)
					continue
				}
				i := 0
				if step < 6 {
					base := []int{4, 3}[step%2]
					i, pick = pick%base%len(b.asks), pick/base
				}
				if b.asks[i].from == "a" && b.asks[i].to == lost {
					b.asks = append(b.asks[:i:i], b.asks[i+1:]...)
					continue
				}
				b.deliver(i)
			}
			for _, o := range []string{"a", "b"} {
				for _, e := range b.ends[o] {
					if e.Lost {
						continue
					}
					old, twice := sure[e.Revision]
					must.False(t, twice && old != string(e.Body), must.Sprintf("revision %d is %s and %s", e.Revision, old, e.Body))
					sure[e.Revision] = string(e.Body)
				}
			}
			// A fresh owner must see the newest of what was answered.
			b.asks = nil
			b.own["c"] = owner.New("c", put{})
			b.own["c"].SetMembership(b.now, b.roster)
			b.submit("c", "read", "")
			for range 12 {
				b.run(func(m mail) bool { return m.from == "c" })
				b.tick("c", 100*time.Millisecond)
			}
			end := b.last("c")
			must.False(t, end.Lost, must.Sprint("the key can't be read any more"))
			for rev, val := range sure {
				must.LessEq(t, end.Revision, rev, must.Sprintf("lost %s at revision %d, order %d cut %s", val, rev, seed, lost))
				if rev == end.Revision {
					must.Eq(t, val, string(end.Body))
				}
			}
		}
	}
	must.Greater(t, 1000, orders)
}

// A read mends the copy that it finds old.
func TestReadMendsOldCopy(t *testing.T) {
	b := newBench(t, "a")
	b.submit("a", "write", "one")
	b.run(func(m mail) bool { return m.to != "d3" || m.ask.Kind != cell.Accept })
	must.Eq(t, ident.Revision(0), b.reps["d3"].Peek("k").Revision)
	b.submit("a", "read", "")
	b.run(nil)
	must.Eq(t, ident.Revision(1), b.reps["d3"].Peek("k").Revision)
}

// A copy behind a stray higher promise, left by an owner that never came to own, is
// mended too. Found by seed 52 of a schedule of splits: the owner's writes were turned
// away there for ever, and its reads never needed that disk.
func TestMendGoesAboveAStrayPromise(t *testing.T) {
	b := newBench(t, "a")
	b.submit("a", "write", "one")
	b.run(func(m mail) bool { return m.to != "d3" })
	_, _, _ = b.reps["d3"].Step(1, cell.Ask{Kind: cell.Prepare, Turn: 9, Membership: 1, Key: "k", Ballot: ident.Ballot{Epoch: 7, Owner: "stray"}})
	b.submit("a", owner.Mend, "")
	for range 5 {
		b.run(nil)
		b.tick("a", 100*time.Millisecond)
	}
	must.Eq(t, ident.Revision(1), b.reps["d3"].Peek("k").Revision)
	must.False(t, b.last("a").Lost)
}

// Without a majority a write ends as lost with risk and a read without, in bounded
// time.
func TestNoMajorityEndsInBoundedTime(t *testing.T) {
	for kind, risk := range map[string]bool{"write": true, "read": false} {
		t.Run(kind, func(t *testing.T) {
			b := newBench(t, "a")
			b.submit("a", "write", "zero")
			b.run(nil)
			b.submit("a", kind, "one")
			b.run(func(m mail) bool { return m.to == "d1" })
			n := 0
			for ; !b.last("a").Lost && n < 30; n++ {
				b.tick("a", 100*time.Millisecond)
				b.run(func(m mail) bool { return m.to == "d1" })
			}
			must.Less(t, 15, n, must.Sprint(fmt.Sprint("ticks ", n)))
			must.Eq(t, risk, b.last("a").Risk)
		})
	}
}

// Returns of another membership epoch or of a voter that is still copying do not count.
func TestOnlyCountedReturnsCount(t *testing.T) {
	b := newBench(t, "a")
	r := cell.Membership{Epoch: 2, Voters: []cell.Voter{{Disk: "d1", Counted: true}, {Disk: "d2", Counted: true}, {Disk: "d3"}}}
	b.take("a", b.own["a"].SetMembership(b.now, r))
	b.submit("a", "write", "one")
	for range 10 {
		b.run(nil) // the replicas are at epoch 1 and say nothing
		b.tick("a", 50*time.Millisecond)
	}
	must.SliceEmpty(t, b.ends["a"])
	for _, m := range b.asks {
		if m.ask.Kind != cell.Prepare {
			t.Fatalf("went on to %s without a majority", m.ask.Kind)
		}
	}
	// d1 and the copying d3 are no majority of counted voters.
	for len(b.asks) > 0 {
		m := b.asks[0]
		b.asks = b.asks[1:]
		if m.to == "d2" {
			continue
		}
		if ret, _, say := b.reps[m.to].Step(2, m.ask); say {
			b.take("a", b.own["a"].Step(b.now, ret))
		}
	}
	must.SliceEmpty(t, b.ends["a"])
}
