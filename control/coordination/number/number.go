// Package number gives rising numbers.
package number

import (
	"encoding/json"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/defect"
)

// Number is the state. Invariant: N only rises; a number handed out is never
// handed out again, even when its return is lost.
type Number struct {
	N uint64 `json:"number"`
}

type args struct {
	By uint64 `json:"by,omitempty"`
}

// Deeds are the handlers.
func Deeds() book.Book {
	return book.Book{"number/next": next, "number/read": read}
}

func next(_ proposer.Context, state, raw json.RawMessage) book.Entry {
	var n Number
	a := args{By: 1}
	if d := book.Read(state, raw, &n, &a); d != nil {
		return book.Turned(d)
	}
	if a.By == 0 || a.By > 1<<32 || n.N+a.By < n.N {
		return book.Turned(defect.New(defect.Invalid, "by must be from 1 to 2^32"))
	}
	n.N += a.By
	return book.Entry{State: book.JSON(n), Body: book.JSON(n)}
}

func read(_ proposer.Context, state, raw json.RawMessage) book.Entry {
	var n Number
	var a args
	if d := book.Read(state, raw, &n, &a); d != nil {
		return book.Turned(d)
	}
	return book.Entry{Body: book.JSON(n)}
}
