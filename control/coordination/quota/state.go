package quota

import "cottonarch.example/cottonarch/base/ident"

const (
	// DefaultTotal is how many retries all nodes together may make in any window, for one
	// service, beyond their own retry ratios, where no settings say otherwise.
	DefaultTotal = 60
	// smallTotalMaxShare is the largest share of a small total.
	smallTotalMaxShare = 6
)

// MaxShare returns the largest share of a total: a tenth, so that a small mesh leaves room
// for joining nodes, or smallTotalMaxShare if that is more.
func MaxShare(total int) int { return max(0, min(total, max(smallTotalMaxShare, total/10))) }

// FairShare returns what each of some nodes should hold of a total.
func FairShare(total, nodes int) int {
	if nodes <= 0 {
		return MaxShare(total)
	}
	return min(MaxShare(total), max(0, total)/nodes)
}

// Grant is the share of one node. Invariants: the node spends at most Share; Share is lowered
// only by the node's own promise, or removed when the node has long been silent; Seq is that
// of the newest request, and older requests have no effect; SmallestTotal is the smallest
// total that any request of this lease epoch was made under, so it only falls.
type Grant struct {
	LeaseEpoch    ident.LeaseEpoch `json:"claim"`
	Share         int              `json:"n"`
	Seq           uint64           `json:"seq,omitempty"`
	SmallestTotal int              `json:"of,omitempty"`
	// Run identifies the run of the sidecar that LeaseEpoch was given to; empty if it gave none.
	Run string `json:"run,omitempty"`
}

// total returns the total of a grant, DefaultTotal for one by a release that stored none.
func (g Grant) total() int {
	if g.SmallestTotal == 0 {
		return DefaultTotal
	}
	return g.SmallestTotal
}

// State is the state of the control key. Invariant: a grant raises the sum of the shares to
// no more than the smallest total of any grant. So while cores or sidecars with two totals
// exist, the smaller one rules: since SmallestTotal only falls within a lease epoch, a node
// that moves from a core with the smaller total to one with the larger changes nothing, and
// the larger one rules only after every node has got a new lease epoch (its sidecar was
// restarted) or was released. If the total falls below the sum of the shares, nothing more is
// granted until the nodes, which receive the smaller fair share, have promised less.
type State struct {
	Nodes map[ident.Node]Grant `json:"nodes"`
	// HighestEpoch is the highest lease epoch that a batch of joins was given; it only rises.
	HighestEpoch ident.LeaseEpoch `json:"claims,omitempty"`
}

// smallestTotal returns the smallest total of any grant, 0 if there is none.
func (s State) smallestTotal() int {
	smallest := 0
	for _, grant := range s.Nodes {
		if total := grant.total(); smallest == 0 || total < smallest {
			smallest = total
		}
	}
	return smallest
}

// record stores the lease epoch, the total and the promise of a node; it grants nothing.
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

// raise raises the share of a recorded node to the fair share, as far as the shares of the
// other nodes leave room.
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
