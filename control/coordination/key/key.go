// Package key keeps small values and their recent history for watches.
package key

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
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
// grow older than Kept; when Past is full of younger ones, writes are rejected.
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

// Args are those of every key operation.
type Args struct {
	Value json.RawMessage `json:"value,omitempty"`
	// If, when given, is the revision the key must be at; 0 means it must not exist.
	If *ident.Revision `json:"ifRevision,omitempty"`
	// Since asks a read for the changes after a revision too.
	Since *ident.Revision `json:"since,omitempty"`
}

// Reading is the response to a read.
type Reading struct {
	Revision ident.Revision  `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Changes  []Change        `json:"changes,omitempty"`
	// Cut tells that changes after Since were left out because they are forgotten.
	Cut bool `json:"cut,omitempty"`
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"key/read": read, "key/write": write, "key/delete": remove}
}

func read(_ proposer.Context, state, raw json.RawMessage) operation.Result {
	var k Key
	var a Args
	if d := operation.Decode(state, raw, &k, &a); d != nil {
		return operation.Rejected(d)
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
	return operation.Result{Body: operation.Encode(out)}
}

func write(context proposer.Context, state, raw json.RawMessage) operation.Result {
	var a Args
	var k Key
	if d := operation.Decode(state, raw, &k, &a); d != nil {
		return operation.Rejected(d)
	}
	if len(a.Value) == 0 {
		return operation.Rejected(failure.New(failure.Invalid, "a write needs a value"))
	}
	if len(a.Value) > valueMax {
		return operation.Rejected(failure.New(failure.Oversize, "a value is at most %d bytes", valueMax))
	}
	return k.change(context, a, Change{Value: a.Value})
}

func remove(context proposer.Context, state, raw json.RawMessage) operation.Result {
	var a Args
	var k Key
	if d := operation.Decode(state, raw, &k, &a); d != nil {
		return operation.Rejected(d)
	}
	if k.Now().Deleted {
		return operation.Rejected(failure.New(failure.Missing, "there is no such key"))
	}
	return k.change(context, a, Change{Deleted: true})
}

func (k Key) change(context proposer.Context, a Args, c Change) operation.Result {
	now := k.Now()
	if a.If != nil {
		have := now.Revision
		if now.Deleted {
			have = 0
		}
		if have != *a.If {
			return operation.Rejected(failure.New(failure.Conflict, "the key is at revision %d", have))
		}
	}
	c.Revision = context.Revision + 1
	bulk := 0
	for _, p := range k.Past {
		bulk += len(p.Value) + 40
	}
	for len(k.Past) > 1 {
		seen, ok := context.TermMemory[mark(k.Past[1].Revision)]
		if !ok {
			seen = context.TermBegan
		}
		if context.Now.Since(seen) <= Kept {
			break
		}
		delete(context.TermMemory, mark(k.Past[0].Revision))
		bulk -= len(k.Past[0].Value) + 40
		k.Past = k.Past[1:]
	}
	if len(k.Past) >= historyMx || bulk+len(c.Value) > bytesMax {
		return operation.Rejected(failure.New(failure.Busy, "changes come faster than watches may forget them").Later(10))
	}
	k.Past = append(k.Past, c)
	context.Remember(mark(c.Revision))
	return operation.Result{State: operation.Encode(k), Body: operation.Encode(Reading{Revision: c.Revision, Value: c.Value, Deleted: c.Deleted})}
}

func mark(r ident.Revision) string { return fmt.Sprintf("r%d", r) }
