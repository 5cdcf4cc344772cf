// Package quota is the state machine that divides the mesh-wide retry budget among the nodes:
// each node's sidecar is granted a share of the retries that all nodes together may make
// beyond their own retry ratios. It also gives the nodes that join their lease epochs.
package quota

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Key is the control key that holds the shares and the lease epochs.
const Key ident.Key = "share"

// The kinds of operations; JoinKind is one too.
const (
	TakeKind    = "share/take"
	ReleaseKind = "share/free"
	ReadKind    = "share/read"
)

// Args are the arguments of the operations on one node.
type Args struct {
	Node       ident.Node       `json:"node"`
	LeaseEpoch ident.LeaseEpoch `json:"claim"`
	// Used, when given, promises that the node spent at most that much of its share in the
	// last window, and will spend no more until it is granted more.
	Used *int   `json:"using,omitempty"`
	Seq  uint64 `json:"seq,omitempty"`
	// Total is the smaller of the totals of the sidecar and the core; 0 means DefaultTotal, a
	// negative one means none.
	Total int `json:"total,omitempty"`
}

// CappedBy returns the same arguments with the smaller of their own total and another one.
func (a Args) CappedBy(total int) Args {
	if total != 0 && (a.Total == 0 || total < a.Total) {
		a.Total = total
	}
	return a
}

// Share is the response to a take: what a node may spend in a window.
type Share struct {
	Amount int `json:"n"`
	// FairShare is what the node should hold; it promises to spend less if Amount is more.
	FairShare int    `json:"fair"`
	Seq       uint64 `json:"seq,omitempty"`
	// Total is the total that the share was granted under.
	Total int `json:"total,omitempty"`
}

// Handlers returns the operations of the control key.
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

// take records what a node promises and grants it its share. A repeat, or a request from
// before the newest one, changes nothing.
func take(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decode(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	grant, known := current.Nodes[args.Node]
	if known && grant.LeaseEpoch > args.LeaseEpoch {
		return operation.Rejected(failure.New(failure.Conflict, "lease epoch %d is newer", grant.LeaseEpoch))
	}
	if known && grant.LeaseEpoch == args.LeaseEpoch && args.Seq <= grant.Seq {
		total := current.smallestTotal()
		share := Share{Amount: grant.Share, FairShare: FairShare(total, len(current.Nodes)), Seq: grant.Seq, Total: total}
		return operation.Result{Body: operation.Encode(share)}
	}
	current.record(args)
	body := operation.Encode(current.raise(args.Node))
	if known && grant == current.Nodes[args.Node] {
		return operation.Result{Body: body}
	}
	return operation.Result{State: operation.Encode(current), Body: body}
}

// release takes the share of a node back. The caller must know from a majority that the node
// has been silent for longer than a share is valid after its last renewal.
func release(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decode(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if grant, ok := current.Nodes[args.Node]; !ok || grant.LeaseEpoch != args.LeaseEpoch {
		return operation.Rejected(failure.New(failure.NotFound, "no such share"))
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
