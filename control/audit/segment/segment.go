// Package segment is the state machine of the control keys that store the audit log: each
// holds a segment of consecutive entries, one for each revision of the configuration.
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

// AppendKind is the kind of the one operation on a segment.
const AppendKind = "audit/append"

const (
	// Prefix is the common prefix of the control keys.
	Prefix = "audit/"
	// MaxEntries is the number of entries in a full segment.
	MaxEntries = 256
)

// Key returns the control key of the segment that holds the entry at an index of the log; the
// keys sort in the order of the segments.
func Key(index int) ident.Key { return ident.Key(fmt.Sprintf("%s%08d", Prefix, index/MaxEntries)) }

// State is the state of a segment. Invariants: Entries are in order of revision; an entry is
// only ever appended, at the index that it was sent for, so that two cores which both believe
// that they maintain the log append it once; an entry never changes.
type State struct {
	Entries []proposal.AuditEntry `json:"leaves"`
}

// AppendArgs are the arguments of an append; Index is that of the entry in the whole log.
type AppendArgs struct {
	Index int                 `json:"index"`
	Entry proposal.AuditEntry `json:"leaf"`
}

// Handlers returns the operations of a segment.
func Handlers() operation.Table { return operation.Table{AppendKind: appendEntry} }

func appendEntry(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := operation.DecodeAs[State, AppendArgs](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if len(current.Entries) != args.Index%MaxEntries {
		return operation.Rejected(failure.New(failure.Conflict, "the segment holds %d entries", len(current.Entries)))
	}
	if count := len(current.Entries); count > 0 && current.Entries[count-1].Revision >= args.Entry.Revision {
		return operation.Rejected(failure.New(failure.Conflict, "revision %d is in the log already", current.Entries[count-1].Revision))
	}
	current.Entries = append(current.Entries, args.Entry)
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(args)}
}
