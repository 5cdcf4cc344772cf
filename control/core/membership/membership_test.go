package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
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
					for n, m := range c.machinesByAddr() {
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

// A voter that leaves as planned, with no core to replace it, reports that it is done only when each
// confirmed value is on a majority of the voters that stay. The last writes reach it before all
// others, and one voter later still, so that its vote is the first of rounds that end after it
// stopped voting. It leaves at various times of that. Then the same with writes that go on while it
// leaves, and a voter that misses some accepts.
func TestLeaverStaysUntilTheOthersHoldAll(t *testing.T) {
	const leaverAlone, laggingFor = 100 * time.Millisecond, 260 * time.Millisecond
	for run := range 4 * 41 {
		slots, steadyWrites, leaveAfter := 3+run%2*2, run/2%2 == 1, time.Duration(run/4)*10*time.Millisecond
		c := newCluster(t, slots, slots, slots/2, 12)
		c.advance(5 * time.Second)
		c.writing = true
		c.advance(time.Second)
		c.writing = false
		c.advance(time.Second)
		leaver, lagging, proposing, began := addrOf(1), addrOf(0), addrOf(2), c.now
		c.writtenKeys = slices.DeleteFunc(c.machines[proposing].node.HeldKeys(), func(k ident.Key) bool { return !k.HasPrefix("number/") })
		must.SliceNotEmpty(t, c.writtenKeys)
		c.drop = func(to ident.Addr, m message.Message) bool {
			since := c.now.Since(began)
			if !dropAccepts(to)(to, m) || !slices.Contains(c.writtenKeys, m.Request.Key) {
				return false
			}
			if steadyWrites {
				return to == lagging && since/time.Millisecond%37 < 10 // not a multiple of a resend interval
			}
			return to != leaver && since < leaverAlone || to == lagging && since < laggingFor
		}
		for i := range c.writtenKeys {
			c.writeAt(c.machines[proposing], c.writtenKeys[i])
		}
		if steadyWrites {
			c.everyMillisecond = func(ms int) {
				if ms%5 == 0 {
					c.writeAt(c.machines[proposing], c.writtenKeys[ms/5%len(c.writtenKeys)])
				}
			}
		}
		c.advance(leaveAfter)
		took, done := c.stopGracefully(leaver)
		c.everyMillisecond = nil
		must.True(t, done, must.Sprint(slots, leaveAfter))
		must.Less(t, leaveLimit, took, must.Sprint(slots, leaveAfter))
		check := func() {
			staying := c.machinesCounted(c.chosenMembership(), []ident.Addr{leaver})
			for _, k := range c.confirmedKeys {
				must.GreaterEq(t, (slots-1)/2+1, len(staying)-c.countLacking(staying, k), must.Sprint(slots, leaveAfter, k))
			}
		}
		check()
		c.advance(300 * time.Millisecond)
		check()
		must.SliceEmpty(t, c.violations)
	}
}

// A leaver that is killed after its successor was counted in leaves an even number of slots, one of
// them empty, which tolerates one failure less. The slot is dropped once its voter is presumed dead.
func TestEmptySlotOfEvenMembershipIsDropped(t *testing.T) {
	for _, members := range []int{4, 12} {
		slots := 3 + members/12*2
		c := newCluster(t, members, slots, 1, 12)
		c.advance(8 * time.Second)
		c.writing = true
		leaver := c.machines[addrOf(1)]
		c.apply(leaver, leaver.node.Leave(c.now, 10*time.Second))
		for from := c.now; c.chosenMembership().Size() == slots && c.now.Since(from) < leaveLimit; {
			c.advance(time.Millisecond)
		}
		must.Eq(t, slots+1, c.chosenMembership().Size())
		c.killProcess(leaver.addr)
		c.advance(5 * time.Second)
		r := c.chosenMembership()
		must.Eq(t, slots, r.Size(), must.Sprint(members))
		must.SliceLen(t, slots, c.machinesCounted(r, c.lostMachines()), must.Sprint(members))
	}
}

// A leaver's slot is dropped only when the others hold all values: those that are confirmed between the
// successor's copy and its being counted may be on the leaver and one other voter alone.
func TestDropWaitsForTheCopies(t *testing.T) {
	for lagFor := time.Duration(0); lagFor <= 120*time.Millisecond; lagFor += 5 * time.Millisecond {
		c := newCluster(t, 4, 3, 1, 12)
		c.advance(9 * time.Second)
		leaver, began := addrOf(1), c.now
		c.drop = func(to ident.Addr, m message.Message) bool {
			return c.now.Since(began) < lagFor && dropAccepts(addrOf(0))(to, m) && slices.Contains(c.writtenKeys, m.Request.Key)
		}
		c.everyMillisecond = func(ms int) {
			if c.now.Since(began) < lagFor && ms%2 == 0 {
				c.writeAt(c.machines[addrOf(2)], c.writtenKeys[ms/2%len(c.writtenKeys)])
			}
		}
		took, done := c.stopGracefully(leaver)
		must.True(t, done, must.Sprint(lagFor))
		must.Less(t, time.Second, took, must.Sprint(lagFor))
		c.successorOf[leaver] = addrOf(3)
		c.advance(500 * time.Millisecond)
		must.SliceEmpty(t, c.violations, must.Sprint(lagFor))
	}
}

// The time until all copies are restored after each kind of loss, in virtual time: from the start of
// the machine or of its replacement, or of the planned stop, until every slot is full and each counted
// disk holds every confirmed value. It must end before the machine no longer counts as lost.
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
				bootedAt := loss.apply(c, addrOf(1))
				for !c.fullyReplicated(slots) && c.now.Since(bootedAt) < 30*time.Second {
					c.advance(20 * time.Millisecond)
				}
				took := c.now.Since(bootedAt)
				t.Logf("%6d records, %2d machines: %-42s %5.2f s", records, members, loss.name, took.Seconds())
				must.Less(t, catchUpLimit, took, must.Sprint(records, members, loss.name))
			}
		}
	}
}

// machineLoss is one kind of loss; apply returns the time from which the users count catchUpS.
type machineLoss struct {
	name  string
	apply func(c *cluster, a ident.Addr) monotime.Time
}

func machineLosses() []machineLoss {
	restartAfter := func(c *cluster, downFor time.Duration, a ident.Addr) monotime.Time {
		c.advance(downFor - 100*time.Millisecond)
		c.writing = false // so that no later write restores the copies of its key
		c.advance(100 * time.Millisecond)
		bootedAt := c.now
		c.startMachine(a)
		return bootedAt
	}
	cutOffFor := func(c *cluster, duration time.Duration, a ident.Addr) monotime.Time {
		c.drop = func(to ident.Addr, m message.Message) bool { return (to == a) != (m.From == a) }
		c.advance(duration - 100*time.Millisecond)
		c.writing = false
		c.advance(100 * time.Millisecond)
		c.drop = nil
		return c.now
	}
	return []machineLoss{
		{"cut off for 1 s", func(c *cluster, a ident.Addr) monotime.Time { return cutOffFor(c, time.Second, a) }},
		{"cut off for 10 s", func(c *cluster, a ident.Addr) monotime.Time { return cutOffFor(c, 10*time.Second, a) }},
		{"power, down for 0.5 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.killProcess(a)
			return restartAfter(c, 500*time.Millisecond, a)
		}},
		{"power, down for 10 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.killProcess(a)
			return restartAfter(c, 10*time.Second, a)
		}},
		{"disk lost, down for 0.5 s", func(c *cluster, a ident.Addr) monotime.Time {
			c.killProcess(a)
			c.wipeDisk(a)
			return restartAfter(c, 500*time.Millisecond, a)
		}},
		{"replaced at another address 0.5 s later", func(c *cluster, a ident.Addr) monotime.Time {
			c.killProcess(a)
			return restartAfter(c, 500*time.Millisecond, newcomer)
		}},
		{"planned stop, started again 0.5 s later", func(c *cluster, a ident.Addr) monotime.Time {
			c.stopGracefully(a)
			return restartAfter(c, 500*time.Millisecond, a)
		}},
		{"planned stop, its successor 4 s beforehand", func(c *cluster, a ident.Addr) monotime.Time {
			c.startMachine(newcomer)
			c.advance(catchUpLimit)
			c.writing = false
			leaveBegan := c.now
			c.stopGracefully(a)
			return leaveBegan
		}},
	}
}
