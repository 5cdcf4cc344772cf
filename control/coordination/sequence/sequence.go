// Package sequence implements the state machine of sequences, which allocate increasing numbers.
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

// maxIncrement is the largest increment of a single operation.
const maxIncrement = 1 << 32

// State is the state of a sequence. Invariant: Last only increases, so a number is never allocated
// twice, even if the response is lost.
type State struct {
	Last uint64 `json:"number"`
}

// nextArgs are the arguments of a NextKind operation.
type nextArgs struct {
	Increment uint64 `json:"by,omitempty"`
}

// Handlers returns the handlers of the sequence operations.
func Handlers() operation.Table {
	return operation.Table{NextKind: next, ReadKind: read}
}

// next increases the number by the increment, which defaults to 1, and returns the new number.
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
