// Package sequence gives rising numbers.
package sequence

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// State is the state. Invariant: N only rises; a number handed out is never
// handed out again, even when its return is lost.
type State struct {
	Last uint64 `json:"number"`
}

type args struct {
	Increment uint64 `json:"by,omitempty"`
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"number/next": next, "number/read": read}
}

func next(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	decodedArgs := args{Increment: 1}
	if err := operation.Decode(rawState, rawArgs, &current, &decodedArgs); err != nil {
		return operation.Rejected(err)
	}
	if decodedArgs.Increment == 0 || decodedArgs.Increment > 1<<32 || current.Last+decodedArgs.Increment < current.Last {
		return operation.Rejected(failure.New(failure.Invalid, "by must be from 1 to 2^32"))
	}
	current.Last += decodedArgs.Increment
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(current)}
}

func read(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var decodedArgs args
	if err := operation.Decode(rawState, rawArgs, &current, &decodedArgs); err != nil {
		return operation.Rejected(err)
	}
	return operation.Result{Body: operation.Encode(current)}
}
