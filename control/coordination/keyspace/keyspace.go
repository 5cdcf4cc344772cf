// Package keyspace implements the state machine of keyspaces. A keyspace holds the small entries
// whose keys are equal up to the first dot. The entries share one increasing revision and one
// history for watches.
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
	// DefaultHistory is the minimum time for which a put stays in the history if the settings give
	// no time.
	DefaultHistory  = 60 * time.Second
	maxPuts         = 8192
	maxEncodedBytes = 1 << 20
	maxValueBytes   = 64 << 10
	maxNameLength   = 256
	// historyFullRetrySeconds is the retry delay, in seconds, returned when a put finds the history
	// full.
	historyFullRetrySeconds = 1
)

// historyMargin returns the time added to the configured history, which is measured from when a
// watch received a revision: the response and the next request may each take 1 s, the revision may
// have been read 2 s before it was sent, and clocks may drift apart by a few percent.
func historyMargin(history time.Duration) time.Duration { return history/20 + 4*time.Second }

// SplitKey splits the key of an entry after the first dot into the keyspace, which includes the dot,
// and the name within the keyspace. A key without a dot is a keyspace with a single, unnamed entry.
func SplitKey(key string) (keyspace, name string) {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1], key[dot+1:]
	}
	return key, ""
}

// ControlKey returns the control key that holds a keyspace.
func ControlKey(keyspace string) ident.Key { return ident.Key("group/" + keyspace) }

// Put is one put of an entry. Name is the name within the keyspace.
type Put struct {
	Name     string          `json:"name"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"revision"`
}

// Args holds the arguments of all keyspace operations; each operation uses a subset of the fields.
// Name is the name within the keyspace.
type Args struct {
	Name  string          `json:"name,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	// IfRevision, if set, is the revision that the entry must have; 0 means that the entry must not
	// exist.
	IfRevision *ident.Revision `json:"ifRevision,omitempty"`
	// After, if set, requests the puts after that revision.
	After *ident.Revision `json:"after,omitempty"`
}

// Changes holds the puts after the revision that a watch requested, up to Revision.
type Changes struct {
	Events   []Put          `json:"events"`
	Revision ident.Revision `json:"revision"`
}

// Handlers returns the handlers of the keyspace operations. history is the minimum time for which a
// put stays in the history; 0 means DefaultHistory.
func Handlers(history time.Duration) operation.Table {
	history = cmp.Or(history, DefaultHistory)
	retained := retention(history + historyMargin(history))
	return operation.Table{PutKind: retained.put, ReadKind: read, SinceKind: since}
}

// retention is the time for which a superseded put is retained.
type retention time.Duration

// read returns the newest put of an entry.
func read(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	record := space.currentByName[args.Name]
	if record == nil {
		return space.rejected(failure.New(failure.NotFound, "the entry %q does not exist in the keyspace", args.Name))
	}
	return operation.Result{Body: operation.Encode(record.toPut()), Decoded: space}
}

// since returns the newest revision and, if the arguments give a revision, every put after that
// revision. It returns Compacted if some of these puts are no longer stored.
func since(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	changes := Changes{Events: []Put{}, Revision: space.latest}
	if args.After != nil {
		if *args.After < space.compactedThrough {
			return space.rejected(failure.New(failure.Compacted,
				"puts up to revision %d have been compacted, the puts after revision %d were requested",
				space.compactedThrough, *args.After))
		}
		for _, record := range space.recordsAfter(*args.After) {
			changes.Events = append(changes.Events, record.toPut())
		}
	}
	return operation.Result{Body: operation.Encode(changes), Decoded: space}
}

// put sets the value of an entry. A put whose name and value are still in the history, current or
// superseded, counts as a repeat and returns the revision of the first put.
func (r retention) put(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if err := args.checkPut(); err != nil {
		return space.rejected(err)
	}
	// Values are encoded in a normal form, so that a repeat is recognized however the client
	// formatted the JSON.
	args.Value = operation.Encode(args.Value)
	content := nameAndValue{args.Name, string(args.Value)}
	if record := space.newestByContent[content]; record != nil && !record.expired(context.Now, time.Duration(r)) {
		return operation.Result{Body: operation.Encode(record.toPut()), Decoded: space}
	}
	if err := space.checkRevision(args); err != nil {
		return space.rejected(err)
	}
	if space.latest == math.MaxUint64 {
		return space.rejected(failure.New(failure.Exhausted, "the revisions of the keyspace are exhausted"))
	}
	record := newPutRecord(args.Name, args.Value, space.latest+1, context.Now)
	if !space.ensureSpace(len(record.encoded), context.Now, time.Duration(r)) {
		return space.rejected(failure.New(failure.Busy, "the keyspace changes too fast: its history is full").WithRetryAfter(historyFullRetrySeconds))
	}
	space.appendRecord(record)
	return operation.Result{State: space.encode(), Body: operation.Encode(record.toPut()), Decoded: space}
}

// checkPut checks that a put has a value and that the name and the value are within their limits.
func (a Args) checkPut() *failure.Error {
	if len(a.Value) == 0 {
		return failure.New(failure.Invalid, "a put needs a value")
	}
	if len(a.Value) > maxValueBytes || len(a.Name) > maxNameLength {
		return failure.New(failure.Oversize, "a value is limited to %d bytes, a name to %d bytes", maxValueBytes, maxNameLength)
	}
	return nil
}
