package quota

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// Key is the key that holds the shares and the claims.
	Key ident.Key = "share"
	// JoinKind is the operation that gives a batch of nodes their claims and shares at once.
	JoinKind = "share/enter"
	// MaxBatch bounds the nodes of one batch.
	MaxBatch = 256
	// MaxRunIDBytes bounds the mark of a run, which the state keeps for every node.
	MaxRunIDBytes = 32
	// firstBatchEpoch is where the claims of batches begin: above any number that a release with
	// a counter for each node has reached.
	firstBatchEpoch ident.Epoch = 1 << 20
	// maxReportedEpoch bounds what a core may say of a claim that it heard of, so that the
	// numbers never come to an end.
	maxReportedEpoch ident.Epoch = 1 << 62
)

// Joiner is one node of a batch. A node that enters again under the same mark of its run
// is given the same claim, however often and at however many cores it asks.
type Joiner struct {
	Node ident.Node `json:"node"`
	Run  string     `json:"run,omitempty"`
	// Total is as in Args.
	Total int `json:"total,omitempty"`
	// KnownEpoch is a claim of this node that the core has heard of; the new one is higher.
	KnownEpoch ident.Epoch `json:"above,omitempty"`
}

// JoinArgs are those of an enter.
type JoinArgs struct {
	Nodes []Joiner `json:"nodes"`
}

// Joined is the return for one node, in the order of the batch.
type Joined struct {
	LeaseEpoch ident.Epoch `json:"claim"`
	Share      Share       `json:"share"`
}

// join gives each node of a batch a claim above every one that was given before, and its
// share. The claims are noted first, so that the fair share is that of all of them.
func join(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var args JoinArgs
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	if err := args.validate(); err != nil {
		return operation.Rejected(err)
	}
	if current.Nodes == nil {
		current.Nodes = map[ident.Node]Grant{}
	}
	current.HighestEpoch = current.highestEpoch()
	for _, joiner := range args.Nodes {
		if !current.isRepeat(joiner) {
			current.assignEpoch(joiner)
		}
	}
	joined := make([]Joined, len(args.Nodes))
	for i, joiner := range args.Nodes {
		granted := current.raise(joiner.Node)
		joined[i] = Joined{LeaseEpoch: current.Nodes[joiner.Node].LeaseEpoch, Share: granted}
	}
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(joined)}
}

// validate tells what is wrong with a batch.
func (a JoinArgs) validate() *failure.Error {
	if len(a.Nodes) == 0 || len(a.Nodes) > MaxBatch {
		return failure.New(failure.Invalid, "a batch has from 1 to %d nodes", MaxBatch)
	}
	seen := map[ident.Node]bool{}
	for _, joiner := range a.Nodes {
		switch {
		case joiner.Node == "":
			return failure.New(failure.Invalid, "a join needs a node")
		case len(joiner.Run) > MaxRunIDBytes:
			return failure.New(failure.Invalid, "the mark of a run has at most %d bytes", MaxRunIDBytes)
		case seen[joiner.Node]:
			return failure.New(failure.Invalid, "node %q is twice in a batch", joiner.Node)
		}
		seen[joiner.Node] = true
	}
	return nil
}

// highestEpoch is a number that no claim given before is above. A release that does not know
// Claims may have left it out, so the standing claims are looked at too.
func (s State) highestEpoch() ident.Epoch {
	highest := max(s.HighestEpoch, firstBatchEpoch)
	for _, grant := range s.Nodes {
		highest = max(highest, grant.LeaseEpoch)
	}
	return highest
}

// isRepeat tells whether the node holds a claim of this very run, which no core has seen
// superseded.
func (s State) isRepeat(joiner Joiner) bool {
	grant, known := s.Nodes[joiner.Node]
	return known && joiner.Run != "" && grant.Run == joiner.Run && grant.LeaseEpoch >= joiner.knownEpoch()
}

// knownEpoch is Above, unless it is beyond what any claim can be.
func (j Joiner) knownEpoch() ident.Epoch {
	if j.KnownEpoch > maxReportedEpoch {
		return 0
	}
	return j.KnownEpoch
}

// assignEpoch gives the node the next claim.
func (s *State) assignEpoch(joiner Joiner) {
	s.HighestEpoch = max(s.HighestEpoch, joiner.knownEpoch()) + 1
	s.record(Args{Node: joiner.Node, LeaseEpoch: s.HighestEpoch, Total: joiner.Total})
	grant := s.Nodes[joiner.Node]
	grant.Run = joiner.Run
	s.Nodes[joiner.Node] = grant
}
