package node_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// While the slot of a lost disk is empty, the cluster does not tolerate another failure, so a core
// with an empty disk must become a counted voter soon after its start: immediately at the lost
// disk's address, and at another address as soon as the voters presume the lost voter dead.
func TestEmptyCoreBecomesVoterQuickly(t *testing.T) {
	for name, replacement := range map[string]struct {
		at     ident.Addr
		within time.Duration
	}{
		"empty disk at the same address":    {"c:1", 500 * time.Millisecond},
		"replacement core at a new address": {"d:1", 2 * time.Second},
	} {
		cluster := newThreeCores(t)
		cluster.submit("a:1", 1, "number/next", "number/n")
		cluster.advance(200 * time.Millisecond)
		must.Nil(t, cluster.ticketResult(1).Failure)
		cluster.down["c:1"] = true
		cluster.advance(1900 * time.Millisecond) // time to boot the machine and start its process
		delete(cluster.disks, "c:1")
		cluster.start(t, replacement.at, "new", nil)
		from := cluster.now
		for !cluster.nodes[replacement.at].IsVoter() && cluster.now.Since(from) < 10*time.Second {
			cluster.advance(10 * time.Millisecond)
		}
		must.LessEq(t, replacement.within, cluster.now.Since(from), must.Sprint(name))
		must.Eq(t, 3, len(cluster.nodes[replacement.at].Membership().Voters), must.Sprint(name))
		must.Positive(t, cluster.nodes[replacement.at].RecordCount(), must.Sprint(name))
	}
}

// A voter that has just started has received no heartbeats yet and must presume no voter dead, so
// that no slot is taken with its vote.
func TestRestartedVotersPresumeNobodyDead(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.start(t, "d:1", "new", nil)
	cluster.advance(3200 * time.Millisecond)
	must.Eq(t, 3, len(cluster.nodes["d:1"].Membership().Voters))
	cluster.drop = func(_ ident.Addr, m message.Message) bool { return m.From == "c:1" }
	cluster.start(t, "a:1", "", nil)
	cluster.start(t, "b:1", "", nil)
	cluster.advance(2 * time.Second)
	_, in := cluster.nodes["a:1"].Membership().Find("disk-c:1")
	must.True(t, in)
	cluster.drop = nil
	cluster.advance(2 * time.Second)
	_, in = cluster.nodes["a:1"].Membership().Find("disk-c:1")
	must.True(t, in)
}

// A core is stopped or killed permanently at various times after its replacement started. Later
// another core fails permanently and is replaced. The cluster must serve requests again each time.
// Guards against an additional slot that only the lost disk could fill.
func TestReplacementAtAnyTime(t *testing.T) {
	for delay := 250 * time.Millisecond; delay <= 9*time.Second; delay += 250 * time.Millisecond {
		for _, planned := range []bool{true, false} {
			cluster := newThreeCores(t)
			cluster.submit("a:1", 1, "number/next", "number/n")
			cluster.start(t, "d:1", "new-d", nil)
			cluster.advance(delay)
			if planned {
				cluster.apply("b:1", cluster.nodes["b:1"].Leave(cluster.now, stopLimit))
				cluster.advance(50 * time.Millisecond)
			}
			cluster.down["b:1"] = true
			cluster.advance(8 * time.Second)
			must.True(t, cluster.nodes["d:1"].IsVoter(), must.Sprint(delay, planned))
			cluster.down["a:1"] = true
			cluster.advance(2 * time.Second)
			cluster.start(t, "e:1", "new-e", nil)
			cluster.advance(3 * time.Second)
			must.True(t, cluster.nodes["e:1"].IsVoter(), must.Sprint(delay, planned))
			cluster.submit("c:1", 2, "number/next", "number/n")
			cluster.advance(2 * time.Second)
			must.NotNil(t, cluster.ticketResult(2), must.Sprint(delay, planned))
			must.Nil(t, cluster.ticketResult(2).Failure, must.Sprint(delay, planned))
		}
	}
}

// A single joining core must wait without being counted; two joining cores must both become voters.
func TestCoresJoinInPairs(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.start(t, "d:1", "new-d", nil)
	cluster.advance(9 * time.Second)
	must.Eq(t, 3, cluster.nodes["a:1"].Membership().Size())
	cluster.start(t, "e:1", "new-e", nil)
	cluster.advance(9 * time.Second)
	must.Eq(t, 5, cluster.nodes["a:1"].Membership().Size())
	must.True(t, cluster.nodes["d:1"].IsVoter())
	must.True(t, cluster.nodes["e:1"].IsVoter())
}

// growingCluster is a cluster in which cores start, fail and are replaced at random while the
// cluster issues numbers.
type growingCluster struct {
	*threeCores
	t                 *testing.T
	seed              uint64
	random            *rand.Rand
	addrs             []ident.Addr
	emptyDisksStarted int    // the number of cores that were started on an empty disk
	highestNumber     uint64 // the highest number that was issued so far
	ticket            uint64
}

func newGrowingCluster(t *testing.T, seed uint64) *growingCluster {
	c := &growingCluster{
		threeCores: newThreeCores(t),
		t:          t,
		seed:       seed,
		random:     rand.New(rand.NewPCG(seed, 1)),
		addrs:      slices.Clone(coreAddrs),
	}
	c.drop = func(ident.Addr, message.Message) bool { return c.random.IntN(12) == 0 }
	return c
}

// newAddr returns an address that no core has used.
func (c *growingCluster) newAddr() ident.Addr {
	return ident.Addr(fmt.Sprintf("%c:1", 'd'+c.emptyDisksStarted))
}

// startEmpty starts a core with an empty disk.
func (c *growingCluster) startEmpty(at ident.Addr) {
	c.emptyDisksStarted++
	c.start(c.t, at, ident.Disk(fmt.Sprint("new-", c.emptyDisksStarted)), nil)
}

// issueNumber requests the next number from a random core and advances the time. The number must be
// higher than all earlier numbers. issueNumber reports whether a number was issued.
func (c *growingCluster) issueNumber() bool {
	c.ticket++
	if at := c.addrs[c.random.IntN(len(c.addrs))]; !c.down[at] {
		op := proposer.Operation{Op: ident.OperationID(fmt.Sprint(c.ticket)), Key: "number/n", Kind: "number/next"}
		c.submitOperation(at, c.ticket, op, 4*time.Second)
	}
	c.advance(time.Duration(c.random.IntN(300)) * time.Millisecond)
	e := c.ticketResult(c.ticket)
	if e == nil || e.Failure != nil {
		return false
	}
	var got struct{ Number uint64 }
	must.NoError(c.t, json.Unmarshal(e.Body, &got))
	must.Greater(c.t, c.highestNumber, got.Number, must.Sprint("seed ", c.seed))
	c.highestNumber = got.Number
	return true
}

// injectRandomEvent starts, restarts or replaces a randomly chosen core, or discards its disk.
func (c *growingCluster) injectRandomEvent() {
	switch at := c.addrs[c.random.IntN(len(c.addrs))]; c.random.IntN(5) {
	case 0, 1: // a new core starts
		if a := c.newAddr(); len(c.addrs) < 5 {
			c.addrs = append(c.addrs, a)
			c.startEmpty(a)
		}
	case 2: // a core is killed and restarted with its disk
		c.down[at] = true
		c.issueNumber()
		c.start(c.t, at, "", nil)
	case 3: // a core loses its disk
		c.down[at] = true
		c.issueNumber()
		delete(c.disks, at)
		c.startEmpty(at)
	default: // a core is lost permanently and replaced by a new core
		c.down[at] = true
		c.issueNumber()
		a := c.newAddr()
		c.addrs[slices.Index(c.addrs, at)] = a
		c.startEmpty(a)
	}
}

// Cores start, are killed and lose messages, and one core at a time loses its disk or is replaced,
// while the membership grows from three to five voters. No number may be issued twice, and the
// cluster must serve requests at the end.
func TestNoNumberIsIssuedTwiceWhileMembershipGrows(t *testing.T) {
	for seed := range uint64(12) {
		c := newGrowingCluster(t, seed)
		for range 24 {
			c.injectRandomEvent()
			for end := c.now.Add(time.Duration(4500+c.random.IntN(4000)) * time.Millisecond); c.now < end; {
				c.issueNumber()
			}
		}
		c.drop = nil
		served := false
		for range 40 {
			served = c.issueNumber() || served
		}
		must.True(t, served, must.Sprint("seed ", seed))
	}
}
