// Package keyvalue is the state machine of small values, each under a key of its own, with
// the recent history that watches need.
package keyvalue

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// The kinds of operations on a key.
const (
	ReadKind   = "key/read"
	WriteKind  = "key/write"
	DeleteKind = "key/delete"
)

const maxValueBytes = 64 << 10

// Args are the arguments of every operation.
type Args struct {
	Value json.RawMessage `json:"value,omitempty"`
	// IfRevision, when given, is the revision that the key must be at; 0 means that it must
	// not exist.
	IfRevision *ident.Revision `json:"ifRevision,omitempty"`
	// Since, when given, makes a read return the changes after a revision too.
	Since *ident.Revision `json:"since,omitempty"`
}

// Response is the response to every operation.
type Response struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Changes  []Change        `json:"changes,omitempty"`
	// Truncated says that Changes lacks some after Since, which the history no longer holds.
	Truncated bool `json:"cut,omitempty"`
}

// Handlers returns the operations of a key.
func Handlers() operation.Table {
	return operation.Table{ReadKind: read, WriteKind: write, DeleteKind: remove}
}

func read(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	latest := current.Latest()
	response := Response{Revision: latest.Revision, Value: latest.Value, Deleted: latest.Deleted}
	if args.Since != nil {
		response.Changes, response.Truncated = current.since(*args.Since)
	}
	return operation.Result{Body: operation.Encode(response)}
}

func write(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if len(args.Value) == 0 {
		return operation.Rejected(failure.New(failure.Invalid, "a write needs a value"))
	}
	if len(args.Value) > maxValueBytes {
		return operation.Rejected(failure.New(failure.Oversize, "a value is at most %d bytes", maxValueBytes))
	}
	return current.appendChange(context, args.IfRevision, Change{Value: args.Value})
}

func remove(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if current.Latest().Deleted {
		return operation.Rejected(failure.New(failure.NotFound, "there is no such key"))
	}
	return current.appendChange(context, args.IfRevision, Change{Deleted: true})
}
