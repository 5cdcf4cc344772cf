// Package key keeps small values and their recent history for watches.
package key

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// Kept is how long a change stays in the history at least.
	Kept      = 60 * time.Second
	historyMx = 4096
	bytesMax  = 1 << 20
	valueMax  = 64 << 10
)

// Change is one past change.
type Change struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Key is the state. Invariants: Past is in order of revision without gaps and ends
// with the present state; an entry leaves Past only when this term has seen it
// grow older than Kept; when Past is full of younger ones, writes are turned away.
// A deleted key keeps its cell, so its revisions never begin anew.
type Key struct {
	Past []Change `json:"past"`
}

// Now is the newest change.
func (k Key) Now() Change {
	if len(k.Past) == 0 {
		return Change{Deleted: true}
	}
	return k.Past[len(k.Past)-1]
}

// Args are those of every key deed.
type Args struct {
	Value json.RawMessage `json:"value,omitempty"`
	// If, when given, is the revision the key must be at; 0 means it must not exist.
	If *ident.Revision `json:"ifRevision,omitempty"`
	// Since asks a read for the changes after a revision too.
	Since *ident.Revision `json:"since,omitempty"`
}

// Reading is the return of a read.
type Reading struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Changes  []Change        `json:"changes,omitempty"`
	// Cut tells that changes after Since were left out because they are forgotten.
	Cut bool `json:"cut,omitempty"`
}

// Deeds are the handlers.
func Deeds() book.Book {
	return book.Book{"key/read": read, "key/write": write, "key/delete": remove}
}

func read(_ proposer.Context, state, raw json.RawMessage) book.Entry {
	var k Key
	var a Args
	if d := book.Read(state, raw, &k, &a); d != nil {
		return book.Turned(d)
	}
	now := k.Now()
	out := Reading{Revision: now.Revision, Value: now.Value, Deleted: now.Deleted}
	if a.Since != nil {
		for _, c := range k.Past {
			if c.Revision > *a.Since {
				out.Changes = append(out.Changes, c)
			}
		}
		out.Cut = len(k.Past) > 0 && k.Past[0].Revision > *a.Since+1
	}
	return book.Entry{Body: book.JSON(out)}
}

func write(turn proposer.Context, state, raw json.RawMessage) book.Entry {
	var a Args
	var k Key
	if d := book.Read(state, raw, &k, &a); d != nil {
		return book.Turned(d)
	}
	if len(a.Value) == 0 {
		return book.Turned(defect.New(defect.Invalid, "a write needs a value"))
	}
	if len(a.Value) > valueMax {
		return book.Turned(defect.New(defect.Oversize, "a value is at most %d bytes", valueMax))
	}
	return k.change(turn, a, Change{Value: a.Value})
}

func remove(turn proposer.Context, state, raw json.RawMessage) book.Entry {
	var a Args
	var k Key
	if d := book.Read(state, raw, &k, &a); d != nil {
		return book.Turned(d)
	}
	if k.Now().Deleted {
		return book.Turned(defect.New(defect.Missing, "there is no such key"))
	}
	return k.change(turn, a, Change{Deleted: true})
}

func (k Key) change(turn proposer.Context, a Args, c Change) book.Entry {
	now := k.Now()
	if a.If != nil {
		have := now.Revision
		if now.Deleted {
			have = 0
		}
		if have != *a.If {
			return book.Turned(defect.New(defect.Conflict, "the key is at revision %d", have))
		}
	}
	c.Revision = turn.Revision + 1
	bulk := 0
	for _, p := range k.Past {
		bulk += len(p.Value) + 40
	}
	for len(k.Past) > 1 {
		seen, ok := turn.TermMemory[mark(k.Past[1].Revision)]
		if !ok {
			seen = turn.TermBegan
		}
		if turn.Now.Since(seen) <= Kept {
			break
		}
		delete(turn.TermMemory, mark(k.Past[0].Revision))
		bulk -= len(k.Past[0].Value) + 40
		k.Past = k.Past[1:]
	}
	if len(k.Past) >= historyMx || bulk+len(c.Value) > bytesMax {
		return book.Turned(defect.New(defect.Busy, "changes come faster than watches may forget them").Later(10))
	}
	k.Past = append(k.Past, c)
	turn.Remember(mark(c.Revision))
	return book.Entry{State: book.JSON(k), Body: book.JSON(Reading{Revision: c.Revision, Value: c.Value, Deleted: c.Deleted})}
}

func mark(r ident.Revision) string { return fmt.Sprintf("r%d", r) }
