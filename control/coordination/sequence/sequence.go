// Package sequence is the state machine of rising numbers.
package sequence

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// The kinds of operations on a sequence.
const (
	NextKind = "number/next"
	ReadKind = "number/read"
)

// maxIncrement bounds how far one operation may raise a number.
const maxIncrement = 1 << 32

// State is the state of a sequence. Invariant: Last only rises; a number that was handed out
// is never handed out again, even if its response is lost.
type State struct {
	Last uint64 `json:"number"`
}

// nextArgs are the arguments of a NextKind operation.
type nextArgs struct {
	Increment uint64 `json:"by,omitempty"`
}

// Handlers returns the operations of a sequence.
func Handlers() operation.Table {
	return operation.Table{NextKind: next, ReadKind: read}
}

// next raises the number by the increment, 1 if none is given.
func next(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	args := nextArgs{Increment: 1}
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	overflow := current.Last+args.Increment < current.Last
	if args.Increment == 0 || args.Increment > maxIncrement || overflow {
		return operation.Rejected(failure.New(failure.Invalid, "by must be from 1 to 2^32"))
	}
	current.Last += args.Increment
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(current)}
}

func read(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, _, err := operation.DecodeAs[State, nextArgs](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	return operation.Result{Body: operation.Encode(current)}
}
