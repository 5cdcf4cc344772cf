// Package quota implements the state machine that divides the mesh-wide retry budget among the
// nodes. The sidecar of each node is granted a share of the retries that all nodes together may make
// beyond their own retry ratios. The state machine also assigns lease epochs to nodes that join.
package quota

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Key is the control key under which the shares and the lease epochs are stored.
const Key ident.Key = "share"

// The kinds of operations, in addition to JoinKind.
const (
	TakeKind    = "share/take"
	ReleaseKind = "share/free"
	ReadKind    = "share/read"
)

// Args holds the arguments of the operations on one node.
type Args struct {
	Node       ident.Node       `json:"node"`
	LeaseEpoch ident.LeaseEpoch `json:"claim"`
	// Used, if set, is a promise that the node spent at most Used retries of its share in the last
	// window, and will not spend more until the node is granted more.
	Used *int   `json:"using,omitempty"`
	Seq  uint64 `json:"seq,omitempty"`
	// Total is the smaller of the totals configured for the sidecar and for the core; 0 means
	// DefaultTotal, a negative value means no retries.
	Total int `json:"total,omitempty"`
}

// CappedBy returns the arguments with Total limited to total; a total of 0 sets no limit.
func (a Args) CappedBy(total int) Args {
	if total != 0 && (a.Total == 0 || total < a.Total) {
		a.Total = total
	}
	return a
}

// Share is the response to a take operation: the retries that a node may make in a window.
type Share struct {
	Amount int `json:"n"`
	// FairShare is the share that the node should hold. If Amount is larger, the node promises to
	// spend less.
	FairShare int    `json:"fair"`
	Seq       uint64 `json:"seq,omitempty"`
	// Total is the total under which the share was granted.
	Total int `json:"total,omitempty"`
}

// Handlers returns the handlers of the operations on Key.
func Handlers() operation.Table {
	return operation.Table{TakeKind: take, JoinKind: join, ReleaseKind: release, ReadKind: read}
}

// decode decodes the state and the arguments of an operation on one node.
func decode(rawState, rawArgs json.RawMessage) (current State, args Args, err *failure.Error) {
	current, args, err = operation.DecodeAs[State, Args](rawState, rawArgs)
	if current.Nodes == nil {
		current.Nodes = map[ident.Node]Grant{}
	}
	return current, args, err
}

// take records the promise of a node and grants the node its share. A repeated request, or a request
// older than the newest request, changes nothing.
func take(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decode(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	grant, known := current.Nodes[args.Node]
	if known && grant.LeaseEpoch > args.LeaseEpoch {
		return operation.Rejected(failure.New(failure.Conflict, "lease epoch %d of node %q is superseded by %d", args.LeaseEpoch, args.Node, grant.LeaseEpoch))
	}
	if known && grant.LeaseEpoch == args.LeaseEpoch && args.Seq <= grant.Seq {
		total := current.smallestTotal()
		share := Share{Amount: grant.Share, FairShare: FairShare(total, len(current.Nodes)), Seq: grant.Seq, Total: total}
		return operation.Result{Body: operation.Encode(share)}
	}
	current.recordRequest(args)
	body := operation.Encode(current.grantShare(args.Node))
	if known && grant == current.Nodes[args.Node] {
		return operation.Result{Body: body}
	}
	return operation.Result{State: operation.Encode(current), Body: body}
}

// release removes the share of a node. The caller must know from a majority that the node has been
// silent for longer than a share remains valid after its last renewal.
func release(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decode(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if grant, ok := current.Nodes[args.Node]; !ok || grant.LeaseEpoch != args.LeaseEpoch {
		return operation.Rejected(failure.New(failure.NotFound, "node %q holds no share with lease epoch %d", args.Node, args.LeaseEpoch))
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
