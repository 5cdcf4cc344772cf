package admission

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// Request is one request for an endpoint.
type Request struct {
	// ID identifies the request in the queue; no two that wait or run share one.
	ID uint64
	// Rank is its priority: 0 goes first.
	Rank int
	// Nested says that the run of another request waits for it: it goes before the requests of
	// clients of its rank, as a rejection wastes what that run has done.
	Nested bool
	// ServiceTime is what its route takes at the service's mean endpoint, as its origin has measured it; 0
	// for unknown.
	ServiceTime time.Duration
	// FreeRejectUntil is until when a rejection costs nothing, since the origin has time for another
	// endpoint. Until Target its response is worth most; 0 is the deadline. After Deadline, which
	// must be given, nobody waits for it.
	FreeRejectUntil, Target, Deadline monotime.Time
	// PeerFailureRate is the part of runs that fails at the service's other endpoints, as the origin
	// knows from their load reports.
	PeerFailureRate float64
	// LastResort says that no better endpoint is left: it is not rejected because the endpoint fails
	// or is slow, only because too many wait.
	LastResort bool
}

// target is until when its response is worth most.
func (r *Request) target() monotime.Time {
	if r.Target == 0 {
		return r.Deadline
	}
	return r.Target
}

// before reports whether a request stands before another in a queue.
func before(a, b Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	return a.target() < b.target()
}

// Decision is what becomes of a request.
type Decision uint8

// The decisions. Invariant: a request gets one Admit or one Reject, never both, so a rejected
// request has never been at the endpoint.
const (
	Wait Decision = iota
	Admit
	Reject
)

// Reason is why a request was rejected.
type Reason string

// The reasons.
const (
	Busy        Reason = "busy" // it would wait too long, or too many wait
	Late        Reason = "late" // its deadline or target would pass
	Failing     Reason = "ill"  // the endpoint fails too often
	Slow        Reason = "slow" // the endpoint alone takes longer than the request's target allows
	Unavailable Reason = "left" // the endpoint has left
)

// Verdict is what is to be done with a request now.
type Verdict struct {
	ID       uint64
	Decision Decision
	Reason   Reason
	// RetryAfter is after how long a rejected request may be tried again here.
	RetryAfter time.Duration
}

// Outcome is how a request's time at the endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// Served is a complete response of the endpoint itself that is no failure.
	Served Outcome = iota
	// Failed is a failure of the endpoint: a 5xx of its own, except those that say that the request
	// was not executed, or a response that is cut off or malformed.
	Failed
	// GivenUp is a request that was abandoned, out of time or not executed. It tells only that it
	// would have taken longer than it did; the time is 0 for one that was never at work.
	GivenUp
)
