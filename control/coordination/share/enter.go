package share

import (
	"encoding/json"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// Key is the key that holds the shares and the claims.
	Key ident.Key = "share"
	// EnterKind is the operation that gives a batch of nodes their claims and shares at once.
	EnterKind = "share/enter"
	// EnterMost bounds the nodes of one batch.
	EnterMost = 256
	// RunMost bounds the mark of a run, which the state keeps for every node.
	RunMost = 32
	// claimsFrom is where the claims of batches begin: above any number that a release with
	// a counter for each node has reached.
	claimsFrom ident.Epoch = 1 << 20
	// claimsMost bounds what a core may say of a claim that it heard of, so that the
	// numbers never come to an end.
	claimsMost ident.Epoch = 1 << 62
)

// Entrant is one node of a batch. A node that enters again under the same mark of its run
// is given the same claim, however often and at however many cores it asks.
type Entrant struct {
	Node ident.Node `json:"node"`
	Run  string     `json:"run,omitempty"`
	// Total is as in Args.
	Total int `json:"total,omitempty"`
	// Above is a claim of this node that the core has heard of; the new one is higher.
	Above ident.Epoch `json:"above,omitempty"`
}

// EnterArgs are those of an enter.
type EnterArgs struct {
	Nodes []Entrant `json:"nodes"`
}

// Entered is the return for one node, in the order of the batch.
type Entered struct {
	Claim ident.Epoch `json:"claim"`
	Share Told        `json:"share"`
}

// enter gives each node of a batch a claim above every one that was given before, and its
// share. The claims are noted first, so that the fair share is that of all of them.
func enter(_ proposer.Context, state, raw json.RawMessage) operation.Result {
	var s Shares
	var a EnterArgs
	if d := operation.Decode(state, raw, &s, &a); d != nil {
		return operation.Rejected(d)
	}
	if d := a.check(); d != nil {
		return operation.Rejected(d)
	}
	if s.Nodes == nil {
		s.Nodes = map[ident.Node]Grant{}
	}
	s.Claims = s.highest()
	for _, e := range a.Nodes {
		if !s.repeats(e) {
			s.claim(e)
		}
	}
	out := make([]Entered, len(a.Nodes))
	for i, e := range a.Nodes {
		told := s.grant(e.Node)
		out[i] = Entered{Claim: s.Nodes[e.Node].Claim, Share: told}
	}
	return operation.Result{State: operation.Encode(s), Body: operation.Encode(out)}
}

// check tells what is wrong with a batch.
func (a EnterArgs) check() *failure.Error {
	if len(a.Nodes) == 0 || len(a.Nodes) > EnterMost {
		return failure.New(failure.Invalid, "a batch has from 1 to %d nodes", EnterMost)
	}
	seen := map[ident.Node]bool{}
	for _, e := range a.Nodes {
		switch {
		case e.Node == "":
			return failure.New(failure.Invalid, "a join needs a node")
		case len(e.Run) > RunMost:
			return failure.New(failure.Invalid, "the mark of a run has at most %d bytes", RunMost)
		case seen[e.Node]:
			return failure.New(failure.Invalid, "node %q is twice in a batch", e.Node)
		}
		seen[e.Node] = true
	}
	return nil
}

// highest is a number that no claim given before is above. A release that does not know
// Claims may have left it out, so the standing claims are looked at too.
func (s Shares) highest() ident.Epoch {
	top := max(s.Claims, claimsFrom)
	for _, g := range s.Nodes {
		top = max(top, g.Claim)
	}
	return top
}

// repeats tells whether the node holds a claim of this very run, which no core has seen
// superseded.
func (s Shares) repeats(e Entrant) bool {
	g, known := s.Nodes[e.Node]
	return known && e.Run != "" && g.Run == e.Run && g.Claim >= e.above()
}

// above is Above, unless it is beyond what any claim can be.
func (e Entrant) above() ident.Epoch {
	if e.Above > claimsMost {
		return 0
	}
	return e.Above
}

// claim gives the node the next claim.
func (s *Shares) claim(e Entrant) {
	s.Claims = max(s.Claims, e.above()) + 1
	s.note(Args{Node: e.Node, Claim: s.Claims, Total: e.Total})
	g := s.Nodes[e.Node]
	g.Run = e.Run
	s.Nodes[e.Node] = g
}
