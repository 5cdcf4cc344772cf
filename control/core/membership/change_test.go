package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// memberChange is one change of the machines. It ends when no machine counts as lost any more.
type memberChange struct {
	name string
	// apply makes the change to machine a. The time within which all copies must be restored counts
	// from its return.
	apply func(c *cluster, a ident.Addr)
}

const newcomer ident.Addr = "m90:1"

func memberChanges() []memberChange {
	return []memberChange{
		{"power", func(c *cluster, a ident.Addr) {
			c.killProcess(a)
			c.advance(500 * time.Millisecond)
			c.startMachine(a)
		}},
		{"power, a long while", func(c *cluster, a ident.Addr) {
			c.killProcess(a)
			c.advance(5 * time.Second)
			c.startMachine(a)
		}},
		{"empty disk", func(c *cluster, a ident.Addr) {
			c.killProcess(a)
			c.wipeDisk(a)
			c.advance(300 * time.Millisecond)
			c.startMachine(a)
		}},
		{"empty disk that syncs slowly", func(c *cluster, a ident.Addr) {
			c.killProcess(a)
			c.wipeDisk(a)
			c.machines[a].extraSyncTime, c.writing = 250*time.Millisecond, false
			c.advance(300 * time.Millisecond)
			c.startMachine(a)
		}},
		{"replaced after it was lost", func(c *cluster, a ident.Addr) {
			c.killProcess(a)
			c.successorOf[a] = newcomer
			c.advance(200 * time.Millisecond)
			c.startMachine(newcomer)
		}},
		{"replaced beforehand, stopped as planned", func(c *cluster, a ident.Addr) {
			c.startMachine(newcomer)
			c.advance(catchUpLimit)
			c.stopGracefully(a)
			c.successorOf[a] = newcomer
		}},
		{"replaced beforehand, killed", func(c *cluster, a ident.Addr) {
			c.startMachine(newcomer)
			c.advance(catchUpLimit + 4*time.Second)
			c.killProcess(a)
			c.advance(100 * time.Millisecond)
			c.startMachine(a)
		}},
		{"stopped as planned, started again", func(c *cluster, a ident.Addr) {
			c.stopGracefully(a)
			c.advance(200 * time.Millisecond)
			c.startMachine(a)
		}},
		{"one comes", func(c *cluster, _ ident.Addr) { c.startMachine(newcomer) }},
		{"two come", func(c *cluster, _ ident.Addr) {
			c.startMachine(newcomer)
			c.startMachine("m91:1")
		}},
	}
}

// dropAccepts drops the accepts to one machine, so that a confirmed value is on as few disks as
// possible.
func dropAccepts(lagging ident.Addr) func(ident.Addr, message.Message) bool {
	return func(to ident.Addr, m message.Message) bool {
		return to == lagging && m.Request != nil && (m.Request.Kind == quorum.Accept || m.Request.Kind == quorum.PatchAccept)
	}
}

// forEachSize runs a test for each size of cluster that can tolerate the loss of canLose machines,
// that is, at least 2*canLose+1. Of fewer machines no majority is left in any case.
func forEachSize(run func(members, canLose int)) {
	for _, members := range []int{3, 4, 5, 12} {
		for _, canLose := range []int{1, 2} {
			if members >= 2*canLose+1 {
				run(members, canLose)
			}
		}
	}
}

// At every sync and every confirmation of every change of the machines, the cluster tolerates the loss
// of whatever else may be lost then: a majority is left that holds every confirmed value. One machine
// lags until the change begins, and different voters are changed.
func TestOneMoreLossAtEveryStep(t *testing.T) {
	forEachSize(func(members, canLose int) {
		for _, change := range memberChanges() {
			for _, changed := range []int{0, 1} {
				t.Run(fmt.Sprint(members, "/", canLose, "/", change.name, "/", changed), func(t *testing.T) {
					t.Parallel()
					slots := 3
					if members >= 5 {
						slots = 5
					}
					c := newCluster(t, members, slots, canLose, 12)
					c.advance(5 * time.Second)
					c.writing, c.drop = true, dropAccepts(addrOf(2))
					c.advance(1500 * time.Millisecond)
					c.drop, c.writing = nil, changed == 0 // without further writes to its keys, the lagging machine goes on to lag
					change.apply(c, addrOf(changed))
					c.advance(catchUpLimit + 3*time.Second)
					c.writing = false
					c.advance(2500 * time.Millisecond)
					for _, f := range c.violations[:min(3, len(c.violations))] {
						t.Error(f)
					}
					must.Positive(t, c.checks)
					must.SliceEmpty(t, c.lostMachines())
					for n, m := range c.byAddr {
						must.True(t, !m.running || m.node.HasMajority(c.now), must.Sprint(n))
					}
				})
			}
		}
	})
}

// At the first start three cores form the membership and the others join it. After catchUpLimit the
// cluster tolerates as many failures as later.
func TestFirstStartToleratesALossInTime(t *testing.T) {
	forEachSize(func(members, canLose int) {
		c := newCluster(t, 0, 0, canLose, 0)
		c.writtenKeys = []ident.Key{"number/a", "number/b", "number/c"}
		c.confirmedKeys = c.writtenKeys
		c.founders = []ident.Addr{addrOf(0), addrOf(1), addrOf(2)}
		for i := range members {
			c.addMachine(addrOf(i)).bootedAt = c.now
		}
		c.advance(processStartTime)
		for i := range members {
			c.startProcess(addrOf(i))
		}
		c.writing = true
		c.advance(catchUpLimit + 4*time.Second)
		for _, f := range c.violations[:min(3, len(c.violations))] {
			t.Error(members, canLose, f)
		}
		must.Positive(t, c.checks)
		must.Positive(t, len(c.confirmed))
	})
}
