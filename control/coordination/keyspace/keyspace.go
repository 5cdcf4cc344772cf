// Package keyspace is the state machine of keyspaces. A keyspace holds small entries, those
// whose keys are the same up to the first dot; they share one rising revision and one history
// for watches.
package keyspace

import (
	"cmp"
	"encoding/json"
	"math"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// The kinds of operations on a keyspace.
const (
	PutKind   = "group/put"
	ReadKind  = "group/read"
	SinceKind = "group/since"
)

const (
	// DefaultHistory is how long a put stays in the history at least when no time is configured.
	DefaultHistory  = 60 * time.Second
	maxPuts         = 8192
	maxEncodedBytes = 1 << 20
	maxValueBytes   = 64 << 10
	maxNameLength   = 256
	// fullRetrySeconds is when to retry a put that found the history full.
	fullRetrySeconds = 1
)

// historyMargin is added to the history's time, which counts from when a watch received a
// revision: the response and the next request may each take 1 s, the revision may have been
// read 2 s before it was sent, and clocks may drift apart by a few percent.
func historyMargin(history time.Duration) time.Duration { return history/20 + 4*time.Second }

// SplitKey splits the key of an entry into its keyspace, with the dot, and its name there. A
// key without a dot is a keyspace of its own.
func SplitKey(key string) (keyspace, name string) {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1], key[dot+1:]
	}
	return key, ""
}

// ControlKey returns the control key of a keyspace.
func ControlKey(keyspace string) ident.Key { return ident.Key("group/" + keyspace) }

// Put is one put of an entry, under its name within the keyspace.
type Put struct {
	Name     string          `json:"name"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"revision"`
}

// Args are the arguments of every operation; names are those within the keyspace.
type Args struct {
	Name  string          `json:"name,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	// IfRevision, when given, is the revision that the entry must be at; 0 means that it must
	// not exist.
	IfRevision *ident.Revision `json:"ifRevision,omitempty"`
	// After, when given, asks for the puts after a revision.
	After *ident.Revision `json:"after,omitempty"`
}

// Changes are the puts after the revision that a watch named, up to Revision.
type Changes struct {
	Events   []Put          `json:"events"`
	Revision ident.Revision `json:"revision"`
}

// Handlers returns the operations of a keyspace; history is how long a put stays in the
// history at least, DefaultHistory if it is 0.
func Handlers(history time.Duration) operation.Table {
	history = cmp.Or(history, DefaultHistory)
	retained := retention(history + historyMargin(history))
	return operation.Table{PutKind: retained.put, ReadKind: read, SinceKind: since}
}

// retention is how long a replaced put is retained.
type retention time.Duration

// read returns the newest put of an entry.
func read(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	record := space.currentByName[args.Name]
	if record == nil {
		return space.rejected(failure.New(failure.NotFound, "there is no such entry"))
	}
	return operation.Result{Body: operation.Encode(record.public()), Decoded: space}
}

// since returns the newest revision and, if a revision is named, every put after it.
func since(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	changes := Changes{Events: []Put{}, Revision: space.latest}
	if args.After != nil {
		if *args.After < space.compactedThrough {
			return space.rejected(failure.New(failure.Compacted,
				"puts up to %d are no longer all known, and those after %d were requested",
				space.compactedThrough, *args.After))
		}
		for _, record := range space.recordsAfter(*args.After) {
			changes.Events = append(changes.Events, record.public())
		}
	}
	return operation.Result{Body: operation.Encode(changes), Decoded: space}
}

// put sets the value of an entry. The same value that is still in the history, current or
// replaced, counts as a repeat and gets the revision it had.
func (r retention) put(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if err := args.checkPut(); err != nil {
		return space.rejected(err)
	}
	// Equal values get one encoding, so that a repeat is recognised however it was written.
	args.Value = operation.Encode(args.Value)
	content := nameAndValue{args.Name, string(args.Value)}
	if record := space.newestByContent[content]; record != nil && !record.expired(context.Now, time.Duration(r)) {
		return operation.Result{Body: operation.Encode(record.public()), Decoded: space}
	}
	if err := space.checkRevision(args); err != nil {
		return space.rejected(err)
	}
	if space.latest == math.MaxUint64 {
		return space.rejected(failure.New(failure.Exhausted, "no revision is left"))
	}
	record := newPutRecord(args.Name, args.Value, space.latest+1, context.Now)
	if !space.makeRoom(len(record.encoded), context.Now, time.Duration(r)) {
		return space.rejected(failure.New(failure.Busy, "the keyspace changes too fast: its history is full").WithRetryAfter(fullRetrySeconds))
	}
	space.appendRecord(record)
	return operation.Result{State: space.encode(), Body: operation.Encode(record.public()), Decoded: space}
}

// checkPut checks the sizes of a put.
func (a Args) checkPut() *failure.Error {
	if len(a.Value) == 0 {
		return failure.New(failure.Invalid, "a put needs a value")
	}
	if len(a.Value) > maxValueBytes || len(a.Name) > maxNameLength {
		return failure.New(failure.Oversize, "a value is at most %d bytes, a name %d", maxValueBytes, maxNameLength)
	}
	return nil
}
