package quota

import "cottonarch.example/cottonarch/base/ident"

const (
	// DefaultTotal is the default number of retries that all nodes together may make in any
	// window, for one service, beyond their own retry ratios.
	DefaultTotal = 60
	// smallTotalMaxShare is the largest share that one node may hold of a small total.
	smallTotalMaxShare = 6
)

// MaxShare returns the largest share that one node may hold of a total: a tenth, so that a small
// mesh leaves room for joining nodes, or smallTotalMaxShare if larger.
func MaxShare(total int) int { return max(0, min(total, max(smallTotalMaxShare, total/10))) }

// FairShare returns the share that each of the given number of nodes should hold of a total.
func FairShare(total, nodes int) int {
	if nodes <= 0 {
		return MaxShare(total)
	}
	return min(MaxShare(total), max(0, total)/nodes)
}

// Grant is the share of one node. Invariants:
//   - The node spends at most Share.
//   - Share is lowered only by a promise of the node, or removed by a release after the node has long
//     been silent.
//   - Seq is the sequence number of the newest request, and older requests have no effect.
//   - SmallestTotal is the smallest total of any request in this lease epoch, so SmallestTotal only
//     decreases within the epoch.
type Grant struct {
	LeaseEpoch    ident.LeaseEpoch `json:"claim"`
	Share         int              `json:"n"`
	Seq           uint64           `json:"seq,omitempty"`
	SmallestTotal int              `json:"of,omitempty"`
	// Run identifies the run of the sidecar to which LeaseEpoch was assigned; empty if the sidecar
	// sent no run.
	Run string `json:"run,omitempty"`
}

// total returns the total of a grant. A grant stored by a release without totals has DefaultTotal.
func (g Grant) total() int {
	if g.SmallestTotal == 0 {
		return DefaultTotal
	}
	return g.SmallestTotal
}

// State is the state of the control key. Invariant: a grant raises the sum of the shares to no more
// than the smallest total of any grant.
//
// While cores or sidecars with two totals exist, the smaller total applies. SmallestTotal only
// decreases within a lease epoch, so a node that moves from a core with the smaller total to a core
// with the larger total changes nothing. The larger total applies only after every node has got a new
// lease epoch (its sidecar was restarted) or was released. If the total falls below the sum of the
// shares, nothing more is granted until the nodes, which receive the smaller fair share, have
// promised to spend less.
type State struct {
	Nodes map[ident.Node]Grant `json:"nodes"`
	// HighestEpoch is the highest lease epoch that was assigned to a batch of joins. HighestEpoch
	// only increases.
	HighestEpoch ident.LeaseEpoch `json:"claims,omitempty"`
}

// smallestTotal returns the smallest total of any grant, or 0 if there are no grants.
func (s State) smallestTotal() int {
	smallest := 0
	for _, grant := range s.Nodes {
		if total := grant.total(); smallest == 0 || total < smallest {
			smallest = total
		}
	}
	return smallest
}

// recordRequest stores the lease epoch, the total and the promise of a node without granting a
// share.
func (s State) recordRequest(args Args) {
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

// grantShare raises the share of a recorded node to the fair share, as far as the shares of the
// other nodes allow.
func (s State) grantShare(node ident.Node) Share {
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
