// Package share grants the sidecars their shares of the further tries that all
// nodes may make together beyond the fifth.
package share

import (
	"encoding/json"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// Total is the extra tries in any window, for one service, over all nodes, where no
	// boot says otherwise.
	Total = 60
	// most is the largest share of a small total.
	most = 6
)

// Most is the largest share of a total, so that a small mesh leaves room for who joins.
func Most(total int) int { return max(0, min(total, max(most, total/10))) }

// Fair is what each of n nodes should hold of a total.
func Fair(total, n int) int {
	if n <= 0 {
		return Most(total)
	}
	return min(Most(total), max(0, total)/n)
}

// Grant is one node's share. Invariants: the node spends at most N; N is lowered only
// by the node's own promise, or when the node has long been silent; Seq is the newest
// promise or question taken, and older ones do nothing; Of is the smallest total that
// this claim was granted or asked anything under, and only falls.
type Grant struct {
	Claim ident.Epoch `json:"claim"`
	N     int         `json:"n"`
	Seq   uint64      `json:"seq,omitempty"`
	Of    int         `json:"of,omitempty"`
	// Run marks the run of the sidecar that Claim was given to; "" where it gave none.
	Run string `json:"run,omitempty"`
}

// of is the total of a grant; one of a release that wrote none was under Total.
func (g Grant) of() int {
	if g.Of == 0 {
		return Total
	}
	return g.Of
}

// Shares is the state. Invariant: a grant raises the sum of the shares to no more than the
// smallest total that any standing grant is under. So while cores or sidecars of two
// totals are about, the smaller one rules; since Of only falls within a claim, a node that
// turns from a core of the smaller total to one of the larger changes nothing, and the
// larger one rules only after every node has claimed anew (its sidecar was restarted) or
// was freed. A total that falls below what is granted already gives nothing more out until
// the nodes, told the smaller fair share, have promised less.
//
// Claims is the highest claim that a batch of joins was given, and only rises.
type Shares struct {
	Nodes  map[ident.Node]Grant `json:"nodes"`
	Claims ident.Epoch          `json:"claims,omitempty"`
}

// Args are those of all operations. Using, when given, promises that the node has spent at
// most that much of its share in the last window and will until it is told more.
type Args struct {
	Node  ident.Node  `json:"node"`
	Claim ident.Epoch `json:"claim"`
	Using *int        `json:"using,omitempty"`
	Seq   uint64      `json:"seq,omitempty"`
	// Total is the smaller of the sidecar's and the core's; 0 stands for the default, and
	// less for none.
	Total int `json:"total,omitempty"`
}

// Under gives the same operation under the smaller of its own total and a core's.
func (a Args) Under(total int) Args {
	if total != 0 && (a.Total == 0 || total < a.Total) {
		a.Total = total
	}
	return a
}

// Told is the response to a take.
type Told struct {
	N    int    `json:"n"`
	Fair int    `json:"fair"`
	Seq  uint64 `json:"seq,omitempty"`
	// Total is what the share was granted under.
	Total int `json:"total,omitempty"`
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"share/take": take, EnterKind: enter, "share/free": free, "share/read": read}
}

func load(state, raw json.RawMessage) (s Shares, a Args, d *failure.Error) {
	d = operation.Decode(state, raw, &s, &a)
	if s.Nodes == nil {
		s.Nodes = map[ident.Node]Grant{}
	}
	return
}

// total is the smallest that a standing grant is under.
func (s Shares) total() int {
	least := 0
	for _, g := range s.Nodes {
		if of := g.of(); least == 0 || of < least {
			least = of
		}
	}
	return least
}

func take(_ proposer.Context, state, raw json.RawMessage) operation.Result {
	s, a, d := load(state, raw)
	if d != nil {
		return operation.Rejected(d)
	}
	g, known := s.Nodes[a.Node]
	if known && g.Claim > a.Claim {
		return operation.Rejected(failure.New(failure.Conflict, "claim %d is newer", g.Claim))
	}
	if g.Claim == a.Claim && a.Seq <= g.Seq && known {
		of := s.total()
		return operation.Result{Body: operation.Encode(Told{N: g.N, Fair: Fair(of, len(s.Nodes)), Seq: g.Seq, Total: of})}
	}
	s.note(a)
	body := operation.Encode(s.grant(a.Node))
	if known && g == s.Nodes[a.Node] {
		return operation.Result{Body: body}
	}
	return operation.Result{State: operation.Encode(s), Body: body}
}

// note writes down the claim, the total and the promise of a node; it gives nothing.
func (s Shares) note(a Args) {
	g, total := s.Nodes[a.Node], a.Total
	if total == 0 {
		total = Total
	}
	if g.Claim != a.Claim {
		g.Claim, g.Of, g.Run = a.Claim, total, ""
	}
	g.Seq, g.Of = a.Seq, min(total, g.of())
	if a.Using != nil && *a.Using >= 0 && *a.Using < g.N {
		g.N = *a.Using
	}
	s.Nodes[a.Node] = g
}

// grant raises the share of a node that was noted to its fair share, as far as the others
// leave room.
func (s Shares) grant(node ident.Node) Told {
	g, total := s.Nodes[node], s.total()
	left, fair := total, Fair(total, len(s.Nodes))
	for other, o := range s.Nodes {
		if other != node {
			left -= o.N
		}
	}
	g.N = max(g.N, min(fair, left))
	s.Nodes[node] = g
	return Told{N: g.N, Fair: fair, Seq: g.Seq, Total: total}
}

// free takes a share back. The caller must know from a majority that the node has
// been silent for longer than a share outlives its last renewal.
func free(_ proposer.Context, state, raw json.RawMessage) operation.Result {
	s, a, d := load(state, raw)
	if d != nil {
		return operation.Rejected(d)
	}
	if g, ok := s.Nodes[a.Node]; !ok || g.Claim != a.Claim {
		return operation.Rejected(failure.New(failure.Missing, "no such share"))
	}
	delete(s.Nodes, a.Node)
	return operation.Result{State: operation.Encode(s), Body: operation.Encode(s)}
}

func read(_ proposer.Context, state, raw json.RawMessage) operation.Result {
	s, _, d := load(state, raw)
	if d != nil {
		return operation.Rejected(d)
	}
	return operation.Result{Body: operation.Encode(s)}
}
