// Package lock gives one caller at a time a claim with a rising fence number.
package lock

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	mark = "claim"
	// past marks the newest grant of the fence that was longer than those after it.
	past   = "past"
	ttlMin = 50
	ttlMax = 10 * 60 * 1000
	// slackMin and slackMax bound what is waited out after a claim's end. The slack guards
	// clocks that run apart, for the holder counts on its own clock and the proposer on its
	// own: a tenth up to claims of 10 s, a thirtieth at 30 s. Longer claims have less of
	// it, 1 s in 600 s at the longest; two clocks that are each steered as far as a
	// kernel steers them, 500 parts in a million and apart, are 0.6 s apart by then. It is
	// bounded so that a lock whose holder died is free again a second after its time.
	slackMin = 300 * time.Millisecond
	slackMax = time.Second
)

// Lock is the state of one lock. Invariants: Fence rises with each claim but one that
// keeps, and never repeats; so a release or renewal that comes late, from before the last
// claim, does nothing. A claim that keeps leaves the fence and raises Grants, so a release
// that was begun before it and names the grant does nothing either. The end of the claim
// is not stored: it is reckoned from the last renewal of this term, or from the term's
// beginning, so a new proposer waits out the whole claim, and a renewal is only answered once
// a majority has confirmed that no later term had begun. Long, when set, is a longer
// time that the same fence was given before TTL: a holder that did not hear of the shorter
// one may still count on it, so the claim is over only when both are.
type Lock struct {
	Holder string `json:"holder,omitempty"`
	Fence  uint64 `json:"fence"`
	TTL    int64  `json:"ttlMs,omitempty"`
	Long   int64  `json:"longMs,omitempty"`
	Grants uint64 `json:"grants,omitempty"`
}

// Args are those of every lock operation.
type Args struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence,omitempty"`
	TTL    int64  `json:"ttlMs,omitempty"`
	To     string `json:"to,omitempty"`
	// Keep asks for the very fence again when the caller holds the lock already.
	Keep bool `json:"keep,omitempty"`
	// Grant, when set, is the grant that a release is for; another one it leaves alone.
	Grant uint64 `json:"grant,omitempty"`
}

// Grant is the response to a holder.
type Grant struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	TTL    int64  `json:"ttlMs"`
	Held   bool   `json:"held"`
	Grant  uint64 `json:"grant,omitempty"` // told by a read alone
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"lock/claim": claim, "lock/renew": renew, "lock/release": release, "lock/pass": pass, "lock/read": read}
}

func (l Lock) over(context proposer.Context) bool {
	if l.Holder == "" {
		return true
	}
	return ran(context, mark, l.TTL) && (l.Long == 0 || ran(context, past, l.Long))
}

// ran tells whether a time that was given at a time of this term, or at its beginning at
// the latest, is over with its slack.
func ran(context proposer.Context, at string, ttl int64) bool {
	span := time.Duration(ttl) * time.Millisecond
	return context.Now.Since(given(context, at)) > span+min(max(slackMin, span/10), slackMax)
}

func given(context proposer.Context, at string) monotime.Time {
	from, ok := context.TermMemory[at]
	if !ok || context.TermBegan.After(from) {
		return context.TermBegan
	}
	return from
}

// extend gives the fence ttl from now on and tells whether the state changed by it.
func (l *Lock) extend(context proposer.Context, ttl int64) bool {
	was := *l
	end := func(at string, ttl int64) monotime.Time {
		return given(context, at).Add(time.Duration(ttl) * time.Millisecond)
	}
	fresh := context.Now.Add(time.Duration(ttl) * time.Millisecond)
	if l.Long > 0 && end(past, l.Long) <= end(mark, l.TTL) {
		l.Long = 0
	}
	if l.Long == 0 && end(mark, l.TTL) > fresh {
		l.Long = l.TTL
		context.TermMemory[past] = given(context, mark)
	}
	if l.Long > 0 && end(past, l.Long) <= fresh {
		l.Long = 0
	}
	l.TTL = ttl
	context.Remember(mark)
	return *l != was
}

func (l Lock) grant() json.RawMessage {
	return operation.Encode(Grant{Holder: l.Holder, Fence: l.Fence, TTL: l.TTL, Held: l.Holder != ""})
}

func proper(ttl int64) bool { return ttl >= ttlMin && ttl <= ttlMax }

func claim(context proposer.Context, state, args json.RawMessage) operation.Result {
	var l Lock
	var a Args
	if d := operation.Decode(state, args, &l, &a); d != nil {
		return operation.Rejected(d)
	}
	if a.Holder == "" || !proper(a.TTL) {
		return operation.Rejected(failure.New(failure.Invalid, "a claim needs a holder and ttlMs from %d to %d", ttlMin, ttlMax))
	}
	over := l.over(context)
	if !over && l.Holder != a.Holder {
		d := failure.New(failure.Held, "held by %q", l.Holder)
		return operation.Rejected(d.Later(1))
	}
	l.Grants++
	if !over && a.Keep {
		l.extend(context, a.TTL)
		return operation.Result{State: operation.Encode(l), Body: l.grant()}
	}
	l.Holder, l.TTL, l.Long = a.Holder, a.TTL, 0
	l.Fence++
	context.Remember(mark)
	return operation.Result{State: operation.Encode(l), Body: l.grant()}
}

// mine checks that the operation comes from the holder.
func mine(state, args json.RawMessage) (l Lock, a Args, d *failure.Error) {
	if d = operation.Decode(state, args, &l, &a); d != nil {
		return
	}
	if l.Holder == "" || l.Holder != a.Holder || l.Fence != a.Fence {
		d = failure.New(failure.NotHolder, "holder %q fence %d does not hold it", a.Holder, a.Fence)
	}
	return
}

// renew gives the fence its time again from now on, or another time when it names one.
// It costs no disk unless the time is another.
func renew(context proposer.Context, state, args json.RawMessage) operation.Result {
	l, a, d := mine(state, args)
	if d != nil {
		return operation.Rejected(d)
	}
	if a.TTL == 0 {
		a.TTL = l.TTL
	}
	if !proper(a.TTL) {
		return operation.Rejected(failure.New(failure.Invalid, "a renewal's ttlMs is from %d to %d", ttlMin, ttlMax))
	}
	if l.extend(context, a.TTL) {
		return operation.Result{State: operation.Encode(l), Body: l.grant()}
	}
	return operation.Result{Body: l.grant()}
}

func release(_ proposer.Context, state, args json.RawMessage) operation.Result {
	l, a, d := mine(state, args)
	if d != nil {
		return operation.Rejected(d)
	}
	if a.Grant != 0 && a.Grant != l.Grants {
		return operation.Rejected(failure.New(failure.NotHolder, "grant %d was followed by %d", a.Grant, l.Grants))
	}
	l.Holder = ""
	return operation.Result{State: operation.Encode(l), Body: l.grant()}
}

// pass names the successor, as a duty's holder does when it can.
func pass(context proposer.Context, state, args json.RawMessage) operation.Result {
	l, a, d := mine(state, args)
	if d != nil {
		return operation.Rejected(d)
	}
	if a.To == "" {
		return operation.Rejected(failure.New(failure.Invalid, "a pass needs a successor"))
	}
	l.Holder, l.Fence, l.Long = a.To, l.Fence+1, 0
	l.Grants++
	context.Remember(mark)
	return operation.Result{State: operation.Encode(l), Body: l.grant()}
}

func read(context proposer.Context, state, args json.RawMessage) operation.Result {
	var l Lock
	var a Args
	if d := operation.Decode(state, args, &l, &a); d != nil {
		return operation.Rejected(d)
	}
	if l.over(context) {
		l.Holder, l.TTL, l.Long = "", 0, 0
	}
	return operation.Result{Body: operation.Encode(Grant{Holder: l.Holder, Fence: l.Fence, TTL: l.TTL, Held: l.Holder != "", Grant: l.Grants})}
}
