package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// change is one change of the members. It ends when no machine counts as lost any more.
type change struct {
	name string
	// do makes it of member a; it returns when all that the change itself needs is begun,
	// and the moment from which the copies are to be whole again is when it returns.
	do func(c *cluster, a ident.Addr)
}

const newcomer ident.Addr = "m90:1"

func changes() []change {
	return []change{
		{"power", func(c *cluster, a ident.Addr) {
			c.kill(a)
			c.run(500 * time.Millisecond)
			c.boot(a)
		}},
		{"power, a long while", func(c *cluster, a ident.Addr) {
			c.kill(a)
			c.run(5 * time.Second)
			c.boot(a)
		}},
		{"empty disk", func(c *cluster, a ident.Addr) {
			c.kill(a)
			c.empty(a)
			c.run(300 * time.Millisecond)
			c.boot(a)
		}},
		{"empty disk that syncs slowly", func(c *cluster, a ident.Addr) {
			c.kill(a)
			c.empty(a)
			c.members[a].slow, c.writing = 250*time.Millisecond, false
			c.run(300 * time.Millisecond)
			c.boot(a)
		}},
		{"replaced after it was lost", func(c *cluster, a ident.Addr) {
			c.kill(a)
			c.removed[a] = newcomer
			c.run(200 * time.Millisecond)
			c.boot(newcomer)
		}},
		{"replaced beforehand, stopped as planned", func(c *cluster, a ident.Addr) {
			c.boot(newcomer)
			c.run(catchUp)
			c.leave(a)
			c.removed[a] = newcomer
		}},
		{"replaced beforehand, killed", func(c *cluster, a ident.Addr) {
			c.boot(newcomer)
			c.run(catchUp + 4*time.Second)
			c.kill(a)
			c.run(100 * time.Millisecond)
			c.boot(a)
		}},
		{"stopped as planned, started again", func(c *cluster, a ident.Addr) {
			c.leave(a)
			c.run(200 * time.Millisecond)
			c.boot(a)
		}},
		{"one comes", func(c *cluster, _ ident.Addr) { c.boot(newcomer) }},
		{"two come", func(c *cluster, _ ident.Addr) {
			c.boot(newcomer)
			c.boot("m91:1")
		}},
	}
}

// lag has one member take no accept, so that what is confirmed is on as few as can be.
func lag(slow ident.Addr) func(ident.Addr, message.Message) bool {
	return func(to ident.Addr, m message.Message) bool {
		return to == slow && m.Request != nil && (m.Request.Kind == quorum.Accept || m.Request.Kind == quorum.PatchAccept)
	}
}

// bears lists the sizes for which a majority can bear the loss: canLose of at least
// 2*canLose+1 members. Of fewer, no majority is left, whatever the members do.
func bears(run func(members, canLose int)) {
	for _, members := range []int{3, 4, 5, 12} {
		for _, canLose := range []int{1, 2} {
			if members >= 2*canLose+1 {
				run(members, canLose)
			}
		}
	}
}

// At every sync and every confirmation of every change of the members, whatever else may
// be lost then can be lost: a majority is left that has every confirmed value. One member
// has lagged until the change begins, and each voter in turn is the one that changes.
func TestOneMoreLossAtEveryStep(t *testing.T) {
	bears(func(members, canLose int) {
		for _, ch := range changes() {
			for _, of := range []int{0, 1} {
				t.Run(fmt.Sprint(members, "/", canLose, "/", ch.name, "/", of), func(t *testing.T) {
					t.Parallel()
					slots := 3
					if members >= 5 {
						slots = 5
					}
					c := newCluster(t, members, slots, canLose, 12)
					c.run(5 * time.Second)
					c.writing, c.drop = true, lag(addrOf(2))
					c.run(1500 * time.Millisecond)
					c.drop, c.writing = nil, of == 0 // with no further change of its keys, the one that lagged lags on
					ch.do(c, addrOf(of))
					c.run(catchUp + 3*time.Second)
					c.writing = false
					c.run(2500 * time.Millisecond)
					for _, f := range c.faults[:min(3, len(c.faults))] {
						t.Error(f)
					}
					must.Positive(t, c.looks)
					must.SliceEmpty(t, c.lost())
					for n, m := range c.order() {
						must.True(t, !m.up || m.node.Majority(c.now), must.Sprint(n))
					}
				})
			}
		}
	})
}

// At the first start three cores form the membership and the others join it. Once catchUpS is
// over since then, as much may be lost as later.
func TestFirstStartBearsALossInTime(t *testing.T) {
	bears(func(members, canLose int) {
		c := newCluster(t, 0, 0, canLose, 0)
		c.keys = []ident.Key{"number/a", "number/b", "number/c"}
		c.all = c.keys
		c.founders = []ident.Addr{addrOf(0), addrOf(1), addrOf(2)}
		for i := range members {
			c.member(addrOf(i)).back = c.now
		}
		c.run(processStart)
		for i := range members {
			c.start(addrOf(i))
		}
		c.writing = true
		c.run(catchUp + 4*time.Second)
		for _, f := range c.faults[:min(3, len(c.faults))] {
			t.Error(members, canLose, f)
		}
		must.Positive(t, c.looks)
		must.Positive(t, len(c.confirmed))
	})
}

// A voter that leaves as planned, with no core to follow it, says that it is done only when
// each confirmed value is on a majority of the voters that stay. The last writes reach it
// before all others, one of which takes none for a while longer: the leaver's vote is the
// first of rounds that end after it fell silent. Leaves begin at every moment of that. Then
// the same with writes that go on while it leaves, and one that takes accepts now and then.
func TestALeaverGoesWhenTheOthersHoldAll(t *testing.T) {
	const first, last = 100 * time.Millisecond, 260 * time.Millisecond
	for run := range 4 * 41 {
		slots, steady, at := 3+run%2*2, run/2%2 == 1, time.Duration(run/4)*10*time.Millisecond
		c := newCluster(t, slots, slots, slots/2, 12)
		c.run(5 * time.Second)
		c.writing = true
		c.run(time.Second)
		c.writing = false
		c.run(time.Second)
		leaver, lagger, owns, begun := addrOf(1), addrOf(0), addrOf(2), c.now
		c.keys = slices.DeleteFunc(c.members[owns].node.HeldKeys(), func(k ident.Key) bool { return !k.Under("number/") })
		must.SliceNotEmpty(t, c.keys)
		c.drop = func(to ident.Addr, m message.Message) bool {
			since := c.now.Since(begun)
			if !lag(to)(to, m) || !slices.Contains(c.keys, m.Request.Key) {
				return false
			}
			if steady {
				return to == lagger && since/time.Millisecond%37 < 10 // no multiple of a resend
			}
			return to != leaver && since < first || to == lagger && since < last
		}
		for i := range c.keys {
			c.writeAt(c.members[owns], c.keys[i])
		}
		if steady {
			c.each = func(ms int) {
				if ms%5 == 0 {
					c.writeAt(c.members[owns], c.keys[ms/5%len(c.keys)])
				}
			}
		}
		c.run(at)
		took, done := c.leave(leaver)
		c.each = nil
		must.True(t, done, must.Sprint(slots, at))
		must.Less(t, leaveLimit, took, must.Sprint(slots, at))
		check := func() {
			stay := c.counted(c.chosen(), []ident.Addr{leaver})
			for _, k := range c.all {
				must.GreaterEq(t, (slots-1)/2+1, len(stay)-c.lack(stay, k), must.Sprint(slots, at, k))
			}
		}
		check()
		c.run(300 * time.Millisecond)
		check()
		must.SliceEmpty(t, c.faults)
	}
}

// A leaver that is killed after its successor was counted in leaves an even number of slots,
// one of them empty: one that bears no loss. It is dropped once it is held for dead.
func TestAnEmptyEvenSlotIsDropped(t *testing.T) {
	for _, members := range []int{4, 12} {
		slots := 3 + members/12*2
		c := newCluster(t, members, slots, 1, 12)
		c.run(8 * time.Second)
		c.writing = true
		leaver := c.members[addrOf(1)]
		c.out(leaver, leaver.node.Leave(c.now, 10*time.Second))
		for from := c.now; c.chosen().Size() == slots && c.now.Since(from) < leaveLimit; {
			c.run(time.Millisecond)
		}
		must.Eq(t, slots+1, c.chosen().Size())
		c.kill(leaver.addr)
		c.run(5 * time.Second)
		r := c.chosen()
		must.Eq(t, slots, r.Size(), must.Sprint(members))
		must.SliceLen(t, slots, c.counted(r, c.lost()), must.Sprint(members))
	}
}

// A leaver's slot is dropped only when the others hold all. What is confirmed between the
// successor's copy and its being counted in may be on the leaver and one other alone.
func TestADropWaitsForTheCopies(t *testing.T) {
	for lags := time.Duration(0); lags <= 120*time.Millisecond; lags += 5 * time.Millisecond {
		c := newCluster(t, 4, 3, 1, 12)
		c.run(9 * time.Second)
		leaver, begun := addrOf(1), c.now
		c.drop = func(to ident.Addr, m message.Message) bool {
			return c.now.Since(begun) < lags && lag(addrOf(0))(to, m) && slices.Contains(c.keys, m.Request.Key)
		}
		c.each = func(ms int) {
			if c.now.Since(begun) < lags && ms%2 == 0 {
				c.writeAt(c.members[addrOf(2)], c.keys[ms/2%len(c.keys)])
			}
		}
		took, done := c.leave(leaver)
		must.True(t, done, must.Sprint(lags))
		must.Less(t, time.Second, took, must.Sprint(lags))
		c.removed[leaver] = addrOf(3)
		c.run(500 * time.Millisecond)
		must.SliceEmpty(t, c.faults, must.Sprint(lags))
	}
}

// How long the copies are not whole after each kind of loss, in virtual time: from the
// moment when the machine is there again (or its successor, or when the leaver was told to
// go) until every slot is full and each disk that counts holds all that was confirmed. Each
// must be whole before it no longer counts as lost.
func TestCopiesAreWholeInTime(t *testing.T) {
	sizes := []int{300}
	if !testing.Short() {
		sizes = append(sizes, 10_000)
	}
	for _, cells := range sizes {
		for _, members := range []int{3, 5, 12} {
			for _, l := range losses() {
				slots := min(5, members)
				c := newCluster(t, members, slots, 1, cells)
				c.timing = true
				c.run(8 * time.Second)
				c.writing = true
				c.run(time.Second)
				back := l.do(c, addrOf(1))
				for !c.whole(slots) && c.now.Since(back) < 30*time.Second {
					c.run(20 * time.Millisecond)
				}
				took := c.now.Since(back)
				t.Logf("%6d cells, %2d members: %-42s %5.2f s", cells, members, l.name, took.Seconds())
				must.Less(t, catchUp, took, must.Sprint(cells, members, l.name))
			}
		}
	}
}

// loss is one loss; do gives the moment from which the users count catchUpS.
type loss struct {
	name string
	do   func(c *cluster, a ident.Addr) monotime.Time
}

func losses() []loss {
	after := func(c *cluster, gone time.Duration, a ident.Addr) monotime.Time {
		c.run(gone - 100*time.Millisecond)
		c.writing = false // no later write brings the new copies of its key
		c.run(100 * time.Millisecond)
		back := c.now
		c.boot(a)
		return back
	}
	cut := func(c *cluster, span time.Duration, a ident.Addr) monotime.Time {
		c.drop = func(to ident.Addr, m message.Message) bool { return (to == a) != (m.From == a) }
		c.run(span - 100*time.Millisecond)
		c.writing = false
		c.run(100 * time.Millisecond)
		c.drop = nil
		return c.now
	}
	return []loss{
		{"cut off for 1 s", func(c *cluster, a ident.Addr) monotime.Time { return cut(c, time.Second, a) }},
		{"cut off for 10 s", func(c *cluster, a ident.Addr) monotime.Time { return cut(c, 10*time.Second, a) }},
		{"power, down for 0.5 s", func(c *cluster, a ident.Addr) monotime.Time { c.kill(a); return after(c, 500*time.Millisecond, a) }},
		{"power, down for 10 s", func(c *cluster, a ident.Addr) monotime.Time { c.kill(a); return after(c, 10*time.Second, a) }},
		{"disk lost, down for 0.5 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.kill(a)
			c.empty(a)
			return after(c, 500*time.Millisecond, a)
		}},
		{"replaced at another address 0.5 s later", func(c *cluster, a ident.Addr) monotime.Time {
			c.kill(a)
			return after(c, 500*time.Millisecond, newcomer)
		}},
		{"planned stop, started again 0.5 s later", func(c *cluster, a ident.Addr) monotime.Time {
			c.leave(a)
			return after(c, 500*time.Millisecond, a)
		}},
		{"planned stop, its successor 4 s beforehand", func(c *cluster, a ident.Addr) monotime.Time {
			c.boot(newcomer)
			c.run(catchUp)
			c.writing = false
			told := c.now
			c.leave(a)
			return told
		}},
	}
}
