package invariant

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// Outcome is the outcome of a request as reported to its client.
type Outcome string

// The outcomes of a request.
const (
	// Served: the client received a response.
	Served Outcome = "served"
	// NotExecuted: the client was told that no endpoint executed the request.
	NotExecuted Outcome = "not-run"
	// Unknown: the client was told that an endpoint may have executed the request.
	Unknown Outcome = "unknown"
	// SidecarDown: the client's own sidecar accepted no requests.
	SidecarDown Outcome = "no-node"
	// Pending: the client has no result yet.
	Pending Outcome = ""
)

// Call records one request of a client and its outcome.
type Call struct {
	ID                 string
	Service            ident.Service
	AtMostOnce         bool // the request must not be executed twice
	Routed             bool // a route was found, so the call counts toward the retry budget
	Urgent             bool
	UrgentInFlight     int // urgent calls in flight at the client's sidecar when the call was queued, including the call
	UrgentCapacity     int // maximum number of urgent calls in flight at that sidecar
	Began, Ended       monotime.Time
	LastAttemptEnded   monotime.Time // end of the last attempt; without attempts, when the call arrived
	Deadline           monotime.Time
	Outcome            Outcome
	Reason             string // the kind of the failure, empty if there is none
	RejectedAtEndpoint bool   // the last attempt was rejected by an endpoint or an admission queue
	Arrivals           int    // attempts that reached an endpoint
	Complete           bool   // an endpoint sent a complete response
	Done               func()
}

// Execution records that an endpoint executed a request once.
type Execution struct {
	ID                        string // ID of the call
	Server                    ident.Server
	Service, RequestedService ident.Service
	ArrivedAt                 monotime.Time // when the request reached the endpoint
	ExecutedAt                monotime.Time // when the endpoint executed the request, 0 if on arrival
	LeaveConfirmedAt          monotime.Time // when the leaving of the endpoint was confirmed on its machine, 0 if never
	LossConfirmedAt           monotime.Time // when the loss of the endpoint was confirmed, 0 if never
	AtMostOnce                bool
}

// Executed records an execution and checks the service and the state of its endpoint.
func (c *Checker) Executed(execution Execution) {
	if execution.ExecutedAt == 0 {
		execution.ExecutedAt = execution.ArrivedAt
	}
	c.Executions = append(c.Executions, execution)
	c.Observe(WrongService)
	if execution.Service != execution.RequestedService {
		c.Violate(execution.ArrivedAt, WrongService, "%s for %s was executed by %s of %s", execution.ID, execution.RequestedService, execution.Server, execution.Service)
	}
	c.checkArrivedAfterLeave(execution, "leaving", execution.LeaveConfirmedAt)
	c.checkArrivedAfterLeave(execution, "loss", execution.LossConfirmedAt)
}

// checkArrivedAfterLeave checks that a request did not arrive later than leaveDeadline after the
// endpoint's leaving or loss was confirmed; confirmedAt is 0 if that event was not confirmed.
func (c *Checker) checkArrivedAfterLeave(execution Execution, event string, confirmedAt monotime.Time) {
	if confirmedAt == 0 || execution.ArrivedAt < confirmedAt {
		return
	}
	if delay := execution.ArrivedAt.Since(confirmedAt); delay > leaveDeadline {
		c.Violate(execution.ArrivedAt, RequestAfterLeave, "%s reached %s %v after its %s was confirmed", execution.ID, execution.Server, delay, event)
	}
}

// checkUrgent checks that the client's sidecar does not reject an urgent call because its queue is
// full. A rejection is excused if urgent calls alone fill that queue, or if an endpoint or its
// admission queue rejected the call.
func (c *Checker) checkUrgent(call *Call) {
	if !call.Urgent || call.Outcome == SidecarDown || call.Outcome == Pending {
		return
	}
	rejected := call.Reason == string(failure.Busy)
	if rejected && call.UrgentInFlight >= call.UrgentCapacity {
		c.Excuse(UrgentRejected, "urgent calls alone filling its queue")
		return
	}
	if rejected && call.RejectedAtEndpoint {
		c.Excuse(UrgentRejected, "no room at its endpoint, which is not its queue")
		return
	}
	c.Observe(UrgentRejected)
	if rejected {
		c.Violate(call.Ended, UrgentRejected, "urgent call %s was rejected as busy", call.ID)
	}
}

// checkFailureDelay checks that a failed call was answered within maxFailureDelay after the end of
// its last attempt.
func (c *Checker) checkFailureDelay(call *Call) {
	if call.Outcome != NotExecuted && call.Outcome != Unknown || call.LastAttemptEnded == 0 {
		return
	}
	c.Observe(LateFailure)
	if delay := call.Ended.Since(call.LastAttemptEnded); delay > maxFailureDelay {
		c.Violate(call.Ended, LateFailure, "%s was answered %s %v after its last attempt ended", call.ID, call.Outcome, delay)
	}
}
