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
	// JoinBudget is how long a join waits at a core at most; it holds a batch that was out
	// when it came and its own.
	JoinBudget = 1800 * time.Millisecond
	// majorityWait is how long one waits at a core that sees no majority: another may.
	majorityWait = 600 * time.Millisecond
	// batchBudget is how long the operations of one batch may take.
	batchBudget = 1500 * time.Millisecond
)

// Joined is the body of the End of a join. Nothing newer than Manifest was confirmed before
// the join came in.
type Joined struct {
	LeaseEpoch     ident.Epoch `json:"claim"`
	Share          quota.Share `json:"share"`
	ConfigRevision ident.Epoch `json:"manifest"`
}

// joinBatch is the batch that is out: its two operations run beside each other, and it ends with
// the later of them.
type joinBatch struct {
	startedAt      monotime.Time
	size           int
	remaining      int
	entered        []quota.Joined
	configRevision ident.Epoch
	failure        *failure.Error
}

// Join takes a sidecar's wish to join; its End carries the ticket and a Joined. It costs
// nothing before the next tick, so what else a core has to answer goes first.
func (n *Node) Join(now monotime.Time, ticket uint64, r joinqueue.Request, budget time.Duration) (fx Effects) {
	refusal := errStopping()
	if !n.leaving {
		refusal = n.joinQueue.Add(now, ticket, r, now.Add(budget))
	}
	if refusal != nil {
		n.JoinsRefused++
		fx.Results = append(fx.Results, Result{Ticket: ticket, Failure: refusal})
	}
	return fx
}

// processJoins is the part of a tick that ends late joins and begins the next batch.
func (n *Node) processJoins(now monotime.Time, fx *Effects) {
	n.refuseJoins(n.joinQueue.Expire(now), fx)
	if n.leaving {
		n.refuseJoins(n.joinQueue.RefuseWaiting(now, failure.Stopping, "the core stops"), fx)
		return
	}
	if n.joinQueue.Len() == 0 {
		return
	}
	if !n.HasMajority(now) {
		n.refuseJoins(n.joinQueue.RefuseWaiting(now.Add(-majorityWait), failure.NoMajority, "this core sees no majority"), fx)
		return
	}
	if batch := n.joinQueue.BeginBatch(now); len(batch) > 0 {
		n.beginJoinBatch(now, batch, fx)
	}
}

func (n *Node) refuseJoins(refusals []joinqueue.Refusal, fx *Effects) {
	for _, r := range refusals {
		n.JoinsRefused++
		fx.Results = append(fx.Results, Result{Ticket: r.Ticket, Failure: r.Failure})
	}
}

// beginJoinBatch sends the operations of a batch: one for all claims and shares, and one read of the
// newest manifest epoch, which begins after all of its joins came in.
func (n *Node) beginJoinBatch(now monotime.Time, batch []joinqueue.Request, fx *Effects) {
	joining := &joinBatch{startedAt: now, size: len(batch), remaining: 2}
	n.JoinBatches++
	deadline := now.Add(batchBudget)
	n.begin(now, &pending{operation: proposer.Operation{Key: quota.Key, Kind: quota.JoinKind, Args: operation.Encode(n.entrants(batch))}, deadline: deadline,
		onDone: func(now monotime.Time, result Result, fx *Effects) {
			joining.collect(result, &joining.entered)
			n.finishJoinOperation(now, joining, fx)
		}}, fx)
	n.begin(now, &pending{operation: proposer.Operation{Key: proposal.Key, Kind: "manifest/epoch"}, deadline: deadline,
		onDone: func(now monotime.Time, result Result, fx *Effects) {
			var accepted proposal.Accepted
			joining.collect(result, &accepted)
			joining.configRevision = accepted.Revision
			n.finishJoinOperation(now, joining, fx)
		}}, fx)
}

// entrants are the arguments of a batch. A claim that the lease table knows of is told, so that
// the new one is above it even if the shares have forgotten the node.
func (n *Node) entrants(batch []joinqueue.Request) (args quota.JoinArgs) {
	for _, r := range batch {
		args.Nodes = append(args.Nodes, quota.Joiner{Node: r.Node, Run: r.Run, Total: r.RetryTotal, KnownEpoch: n.Leases.LeaseEpoch(r.Node)})
	}
	return args
}

// collect reads the return of one of the operations.
func (b *joinBatch) collect(result Result, into any) {
	failed := result.Failure
	if failed == nil {
		if err := json.Unmarshal(result.Body, into); err != nil {
			failed = failure.New(failure.Damaged, "join: %v", err)
		}
	}
	if failed != nil && b.failure == nil {
		b.failure = failed
	}
}

// finishJoinOperation ends the batch once both of its operations have.
func (n *Node) finishJoinOperation(now monotime.Time, b *joinBatch, fx *Effects) {
	if b.remaining--; b.remaining > 0 {
		return
	}
	if b.failure == nil && len(b.entered) != b.size {
		b.failure = failure.New(failure.Damaged, "%d claims for %d joins", len(b.entered), b.size)
	}
	if b.failure == nil {
		n.learnFromJoins(now, b, fx)
	}
	for i, tickets := range n.joinQueue.EndBatch(now, b.failure == nil) {
		for _, ticket := range tickets {
			fx.Results = append(fx.Results, b.result(ticket, i))
		}
	}
}

// learnFromJoins takes the epoch that the batch has read as known here too.
func (n *Node) learnFromJoins(now monotime.Time, b *joinBatch, fx *Effects) {
	if b.configRevision > n.ConfigRevision {
		n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(b.configRevision)}, fx)
	}
	n.freshAsOf = max(n.freshAsOf, b.startedAt)
}

// result is what one caller of the batch is told.
func (b *joinBatch) result(ticket uint64, index int) Result {
	if b.failure != nil {
		failed := *b.failure
		failed.RetryAfter = max(failed.RetryAfter, 0.1)
		return Result{Ticket: ticket, Failure: &failed}
	}
	entry := b.entered[index]
	return Result{Ticket: ticket, Body: operation.Encode(Joined{LeaseEpoch: entry.LeaseEpoch, Share: entry.Share, ConfigRevision: b.configRevision})}
}
