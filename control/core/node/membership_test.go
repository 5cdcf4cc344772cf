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

// While the slot of a lost disk is empty the next failure is one too many, so an empty core is counted
// soon after its start: at the same address at once, at another address as soon as the voters presume
// the lost one dead.
func TestEmptyCoreIsCountedQuickly(t *testing.T) {
	for name, replacement := range map[string]struct {
		at     ident.Addr
		within time.Duration
	}{
		"its disk was lost":   {"c:1", 500 * time.Millisecond},
		"it replaces another": {"d:1", 2 * time.Second},
	} {
		cluster := newThreeCores(t)
		cluster.submit("a:1", 1, "number/next", "number/n")
		cluster.advance(200 * time.Millisecond)
		must.Nil(t, cluster.ticketResult(1).Failure)
		cluster.down["c:1"] = true
		cluster.advance(1900 * time.Millisecond) // the machine boots, its process starts
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

// A voter that has just started has heard nobody yet and presumes nobody dead: no slot is taken on its
// vote.
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

// A core replaces another, which is stopped or killed for good at any time after the start of its
// replacement; later the next one fails for good and is replaced. The cluster always serves again: no
// slot is created that only the lost disk could fill.
func TestReplacementAtAnyTime(t *testing.T) {
	for delay := 250 * time.Millisecond; delay <= 9*time.Second; delay += 250 * time.Millisecond {
		for _, stop := range []bool{true, false} {
			cluster := newThreeCores(t)
			cluster.submit("a:1", 1, "number/next", "number/n")
			cluster.start(t, "d:1", "new-d", nil)
			cluster.advance(delay)
			if stop {
				cluster.apply("b:1", cluster.nodes["b:1"].Leave(cluster.now, stopWithin))
				cluster.advance(50 * time.Millisecond)
			}
			cluster.down["b:1"] = true
			cluster.advance(8 * time.Second)
			must.True(t, cluster.nodes["d:1"].IsVoter(), must.Sprint(delay, stop))
			cluster.down["a:1"] = true
			cluster.advance(2 * time.Second)
			cluster.start(t, "e:1", "new-e", nil)
			cluster.advance(3 * time.Second)
			must.True(t, cluster.nodes["e:1"].IsVoter(), must.Sprint(delay, stop))
			cluster.submit("c:1", 2, "number/next", "number/n")
			cluster.advance(2 * time.Second)
			must.NotNil(t, cluster.ticketResult(2), must.Sprint(delay, stop))
			must.Nil(t, cluster.ticketResult(2).Failure, must.Sprint(delay, stop))
		}
	}
}

// Two joining cores are counted in, one after the other; a single one stands by.
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

// growingCluster is a cluster whose cores start, fail and are replaced at random while numbers are
// issued.
type growingCluster struct {
	*threeCores
	t      *testing.T
	seed   uint64
	random *rand.Rand
	names  []ident.Addr
	fresh  int    // the empty disks that were started
	last   uint64 // the highest number that was issued
	ticket uint64
}

func newGrowingCluster(t *testing.T, seed uint64) *growingCluster {
	c := &growingCluster{
		threeCores: newThreeCores(t),
		t:          t,
		seed:       seed,
		random:     rand.New(rand.NewPCG(seed, 1)),
		names:      slices.Clone(coreAddrs),
	}
	c.drop = func(ident.Addr, message.Message) bool { return c.random.IntN(12) == 0 }
	return c
}

// newAddr returns an address that no core has had.
func (c *growingCluster) newAddr() ident.Addr { return ident.Addr(fmt.Sprintf("%c:1", 'd'+c.fresh)) }

// startEmpty starts a core on an empty disk.
func (c *growingCluster) startEmpty(at ident.Addr) {
	c.fresh++
	c.start(c.t, at, ident.Disk(fmt.Sprint("new-", c.fresh)), nil)
}

// issueNumber asks a random core for the next number, which must be above all earlier ones, and lets
// time pass. It reports whether one was issued.
func (c *growingCluster) issueNumber() bool {
	c.ticket++
	if at := c.names[c.random.IntN(len(c.names))]; !c.down[at] {
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
	must.Greater(c.t, c.last, got.Number, must.Sprint("seed ", c.seed))
	c.last = got.Number
	return true
}

// failOrGrow has one random thing happen to a random core.
func (c *growingCluster) failOrGrow() {
	switch at := c.names[c.random.IntN(len(c.names))]; c.random.IntN(5) {
	case 0, 1: // a new core starts
		if a := c.newAddr(); len(c.names) < 5 {
			c.names = append(c.names, a)
			c.startEmpty(a)
		}
	case 2: // killed, and restarted on its disk
		c.down[at] = true
		c.issueNumber()
		c.start(c.t, at, "", nil)
	case 3: // its disk is lost
		c.down[at] = true
		c.issueNumber()
		delete(c.disks, at)
		c.startEmpty(at)
	default: // lost for good and replaced by a new core
		c.down[at] = true
		c.issueNumber()
		a := c.newAddr()
		c.names[slices.Index(c.names, at)] = a
		c.startEmpty(a)
	}
}

// Cores start, are killed, lose messages, and one at a time loses its disk or is replaced, while the
// membership grows from three to five: no number is ever issued twice, and in the end the cluster
// serves.
func TestGrowthForgetsNothing(t *testing.T) {
	for seed := range uint64(12) {
		c := newGrowingCluster(t, seed)
		for range 24 {
			c.failOrGrow()
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
