// Package group keeps cells: small values whose keys, where they are the same up to the
// first dot, share one rising count of revisions and one history for watches.
package group

import (
	"cmp"
	"encoding/json"
	"math"
	"strings"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// Kept is how long a put stays known at least when the boot names no time.
	Kept     = 60 * time.Second
	listMax  = 8192
	bytesMax = 1 << 20
	valueMax = 64 << 10
	nameMax  = 256
)

// margin is added to the history's time, which counts from when a watch was given a
// revision: the response and the question after it may each be 1 s on their way, a watch
// may give a revision that it read 2 s before, and clocks run apart by a few in a hundred.
func margin(history time.Duration) time.Duration { return history/20 + 4*time.Second }

// Split parts a cell's key into its group, the dot included, and its name there. A key
// without a dot is a group of its own.
func Split(key string) (group, name string) {
	if i := strings.IndexByte(key, '.'); i >= 0 {
		return key[:i+1], key[i+1:]
	}
	return key, ""
}

// Key is the control key of a group.
func Key(group string) ident.Key { return ident.Key("group/" + group) }

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
	// If, when given, is the revision the cell must be at; 0 means that it has none.
	If *ident.Revision `json:"ifRevision,omitempty"`
	// After, when given, asks for the puts after a revision.
	After *ident.Revision `json:"after,omitempty"`
}

// News is what a watch is told: every put after the revision it named, up to Revision.
type News struct {
	Events   []Put          `json:"events"`
	Revision ident.Revision `json:"revision"`
}

// Handlers are the handlers; history is how long a put stays known at least, Kept if 0.
func Handlers(history time.Duration) operation.Table {
	history = cmp.Or(history, Kept)
	keep := keeping(history + margin(history))
	return operation.Table{"group/put": keep.put, "group/read": read, "group/since": since}
}

type keeping time.Duration

func read(context proposer.Context, state, raw json.RawMessage) operation.Result {
	g, a, d := begin(context, state, raw)
	if d != nil {
		return operation.Rejected(d)
	}
	p := g.now[a.Name]
	if p == nil {
		return operation.Result{Failure: failure.New(failure.Missing, "there is no such cell"), Decoded: g}
	}
	return operation.Result{Body: operation.Encode(p.put()), Decoded: g}
}

func since(context proposer.Context, state, raw json.RawMessage) operation.Result {
	g, a, d := begin(context, state, raw)
	if d != nil {
		return operation.Rejected(d)
	}
	out := News{Events: []Put{}, Revision: g.top}
	if a.After != nil {
		if *a.After < g.gone {
			return operation.Result{Failure: failure.New(failure.Forgotten, "puts up to %d are forgotten in part, and %d was asked for", g.gone, *a.After), Decoded: g}
		}
		for _, p := range g.after(*a.After) {
			out.Events = append(out.Events, p.put())
		}
	}
	return operation.Result{Body: operation.Encode(out), Decoded: g}
}

func (k keeping) put(context proposer.Context, state, raw json.RawMessage) operation.Result {
	g, a, d := begin(context, state, raw)
	if d != nil {
		return operation.Rejected(d)
	}
	turned := func(kind failure.Kind, form string, args ...any) operation.Result {
		return operation.Result{Failure: failure.New(kind, form, args...), Decoded: g}
	}
	if len(a.Value) == 0 {
		return turned(failure.Invalid, "a put needs a value")
	}
	if len(a.Value) > valueMax || len(a.Name) > nameMax {
		return turned(failure.Oversize, "a value is at most %d bytes, a name %d", valueMax, nameMax)
	}
	// One form for one value, so that a repeat is known whichever way it came.
	a.Value = operation.Encode(a.Value)
	if p := g.known[id{a.Name, string(a.Value)}]; p != nil && !p.over(context.Now, time.Duration(k)) {
		return operation.Result{Body: operation.Encode(p.put()), Decoded: g}
	}
	have := ident.Revision(0)
	if p := g.now[a.Name]; p != nil {
		have = p.rev
	}
	if a.If != nil && *a.If != have {
		e := turned(failure.Conflict, "the cell is at revision %d", have)
		at := uint64(have)
		e.Failure.CurrentRevision = &at
		return e
	}
	if g.top == math.MaxUint64 {
		return turned(failure.Full, "no revision is left")
	}
	p := newPast(a.Name, a.Value, g.top+1, context.Now)
	n, bulk := g.old(context.Now, time.Duration(k))
	if len(g.list)-n >= listMax || g.bytes-bulk+len(p.raw) > bytesMax {
		e := turned(failure.Busy, "the group is full: puts come faster than watches may forget them")
		e.Failure.Later(1)
		return e
	}
	if bulk > 0 && (bulk*forgetPart >= g.bytes || len(g.list) >= listMax || g.bytes+len(p.raw) > bytesMax) {
		g.forget(context.Now, time.Duration(k))
	}
	g.add(p)
	return operation.Result{State: g.encode(), Body: operation.Encode(p.put()), Decoded: g}
}
