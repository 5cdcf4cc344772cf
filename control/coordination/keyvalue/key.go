// Package keyvalue keeps small values and their recent history for watches.
package keyvalue

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// MinHistory is how long a change stays in the history at least.
	MinHistory        = 60 * time.Second
	maxHistoryEntries = 4096
	maxHistoryBytes   = 1 << 20
	maxValueBytes     = 64 << 10
)

// Change is one past change.
type Change struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// State is the state. Invariants: Past is in order of revision without gaps and ends
// with the present state; an entry leaves Past only when this term has seen it
// grow older than Kept; when Past is full of younger ones, writes are rejected.
// A deleted key keeps its cell, so its revisions never begin anew.
type State struct {
	History []Change `json:"past"`
}

// Latest is the newest change.
func (s State) Latest() Change {
	if len(s.History) == 0 {
		return Change{Deleted: true}
	}
	return s.History[len(s.History)-1]
}

// Args are those of every key operation.
type Args struct {
	Value json.RawMessage `json:"value,omitempty"`
	// IfRevision, when given, is the revision the key must be at; 0 means it must not exist.
	IfRevision *ident.Revision `json:"ifRevision,omitempty"`
	// Since asks a read for the changes after a revision too.
	Since *ident.Revision `json:"since,omitempty"`
}

// Response is the response to a read.
type Response struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Changes  []Change        `json:"changes,omitempty"`
	// Truncated tells that changes after Since were left out because they are forgotten.
	Truncated bool `json:"cut,omitempty"`
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"key/read": read, "key/write": write, "key/delete": remove}
}

func read(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var args Args
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	latest := current.Latest()
	response := Response{Revision: latest.Revision, Value: latest.Value, Deleted: latest.Deleted}
	if args.Since != nil {
		for _, change := range current.History {
			if change.Revision > *args.Since {
				response.Changes = append(response.Changes, change)
			}
		}
		response.Truncated = len(current.History) > 0 && current.History[0].Revision > *args.Since+1
	}
	return operation.Result{Body: operation.Encode(response)}
}

func write(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var args Args
	var current State
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	if len(args.Value) == 0 {
		return operation.Rejected(failure.New(failure.Invalid, "a write needs a value"))
	}
	if len(args.Value) > maxValueBytes {
		return operation.Rejected(failure.New(failure.Oversize, "a value is at most %d bytes", maxValueBytes))
	}
	return current.appendChange(context, args, Change{Value: args.Value})
}

func remove(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var args Args
	var current State
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	if current.Latest().Deleted {
		return operation.Rejected(failure.New(failure.NotFound, "there is no such key"))
	}
	return current.appendChange(context, args, Change{Deleted: true})
}

func (s State) appendChange(context proposer.Context, args Args, change Change) operation.Result {
	latest := s.Latest()
	if args.IfRevision != nil {
		revision := latest.Revision
		if latest.Deleted {
			revision = 0
		}
		if revision != *args.IfRevision {
			return operation.Rejected(failure.New(failure.Conflict, "the key is at revision %d", revision))
		}
	}
	change.Revision = context.Revision + 1
	historyBytes := 0
	for _, past := range s.History {
		historyBytes += len(past.Value) + 40
	}
	for len(s.History) > 1 {
		firstSeen, ok := context.TermMemory[firstSeenKey(s.History[1].Revision)]
		if !ok {
			firstSeen = context.TermBegan
		}
		if context.Now.Since(firstSeen) <= MinHistory {
			break
		}
		delete(context.TermMemory, firstSeenKey(s.History[0].Revision))
		historyBytes -= len(s.History[0].Value) + 40
		s.History = s.History[1:]
	}
	if len(s.History) >= maxHistoryEntries || historyBytes+len(change.Value) > maxHistoryBytes {
		return operation.Rejected(failure.New(failure.Busy, "changes come faster than watches may forget them").WithRetryAfter(10))
	}
	s.History = append(s.History, change)
	context.Remember(firstSeenKey(change.Revision))
	return operation.Result{State: operation.Encode(s), Body: operation.Encode(Response{Revision: change.Revision, Value: change.Value, Deleted: change.Deleted})}
}

func firstSeenKey(revision ident.Revision) string { return fmt.Sprintf("r%d", revision) }
