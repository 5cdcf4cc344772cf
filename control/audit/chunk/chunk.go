// Package chunk is the machine of the audit log's control keys: each holds a run of
// leaves, and a leaf says which manifest an epoch brought.
package chunk

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/defect"
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

// Append is the one deed.
type Append struct {
	Index int        `json:"index"`
	Leaf  offer.Line `json:"leaf"`
}

// Deeds are the handlers.
func Deeds() book.Book { return book.Book{"audit/append": add} }

func add(_ proposer.Context, state, args json.RawMessage) book.Entry {
	var c Chunk
	var a Append
	if d := book.Read(state, args, &c, &a); d != nil {
		return book.Turned(d)
	}
	if len(c.Leaves) != a.Index%Size {
		return book.Turned(defect.New(defect.Conflict, "the chunk holds %d leaves", len(c.Leaves)))
	}
	if n := len(c.Leaves); n > 0 && c.Leaves[n-1].Epoch >= a.Leaf.Epoch {
		return book.Turned(defect.New(defect.Conflict, "epoch %d is in the log", c.Leaves[n-1].Epoch))
	}
	c.Leaves = append(c.Leaves, a.Leaf)
	return book.Entry{State: book.JSON(c), Body: book.JSON(a)}
}
