// Package segment is the machine of the audit log's control keys: each holds a run of
// leaves, and a leaf says which manifest an epoch brought.
package segment

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// Prefix is where the log lies.
	Prefix = "audit/"
	// MaxEntries is the number of leaves a key holds.
	MaxEntries = 256
)

// Key is the control key of a leaf's chunk; keys sort as chunks do.
func Key(index int) ident.Key { return ident.Key(fmt.Sprintf("%s%08d", Prefix, index/MaxEntries)) }

// State is the state. Invariants: Leaves are in order of epoch; one is only ever added
// at the end, at the index it was meant for, so two cores that both believe they hold
// the duty add it once; a leaf never changes.
type State struct {
	Entries []proposal.AuditEntry `json:"leaves"`
}

// AppendArgs is the one operation.
type AppendArgs struct {
	Index int                 `json:"index"`
	Entry proposal.AuditEntry `json:"leaf"`
}

// Handlers are the handlers.
func Handlers() operation.Table { return operation.Table{"audit/append": appendEntry} }

func appendEntry(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var args AppendArgs
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	if len(current.Entries) != args.Index%MaxEntries {
		return operation.Rejected(failure.New(failure.Conflict, "the chunk holds %d leaves", len(current.Entries)))
	}
	if count := len(current.Entries); count > 0 && current.Entries[count-1].Revision >= args.Entry.Revision {
		return operation.Rejected(failure.New(failure.Conflict, "epoch %d is in the log", current.Entries[count-1].Revision))
	}
	current.Entries = append(current.Entries, args.Entry)
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(args)}
}
