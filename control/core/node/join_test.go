package node_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
)

func joinRequest(n int, run string) joinqueue.Request {
	return joinqueue.Request{Node: ident.Node(fmt.Sprint("node-", n)), Run: run}
}

// join submits a sidecar's join request to a core.
func (cluster *threeCores) join(core ident.Addr, ticket uint64, r joinqueue.Request) {
	cluster.apply(core, cluster.nodes[core].Join(cluster.now, ticket, r, node.JoinBudget))
}

func (cluster *threeCores) joinResult(t *testing.T, ticket uint64) (j node.JoinResult) {
	result := cluster.ticketResult(ticket)
	must.NotNil(t, result, must.Sprint(ticket))
	must.Nil(t, result.Failure, must.Sprint(ticket))
	must.NoError(t, json.Unmarshal(result.Body, &j))
	return j
}

// quorumRounds returns the number of rounds of all proposers. Rounds of quorum reads are not
// included.
func (cluster *threeCores) quorumRounds() (sum uint64) {
	for _, a := range coreAddrs {
		sum += cluster.nodes[a].Proposer().Rounds
	}
	return sum
}

// Concurrent joins at one core or at all cores must share a bounded number of rounds instead of
// using one round each, and every node must get a unique lease epoch.
func TestConcurrentJoinsShareRounds(t *testing.T) {
	for _, c := range []struct{ joins, cores, batches, rounds int }{{100, 1, 1, 8}, {320, 1, 3, 12}, {320, 3, 3, 12}} {
		cluster := newThreeCores(t)
		before := cluster.quorumRounds()
		for n := range c.joins {
			cluster.join(coreAddrs[n%c.cores], uint64(n+1), joinRequest(n, "run"))
		}
		cluster.advance(500 * time.Millisecond)
		idle := newThreeCores(t)
		idleRounds := idle.quorumRounds()
		idle.advance(500 * time.Millisecond)
		leaseEpochs := map[ident.LeaseEpoch]bool{}
		for n := range c.joins {
			leaseEpochs[cluster.joinResult(t, uint64(n+1)).LeaseEpoch] = true
		}
		must.MapLen(t, c.joins, leaseEpochs)
		cost := int(cluster.quorumRounds()-before) - int(idle.quorumRounds()-idleRounds)
		must.LessEq(t, c.rounds, cost)
		batches := uint64(0)
		for _, a := range coreAddrs {
			batches += cluster.nodes[a].JoinBatches
		}
		must.Eq(t, uint64(c.batches), batches)
		t.Logf("%d joins at %d cores: %d batches, %d rounds", c.joins, c.cores, batches, cost)
	}
}

// A repeated join at the same core or at another core must get the same lease epoch. A later run of
// the same node must get a higher lease epoch.
func TestRepeatedJoinKeepsItsLeaseEpoch(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.join("a:1", 1, joinRequest(1, "first"))
	cluster.join("a:1", 2, joinRequest(1, "first"))
	cluster.advance(300 * time.Millisecond)
	cluster.join("b:1", 3, joinRequest(1, "first"))
	cluster.advance(300 * time.Millisecond)
	cluster.join("c:1", 4, joinRequest(1, "second"))
	cluster.advance(300 * time.Millisecond)
	first := cluster.joinResult(t, 1)
	must.Eq(t, first, cluster.joinResult(t, 2))
	must.Eq(t, first, cluster.joinResult(t, 3))
	must.Greater(t, first.LeaseEpoch, cluster.joinResult(t, 4).LeaseEpoch)
}

// A core without a majority must queue a join for majorityWait and then refuse the join. If the core
// regains the majority before that, the core must grant the join.
func TestJoinWaitsForAMajority(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.drop = func(to ident.Addr, m message.Message) bool { return (to == "a:1") != (m.From == "a:1") }
	cluster.advance(2 * time.Second)
	cluster.join("a:1", 1, joinRequest(1, "run"))
	cluster.advance(time.Second)
	refused := cluster.ticketResult(1)
	must.NotNil(t, refused)
	must.Eq(t, failure.NoMajority, refused.Failure.Kind)
	must.Eq(t, failure.NotExecuted, refused.Failure.Outcome)
	must.Positive(t, refused.Failure.RetryAfter)
	cluster.join("a:1", 2, joinRequest(1, "run"))
	cluster.drop = nil
	cluster.advance(1500 * time.Millisecond)
	cluster.joinResult(t, 2)
}

// A leaving core must refuse the joins that are queued and the joins that arrive later.
func TestLeavingCoreRefusesJoins(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.join("a:1", 1, joinRequest(1, "run"))
	cluster.apply("a:1", cluster.nodes["a:1"].Leave(cluster.now, stopLimit))
	cluster.join("a:1", 2, joinRequest(2, "run"))
	cluster.advance(100 * time.Millisecond)
	for _, ticket := range []uint64{1, 2} {
		must.NotNil(t, cluster.ticketResult(ticket))
		must.Eq(t, failure.Stopping, cluster.ticketResult(ticket).Failure.Kind)
	}
	must.Eq(t, 2, cluster.nodes["a:1"].JoinsRefused)
}

// A core fails while joins are in progress. Every join must end within JoinBudget, and a repeated
// join must get a lease epoch that is higher than all epochs assigned before the failure.
func TestJoinsSurviveCoreFailure(t *testing.T) {
	for _, dead := range coreAddrs[1:] {
		cluster := newThreeCores(t)
		cluster.join("a:1", 1, joinRequest(0, "run"))
		cluster.advance(300 * time.Millisecond)
		highest := cluster.joinResult(t, 1).LeaseEpoch
		for n := 1; n <= 40; n++ {
			cluster.join("a:1", uint64(100+n), joinRequest(n, "run"))
		}
		cluster.apply("a:1", cluster.nodes["a:1"].Tick(cluster.now)) // the batch is sent
		cluster.down[dead] = true
		cluster.advance(node.JoinBudget + 100*time.Millisecond)
		for n := 1; n <= 40; n++ {
			must.NotNil(t, cluster.ticketResult(uint64(100+n)))
			cluster.join("a:1", uint64(200+n), joinRequest(n, "run"))
		}
		cluster.advance(node.JoinBudget + 100*time.Millisecond)
		for n := 1; n <= 40; n++ {
			must.Greater(t, highest, cluster.joinResult(t, uint64(200+n)).LeaseEpoch)
		}
	}
}
