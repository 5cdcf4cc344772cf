// Package group keeps cells: small values whose keys, where they are the same up to the
// first dot, share one rising count of revisions and one history for watches.
package group

import (
	"cmp"
	"encoding/json"
	"math"
	"strings"
	"time"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/defect"
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
// revision: the return and the question after it may each be 1 s on their way, a watch
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

// Args are those of every group deed; names are those within the group.
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

// Deeds are the handlers; history is how long a put stays known at least, Kept if 0.
func Deeds(history time.Duration) book.Book {
	history = cmp.Or(history, Kept)
	keep := keeping(history + margin(history))
	return book.Book{"group/put": keep.put, "group/read": read, "group/since": since}
}

type keeping time.Duration

func read(turn proposer.Context, state, raw json.RawMessage) book.Entry {
	g, a, d := begin(turn, state, raw)
	if d != nil {
		return book.Turned(d)
	}
	p := g.now[a.Name]
	if p == nil {
		return book.Entry{Defect: defect.New(defect.Missing, "there is no such cell"), Kept: g}
	}
	return book.Entry{Body: book.JSON(p.put()), Kept: g}
}

func since(turn proposer.Context, state, raw json.RawMessage) book.Entry {
	g, a, d := begin(turn, state, raw)
	if d != nil {
		return book.Turned(d)
	}
	out := News{Events: []Put{}, Revision: g.top}
	if a.After != nil {
		if *a.After < g.gone {
			return book.Entry{Defect: defect.New(defect.Forgotten, "puts up to %d are forgotten in part, and %d was asked for", g.gone, *a.After), Kept: g}
		}
		for _, p := range g.after(*a.After) {
			out.Events = append(out.Events, p.put())
		}
	}
	return book.Entry{Body: book.JSON(out), Kept: g}
}

func (k keeping) put(turn proposer.Context, state, raw json.RawMessage) book.Entry {
	g, a, d := begin(turn, state, raw)
	if d != nil {
		return book.Turned(d)
	}
	turned := func(kind defect.Kind, form string, args ...any) book.Entry {
		return book.Entry{Defect: defect.New(kind, form, args...), Kept: g}
	}
	if len(a.Value) == 0 {
		return turned(defect.Invalid, "a put needs a value")
	}
	if len(a.Value) > valueMax || len(a.Name) > nameMax {
		return turned(defect.Oversize, "a value is at most %d bytes, a name %d", valueMax, nameMax)
	}
	// One form for one value, so that a repeat is known whichever way it came.
	a.Value = book.JSON(a.Value)
	if p := g.known[id{a.Name, string(a.Value)}]; p != nil && !p.over(turn.Now, time.Duration(k)) {
		return book.Entry{Body: book.JSON(p.put()), Kept: g}
	}
	have := ident.Revision(0)
	if p := g.now[a.Name]; p != nil {
		have = p.rev
	}
	if a.If != nil && *a.If != have {
		e := turned(defect.Conflict, "the cell is at revision %d", have)
		at := uint64(have)
		e.Defect.At = &at
		return e
	}
	if g.top == math.MaxUint64 {
		return turned(defect.Full, "no revision is left")
	}
	p := newPast(a.Name, a.Value, g.top+1, turn.Now)
	n, bulk := g.old(turn.Now, time.Duration(k))
	if len(g.list)-n >= listMax || g.bytes-bulk+len(p.raw) > bytesMax {
		e := turned(defect.Busy, "the group is full: puts come faster than watches may forget them")
		e.Defect.Later(1)
		return e
	}
	if bulk > 0 && (bulk*forgetPart >= g.bytes || len(g.list) >= listMax || g.bytes+len(p.raw) > bytesMax) {
		g.forget(turn.Now, time.Duration(k))
	}
	g.add(p)
	return book.Entry{State: g.encode(), Body: book.JSON(p.put()), Kept: g}
}
