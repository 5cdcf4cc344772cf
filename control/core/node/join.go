package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// JoinBudget is the time limit of a join at a core. It is long enough for the batch in progress
	// and for the batch that contains the join.
	JoinBudget = 1800 * time.Millisecond
	// majorityWait is the time that a join waits at a core without a majority before the core
	// refuses the join, so that the sidecar tries another core.
	majorityWait = 600 * time.Millisecond
	// batchBudget is the time limit of the operations of one batch.
	batchBudget = 1500 * time.Millisecond
	// batchOperations is the number of operations in a batch.
	batchOperations = 2
	// minJoinRetryAfterSeconds is the minimum time after which a sidecar may retry a failed join.
	minJoinRetryAfterSeconds = 0.1
)

// JoinResult is the body of the Result of a join. No configuration newer than ConfigRevision was
// confirmed before the join request arrived.
type JoinResult struct {
	LeaseEpoch     ident.LeaseEpoch     `json:"claim"`
	Share          quota.Share          `json:"share"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
}

// joinBatch is the batch of joins in progress. The operations of the batch run concurrently, and
// the batch ends when the last operation ends.
type joinBatch struct {
	startedAt         monotime.Time
	size              int
	pendingOperations int
	joined            []quota.JoinResult
	configRevision    ident.ConfigRevision
	failure           *failure.Error
}

// Join queues a sidecar's request to join. The Result carries the ticket and a JoinResult. The
// request is not processed before the next tick, so that the core's other requests have priority.
func (n *Node) Join(now monotime.Time, ticket uint64, r joinqueue.Request, budget time.Duration) (fx Effects) {
	refusal := errStopping()
	if !n.leaving {
		refusal = n.joins.Add(now, ticket, r, now.Add(budget))
	}
	if refusal != nil {
		n.JoinsRefused++
		fx.fail(ticket, refusal)
	}
	return fx
}

// tickJoins refuses the joins whose deadlines have passed and begins the next batch.
func (n *Node) tickJoins(now monotime.Time, fx *Effects) {
	n.refuseJoins(n.joins.Expire(now), fx)
	if n.leaving {
		n.refuseJoins(n.joins.RefuseWaiting(now, failure.Stopping, "the core is stopping"), fx)
		return
	}
	if n.joins.Len() == 0 {
		return
	}
	if !n.HasMajority(now) {
		n.refuseJoins(n.joins.RefuseWaiting(now.Add(-majorityWait), failure.NoMajority, "this core cannot reach a majority of the cores"), fx)
		return
	}
	if batch := n.joins.BeginBatch(now); len(batch) > 0 {
		n.beginJoinBatch(now, batch, fx)
	}
}

func (n *Node) refuseJoins(refusals []joinqueue.Refusal, fx *Effects) {
	for _, r := range refusals {
		n.JoinsRefused++
		fx.fail(r.Ticket, r.Failure)
	}
}

// beginJoinBatch starts the operations of a batch: one operation that assigns a lease epoch and a
// retry budget share to every node, and one read of the newest configuration revision. The read
// begins after all joins of the batch have arrived.
func (n *Node) beginJoinBatch(now monotime.Time, requests []joinqueue.Request, fx *Effects) {
	batch := &joinBatch{startedAt: now, size: len(requests), pendingOperations: batchOperations}
	n.JoinBatches++
	deadline := now.Add(batchBudget)
	join := proposer.Operation{Key: quota.Key, Kind: quota.JoinKind, Args: operation.Encode(n.joinArgs(requests))}
	n.beginOperation(now, &pending{operation: join, deadline: deadline, onResult: func(now monotime.Time, result Result, fx *Effects) {
		batch.collect(result, &batch.joined)
		n.joinOperationDone(now, batch, fx)
	}}, fx)
	read := proposer.Operation{Key: proposal.Key, Kind: proposal.ReadRevisionKind}
	n.beginOperation(now, &pending{operation: read, deadline: deadline, onResult: func(now monotime.Time, result Result, fx *Effects) {
		var newest proposal.Accepted
		batch.collect(result, &newest)
		batch.configRevision = newest.Revision
		n.joinOperationDone(now, batch, fx)
	}}, fx)
}

// joinArgs returns the arguments of a batch's join operation. The arguments include each node's
// lease epoch in the lease table, so that the new lease epoch is higher even if the node's share was
// removed.
func (n *Node) joinArgs(requests []joinqueue.Request) (args quota.JoinArgs) {
	for _, r := range requests {
		args.Nodes = append(args.Nodes, quota.Joiner{
			Node:       r.Node,
			Run:        r.Run,
			Total:      r.RetryTotal,
			KnownEpoch: n.Leases.LeaseEpoch(r.Node),
		})
	}
	return args
}

// collect decodes the result of one of the batch's operations and records the batch's first
// failure.
func (b *joinBatch) collect(result Result, into any) {
	failed := result.Failure
	if failed == nil {
		if err := json.Unmarshal(result.Body, into); err != nil {
			failed = failure.New(failure.Corrupted, "decode join result: %v", err)
		}
	}
	if failed != nil && b.failure == nil {
		b.failure = failed
	}
}

// joinOperationDone records the end of one operation, and ends the batch once all operations ended.
func (n *Node) joinOperationDone(now monotime.Time, b *joinBatch, fx *Effects) {
	if b.pendingOperations--; b.pendingOperations > 0 {
		return
	}
	if b.failure == nil && len(b.joined) != b.size {
		b.failure = failure.New(failure.Corrupted, "join batch returned %d lease epochs for %d joins", len(b.joined), b.size)
	}
	if b.failure == nil {
		n.learnFromJoins(now, b, fx)
	}
	for i, tickets := range n.joins.EndBatch(now, b.failure == nil) {
		for _, ticket := range tickets {
			fx.Results = append(fx.Results, b.result(ticket, i))
		}
	}
}

// learnFromJoins records the configuration revision that the batch has read.
func (n *Node) learnFromJoins(now monotime.Time, b *joinBatch, fx *Effects) {
	if b.configRevision > n.ConfigRevision {
		n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(b.configRevision)}, fx)
	}
	n.freshness.asOf = max(n.freshness.asOf, b.startedAt)
}

// result returns the result for the caller of the join at the given index of the batch.
func (b *joinBatch) result(ticket uint64, index int) Result {
	if b.failure != nil {
		failed := *b.failure
		failed.RetryAfter = max(failed.RetryAfter, minJoinRetryAfterSeconds)
		return Result{Ticket: ticket, Failure: &failed}
	}
	entry := b.joined[index]
	joined := JoinResult{LeaseEpoch: entry.LeaseEpoch, Share: entry.Share, ConfigRevision: b.configRevision}
	return Result{Ticket: ticket, Body: operation.Encode(joined)}
}
