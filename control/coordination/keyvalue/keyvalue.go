// Package keyvalue implements the state machine of single keys with small values. The state of a key
// includes the recent history that watches read.
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

// Args holds the arguments of all operations on a key; each operation uses a subset of the fields.
type Args struct {
	Value json.RawMessage `json:"value,omitempty"`
	// IfRevision, if set, is the revision that the key must have; 0 means that the key must not
	// exist.
	IfRevision *ident.Revision `json:"ifRevision,omitempty"`
	// Since, if set, makes a read also return the changes after that revision.
	Since *ident.Revision `json:"since,omitempty"`
}

// Response is the response to all operations on a key.
type Response struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Changes  []Change        `json:"changes,omitempty"`
	// Truncated means that the history no longer holds some of the changes after Since.
	Truncated bool `json:"cut,omitempty"`
}

// Handlers returns the handlers of the operations on a key.
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
		return operation.Rejected(failure.New(failure.Oversize, "a value is limited to %d bytes", maxValueBytes))
	}
	return current.appendChange(context, args.IfRevision, Change{Value: args.Value})
}

func remove(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, Args](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if current.Latest().Deleted {
		return operation.Rejected(failure.New(failure.NotFound, "the key does not exist"))
	}
	return current.appendChange(context, args.IfRevision, Change{Deleted: true})
}
