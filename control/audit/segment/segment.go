// Package segment implements the state machine of the control keys that store the audit log. Each
// control key holds a segment of consecutive entries; a revision of the configuration has one entry.
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

// AppendKind is the kind of the only operation on a segment.
const AppendKind = "audit/append"

const (
	// Prefix is the common prefix of the control keys of segments.
	Prefix = "audit/"
	// MaxEntries is the number of entries in a full segment.
	MaxEntries = 256
)

// Key returns the control key of the segment that holds the entry at an index of the log. The
// lexical order of the keys is the order of the segments.
func Key(index int) ident.Key { return ident.Key(fmt.Sprintf("%s%08d", Prefix, index/MaxEntries)) }

// State is the state of a segment. Invariants: Entries are in order of revision; an entry is only
// appended, and only at the index that the operation names, so that two cores that both consider
// themselves responsible for the log append the entry once; an entry never changes.
type State struct {
	Entries []proposal.AuditEntry `json:"leaves"`
}

// AppendArgs are the arguments of an append. Index is the index of the entry in the whole log.
type AppendArgs struct {
	Index int                 `json:"index"`
	Entry proposal.AuditEntry `json:"leaf"`
}

// Handlers returns the handlers of the operations on a segment.
func Handlers() operation.Table { return operation.Table{AppendKind: appendEntry} }

func appendEntry(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, AppendArgs](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if len(current.Entries) != args.Index%MaxEntries {
		return operation.Rejected(failure.New(failure.Conflict, "the segment has %d entries and cannot append the entry at index %d", len(current.Entries), args.Index))
	}
	if count := len(current.Entries); count > 0 && current.Entries[count-1].Revision >= args.Entry.Revision {
		return operation.Rejected(failure.New(failure.Conflict, "revision %d is already in the audit log", current.Entries[count-1].Revision))
	}
	current.Entries = append(current.Entries, args.Entry)
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(args)}
}
