package admission

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// Request is one request for an endpoint.
type Request struct {
	// ID identifies the request in the queue. IDs of requests that wait or run are unique.
	ID uint64
	// Rank is the priority of the request; 0 is the highest rank.
	Rank int
	// Nested reports whether the run of another request waits for this request. Within a rank, a
	// nested request precedes client requests, because its rejection wastes the work of that run.
	Nested bool
	// ServiceTime is the mean run time of the route at the average endpoint of the service, as
	// measured by the origin; 0 if unknown.
	ServiceTime time.Duration
	// Until FreeRejectUntil, a rejection has no cost, because the origin still has time to try
	// another endpoint. Until Target, the response has its full value; a Target of 0 means the
	// deadline. After Deadline, which is required, no client waits for the response.
	FreeRejectUntil, Target, Deadline monotime.Time
	// PeerFailureRate is the fraction of failed runs at the other endpoints of the service, as the
	// origin knows from their load reports.
	PeerFailureRate float64
	// LastResort reports whether no better endpoint is left. A last-resort request is not rejected
	// because the endpoint fails or is slow, only because too many requests wait.
	LastResort bool
}

// effectiveTarget returns the time until which the response has its full value.
func (r *Request) effectiveTarget() monotime.Time {
	if r.Target == 0 {
		return r.Deadline
	}
	return r.Target
}

// precedes reports whether request a stands before request b in a queue.
func precedes(a, b Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	return a.effectiveTarget() < b.effectiveTarget()
}

// Decision is what happens to a request.
type Decision uint8

// The decisions. Invariant: a request gets either one Admit or one Reject, never both, so a
// rejected request has never reached the endpoint.
const (
	Wait Decision = iota
	Admit
	Reject
)

// Reason is the reason for the rejection of a request.
type Reason string

// The rejection reasons.
const (
	Busy        Reason = "busy" // the request would wait too long, or too many requests wait
	Late        Reason = "late" // the request would miss its deadline or target
	Failing     Reason = "ill"  // the failure rate of the endpoint is too high
	Slow        Reason = "slow" // the run at the endpoint alone would take longer than the target allows
	Unavailable Reason = "left" // the endpoint is leaving, unhealthy or removed
)

// Verdict is the decision on a request.
type Verdict struct {
	ID       uint64
	Decision Decision
	Reason   Reason
	// RetryAfter is the delay after which a rejected request may be retried at this endpoint.
	RetryAfter time.Duration
}

// Outcome is how a request ended at the endpoint.
type Outcome uint8

// The outcomes.
const (
	// Served is a complete, successful response of the endpoint itself.
	Served Outcome = iota
	// Failed is a failure of the endpoint: a 5xx response of the endpoint itself, unless the
	// response states that the request was not executed, or a truncated or malformed response.
	Failed
	// GivenUp is a request that was abandoned, timed out or was not executed. GivenUp only shows
	// that the run would have taken longer than the elapsed time, which is 0 for a request that
	// never ran.
	GivenUp
)
