package membership_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
)

// Measures, in virtual time, how long it takes to restore all copies after each kind of loss. The
// time runs from the boot of the machine or its replacement, or from the beginning of the planned
// stop, until every slot has a voter and each counted disk holds every confirmed value. The time
// must be less than catchUpLimit, after which the machine is no longer considered lost.
func TestCopiesAreRestoredInTime(t *testing.T) {
	sizes := []int{300}
	if !testing.Short() {
		sizes = append(sizes, 10_000)
	}
	for _, records := range sizes {
		for _, members := range []int{3, 5, 12} {
			for _, loss := range machineLosses() {
				slots := min(5, members)
				c := newCluster(t, members, slots, 1, records)
				c.timingOnly = true
				c.advance(8 * time.Second)
				c.writing = true
				c.advance(time.Second)
				bootedAt := loss.applyTo(c, addrOf(1))
				for !c.isFullyReplicated(slots) && c.now.Since(bootedAt) < 30*time.Second {
					c.advance(20 * time.Millisecond)
				}
				took := c.now.Since(bootedAt)
				t.Logf("%6d records, %2d machines: %-42s %5.2f s", records, members, loss.name, took.Seconds())
				must.Less(t, catchUpLimit, took, must.Sprint(records, members, loss.name))
			}
		}
	}
}

// machineLoss is one kind of loss. applyTo returns the time from which the users count catchUpS.
type machineLoss struct {
	name    string
	applyTo func(c *cluster, a ident.Addr) monotime.Time
}

func machineLosses() []machineLoss {
	restartAfter := func(c *cluster, downFor time.Duration, a ident.Addr) monotime.Time {
		c.advance(downFor - 100*time.Millisecond)
		c.writing = false // a later write would restore the copies of its key
		c.advance(100 * time.Millisecond)
		bootedAt := c.now
		c.startMachine(a)
		return bootedAt
	}
	partitionFor := func(c *cluster, duration time.Duration, a ident.Addr) monotime.Time {
		c.drop = func(to ident.Addr, m message.Message) bool { return (to == a) != (m.From == a) }
		c.advance(duration - 100*time.Millisecond)
		c.writing = false
		c.advance(100 * time.Millisecond)
		c.drop = nil
		return c.now
	}
	return []machineLoss{
		{"partitioned for 1 s", func(c *cluster, a ident.Addr) monotime.Time { return partitionFor(c, time.Second, a) }},
		{"partitioned for 10 s", func(c *cluster, a ident.Addr) monotime.Time { return partitionFor(c, 10*time.Second, a) }},
		{"power failure, down for 0.5 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.killProcess(a)
			return restartAfter(c, 500*time.Millisecond, a)
		}},
		{"power failure, down for 10 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.killProcess(a)
			return restartAfter(c, 10*time.Second, a)
		}},
		{"disk lost, down for 0.5 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.killProcess(a)
			c.wipeDisk(a)
			return restartAfter(c, 500*time.Millisecond, a)
		}},
		{"replaced at a new address after 0.5 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.killProcess(a)
			return restartAfter(c, 500*time.Millisecond, replacementAddr)
		}},
		{"planned stop, restarted after 0.5 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.stopGracefully(a)
			return restartAfter(c, 500*time.Millisecond, a)
		}},
		{"planned stop, replacement added 4 s before", func(c *cluster, a ident.Addr) monotime.Time {
			c.startMachine(replacementAddr)
			c.advance(catchUpLimit)
			c.writing = false
			leaveBegan := c.now
			c.stopGracefully(a)
			return leaveBegan
		}},
	}
}
