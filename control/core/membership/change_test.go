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

// membershipChange is one change to the machines of a cluster. The change ends when no machine is
// considered lost.
type membershipChange struct {
	name string
	// applyTo applies the change to machine a. All copies must be restored within catchUpLimit
	// after applyTo returns.
	applyTo func(c *cluster, a ident.Addr)
}

const replacementAddr ident.Addr = "m90:1"

func membershipChanges() []membershipChange {
	return []membershipChange{
		{"short power failure", func(c *cluster, a ident.Addr) {
			c.killProcess(a)
			c.advance(500 * time.Millisecond)
			c.startMachine(a)
		}},
		{"long power failure", func(c *cluster, a ident.Addr) {
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
		{"empty disk with slow syncs", func(c *cluster, a ident.Addr) {
			c.killProcess(a)
			c.wipeDisk(a)
			c.machines[a].extraSyncTime, c.writing = 250*time.Millisecond, false
			c.advance(300 * time.Millisecond)
			c.startMachine(a)
		}},
		{"replaced after its loss", func(c *cluster, a ident.Addr) {
			c.killProcess(a)
			c.successorOf[a] = replacementAddr
			c.advance(200 * time.Millisecond)
			c.startMachine(replacementAddr)
		}},
		{"replacement added first, planned stop", func(c *cluster, a ident.Addr) {
			c.startMachine(replacementAddr)
			c.advance(catchUpLimit)
			c.stopGracefully(a)
			c.successorOf[a] = replacementAddr
		}},
		{"replacement added first, killed", func(c *cluster, a ident.Addr) {
			c.startMachine(replacementAddr)
			c.advance(catchUpLimit + 4*time.Second)
			c.killProcess(a)
			c.advance(100 * time.Millisecond)
			c.startMachine(a)
		}},
		{"planned stop, restarted", func(c *cluster, a ident.Addr) {
			c.stopGracefully(a)
			c.advance(200 * time.Millisecond)
			c.startMachine(a)
		}},
		{"one machine added", func(c *cluster, _ ident.Addr) { c.startMachine(replacementAddr) }},
		{"two machines added", func(c *cluster, _ ident.Addr) {
			c.startMachine(replacementAddr)
			c.startMachine("m91:1")
		}},
	}
}

// dropAccepts returns a filter that drops the accept requests to one machine, so that a confirmed
// value is on as few disks as possible.
func dropAccepts(lagging ident.Addr) func(ident.Addr, message.Message) bool {
	return func(to ident.Addr, m message.Message) bool {
		return to == lagging && m.Request != nil && (m.Request.Kind == quorum.Accept || m.Request.Kind == quorum.PatchAccept)
	}
}

// forEachSize runs a test for each cluster size that can tolerate the loss of toleratedLosses
// machines, which requires at least 2*toleratedLosses+1 machines. A smaller cluster would not
// retain a majority.
func forEachSize(run func(members, toleratedLosses int)) {
	for _, members := range []int{3, 4, 5, 12} {
		for _, toleratedLosses := range []int{1, 2} {
			if members >= 2*toleratedLosses+1 {
				run(members, toleratedLosses)
			}
		}
	}
}

// At every sync and every confirmation during each membership change, the cluster must tolerate the
// loss of as many further machines as are still allowed to fail: a majority that holds every
// confirmed value must remain. One machine lags until the change begins. The changes are applied to
// different voters.
func TestFurtherLossIsToleratedAtEveryStep(t *testing.T) {
	forEachSize(func(members, toleratedLosses int) {
		for _, change := range membershipChanges() {
			for _, changed := range []int{0, 1} {
				t.Run(fmt.Sprint(members, "/", toleratedLosses, "/", change.name, "/", changed), func(t *testing.T) {
					t.Parallel()
					slots := 3
					if members >= 5 {
						slots = 5
					}
					c := newCluster(t, members, slots, toleratedLosses, 12)
					c.advance(5 * time.Second)
					c.writing, c.drop = true, dropAccepts(addrOf(2))
					c.advance(1500 * time.Millisecond)
					c.drop, c.writing = nil, changed == 0 // without new writes, the lagging machine keeps lagging
					change.applyTo(c, addrOf(changed))
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

// At the first start three cores form the membership and the other cores join. After catchUpLimit
// the cluster must tolerate the full number of failures.
func TestBootstrapToleratesLossAfterCatchUp(t *testing.T) {
	forEachSize(func(members, toleratedLosses int) {
		c := newCluster(t, 0, 0, toleratedLosses, 0)
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
			t.Error(members, toleratedLosses, f)
		}
		must.Positive(t, c.checks)
		must.Positive(t, len(c.confirmed))
	})
}
