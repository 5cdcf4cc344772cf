package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/registry/record"
)

// partitionDirections maps the name of each direction in which a core can be partitioned from the
// others to a function that reports whether a message is lost.
var partitionDirections = map[string]func(at, to ident.Addr, m message.Message) bool{
	"both": func(at, to ident.Addr, m message.Message) bool { return (m.From == at) != (to == at) },
	"in":   func(at, to ident.Addr, m message.Message) bool { return to == at && m.From != at },
	"out":  func(at, to ident.Addr, m message.Message) bool { return m.From == at && to != at },
}

func (cluster *threeCores) partition(core ident.Addr, direction string) {
	cluster.drop = func(to ident.Addr, m message.Message) bool { return partitionDirections[direction](core, to, m) }
}

// call runs an operation at a core and waits for its result.
func (cluster *threeCores) call(core ident.Addr, op proposer.Operation, budget time.Duration) (result callResult) {
	cluster.lastTicket++
	ticket, began := cluster.lastTicket, cluster.now
	cluster.submitOperation(core, ticket, op, budget)
	for cluster.ticketResult(ticket) == nil && cluster.now.Since(began) < budget+time.Second {
		cluster.advance(10 * time.Millisecond)
	}
	if end := cluster.ticketResult(ticket); end != nil {
		return callResult{string(end.Body), end.Failure, cluster.now.Since(began)}
	}
	return callResult{elapsed: -1}
}

type callResult struct {
	body    string
	failure *failure.Error
	elapsed time.Duration
}

func (result callResult) failureKind() failure.Kind {
	if result.failure == nil {
		return ""
	}
	return result.failure.Kind
}

func operationOf(key ident.Key, kind string, args any) proposer.Operation {
	return proposer.Operation{Key: key, Kind: kind, Args: operation.Encode(args), Repeatable: true}
}

// cachedKeyCalls lists calls that a core which proposes for every key could answer from memory,
// each with the kind of failure that the core returns while it is connected.
var cachedKeyCalls = []struct {
	operation   proposer.Operation
	failureKind failure.Kind // "" for a success
}{
	{operationOf("lock/l", "lock/claim", lock.Args{Holder: "other", TTL: 60000}), failure.LockHeld},
	{operationOf("lock/l", "lock/claim", lock.Args{Holder: "me", TTL: 60000, KeepToken: true}), ""},
	{operationOf("lock/l", "lock/renew", lock.Args{Holder: "me", FencingToken: 1, TTL: 60000}), ""},
	{operationOf("lock/l", "lock/renew", lock.Args{Holder: "me", FencingToken: 7}), failure.NotHolder},
	{operationOf("lock/l", "lock/release", lock.Args{Holder: "other", FencingToken: 1}), failure.NotHolder},
	{operationOf("lock/l", "lock/read", lock.Args{}), ""},
	{operationOf("number/n", "number/next", map[string]int{}), ""},
	{operationOf("number/n", "number/read", map[string]int{}), ""},
	{operationOf(keyspace.ControlKey("g."), "group/read", keyspace.Args{Name: "a"}), ""},
	{operationOf(keyspace.ControlKey("g."), "group/read", keyspace.Args{Name: "none"}), failure.NotFound},
	{operationOf(keyspace.ControlKey("g."), "group/put", keyspace.Args{Name: "a", Value: []byte(`"1"`)}), ""},
	{
		operationOf(keyspace.ControlKey("g."), "group/put", keyspace.Args{Name: "a", Value: []byte(`"2"`), IfRevision: new(ident.Revision)}),
		failure.Conflict,
	},
	{operationOf(keyspace.ControlKey("g."), "group/since", keyspace.Args{After: new(ident.Revision)}), ""},
	{operationOf(proposal.Key, "manifest/epoch", nil), ""},
	{operationOf(proposal.Key, "manifest/read", nil), ""},
	{
		operationOf(proposal.Key, "manifest/offer", proposal.Args{BaseVersion: new(uint64), AllowUnknown: true, Body: []byte(`{"release":9}`)}),
		failure.Conflict,
	},
	{
		operationOf(proposal.Key, "manifest/offer", proposal.Args{Body: []byte(`{"ways":{"w":{"host":"h","service":"none"}}}`)}),
		failure.Invalid,
	},
	{operationOf("share", "share/take", quota.Args{Node: "s", LeaseEpoch: 1}), failure.Conflict},
	{operationOf("share", "share/read", nil), ""},
	{operationOf("number/n", "no/such", nil), failure.Malformed},
}

// fillAllKeys writes a value to every key of cachedKeyCalls, and makes one core the proposer for
// all of these keys.
func (cluster *threeCores) fillAllKeys(t *testing.T, core ident.Addr) {
	for _, op := range []proposer.Operation{
		operationOf("lock/l", "lock/claim", lock.Args{Holder: "me", TTL: 60000}),
		operationOf("number/n", "number/next", map[string]int{}),
		operationOf(keyspace.ControlKey("g."), "group/put", keyspace.Args{Name: "a", Value: []byte(`"1"`)}),
		operationOf(proposal.Key, "manifest/offer", proposal.Args{AllowUnknown: true, Body: []byte(`{"release":3}`)}),
		operationOf("share", "share/take", quota.Args{Node: "s", LeaseEpoch: 2}),
	} {
		cluster.apply(core, cluster.nodes[core].Step(cluster.now, message.Message{Handover: &message.Handover{Keys: []ident.Key{op.Key}}}))
		cluster.advance(50 * time.Millisecond)
		must.Eq(t, "", cluster.call(core, op, 4*time.Second).failureKind(), must.Sprint(op.Kind))
	}
}

// takeOver makes a core the proposer for a key.
func (cluster *threeCores) takeOver(core ident.Addr, k ident.Key) {
	cluster.apply(core, cluster.nodes[core].Step(cluster.now, message.Message{Handover: &message.Handover{Keys: []ident.Key{k}}}))
	cluster.advance(50 * time.Millisecond)
}

// A core that proposes for a key has the key's value in memory. While the core is partitioned in
// any direction, it must neither answer nor reject calls from memory at any time: the only allowed
// results are "no majority" and "unknown outcome". A call that was reported as not executed must
// not be executed later. While it is connected, the core returns the expected result of each call.
func TestPartitionedCoreAnswersNothingFromMemory(t *testing.T) {
	const budget = 900 * time.Millisecond
	for direction := range partitionDirections {
		for _, afterMs := range []int{0, 300, 900, 1300, 2000, 3100} {
			after := time.Duration(afterMs) * time.Millisecond
			cluster := newThreeCores(t)
			cluster.fillAllKeys(t, "a:1")
			for i, call := range cachedKeyCalls {
				must.Eq(t, call.failureKind, cluster.call("a:1", call.operation, budget).failureKind(), must.Sprint(i, call.operation.Kind))
			}
			cluster.call("a:1", operationOf("number/n", "number/next", map[string]int{}), budget)
			for i, call := range cachedKeyCalls {
				cluster.takeOver("a:1", call.operation.Key)
				cluster.partition("a:1", direction)
				cluster.advance(after)
				description := fmt.Sprintf("call %d, %s, partition %s, %v after its start", i, call.operation.Kind, direction, after)
				got := cluster.call("a:1", call.operation, budget)
				must.NotNil(t, got.failure, must.Sprint(description, got.body))
				must.SliceContains(t, []failure.Kind{failure.NoMajority, failure.UnknownOutcome}, got.failureKind(), must.Sprint(description))
				must.Eq(t, got.failureKind() == failure.NoMajority, got.failure.Outcome == failure.NotExecuted, must.Sprint(description))
				must.Between(t, 0, got.elapsed, budget+50*time.Millisecond, must.Sprint(description))
				if direction != "out" && after > 1200*time.Millisecond || after > 3*time.Second {
					must.Eq(t, failure.NoMajority, got.failureKind(), must.Sprint(description))
					must.Less(t, 50*time.Millisecond, got.elapsed, must.Sprint(description))
				}
				cluster.drop = nil
				cluster.advance(time.Second)
				if call.operation.Kind == "number/next" && got.failure.Outcome == failure.NotExecuted {
					must.Eq(t, `{"number":3}`, cluster.call("b:1", operationOf("number/n", "number/read", nil), budget).body, must.Sprint(description))
				}
			}
		}
	}
}

// Calls are pending at a core when the core loses the majority. Reads and changes that were not
// started must be answered as not executed when the majority is lost, not only at their deadlines.
// A change that was started has an unknown outcome, and must be answered with its result if the
// majority is restored before the deadline.
func TestPendingCallsEndWhenMajorityIsLost(t *testing.T) {
	const budget = 4 * time.Second
	next, read := operationOf("number/n", "number/next", map[string]int{}), operationOf("number/n", "number/read", map[string]int{})
	next.Repeatable = false // each call must take effect only once
	startCutOff := func(direction string) *threeCores {
		cluster := newThreeCores(t)
		cluster.fillAllKeys(t, "a:1")
		cluster.takeOver("a:1", "number/n")
		cluster.partition("a:1", direction)
		return cluster
	}
	for _, direction := range []string{"both", "in"} {
		cluster := startCutOff(direction)
		got := cluster.call("a:1", read, budget)
		must.Eq(t, failure.NoMajority, got.failureKind())
		must.Less(t, 1300*time.Millisecond, got.elapsed)

		// The first change is in a round. The changes queued behind it are not started.
		cluster = startCutOff(direction)
		for ticket := uint64(1); ticket <= 3; ticket++ {
			cluster.submitOperation("a:1", ticket, next, budget)
		}
		cluster.advance(1300 * time.Millisecond)
		must.Nil(t, cluster.ticketResult(1))
		for ticket := uint64(2); ticket <= 3; ticket++ {
			must.NotNil(t, cluster.ticketResult(ticket))
			must.Eq(t, failure.NotExecuted, cluster.ticketResult(ticket).Failure.Outcome)
		}
		cluster.drop = nil
		cluster.advance(budget)
		must.Nil(t, cluster.ticketResult(1).Failure)
		must.Eq(t, `{"number":3}`, cluster.call("b:1", next, budget).body, must.Sprint("only the first of the three changes may take effect"))
	}
}

// A core that has just started and has no majority yet must queue a call until it has a majority,
// because heartbeats of live cores may not have arrived yet.
func TestStartingCoreQueuesCalls(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.down["c:1"] = true
	cluster.start(t, "c:1", "", coreAddrs)
	got := cluster.call("c:1", operationOf("number/n", "number/next", map[string]int{}), 2*time.Second)
	must.Nil(t, got.failure)
}

// holdConfig sets the configuration that a core holds, as the daemon does after it has read the
// configuration.
func (cluster *threeCores) holdConfig(core ident.Addr, revision ident.ConfigRevision) {
	cluster.nodes[core].Leases.SetConfig(&validation.Config{Revision: revision})
}

// isStale renews a sidecar's lease at a core, and returns whether the core reports that it is
// stale.
func (cluster *threeCores) isStale(t *testing.T, core ident.Addr) bool {
	renewed, fx, rejected := cluster.nodes[core].Renew(
		cluster.now,
		record.Renewal{Node: "s", LeaseEpoch: 1, Seq: 1, Report: &record.Report{Node: "s"}},
	)
	must.Nil(t, rejected)
	cluster.apply(core, fx)
	return renewed.Stale
}

// A core that is partitioned in any direction must report to its sidecars that it is stale, within
// 1.3 s after it lost the majority or learned of a configuration that it cannot fetch. A connected
// core must never report that it is stale.
func TestPartitionedCoreReportsStale(t *testing.T) {
	for direction := range partitionDirections {
		cluster := newThreeCores(t)
		cluster.fillAllKeys(t, "a:1")
		for _, a := range coreAddrs {
			cluster.holdConfig(a, 1)
		}
		for range 50 {
			cluster.advance(100 * time.Millisecond)
			must.False(t, cluster.isStale(t, "a:1"), must.Sprint(direction))
		}
		cluster.partition("a:1", direction)
		cluster.advance(1300 * time.Millisecond) // another core becomes the proposer for the key
		must.Eq(t, direction != "out", cluster.isStale(t, "a:1"), must.Sprint(direction))
		newer := operationOf(proposal.Key, "manifest/offer", proposal.Args{AllowUnknown: true, Body: []byte(`{"release":4}`)})
		must.Eq(t, "", cluster.call("b:1", newer, time.Second).failureKind(), must.Sprint(direction))
		cluster.holdConfig("b:1", 2)
		cluster.holdConfig("c:1", 2)
		cluster.advance(1300 * time.Millisecond)
		must.True(t, cluster.isStale(t, "a:1"), must.Sprint(direction, ": a:1 holds an older configuration and does not report that it is stale"))
		must.False(t, cluster.isStale(t, "b:1"), must.Sprint(direction))
		cluster.drop = nil
		cluster.advance(time.Second)
		cluster.holdConfig("a:1", 2)
		cluster.advance(100 * time.Millisecond)
		must.False(t, cluster.isStale(t, "a:1"), must.Sprint(direction, ": a:1 is stale after the partition healed"))
	}
}

// A core is partitioned for 20 s. A spare core takes the slot of the partitioned core in the
// membership, and the other cores change the keys for which the partitioned core was the proposer.
// The partitioned core must answer every call with 503 or 504. After the partition has healed, the
// core must have a new disk identifier without the old records, and must return the newest values.
func TestCoreReplacedWhilePartitioned(t *testing.T) {
	const budget = 900 * time.Millisecond
	next, read := operationOf("number/n", "number/next", nil), operationOf("number/n", "number/read", nil)
	for direction := range partitionDirections {
		cluster := newThreeCores(t)
		cluster.start(t, "d:1", "disk-d:1", coreAddrs)
		cluster.advance(10 * time.Second)
		cluster.fillAllKeys(t, "a:1")
		cluster.takeOver("a:1", "number/n")
		disk := cluster.nodes["a:1"].Disk
		cluster.partition("a:1", direction)
		for began := cluster.now; cluster.now.Since(began) < 20*time.Second; {
			if got := cluster.call("b:1", next, budget); cluster.now.Since(began) > 4*time.Second {
				must.Nil(
					t,
					got.failure,
					must.Sprint(direction, ": a core that has a majority rejects a call after ", cluster.now.Since(began)),
				)
			}
			for _, op := range []proposer.Operation{read, next, cachedKeyCalls[0].operation, cachedKeyCalls[9].operation, cachedKeyCalls[15].operation} {
				got := cluster.call("a:1", op, budget)
				must.NotNil(t, got.failure, must.Sprint(direction, op.Kind, got.body))
				must.SliceContains(
					t,
					[]failure.Kind{failure.NoMajority, failure.UnknownOutcome},
					got.failureKind(),
					must.Sprint(direction, op.Kind),
				)
			}
		}
		if direction != "in" { // with "in", the core's heartbeats still reach the other cores
			_, in := cluster.nodes["b:1"].Membership().Find(disk)
			must.False(t, in, must.Sprint(direction, ": the spare core did not take the slot"))
		}
		newestBody := cluster.call("b:1", read, budget).body
		cluster.drop = nil
		cluster.advance(5 * time.Second)
		if direction != "in" {
			must.NotEq(t, disk, cluster.nodes["a:1"].Disk, must.Sprint(direction))
		}
		must.Eq(t, newestBody, cluster.call("a:1", read, budget).body, must.Sprint(direction))
		must.Eq(t, failure.LockHeld, cluster.call("a:1", cachedKeyCalls[0].operation, budget).failureKind(), must.Sprint(direction))
	}
}
