package lock

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// grantedKey is the name under which a term remembers when the newest grant began.
	grantedKey = "grant"
	// longerGrantedKey is that of the newest grant under the same fencing token which was
	// longer than those after it.
	longerGrantedKey = "longer grant"

	// minTTL and maxTTL bound the duration of a lease, in milliseconds.
	minTTL = 50
	maxTTL = 10 * 60 * 1000

	// minGrace and maxGrace bound how long after the end of a lease the lock stays taken. The
	// grace covers clock drift, since the holder and the proposer each count on their own
	// clock: a tenth of a lease up to 10 s, a thirtieth of one of 30 s, and less of longer
	// ones, down to 1 s in 600 s; two clocks that drift apart as far as kernels adjust them,
	// by 500 parts in a million each, differ by 0.6 s then. It is bounded so that the lock of
	// a crashed holder is free within a second after its lease.
	minGrace = 300 * time.Millisecond
	maxGrace = time.Second
)

// State is the state of one lock. Invariants:
//   - FencingToken rises with each grant except one that keeps the token, and no token is
//     used for two holders; so a release or a renewal from before the last grant has no effect.
//   - A grant that keeps the token raises GrantCount; so a release that names an earlier grant
//     has no effect either.
//   - The end of a lease is not stored. It is counted from the newest grant or renewal in this
//     term, or from the beginning of the term if there was none; so a new proposer waits out
//     the whole lease. A renewal is only confirmed once a majority has confirmed that no later
//     term has begun.
//   - LongerTTL, if set, is a longer lease that the same token had before TTL. A holder that
//     missed the response with the shorter one may still rely on it, so the lock is free only
//     when both leases are over.
type State struct {
	Holder       string `json:"holder,omitempty"`
	FencingToken uint64 `json:"fence"`
	// TTL and LongerTTL are in milliseconds.
	TTL        int64  `json:"ttlMs,omitempty"`
	LongerTTL  int64  `json:"longMs,omitempty"`
	GrantCount uint64 `json:"grants,omitempty"`
}

// isFree reports whether nobody holds the lock any more.
func (s State) isFree(context proposer.Context) bool {
	if s.Holder == "" {
		return true
	}
	return expired(context, grantedKey, s.TTL) && (s.LongerTTL == 0 || expired(context, longerGrantedKey, s.LongerTTL))
}

// expired reports whether a lease is over, with its grace.
func expired(context proposer.Context, key string, ttl int64) bool {
	grace := min(max(minGrace, duration(ttl)/10), maxGrace)
	return context.Now.Since(grantedAt(context, key)) > duration(ttl)+grace
}

// grantedAt returns when a grant began, the beginning of the term for one of an earlier term.
func grantedAt(context proposer.Context, key string) monotime.Time {
	granted, ok := context.TermEventTimes[key]
	if !ok || context.TermStartedAt.After(granted) {
		return context.TermStartedAt
	}
	return granted
}

func duration(ttl int64) time.Duration { return time.Duration(ttl) * time.Millisecond }

func validTTL(ttl int64) bool { return ttl >= minTTL && ttl <= maxTTL }

// extend starts a lease of ttl milliseconds now under the same fencing token. It reports
// whether the state changed.
func (s *State) extend(context proposer.Context, ttl int64) bool {
	before := *s
	endOf := func(key string, ttl int64) monotime.Time {
		return grantedAt(context, key).Add(duration(ttl))
	}
	newEnd := context.Now.Add(duration(ttl))
	if s.LongerTTL > 0 && endOf(longerGrantedKey, s.LongerTTL) <= endOf(grantedKey, s.TTL) {
		s.LongerTTL = 0
	}
	if s.LongerTTL == 0 && endOf(grantedKey, s.TTL) > newEnd {
		s.LongerTTL = s.TTL
		context.TermEventTimes[longerGrantedKey] = grantedAt(context, grantedKey)
	}
	if s.LongerTTL > 0 && endOf(longerGrantedKey, s.LongerTTL) <= newEnd {
		s.LongerTTL = 0
	}
	s.TTL = ttl
	context.RecordTermEvent(grantedKey)
	return *s != before
}

// encodeGrant encodes the response to a holder, which has no grant number.
func (s State) encodeGrant() json.RawMessage {
	return operation.Encode(Grant{Holder: s.Holder, FencingToken: s.FencingToken, TTL: s.TTL, Held: s.Holder != ""})
}
