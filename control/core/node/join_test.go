package node_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/admission"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

func joining(n int, run string) admission.Request {
	return admission.Request{Node: ident.Node(fmt.Sprint("node-", n)), Run: run}
}

// join asks a core to let a sidecar join; its end carries the ticket.
func (x *trio) join(at ident.Addr, ticket uint64, r admission.Request) {
	x.out(at, x.nodes[at].Join(x.now, ticket, r, node.JoinBudget))
}

func (x *trio) joined(t *testing.T, ticket uint64) (j node.Joined) {
	e := x.end(ticket)
	must.NotNil(t, e, must.Sprint(ticket))
	must.Nil(t, e.Failure, must.Sprint(ticket))
	must.NoError(t, json.Unmarshal(e.Body, &j))
	return j
}

// rounds counts the rounds of quorum of all owners, without those of reads.
func (x *trio) rounds() (sum uint64) {
	for _, a := range three {
		sum += x.nodes[a].Proposer().Rounds
	}
	return sum
}

// Joins that come together at one core, or at all of them, cost a bounded number of rounds
// of quorum and not one each; every node gets a claim of its own.
func TestJoinsThatComeTogetherShareRounds(t *testing.T) {
	for _, c := range []struct{ joins, cores, batches, rounds int }{{100, 1, 1, 8}, {320, 1, 3, 12}, {320, 3, 3, 12}} {
		x := newTrio(t)
		before := x.rounds()
		for n := range c.joins {
			x.join(three[n%c.cores], uint64(n+1), joining(n, "run"))
		}
		x.run(500 * time.Millisecond)
		idle := newTrio(t)
		quiet := idle.rounds()
		idle.run(500 * time.Millisecond)
		claims := map[ident.Epoch]bool{}
		for n := range c.joins {
			claims[x.joined(t, uint64(n+1)).Claim] = true
		}
		must.MapLen(t, c.joins, claims)
		cost := int(x.rounds()-before) - int(idle.rounds()-quiet)
		must.LessEq(t, c.rounds, cost)
		batches := uint64(0)
		for _, a := range three {
			batches += x.nodes[a].JoinBatches
		}
		must.Eq(t, uint64(c.batches), batches)
		t.Logf("%d joins at %d cores: %d batches, %d rounds", c.joins, c.cores, batches, cost)
	}
}

// A repeat of a join, at the same core or at another, is given the same claim; a later run
// of the same node is given a higher one.
func TestRepeatOfAJoinKeepsItsClaim(t *testing.T) {
	x := newTrio(t)
	x.join("a:1", 1, joining(1, "first"))
	x.join("a:1", 2, joining(1, "first"))
	x.run(300 * time.Millisecond)
	x.join("b:1", 3, joining(1, "first"))
	x.run(300 * time.Millisecond)
	x.join("c:1", 4, joining(1, "second"))
	x.run(300 * time.Millisecond)
	first := x.joined(t, 1)
	must.Eq(t, first, x.joined(t, 2))
	must.Eq(t, first, x.joined(t, 3))
	must.Greater(t, first.Claim, x.joined(t, 4).Claim)
}

// A core without a majority holds a join for a while and then sends it on; one that gets
// its majority in time grants it.
func TestJoinWaitsForAMajority(t *testing.T) {
	x := newTrio(t)
	x.lost = func(to ident.Addr, m message.Message) bool { return (to == "a:1") != (m.From == "a:1") }
	x.run(2 * time.Second)
	x.join("a:1", 1, joining(1, "run"))
	x.run(time.Second)
	e := x.end(1)
	must.NotNil(t, e)
	must.Eq(t, failure.NoMajority, e.Failure.Kind)
	must.Eq(t, failure.NotExecuted, e.Failure.Outcome)
	must.Positive(t, e.Failure.RetryAfter)
	x.join("a:1", 2, joining(1, "run"))
	x.lost = nil
	x.run(1500 * time.Millisecond)
	x.joined(t, 2)
}

// A core that leaves refuses the joins that wait and those that still come.
func TestLeavingCoreRefusesJoins(t *testing.T) {
	x := newTrio(t)
	x.join("a:1", 1, joining(1, "run"))
	x.out("a:1", x.nodes["a:1"].Leave(x.now, stopWithin))
	x.join("a:1", 2, joining(2, "run"))
	x.run(100 * time.Millisecond)
	for _, ticket := range []uint64{1, 2} {
		must.NotNil(t, x.end(ticket))
		must.Eq(t, failure.Stopping, x.end(ticket).Failure.Kind)
	}
	must.Eq(t, 2, x.nodes["a:1"].JoinsRefused)
}

// Whichever core is lost while joins are under way, each of them ends in time, and who
// asks again is let in with a claim above all that were given before.
func TestJoinsOutliveTheLossOfACore(t *testing.T) {
	for _, dead := range three[1:] {
		x := newTrio(t)
		x.join("a:1", 1, joining(0, "run"))
		x.run(300 * time.Millisecond)
		top := x.joined(t, 1).Claim
		for n := 1; n <= 40; n++ {
			x.join("a:1", uint64(100+n), joining(n, "run"))
		}
		x.out("a:1", x.nodes["a:1"].Tick(x.now)) // the batch is on its way
		x.dead[dead] = true
		x.run(node.JoinBudget + 100*time.Millisecond)
		for n := 1; n <= 40; n++ {
			must.NotNil(t, x.end(uint64(100+n)))
			x.join("a:1", uint64(200+n), joining(n, "run"))
		}
		x.run(node.JoinBudget + 100*time.Millisecond)
		for n := 1; n <= 40; n++ {
			must.Greater(t, top, x.joined(t, uint64(200+n)).Claim)
		}
	}
}
