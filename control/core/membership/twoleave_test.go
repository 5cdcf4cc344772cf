package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
)

// Two voters leave as planned at the same time, or one shortly after the other, while writes go on.
// Both are done before their time is over; a majority of the voters that stay holds every confirmed
// value at each step, and once both are back all copies are restored in time.
func TestTwoLeaveAtOnce(t *testing.T) {
	for _, size := range []struct{ members, slots, canLose int }{{4, 4, 1}, {5, 5, 2}, {12, 5, 2}} {
		for _, gap := range []time.Duration{0, 20 * time.Millisecond, 150 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprint(size, gap), func(t *testing.T) {
				c := newCluster(t, size.members, size.slots, size.canLose, 12)
				c.advance(8 * time.Second)
				c.writing = true
				c.advance(200 * time.Millisecond)
				must.Eq(t, 2, c.leaveTogether(addrOf(1), addrOf(2), gap), must.Sprint("done in time"))
				must.SliceEmpty(t, c.violations)
				c.writing = false
				c.startMachine(addrOf(1))
				c.startMachine(addrOf(2))
				// An even number of slots is one fewer when a voter has left it.
				atLeast := (size.slots-1)/2*2 + 1
				restored := func() bool {
					return c.fullyReplicated(c.chosenMembership().Size()) && c.chosenMembership().Size() >= atLeast
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

// leaveTogether stops two processes as planned, the second a while after the first, each until it is
// done or its time is over, and returns how many were done.
func (c *cluster) leaveTogether(first, second ident.Addr, gap time.Duration) (inTime int) {
	const pollEvery = 30 * time.Millisecond
	leaveAfter := map[ident.Addr]time.Duration{first: 0, second: gap}
	began, left := c.now, map[ident.Addr]bool{}
	for len(left) < len(leaveAfter) {
		for _, a := range []ident.Addr{first, second} {
			m, since := c.machines[a], c.now.Since(began)-leaveAfter[a]
			if since < 0 || left[a] {
				continue
			}
			c.apply(m, m.node.Leave(c.now, leaveLimit)) // only the first call has an effect
			done, fx := m.node.ContinueLeave(c.now)
			c.apply(m, fx)
			if done {
				inTime++
			}
			if done || since >= leaveLimit {
				c.killProcess(a)
				left[a] = true
			}
		}
		c.advance(pollEvery)
	}
	return inTime
}
