// Package share grants the sidecars their shares of the further tries that all
// nodes may make together beyond the fifth.
package share

import (
	"encoding/json"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// Total is the extra tries in any ten seconds, for one service, over all nodes.
	Total = 60
	// Most is the largest share, so that a small mesh leaves room for who joins.
	Most = 6
)

// Fair is what each of n nodes should hold.
func Fair(n int) int {
	if n <= 0 {
		return Most
	}
	return min(Most, Total/n)
}

// Grant is one node's share. Invariants: the node spends at most N; N is lowered only
// by the node's own promise, or when the node has long been silent; Seq is the newest
// promise or question taken, and older ones do nothing.
type Grant struct {
	Claim ident.Epoch `json:"claim"`
	N     int         `json:"n"`
	Seq   uint64      `json:"seq,omitempty"`
}

// Shares is the state. Invariant: the shares never sum over Total.
type Shares struct {
	Nodes map[ident.Node]Grant `json:"nodes"`
}

// Args are those of all deeds. Using, when given, promises that the node has spent at
// most that much of its share in the last window and will until it is told more.
type Args struct {
	Node  ident.Node  `json:"node"`
	Claim ident.Epoch `json:"claim"`
	Using *int        `json:"using,omitempty"`
	Seq   uint64      `json:"seq,omitempty"`
}

// Told is the return of a take.
type Told struct {
	N    int    `json:"n"`
	Fair int    `json:"fair"`
	Seq  uint64 `json:"seq,omitempty"`
}

// Deeds are the handlers.
func Deeds() book.Book {
	return book.Book{"share/take": take, "share/free": free, "share/read": read}
}

func load(state, raw json.RawMessage) (s Shares, a Args, d *defect.Defect) {
	d = book.Read(state, raw, &s, &a)
	if s.Nodes == nil {
		s.Nodes = map[ident.Node]Grant{}
	}
	return
}

func take(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	s, a, d := load(state, raw)
	if d != nil {
		return book.Turned(d)
	}
	g, known := s.Nodes[a.Node]
	if known && g.Claim > a.Claim {
		return book.Turned(defect.New(defect.Conflict, "claim %d is newer", g.Claim))
	}
	was := g
	if g.Claim != a.Claim {
		g.Claim, g.Seq = a.Claim, 0
	} else if a.Seq <= g.Seq && known {
		return book.Entry{Body: book.JSON(Told{N: g.N, Fair: Fair(len(s.Nodes)), Seq: g.Seq})}
	}
	g.Seq = a.Seq
	if a.Using != nil && *a.Using >= 0 && *a.Using < g.N {
		g.N = *a.Using
	}
	s.Nodes[a.Node] = g
	left, fair := Total, Fair(len(s.Nodes))
	for node, o := range s.Nodes {
		if node != a.Node {
			left -= o.N
		}
	}
	g.N = max(g.N, min(fair, left))
	s.Nodes[a.Node] = g
	body := book.JSON(Told{N: g.N, Fair: fair, Seq: g.Seq})
	if known && was == g {
		return book.Entry{Body: body}
	}
	return book.Entry{State: book.JSON(s), Body: body}
}

// free takes a share back. The caller must know from a majority that the node has
// been silent for longer than a share outlives its last renewal.
func free(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	s, a, d := load(state, raw)
	if d != nil {
		return book.Turned(d)
	}
	if g, ok := s.Nodes[a.Node]; !ok || g.Claim != a.Claim {
		return book.Turned(defect.New(defect.Missing, "no such share"))
	}
	delete(s.Nodes, a.Node)
	return book.Entry{State: book.JSON(s), Body: book.JSON(s)}
}

func read(_ owner.Turn, state, raw json.RawMessage) book.Entry {
	s, _, d := load(state, raw)
	if d != nil {
		return book.Turned(d)
	}
	return book.Entry{Body: book.JSON(s)}
}
