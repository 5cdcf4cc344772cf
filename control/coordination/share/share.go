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
	// Each is what one sidecar asks for.
	Each = 5
)

// Grant is one node's share.
type Grant struct {
	Claim ident.Epoch `json:"claim"`
	N     int         `json:"n"`
}

// Shares is the state. Invariant: the shares never sum over Total.
type Shares struct {
	Nodes map[ident.Node]Grant `json:"nodes"`
}

// Args are those of both deeds.
type Args struct {
	Node  ident.Node  `json:"node"`
	Claim ident.Epoch `json:"claim"`
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
	old, ok := s.Nodes[a.Node]
	if ok && old.Claim > a.Claim {
		return book.Turned(defect.New(defect.Conflict, "claim %d is newer", old.Claim))
	}
	left := Total
	for node, g := range s.Nodes {
		if node != a.Node {
			left -= g.N
		}
	}
	g := Grant{Claim: a.Claim, N: min(Each, left)}
	s.Nodes[a.Node] = g
	return book.Entry{State: book.JSON(s), Body: book.JSON(g)}
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
