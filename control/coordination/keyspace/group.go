// Package keyspace keeps cells: small values whose keys, where they are the same up to the
// first dot, share one rising count of revisions and one history for watches.
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

const (
	// DefaultHistory is how long a put stays known at least when the boot names no time.
	DefaultHistory  = 60 * time.Second
	maxPuts         = 8192
	maxEncodedBytes = 1 << 20
	maxValueBytes   = 64 << 10
	maxNameLength   = 256
)

// historyMargin is added to the history's time, which counts from when a watch was given a
// revision: the response and the question after it may each be 1 s on their way, a watch
// may give a revision that it read 2 s before, and clocks run apart by a few in a hundred.
func historyMargin(history time.Duration) time.Duration { return history/20 + 4*time.Second }

// SplitKey parts a cell's key into its group, the dot included, and its name there. A key
// without a dot is a group of its own.
func SplitKey(key string) (keyspace, name string) {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1], key[dot+1:]
	}
	return key, ""
}

// ControlKey is the control key of a group.
func ControlKey(keyspace string) ident.Key { return ident.Key("group/" + keyspace) }

// Put is one put of a cell as it is told.
type Put struct {
	Name     string          `json:"name"`
	Value    json.RawMessage `json:"value"`
	Revision ident.Revision  `json:"revision"`
}

// Args are those of every group operation; names are those within the group.
type Args struct {
	Name  string          `json:"name,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	// IfRevision, when given, is the revision the cell must be at; 0 means that it has none.
	IfRevision *ident.Revision `json:"ifRevision,omitempty"`
	// After, when given, asks for the puts after a revision.
	After *ident.Revision `json:"after,omitempty"`
}

// Changes is what a watch is told: every put after the revision it named, up to Revision.
type Changes struct {
	Events   []Put          `json:"events"`
	Revision ident.Revision `json:"revision"`
}

// Handlers are the handlers; history is how long a put stays known at least, Kept if 0.
func Handlers(history time.Duration) operation.Table {
	history = cmp.Or(history, DefaultHistory)
	retained := retention(history + historyMargin(history))
	return operation.Table{"group/put": retained.put, "group/read": read, "group/since": since}
}

type retention time.Duration

func read(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	record := space.currentByName[args.Name]
	if record == nil {
		return operation.Result{Failure: failure.New(failure.NotFound, "there is no such cell"), Decoded: space}
	}
	return operation.Result{Body: operation.Encode(record.public()), Decoded: space}
}

func since(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	changes := Changes{Events: []Put{}, Revision: space.latest}
	if args.After != nil {
		if *args.After < space.compactedThrough {
			return operation.Result{Failure: failure.New(failure.Compacted, "puts up to %d are forgotten in part, and %d was asked for", space.compactedThrough, *args.After), Decoded: space}
		}
		for _, record := range space.recordsAfter(*args.After) {
			changes.Events = append(changes.Events, record.public())
		}
	}
	return operation.Result{Body: operation.Encode(changes), Decoded: space}
}

func (r retention) put(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	space, args, err := load(context, rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	rejected := func(kind failure.Kind, format string, args ...any) operation.Result {
		return operation.Result{Failure: failure.New(kind, format, args...), Decoded: space}
	}
	if len(args.Value) == 0 {
		return rejected(failure.Invalid, "a put needs a value")
	}
	if len(args.Value) > maxValueBytes || len(args.Name) > maxNameLength {
		return rejected(failure.Oversize, "a value is at most %d bytes, a name %d", maxValueBytes, maxNameLength)
	}
	// One form for one value, so that a repeat is known whichever way it came.
	args.Value = operation.Encode(args.Value)
	if record := space.newestByContent[nameAndValue{args.Name, string(args.Value)}]; record != nil && !record.expired(context.Now, time.Duration(r)) {
		return operation.Result{Body: operation.Encode(record.public()), Decoded: space}
	}
	currentRevision := ident.Revision(0)
	if record := space.currentByName[args.Name]; record != nil {
		currentRevision = record.revision
	}
	if args.IfRevision != nil && *args.IfRevision != currentRevision {
		result := rejected(failure.Conflict, "the cell is at revision %d", currentRevision)
		conflicting := uint64(currentRevision)
		result.Failure.CurrentRevision = &conflicting
		return result
	}
	if space.latest == math.MaxUint64 {
		return rejected(failure.Exhausted, "no revision is left")
	}
	record := newPutRecord(args.Name, args.Value, space.latest+1, context.Now)
	expiredCount, expiredBytes := space.countExpired(context.Now, time.Duration(r))
	if len(space.records)-expiredCount >= maxPuts || space.encodedBytes-expiredBytes+len(record.encoded) > maxEncodedBytes {
		result := rejected(failure.Busy, "the group is full: puts come faster than watches may forget them")
		result.Failure.WithRetryAfter(1)
		return result
	}
	if expiredBytes > 0 && (expiredBytes*compactionFraction >= space.encodedBytes || len(space.records) >= maxPuts || space.encodedBytes+len(record.encoded) > maxEncodedBytes) {
		space.compact(context.Now, time.Duration(r))
	}
	space.appendRecord(record)
	return operation.Result{State: space.encode(), Body: operation.Encode(record.public()), Decoded: space}
}
