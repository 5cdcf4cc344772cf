package quota

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// JoinKind is the operation that gives a batch of nodes their lease epochs and shares.
	JoinKind = "share/enter"
	// MaxBatch bounds the nodes of one batch.
	MaxBatch = 256
	// MaxRunIDBytes bounds the identifier of a run, which the state holds for every node.
	MaxRunIDBytes = 32
	// firstBatchEpoch is where the lease epochs of batches start: above any epoch of a release
	// that counted them for each node.
	firstBatchEpoch ident.LeaseEpoch = 1 << 20
	// maxReportedEpoch bounds the epochs that a core may report, so that epochs never run out.
	maxReportedEpoch ident.LeaseEpoch = 1 << 62
)

// Joiner is one node of a batch. A node that joins again with the same run gets the same
// lease epoch, however often and at however many cores it asks.
type Joiner struct {
	Node ident.Node `json:"node"`
	// Run identifies the run of the node's sidecar; empty if it gives none.
	Run string `json:"run,omitempty"`
	// Total is as in Args.
	Total int `json:"total,omitempty"`
	// KnownEpoch is a lease epoch of this node that the core knows of; the new one is higher.
	KnownEpoch ident.LeaseEpoch `json:"above,omitempty"`
}

// JoinArgs are the arguments of a join.
type JoinArgs struct {
	Nodes []Joiner `json:"nodes"`
}

// JoinResult is the response for one node; the response to a batch holds them in its order.
type JoinResult struct {
	LeaseEpoch ident.LeaseEpoch `json:"claim"`
	Share      Share            `json:"share"`
}

// join gives each node of a batch a lease epoch above every earlier one, and its share. All
// nodes are recorded first, so that the fair share is that of all of them.
func join(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, JoinArgs](rawState, rawArgs)
	if err != nil {
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
	joined := make([]JoinResult, len(args.Nodes))
	for i, joiner := range args.Nodes {
		granted := current.raise(joiner.Node)
		joined[i] = JoinResult{LeaseEpoch: current.Nodes[joiner.Node].LeaseEpoch, Share: granted}
	}
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(joined)}
}

// validate checks the size of a batch and its nodes.
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
			return failure.New(failure.Invalid, "the identifier of a run has at most %d bytes", MaxRunIDBytes)
		case seen[joiner.Node]:
			return failure.New(failure.Invalid, "node %q is twice in a batch", joiner.Node)
		}
		seen[joiner.Node] = true
	}
	return nil
}

// highestEpoch returns an epoch that no earlier one is above. A release that does not know
// HighestEpoch may have dropped it, so the epochs of the nodes count too.
func (s State) highestEpoch() ident.LeaseEpoch {
	highest := max(s.HighestEpoch, firstBatchEpoch)
	for _, grant := range s.Nodes {
		highest = max(highest, grant.LeaseEpoch)
	}
	return highest
}

// isRepeat reports whether the node has a lease epoch of this very run, and no core knows of
// a higher one.
func (s State) isRepeat(joiner Joiner) bool {
	grant, known := s.Nodes[joiner.Node]
	return known && joiner.Run != "" && grant.Run == joiner.Run && grant.LeaseEpoch >= joiner.knownEpoch()
}

// knownEpoch returns KnownEpoch, 0 if it is higher than any epoch can be.
func (j Joiner) knownEpoch() ident.LeaseEpoch {
	if j.KnownEpoch > maxReportedEpoch {
		return 0
	}
	return j.KnownEpoch
}

// assignEpoch gives the node the next lease epoch.
func (s *State) assignEpoch(joiner Joiner) {
	s.HighestEpoch = max(s.HighestEpoch, joiner.knownEpoch()) + 1
	s.record(Args{Node: joiner.Node, LeaseEpoch: s.HighestEpoch, Total: joiner.Total})
	grant := s.Nodes[joiner.Node]
	grant.Run = joiner.Run
	s.Nodes[joiner.Node] = grant
}
