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
	// JoinBudget is how long a join may wait at a core: long enough for the batch in progress
	// and for its own.
	JoinBudget = 1800 * time.Millisecond
	// majorityWait is how long a join waits at a core that hears no majority before it is sent
	// to another.
	majorityWait = 600 * time.Millisecond
	// batchBudget is how long the operations of one batch may take.
	batchBudget = 1500 * time.Millisecond
	// batchOperations is the number of operations of a batch.
	batchOperations = 2
	// minJoinRetryAfter is, in seconds, the least time after which a failed join is repeated.
	minJoinRetryAfter = 0.1
)

// JoinResult is the body of the Result of a join. No configuration newer than ConfigRevision was
// confirmed before the join came in.
type JoinResult struct {
	LeaseEpoch     ident.LeaseEpoch     `json:"claim"`
	Share          quota.Share          `json:"share"`
	ConfigRevision ident.ConfigRevision `json:"manifest"`
}

// joinBatch is the batch in progress. Its operations run concurrently, and it ends with the
// last of them.
type joinBatch struct {
	startedAt      monotime.Time
	size           int
	remaining      int
	entered        []quota.JoinResult
	configRevision ident.ConfigRevision
	failure        *failure.Error
}

// Join queues a sidecar's request to join. Its Result carries the ticket and a JoinResult. The
// request is not worked on before the next tick, so that a core's other requests go first.
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

// tickJoins ends the joins whose time is over and begins the next batch.
func (n *Node) tickJoins(now monotime.Time, fx *Effects) {
	n.refuseJoins(n.joins.Expire(now), fx)
	if n.leaving {
		n.refuseJoins(n.joins.RefuseWaiting(now, failure.Stopping, "the core stops"), fx)
		return
	}
	if n.joins.Len() == 0 {
		return
	}
	if !n.HasMajority(now) {
		n.refuseJoins(n.joins.RefuseWaiting(now.Add(-majorityWait), failure.NoMajority, "this core sees no majority"), fx)
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

// beginJoinBatch starts the operations of a batch: one that gives every node its lease epoch and
// its share, and one read of the newest configuration revision, which begins after all joins of
// the batch came in.
func (n *Node) beginJoinBatch(now monotime.Time, requests []joinqueue.Request, fx *Effects) {
	batch := &joinBatch{startedAt: now, size: len(requests), remaining: batchOperations}
	n.JoinBatches++
	deadline := now.Add(batchBudget)
	join := proposer.Operation{Key: quota.Key, Kind: quota.JoinKind, Args: operation.Encode(n.joinArgs(requests))}
	n.begin(now, &pending{operation: join, deadline: deadline, onDone: func(now monotime.Time, result Result, fx *Effects) {
		batch.collect(result, &batch.entered)
		n.finishJoinOperation(now, batch, fx)
	}}, fx)
	read := proposer.Operation{Key: proposal.Key, Kind: proposal.ReadRevisionKind}
	n.begin(now, &pending{operation: read, deadline: deadline, onDone: func(now monotime.Time, result Result, fx *Effects) {
		var newest proposal.Accepted
		batch.collect(result, &newest)
		batch.configRevision = newest.Revision
		n.finishJoinOperation(now, batch, fx)
	}}, fx)
}

// joinArgs returns the arguments of a batch. They name each lease epoch that the lease table
// knows of, so that the new one is higher even if the shares have forgotten the node.
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

// collect takes the result of one of the operations, and the first failure of them.
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

// finishJoinOperation ends the batch once all of its operations have ended.
func (n *Node) finishJoinOperation(now monotime.Time, b *joinBatch, fx *Effects) {
	if b.remaining--; b.remaining > 0 {
		return
	}
	if b.failure == nil && len(b.entered) != b.size {
		b.failure = failure.New(failure.Corrupted, "the batch returned %d lease epochs for %d joins", len(b.entered), b.size)
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

// learnFromJoins takes the configuration revision that the batch has read.
func (n *Node) learnFromJoins(now monotime.Time, b *joinBatch, fx *Effects) {
	if b.configRevision > n.ConfigRevision {
		n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(b.configRevision)}, fx)
	}
	n.freshness.asOf = max(n.freshness.asOf, b.startedAt)
}

// result returns the answer to one caller of the batch.
func (b *joinBatch) result(ticket uint64, index int) Result {
	if b.failure != nil {
		failed := *b.failure
		failed.RetryAfter = max(failed.RetryAfter, minJoinRetryAfter)
		return Result{Ticket: ticket, Failure: &failed}
	}
	entry := b.entered[index]
	joined := JoinResult{LeaseEpoch: entry.LeaseEpoch, Share: entry.Share, ConfigRevision: b.configRevision}
	return Result{Ticket: ticket, Body: operation.Encode(joined)}
}
