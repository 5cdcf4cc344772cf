// Package chunk is the machine of the audit log's control keys: each holds a run of
// leaves, and a leaf says which manifest an epoch brought.
package chunk

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// Prefix is where the log lies.
	Prefix = "audit/"
	// Size is the number of leaves a key holds.
	Size = 256
)

// Key is the control key of a leaf's chunk; keys sort as chunks do.
func Key(index int) ident.Key { return ident.Key(fmt.Sprintf("%s%08d", Prefix, index/Size)) }

// Chunk is the state. Invariants: Leaves are in order of epoch; one is only ever added
// at the end, at the index it was meant for, so two cores that both believe they hold
// the duty add it once; a leaf never changes.
type Chunk struct {
	Leaves []offer.Line `json:"leaves"`
}

// Append is the one operation.
type Append struct {
	Index int        `json:"index"`
	Leaf  offer.Line `json:"leaf"`
}

// Handlers are the handlers.
func Handlers() operation.Table { return operation.Table{"audit/append": add} }

func add(_ proposer.Context, state, args json.RawMessage) operation.Result {
	var c Chunk
	var a Append
	if d := operation.Decode(state, args, &c, &a); d != nil {
		return operation.Rejected(d)
	}
	if len(c.Leaves) != a.Index%Size {
		return operation.Rejected(failure.New(failure.Conflict, "the chunk holds %d leaves", len(c.Leaves)))
	}
	if n := len(c.Leaves); n > 0 && c.Leaves[n-1].Epoch >= a.Leaf.Epoch {
		return operation.Rejected(failure.New(failure.Conflict, "epoch %d is in the log", c.Leaves[n-1].Epoch))
	}
	c.Leaves = append(c.Leaves, a.Leaf)
	return operation.Result{State: operation.Encode(c), Body: operation.Encode(a)}
}
