package membership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
)

// A voter leaves as planned without a replacement. The leaver must report that it is done only when
// each confirmed value is on a majority of the voters that stay. The last writes reach the leaver
// before the other voters, and reach one voter even later, so the leaver's vote is the first vote
// in rounds that end after the leaver has stopped voting. The leave begins at various times
// relative to these writes. Half of the runs instead write continuously during the leave, while one
// voter misses some accepts.
func TestLeaveWaitsForReplication(t *testing.T) {
	const leaverAloneFor, laggingFor = 100 * time.Millisecond, 260 * time.Millisecond
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
				return to == lagging && since/time.Millisecond%37 < 10 // 37 ms is not a multiple of a resend interval
			}
			return to != leaver && since < leaverAloneFor || to == lagging && since < laggingFor
		}
		for i := range c.writtenKeys {
			c.incrementAt(c.machines[proposing], c.writtenKeys[i])
		}
		if steadyWrites {
			c.everyMillisecond = func(ms int) {
				if ms%5 == 0 {
					c.incrementAt(c.machines[proposing], c.writtenKeys[ms/5%len(c.writtenKeys)])
				}
			}
		}
		c.advance(leaveAfter)
		took, done := c.stopGracefully(leaver)
		c.everyMillisecond = nil
		must.True(t, done, must.Sprint(slots, leaveAfter))
		must.Less(t, leaveLimit, took, must.Sprint(slots, leaveAfter))
		check := func() {
			staying := c.countedMachines(c.chosenMembership(), []ident.Addr{leaver})
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

// A leaver is killed after its successor was counted. The membership then has an even number of
// slots with one empty slot, and tolerates one failure fewer. The empty slot must be dropped once
// its voter is presumed dead.
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
		must.SliceLen(t, slots, c.countedMachines(r, c.lostMachines()), must.Sprint(members))
	}
}

// A leaver's slot must be dropped only when the other voters hold all values. Values that are
// confirmed after the successor has made its copy and before it is counted may be only on the
// leaver and one other voter.
func TestSlotDropWaitsForReplication(t *testing.T) {
	for lagFor := time.Duration(0); lagFor <= 120*time.Millisecond; lagFor += 5 * time.Millisecond {
		c := newCluster(t, 4, 3, 1, 12)
		c.advance(9 * time.Second)
		leaver, began := addrOf(1), c.now
		c.drop = func(to ident.Addr, m message.Message) bool {
			return c.now.Since(began) < lagFor && dropAccepts(addrOf(0))(to, m) && slices.Contains(c.writtenKeys, m.Request.Key)
		}
		c.everyMillisecond = func(ms int) {
			if c.now.Since(began) < lagFor && ms%2 == 0 {
				c.incrementAt(c.machines[addrOf(2)], c.writtenKeys[ms/2%len(c.writtenKeys)])
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
