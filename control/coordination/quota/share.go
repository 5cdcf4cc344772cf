// Package quota grants the sidecars their shares of the further tries that all
// nodes may make together beyond the fifth.
package quota

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// DefaultTotal is the extra tries in any window, for one service, over all nodes, where no
	// boot says otherwise.
	DefaultTotal = 60
	// smallTotalMaxShare is the largest share of a small total.
	smallTotalMaxShare = 6
)

// MaxShare is the largest share of a total, so that a small mesh leaves room for who joins.
func MaxShare(total int) int { return max(0, min(total, max(smallTotalMaxShare, total/10))) }

// FairShare is what each of n nodes should hold of a total.
func FairShare(total, nodes int) int {
	if nodes <= 0 {
		return MaxShare(total)
	}
	return min(MaxShare(total), max(0, total)/nodes)
}

// Grant is one node's share. Invariants: the node spends at most N; N is lowered only
// by the node's own promise, or when the node has long been silent; Seq is the newest
// promise or question taken, and older ones do nothing; Of is the smallest total that
// this claim was granted or asked anything under, and only falls.
type Grant struct {
	LeaseEpoch    ident.Epoch `json:"claim"`
	Share         int         `json:"n"`
	Seq           uint64      `json:"seq,omitempty"`
	SmallestTotal int         `json:"of,omitempty"`
	// Run marks the run of the sidecar that Claim was given to; "" where it gave none.
	Run string `json:"run,omitempty"`
}

// total is the total of a grant; one of a release that wrote none was under Total.
func (g Grant) total() int {
	if g.SmallestTotal == 0 {
		return DefaultTotal
	}
	return g.SmallestTotal
}

// State is the state. Invariant: a grant raises the sum of the shares to no more than the
// smallest total that any standing grant is under. So while cores or sidecars of two
// totals are about, the smaller one rules; since Of only falls within a claim, a node that
// turns from a core of the smaller total to one of the larger changes nothing, and the
// larger one rules only after every node has claimed anew (its sidecar was restarted) or
// was freed. A total that falls below what is granted already gives nothing more out until
// the nodes, told the smaller fair share, have promised less.
//
// Claims is the highest claim that a batch of joins was given, and only rises.
type State struct {
	Nodes        map[ident.Node]Grant `json:"nodes"`
	HighestEpoch ident.Epoch          `json:"claims,omitempty"`
}

// Args are those of all operations. Using, when given, promises that the node has spent at
// most that much of its share in the last window and will until it is told more.
type Args struct {
	Node       ident.Node  `json:"node"`
	LeaseEpoch ident.Epoch `json:"claim"`
	Used       *int        `json:"using,omitempty"`
	Seq        uint64      `json:"seq,omitempty"`
	// Total is the smaller of the sidecar's and the core's; 0 stands for the default, and
	// less for none.
	Total int `json:"total,omitempty"`
}

// CappedBy gives the same operation under the smaller of its own total and a core's.
func (a Args) CappedBy(total int) Args {
	if total != 0 && (a.Total == 0 || total < a.Total) {
		a.Total = total
	}
	return a
}

// Share is the response to a take.
type Share struct {
	Amount    int    `json:"n"`
	FairShare int    `json:"fair"`
	Seq       uint64 `json:"seq,omitempty"`
	// Total is what the share was granted under.
	Total int `json:"total,omitempty"`
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"share/take": take, JoinKind: join, "share/free": release, "share/read": read}
}

func decode(rawState, rawArgs json.RawMessage) (current State, args Args, err *failure.Error) {
	err = operation.Decode(rawState, rawArgs, &current, &args)
	if current.Nodes == nil {
		current.Nodes = map[ident.Node]Grant{}
	}
	return
}

// smallestTotal is the smallest that a standing grant is under.
func (s State) smallestTotal() int {
	smallest := 0
	for _, grant := range s.Nodes {
		if total := grant.total(); smallest == 0 || total < smallest {
			smallest = total
		}
	}
	return smallest
}

func take(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decode(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	grant, known := current.Nodes[args.Node]
	if known && grant.LeaseEpoch > args.LeaseEpoch {
		return operation.Rejected(failure.New(failure.Conflict, "claim %d is newer", grant.LeaseEpoch))
	}
	if grant.LeaseEpoch == args.LeaseEpoch && args.Seq <= grant.Seq && known {
		total := current.smallestTotal()
		return operation.Result{Body: operation.Encode(Share{Amount: grant.Share, FairShare: FairShare(total, len(current.Nodes)), Seq: grant.Seq, Total: total})}
	}
	current.record(args)
	body := operation.Encode(current.raise(args.Node))
	if known && grant == current.Nodes[args.Node] {
		return operation.Result{Body: body}
	}
	return operation.Result{State: operation.Encode(current), Body: body}
}

// record writes down the claim, the total and the promise of a node; it gives nothing.
func (s State) record(args Args) {
	grant, total := s.Nodes[args.Node], args.Total
	if total == 0 {
		total = DefaultTotal
	}
	if grant.LeaseEpoch != args.LeaseEpoch {
		grant.LeaseEpoch, grant.SmallestTotal, grant.Run = args.LeaseEpoch, total, ""
	}
	grant.Seq, grant.SmallestTotal = args.Seq, min(total, grant.total())
	if args.Used != nil && *args.Used >= 0 && *args.Used < grant.Share {
		grant.Share = *args.Used
	}
	s.Nodes[args.Node] = grant
}

// raise raises the share of a node that was noted to its fair share, as far as the others
// leave room.
func (s State) raise(node ident.Node) Share {
	grant, total := s.Nodes[node], s.smallestTotal()
	available, fair := total, FairShare(total, len(s.Nodes))
	for other, otherGrant := range s.Nodes {
		if other != node {
			available -= otherGrant.Share
		}
	}
	grant.Share = max(grant.Share, min(fair, available))
	s.Nodes[node] = grant
	return Share{Amount: grant.Share, FairShare: fair, Seq: grant.Seq, Total: total}
}

// release takes a share back. The caller must know from a majority that the node has
// been silent for longer than a share outlives its last renewal.
func release(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decode(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if grant, ok := current.Nodes[args.Node]; !ok || grant.LeaseEpoch != args.LeaseEpoch {
		return operation.Rejected(failure.New(failure.NotFound, "no such share"))
	}
	delete(current.Nodes, args.Node)
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(current)}
}

func read(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, _, err := decode(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	return operation.Result{Body: operation.Encode(current)}
}
