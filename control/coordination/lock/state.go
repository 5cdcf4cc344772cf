package lock

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// grantedKey is the TermMemory key of the time at which the newest grant or renewal began.
	grantedKey = "grant"
	// longerGrantedKey is the TermMemory key of the time at which the lease of LongerTTL began:
	// the newest grant under the same fencing token that ends after the grants that followed.
	longerGrantedKey = "longer grant"

	// minTTL and maxTTL bound the duration of a lease, in milliseconds.
	minTTL = 50
	maxTTL = 10 * 60 * 1000

	// minGrace and maxGrace bound the grace period, for which a lock stays held after its lease
	// has expired. The grace period covers clock drift, since the holder and the proposer measure
	// the lease on separate clocks. It is a tenth of a lease of up to 10 s, a thirtieth of a
	// lease of 30 s, and a smaller part of longer leases, down to 1 s for 600 s: two clocks that
	// drift apart at the limit of kernel clock adjustment, 500 ppm each, differ by 0.6 s after
	// 600 s. The upper bound ensures that the lock of a crashed holder is free within one second
	// after the lease has expired.
	minGrace = 300 * time.Millisecond
	maxGrace = time.Second
)

// State is the state of one lock. Invariants:
//   - FencingToken increases with each grant, except with a grant that keeps the token, and no
//     token is used for two holders; so a release or a renewal from before the last grant has no
//     effect.
//   - A grant that keeps the token increases GrantCount; so a release that names an earlier grant
//     has no effect either.
//   - The expiry of a lease is not stored. It is computed from the newest grant or renewal of the
//     current term, or from the beginning of the term if the term has neither; so a new proposer
//     waits for the whole TTL. A renewal is acknowledged only once a majority has confirmed that
//     no later term has begun.
//   - LongerTTL, if not 0, is the TTL of an earlier lease under the same token that ends after the
//     current lease. A holder that missed the response with the shorter TTL may still rely on the
//     longer lease, so the lock is free only when both leases have expired.
type State struct {
	Holder       string `json:"holder,omitempty"`
	FencingToken uint64 `json:"fence"`
	// TTL and LongerTTL are in milliseconds.
	TTL        int64  `json:"ttlMs,omitempty"`
	LongerTTL  int64  `json:"longMs,omitempty"`
	GrantCount uint64 `json:"grants,omitempty"`
}

// isFree reports whether the lock has no holder or its leases have expired.
func (s State) isFree(context proposer.Context) bool {
	if s.Holder == "" {
		return true
	}
	return expired(context, grantedKey, s.TTL) && (s.LongerTTL == 0 || expired(context, longerGrantedKey, s.LongerTTL))
}

// expired reports whether a lease and its grace period are over. The lease began at the time that
// grantedAt returns for key.
func expired(context proposer.Context, key string, ttl int64) bool {
	grace := min(max(minGrace, duration(ttl)/10), maxGrace)
	return context.Now.Since(grantedAt(context, key)) > duration(ttl)+grace
}

// grantedAt returns the time at which the grant under key began. For a grant of an earlier term it
// returns the beginning of the current term.
func grantedAt(context proposer.Context, key string) monotime.Time {
	granted, ok := context.TermEventTimes[key]
	if !ok || context.TermStartedAt.After(granted) {
		return context.TermStartedAt
	}
	return granted
}

func duration(ttl int64) time.Duration { return time.Duration(ttl) * time.Millisecond }

func validTTL(ttl int64) bool { return ttl >= minTTL && ttl <= maxTTL }

// extend starts a lease of ttl milliseconds at the current time, under the same fencing token. If
// the previous lease ends later, its TTL is kept in LongerTTL. extend reports whether the state
// changed.
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

// encodeGrant encodes the response to the holder, which does not include the grant number.
func (s State) encodeGrant() json.RawMessage {
	return operation.Encode(Grant{Holder: s.Holder, FencingToken: s.FencingToken, TTL: s.TTL, Held: s.Holder != ""})
}
