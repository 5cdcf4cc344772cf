// Package lock gives one caller at a time a claim with a rising fence number.
package lock

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/kernel/defect"
)

const (
	mark   = "claim"
	ttlMin = 200
	ttlMax = 10 * 60 * 1000
)

// Lock is the state of one lock. Invariants: Fence rises with each claim, also one by the
// holder itself, and never repeats; so a release or renewal that comes late, from before
// the last claim, does nothing. The end of the claim is not stored: it is reckoned from the last
// renewal of this tenure, or from the tenure's beginning, so a new owner waits out
// the whole claim, and a renewal is only answered once a majority has confirmed
// that no later tenure had begun.
type Lock struct {
	Holder string `json:"holder,omitempty"`
	Fence  uint64 `json:"fence"`
	TTL    int64  `json:"ttlMs,omitempty"`
}

// Args are those of every lock deed.
type Args struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence,omitempty"`
	TTL    int64  `json:"ttlMs,omitempty"`
	To     string `json:"to,omitempty"`
}

// Grant is the return to a holder.
type Grant struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	TTL    int64  `json:"ttlMs"`
	Held   bool   `json:"held"`
}

// Deeds are the handlers.
func Deeds() book.Book {
	return book.Book{"lock/claim": claim, "lock/renew": renew, "lock/release": release, "lock/pass": pass, "lock/read": read}
}

func (l Lock) over(turn owner.Turn) bool {
	if l.Holder == "" {
		return true
	}
	from, ok := turn.Memory[mark]
	if !ok || turn.Since.After(from) {
		from = turn.Since
	}
	span := time.Duration(l.TTL) * time.Millisecond
	return turn.Now.Since(from) > span+max(300*time.Millisecond, span/10)
}

func (l Lock) grant() json.RawMessage {
	return book.JSON(Grant{Holder: l.Holder, Fence: l.Fence, TTL: l.TTL, Held: l.Holder != ""})
}

func claim(turn owner.Turn, state, args json.RawMessage) book.Entry {
	var l Lock
	var a Args
	if d := book.Read(state, args, &l, &a); d != nil {
		return book.Turned(d)
	}
	if a.Holder == "" || a.TTL < ttlMin || a.TTL > ttlMax {
		return book.Turned(defect.New(defect.Invalid, "a claim needs a holder and ttlMs from %d to %d", ttlMin, ttlMax))
	}
	if !l.over(turn) && l.Holder != a.Holder {
		d := defect.New(defect.Held, "held by %q", l.Holder)
		return book.Turned(d.Later(1))
	}
	l.Holder, l.TTL = a.Holder, a.TTL
	l.Fence++
	turn.Touch(mark)
	return book.Entry{State: book.JSON(l), Body: l.grant()}
}

// mine checks that the deed comes from the holder.
func mine(state, args json.RawMessage) (l Lock, a Args, d *defect.Defect) {
	if d = book.Read(state, args, &l, &a); d != nil {
		return
	}
	if l.Holder == "" || l.Holder != a.Holder || l.Fence != a.Fence {
		d = defect.New(defect.NotHolder, "holder %q fence %d does not hold it", a.Holder, a.Fence)
	}
	return
}

func renew(turn owner.Turn, state, args json.RawMessage) book.Entry {
	l, _, d := mine(state, args)
	if d != nil {
		return book.Turned(d)
	}
	turn.Touch(mark)
	return book.Entry{Body: l.grant()}
}

func release(_ owner.Turn, state, args json.RawMessage) book.Entry {
	l, _, d := mine(state, args)
	if d != nil {
		return book.Turned(d)
	}
	l.Holder = ""
	return book.Entry{State: book.JSON(l), Body: l.grant()}
}

// pass names the successor, as a duty's holder does when it can.
func pass(turn owner.Turn, state, args json.RawMessage) book.Entry {
	l, a, d := mine(state, args)
	if d != nil {
		return book.Turned(d)
	}
	if a.To == "" {
		return book.Turned(defect.New(defect.Invalid, "a pass needs a successor"))
	}
	l.Holder, l.Fence = a.To, l.Fence+1
	turn.Touch(mark)
	return book.Entry{State: book.JSON(l), Body: l.grant()}
}

func read(turn owner.Turn, state, args json.RawMessage) book.Entry {
	var l Lock
	var a Args
	if d := book.Read(state, args, &l, &a); d != nil {
		return book.Turned(d)
	}
	if l.over(turn) {
		l.Holder, l.TTL = "", 0
	}
	return book.Entry{Body: l.grant()}
}
