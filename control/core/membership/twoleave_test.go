package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
)

// Two voters leave as planned, at the same time or shortly after one another, while writes
// continue. Both leaves must be done within leaveLimit, a majority of the voters that stay must
// hold every confirmed value at each step, and after both machines are back all copies must be
// restored within catchUpLimit.
func TestTwoConcurrentLeaves(t *testing.T) {
	for _, size := range []struct{ members, slots, toleratedLosses int }{{4, 4, 1}, {5, 5, 2}, {12, 5, 2}} {
		for _, gap := range []time.Duration{0, 20 * time.Millisecond, 150 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprint(size, gap), func(t *testing.T) {
				c := newCluster(t, size.members, size.slots, size.toleratedLosses, 12)
				c.advance(8 * time.Second)
				c.writing = true
				c.advance(200 * time.Millisecond)
				must.Eq(t, 2, c.leaveConcurrently(addrOf(1), addrOf(2), gap), must.Sprint("leaves done within the limit"))
				must.SliceEmpty(t, c.violations)
				c.writing = false
				c.startMachine(addrOf(1))
				c.startMachine(addrOf(2))
				// A membership with an even number of slots drops a slot when a voter leaves.
				minSlots := (size.slots-1)/2*2 + 1
				restored := func() bool {
					return c.isFullyReplicated(c.chosenMembership().Size()) && c.chosenMembership().Size() >= minSlots
				}
				for bootedAt := c.now; !restored() && c.now.Since(bootedAt) < catchUpLimit; {
					c.advance(20 * time.Millisecond)
				}
				must.True(t, restored())
				must.SliceEmpty(t, c.violations)
			})
		}
	}
}

// leaveConcurrently performs a planned stop of two processes, the second beginning gap after the
// first. Each process is killed when its leave is done or leaveLimit has passed. leaveConcurrently
// returns the number of leaves that were done.
func (c *cluster) leaveConcurrently(first, second ident.Addr, gap time.Duration) (doneCount int) {
	const pollInterval = 30 * time.Millisecond
	leaveAfter := map[ident.Addr]time.Duration{first: 0, second: gap}
	began, stopped := c.now, map[ident.Addr]bool{}
	for len(stopped) < len(leaveAfter) {
		for _, a := range []ident.Addr{first, second} {
			m, since := c.machines[a], c.now.Since(began)-leaveAfter[a]
			if since < 0 || stopped[a] {
				continue
			}
			c.apply(m, m.node.Leave(c.now, leaveLimit)) // repeated calls have no effect
			done, fx := m.node.ContinueLeave(c.now)
			c.apply(m, fx)
			if done {
				doneCount++
			}
			if done || since >= leaveLimit {
				c.killProcess(a)
				stopped[a] = true
			}
		}
		c.advance(pollInterval)
	}
	return doneCount
}
