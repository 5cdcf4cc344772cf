package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/admission"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
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
	Claim    ident.Epoch `json:"claim"`
	Share    share.Told  `json:"share"`
	Manifest ident.Epoch `json:"manifest"`
}

// joinBatch is the batch that is out: its two operations run beside each other, and it ends with
// the later of them.
type joinBatch struct {
	began   monotime.Time
	size    int
	open    int
	given   []share.Entered
	epoch   ident.Epoch
	failure *failure.Error
}

// Join takes a sidecar's wish to join; its End carries the ticket and a Joined. It costs
// nothing before the next tick, so what else a core has to answer goes first.
func (n *Node) Join(now monotime.Time, ticket uint64, r admission.Request, budget time.Duration) (fx Effects) {
	d := errStopping()
	if !n.leaving {
		d = n.joins.Add(now, ticket, r, now.Add(budget))
	}
	if d != nil {
		n.JoinsRefused++
		fx.Ends = append(fx.Ends, End{Ticket: ticket, Failure: d})
	}
	return fx
}

// admit is the part of a tick that ends late joins and begins the next batch.
func (n *Node) admit(now monotime.Time, fx *Effects) {
	n.refuse(n.joins.Expire(now), fx)
	if n.leaving {
		n.refuse(n.joins.Refuse(now, failure.Stopping, "the core stops"), fx)
		return
	}
	if n.joins.Len() == 0 {
		return
	}
	if !n.Majority(now) {
		n.refuse(n.joins.Refuse(now.Add(-majorityWait), failure.NoMajority, "this core sees no majority"), fx)
		return
	}
	if batch := n.joins.Begin(now); len(batch) > 0 {
		n.beginBatch(now, batch, fx)
	}
}

func (n *Node) refuse(all []admission.Refusal, fx *Effects) {
	for _, r := range all {
		n.JoinsRefused++
		fx.Ends = append(fx.Ends, End{Ticket: r.Ticket, Failure: r.Failure})
	}
}

// beginBatch sends the operations of a batch: one for all claims and shares, and one read of the
// newest manifest epoch, which begins after all of its joins came in.
func (n *Node) beginBatch(now monotime.Time, batch []admission.Request, fx *Effects) {
	b := &joinBatch{began: now, size: len(batch), open: 2}
	n.JoinBatches++
	until := now.Add(batchBudget)
	n.begin(now, &pending{operation: proposer.Operation{Key: share.Key, Kind: share.EnterKind, Args: operation.Encode(n.entrants(batch))}, until: until,
		done: func(now monotime.Time, e End, fx *Effects) {
			b.take(e, &b.given)
			n.endPart(now, b, fx)
		}}, fx)
	n.begin(now, &pending{operation: proposer.Operation{Key: offer.Key, Kind: "manifest/epoch"}, until: until,
		done: func(now monotime.Time, e End, fx *Effects) {
			var yes offer.Yes
			b.take(e, &yes)
			b.epoch = yes.Epoch
			n.endPart(now, b, fx)
		}}, fx)
}

// entrants are the arguments of a batch. A claim that the lease table knows of is told, so that
// the new one is above it even if the shares have forgotten the node.
func (n *Node) entrants(batch []admission.Request) (a share.EnterArgs) {
	for _, r := range batch {
		a.Nodes = append(a.Nodes, share.Entrant{Node: r.Node, Run: r.Run, Total: r.Total, Above: n.Leases.Claim(r.Node)})
	}
	return a
}

// take reads the return of one of the operations.
func (b *joinBatch) take(e End, into any) {
	d := e.Failure
	if d == nil {
		if err := json.Unmarshal(e.Body, into); err != nil {
			d = failure.New(failure.Damaged, "join: %v", err)
		}
	}
	if d != nil && b.failure == nil {
		b.failure = d
	}
}

// endPart ends the batch once both of its operations have.
func (n *Node) endPart(now monotime.Time, b *joinBatch, fx *Effects) {
	if b.open--; b.open > 0 {
		return
	}
	if b.failure == nil && len(b.given) != b.size {
		b.failure = failure.New(failure.Damaged, "%d claims for %d joins", len(b.given), b.size)
	}
	if b.failure == nil {
		n.sureOf(now, b, fx)
	}
	for i, tickets := range n.joins.End(now, b.failure == nil) {
		for _, ticket := range tickets {
			fx.Ends = append(fx.Ends, b.end(ticket, i))
		}
	}
}

// sureOf takes the epoch that the batch has read as known here too.
func (n *Node) sureOf(now monotime.Time, b *joinBatch, fx *Effects) {
	if b.epoch > n.Epoch {
		n.learn(now, message.Learned{Key: offer.Key, Revision: ident.Revision(b.epoch)}, fx)
	}
	n.freshAsOf = max(n.freshAsOf, b.began)
}

// end is what one caller of the batch is told.
func (b *joinBatch) end(ticket uint64, at int) End {
	if b.failure != nil {
		d := *b.failure
		d.RetryAfter = max(d.RetryAfter, 0.1)
		return End{Ticket: ticket, Failure: &d}
	}
	g := b.given[at]
	return End{Ticket: ticket, Body: operation.Encode(Joined{Claim: g.Claim, Share: g.Share, Manifest: b.epoch})}
}
