// Package lock gives one caller at a time a claim with a rising fence number.
package lock

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	grantedKey = "claim"
	// longerGrantedKey marks the newest grant of the fence that was longer than those after it.
	longerGrantedKey = "past"
	minTTL           = 50
	maxTTL           = 10 * 60 * 1000
	// minGrace and slackMax bound what is waited out after a claim's end. The slack guards
	// clocks that run apart, for the holder counts on its own clock and the proposer on its
	// own: a tenth up to claims of 10 s, a thirtieth at 30 s. Longer claims have less of
	// it, 1 s in 600 s at the longest; two clocks that are each steered as far as a
	// kernel steers them, 500 parts in a million and apart, are 0.6 s apart by then. It is
	// bounded so that a lock whose holder died is free again a second after its time.
	minGrace = 300 * time.Millisecond
	maxGrace = time.Second
)

// State is the state of one lock. Invariants: Fence rises with each claim but one that
// keeps, and never repeats; so a release or renewal that comes late, from before the last
// claim, does nothing. A claim that keeps leaves the fence and raises Grants, so a release
// that was begun before it and names the grant does nothing either. The end of the claim
// is not stored: it is reckoned from the last renewal of this term, or from the term's
// beginning, so a new proposer waits out the whole claim, and a renewal is only answered once
// a majority has confirmed that no later term had begun. Long, when set, is a longer
// time that the same fence was given before TTL: a holder that did not hear of the shorter
// one may still count on it, so the claim is over only when both are.
type State struct {
	Holder       string `json:"holder,omitempty"`
	FencingToken uint64 `json:"fence"`
	TTL          int64  `json:"ttlMs,omitempty"`
	LongerTTL    int64  `json:"longMs,omitempty"`
	GrantCount   uint64 `json:"grants,omitempty"`
}

// Args are those of every lock operation.
type Args struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence,omitempty"`
	TTL          int64  `json:"ttlMs,omitempty"`
	Successor    string `json:"to,omitempty"`
	// KeepToken asks for the very fence again when the caller holds the lock already.
	KeepToken bool `json:"keep,omitempty"`
	// GrantNumber, when set, is the grant that a release is for; another one it leaves alone.
	GrantNumber uint64 `json:"grant,omitempty"`
}

// Grant is the response to a holder.
type Grant struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	TTL          int64  `json:"ttlMs"`
	Held         bool   `json:"held"`
	Number       uint64 `json:"grant,omitempty"` // told by a read alone
}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"lock/claim": acquire, "lock/renew": renew, "lock/release": release, "lock/pass": transfer, "lock/read": read}
}

func (s State) isFree(context proposer.Context) bool {
	if s.Holder == "" {
		return true
	}
	return expired(context, grantedKey, s.TTL) && (s.LongerTTL == 0 || expired(context, longerGrantedKey, s.LongerTTL))
}

// expired tells whether a time that was given at a time of this term, or at its beginning at
// the latest, is over with its slack.
func expired(context proposer.Context, key string, ttl int64) bool {
	duration := time.Duration(ttl) * time.Millisecond
	return context.Now.Since(grantedAt(context, key)) > duration+min(max(minGrace, duration/10), maxGrace)
}

func grantedAt(context proposer.Context, key string) monotime.Time {
	granted, ok := context.TermMemory[key]
	if !ok || context.TermBegan.After(granted) {
		return context.TermBegan
	}
	return granted
}

// extend gives the fence ttl from now on and tells whether the state changed by it.
func (s *State) extend(context proposer.Context, ttl int64) bool {
	before := *s
	endOf := func(key string, ttl int64) monotime.Time {
		return grantedAt(context, key).Add(time.Duration(ttl) * time.Millisecond)
	}
	newEnd := context.Now.Add(time.Duration(ttl) * time.Millisecond)
	if s.LongerTTL > 0 && endOf(longerGrantedKey, s.LongerTTL) <= endOf(grantedKey, s.TTL) {
		s.LongerTTL = 0
	}
	if s.LongerTTL == 0 && endOf(grantedKey, s.TTL) > newEnd {
		s.LongerTTL = s.TTL
		context.TermMemory[longerGrantedKey] = grantedAt(context, grantedKey)
	}
	if s.LongerTTL > 0 && endOf(longerGrantedKey, s.LongerTTL) <= newEnd {
		s.LongerTTL = 0
	}
	s.TTL = ttl
	context.Remember(grantedKey)
	return *s != before
}

func (s State) encodeGrant() json.RawMessage {
	return operation.Encode(Grant{Holder: s.Holder, FencingToken: s.FencingToken, TTL: s.TTL, Held: s.Holder != ""})
}

func validTTL(ttl int64) bool { return ttl >= minTTL && ttl <= maxTTL }

func acquire(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var args Args
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	if args.Holder == "" || !validTTL(args.TTL) {
		return operation.Rejected(failure.New(failure.Invalid, "a claim needs a holder and ttlMs from %d to %d", minTTL, maxTTL))
	}
	free := current.isFree(context)
	if !free && current.Holder != args.Holder {
		err := failure.New(failure.LockHeld, "held by %q", current.Holder)
		return operation.Rejected(err.WithRetryAfter(1))
	}
	current.GrantCount++
	if !free && args.KeepToken {
		current.extend(context, args.TTL)
		return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
	}
	current.Holder, current.TTL, current.LongerTTL = args.Holder, args.TTL, 0
	current.FencingToken++
	context.Remember(grantedKey)
	return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
}

// decodeForHolder checks that the operation comes from the holder.
func decodeForHolder(rawState, rawArgs json.RawMessage) (current State, args Args, err *failure.Error) {
	if err = operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return
	}
	if current.Holder == "" || current.Holder != args.Holder || current.FencingToken != args.FencingToken {
		err = failure.New(failure.NotHolder, "holder %q fence %d does not hold it", args.Holder, args.FencingToken)
	}
	return
}

// renew gives the fence its time again from now on, or another time when it names one.
// It costs no disk unless the time is another.
func renew(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decodeForHolder(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if args.TTL == 0 {
		args.TTL = current.TTL
	}
	if !validTTL(args.TTL) {
		return operation.Rejected(failure.New(failure.Invalid, "a renewal's ttlMs is from %d to %d", minTTL, maxTTL))
	}
	if current.extend(context, args.TTL) {
		return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
	}
	return operation.Result{Body: current.encodeGrant()}
}

func release(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decodeForHolder(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if args.GrantNumber != 0 && args.GrantNumber != current.GrantCount {
		return operation.Rejected(failure.New(failure.NotHolder, "grant %d was followed by %d", args.GrantNumber, current.GrantCount))
	}
	current.Holder = ""
	return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
}

// transfer names the successor, as a duty's holder does when it can.
func transfer(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, args, err := decodeForHolder(rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if args.Successor == "" {
		return operation.Rejected(failure.New(failure.Invalid, "a pass needs a successor"))
	}
	current.Holder, current.FencingToken, current.LongerTTL = args.Successor, current.FencingToken+1, 0
	current.GrantCount++
	context.Remember(grantedKey)
	return operation.Result{State: operation.Encode(current), Body: current.encodeGrant()}
}

func read(context proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current State
	var args Args
	if err := operation.Decode(rawState, rawArgs, &current, &args); err != nil {
		return operation.Rejected(err)
	}
	if current.isFree(context) {
		current.Holder, current.TTL, current.LongerTTL = "", 0, 0
	}
	return operation.Result{Body: operation.Encode(Grant{Holder: current.Holder, FencingToken: current.FencingToken, TTL: current.TTL, Held: current.Holder != "", Number: current.GrantCount})}
}
