package quota

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// JoinKind is the operation that assigns lease epochs and shares to a batch of nodes.
	JoinKind = "share/enter"
	// MaxBatchNodes is the largest number of nodes in one batch.
	MaxBatchNodes = 256
	// MaxRunIDBytes is the largest size of a run identifier, which the state holds for every node.
	MaxRunIDBytes = 32
	// firstBatchEpoch is the base of the lease epochs assigned to batches: higher than any epoch of
	// a release that counted lease epochs separately for each node.
	firstBatchEpoch ident.LeaseEpoch = 1 << 20
	// maxReportedEpoch is the largest epoch that a core may report, so that epochs never run out.
	maxReportedEpoch ident.LeaseEpoch = 1 << 62
)

// Joiner is one node of a batch. A node that joins again with the same run gets the same lease
// epoch, however many requests the node sends and to however many cores.
type Joiner struct {
	Node ident.Node `json:"node"`
	// Run identifies the run of the node's sidecar; empty if the sidecar sends no run.
	Run string `json:"run,omitempty"`
	// Total is the same as Args.Total.
	Total int `json:"total,omitempty"`
	// KnownEpoch is a lease epoch of this node that the core knows of; a new epoch is higher.
	KnownEpoch ident.LeaseEpoch `json:"above,omitempty"`
}

// JoinArgs holds the arguments of a join.
type JoinArgs struct {
	Nodes []Joiner `json:"nodes"`
}

// JoinResult is the response for one node. The response to a batch lists the results in the order of
// the nodes in the batch.
type JoinResult struct {
	LeaseEpoch ident.LeaseEpoch `json:"claim"`
	Share      Share            `json:"share"`
}

// join assigns to each node of a batch a lease epoch above every earlier epoch, and grants the node
// a share. All nodes are recorded first, so that the fair share takes all of them into account.
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
		granted := current.grantShare(joiner.Node)
		joined[i] = JoinResult{LeaseEpoch: current.Nodes[joiner.Node].LeaseEpoch, Share: granted}
	}
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(joined)}
}

// validate checks the size of a batch and its nodes.
func (a JoinArgs) validate() *failure.Error {
	if len(a.Nodes) == 0 || len(a.Nodes) > MaxBatchNodes {
		return failure.New(failure.Invalid, "a batch must have from 1 to %d nodes", MaxBatchNodes)
	}
	seen := map[ident.Node]bool{}
	for _, joiner := range a.Nodes {
		switch {
		case joiner.Node == "":
			return failure.New(failure.Invalid, "a join needs a node")
		case len(joiner.Run) > MaxRunIDBytes:
			return failure.New(failure.Invalid, "the run identifier of node %q is longer than %d bytes", joiner.Node, MaxRunIDBytes)
		case seen[joiner.Node]:
			return failure.New(failure.Invalid, "node %q occurs more than once in the batch", joiner.Node)
		}
		seen[joiner.Node] = true
	}
	return nil
}

// highestEpoch returns the highest epoch assigned so far, at least firstBatchEpoch. A release that
// does not know HighestEpoch may have dropped the field, so the epochs of the nodes are included.
func (s State) highestEpoch() ident.LeaseEpoch {
	highest := max(s.HighestEpoch, firstBatchEpoch)
	for _, grant := range s.Nodes {
		highest = max(highest, grant.LeaseEpoch)
	}
	return highest
}

// isRepeat reports whether the node already has a lease epoch for the same run and the core that
// sent the join knows of no higher epoch.
func (s State) isRepeat(joiner Joiner) bool {
	grant, known := s.Nodes[joiner.Node]
	return known && joiner.Run != "" && grant.Run == joiner.Run && grant.LeaseEpoch >= joiner.knownEpoch()
}

// knownEpoch returns KnownEpoch, or 0 if KnownEpoch exceeds maxReportedEpoch.
func (j Joiner) knownEpoch() ident.LeaseEpoch {
	if j.KnownEpoch > maxReportedEpoch {
		return 0
	}
	return j.KnownEpoch
}

// assignEpoch assigns the next lease epoch to the node.
func (s *State) assignEpoch(joiner Joiner) {
	s.HighestEpoch = max(s.HighestEpoch, joiner.knownEpoch()) + 1
	s.recordRequest(Args{Node: joiner.Node, LeaseEpoch: s.HighestEpoch, Total: joiner.Total})
	grant := s.Nodes[joiner.Node]
	grant.Run = joiner.Run
	s.Nodes[joiner.Node] = grant
}
