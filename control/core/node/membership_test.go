package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/kernel/ident"
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
			c.members[a].slow = 250 * time.Millisecond
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
		return to == slow && m.Ask != nil && (m.Ask.Kind == cell.Accept || m.Ask.Kind == cell.PatchAccept)
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
					c.drop = nil
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

// At the first start three cores form the roster and the others join it. Once catchUpS is
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
