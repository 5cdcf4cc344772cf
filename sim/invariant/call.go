package invariant

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// Outcome is what the client of a request was told.
type Outcome string

// The outcomes of a request.
const (
	// Served: the client has a response.
	Served Outcome = "served"
	// NotExecuted: the request certainly did not run.
	NotExecuted Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
	// SidecarDown: the client's own sidecar took no requests.
	SidecarDown Outcome = "no-node"
	// Pending: the client has not been told anything yet.
	Pending Outcome = ""
)

// Call is one request of a client.
type Call struct {
	ID                 string
	Service            ident.Service
	AtMostOnce         bool // it may run at most once
	Routed             bool // a route was found, so it counts for the retry budget
	Urgent             bool
	UrgentInFlight     int // urgent calls in flight at its own sidecar when it was queued, itself included
	UrgentCapacity     int // how many of them that sidecar has room for
	Began, Ended       monotime.Time
	LastAttemptEnded   monotime.Time // when its last attempt ended, or when it came if it had none
	Deadline           monotime.Time
	Outcome            Outcome
	Reason             string // the kind of failure, if any
	RejectedAtEndpoint bool   // its last attempt was rejected by an endpoint or its admission queue
	Arrivals           int    // attempts that reached an endpoint
	Complete           bool   // some endpoint gave its complete response
	Done               func()
}

// Execution is one run of a request by an endpoint.
type Execution struct {
	ID                        string // of the call
	Server                    ident.Server
	Service, RequestedService ident.Service
	ArrivedAt                 monotime.Time // when the request reached the endpoint
	ExecutedAt                monotime.Time // when it ran, 0 if at once
	LeaveConfirmedAt          monotime.Time // when the endpoint's leaving was confirmed on its machine, 0 if it was not
	LossConfirmedAt           monotime.Time // when the endpoint's loss was, 0 if it was not
	AtMostOnce                bool
}

// Executed takes a run of a request by an endpoint.
func (c *Checker) Executed(execution Execution) {
	if execution.ExecutedAt == 0 {
		execution.ExecutedAt = execution.ArrivedAt
	}
	c.Executions = append(c.Executions, execution)
	c.Observe(WrongService)
	if execution.Service != execution.RequestedService {
		c.Violate(execution.ArrivedAt, WrongService, "%s meant for %s was run by %s of %s", execution.ID, execution.RequestedService, execution.Server, execution.Service)
	}
	c.checkLeft(execution, "leaving", execution.LeaveConfirmedAt)
	c.checkLeft(execution, "loss", execution.LossConfirmedAt)
}

// checkLeft checks that a request did not arrive long after an event was confirmed, if it was.
func (c *Checker) checkLeft(execution Execution, event string, confirmedAt monotime.Time) {
	if confirmedAt == 0 || execution.ArrivedAt < confirmedAt {
		return
	}
	if late := execution.ArrivedAt.Since(confirmedAt); late > leaveDeadline {
		c.Violate(execution.ArrivedAt, RequestAfterLeave, "%s reached %s %v after its %s was confirmed", execution.ID, execution.Server, late, event)
	}
}

// checkUrgent checks that no urgent call is rejected at its own sidecar for want of room. What
// urgent calls alone fill, or an endpoint rejects, is not that sidecar's queue.
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
		c.Violate(call.Ended, UrgentRejected, "%s was rejected as busy", call.ID)
	}
}

// checkHeldBack checks that a call that was given up was answered at once.
func (c *Checker) checkHeldBack(call *Call) {
	if call.Outcome != NotExecuted && call.Outcome != Unknown || call.LastAttemptEnded == 0 {
		return
	}
	c.Observe(LateFailure)
	if late := call.Ended.Since(call.LastAttemptEnded); late > maxHoldBack {
		c.Violate(call.Ended, LateFailure, "%s was answered %s %v after it was given up", call.ID, call.Outcome, late)
	}
}
