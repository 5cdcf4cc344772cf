// Package number gives rising numbers.
package number

import (
	"encoding/json"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
)

// Number is the state. Invariant: N only rises; a number handed out is never
// handed out again, even when its return is lost.
type Number struct {
	N uint64 `json:"number"`
}

type args struct {
	By uint64 `json:"by,omitempty"`
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"number/next": next, "number/read": read}
}

func next(_ proposer.Context, state, raw json.RawMessage) operation.Result {
	var n Number
	a := args{By: 1}
	if d := operation.Decode(state, raw, &n, &a); d != nil {
		return operation.Rejected(d)
	}
	if a.By == 0 || a.By > 1<<32 || n.N+a.By < n.N {
		return operation.Rejected(failure.New(failure.Invalid, "by must be from 1 to 2^32"))
	}
	n.N += a.By
	return operation.Result{State: operation.Encode(n), Body: operation.Encode(n)}
}

func read(_ proposer.Context, state, raw json.RawMessage) operation.Result {
	var n Number
	var a args
	if d := operation.Decode(state, raw, &n, &a); d != nil {
		return operation.Rejected(d)
	}
	return operation.Result{Body: operation.Encode(n)}
}
