package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/sim/invariant"
)

// accept handles a request at an endpoint with slots: the endpoint executes the request in a free
// slot, or queues the request if the queue has room. A request that finds the queue full or names another
// endpoint is rejected without being executed.
func (e *Endpoint) accept(a *admissionAttempt, remaining time.Duration, done func(attempt.Result)) {
	w := e.world
	if e.hung {
		e.arrivedWhileHung = append(e.arrivedWhileHung, func() { e.accept(a, remaining, done) })
		return
	}
	switch {
	case e.Server != a.decision.Entry.UID && w.Mutant != MutantIgnoreTarget:
		e.shed(a, "the request names another endpoint", done)
	case e.inFlight < e.Behavior.Slots:
		e.execute(a, done)
	case len(e.requestQueue) >= e.Behavior.QueueLimit:
		e.shed(a, "all slots and the queue of the endpoint are full", done)
	default:
		deadline := w.now.Add(remaining)
		e.requestQueue = append(e.requestQueue, func() {
			if w.now >= deadline {
				e.shed(a, "the deadline of the request passed in the endpoint's queue", done)
				return
			}
			e.execute(a, done)
		})
	}
}

// shed rejects a request for a reason, without executing it.
func (e *Endpoint) shed(a *admissionAttempt, reason string, done func(attempt.Result)) {
	if e.world.Mutant == MutantExecuteShed {
		e.execute(a, func(attempt.Result) {})
	}
	done(attempt.Result{Outcome: attempt.NotExecuted, ReachedEndpoint: true, Failure: failure.New(failure.Busy, "%s", reason)})
}

// execute executes a request from an admission queue. The response may report a failure of the
// endpoint.
func (e *Endpoint) execute(a *admissionAttempt, done func(attempt.Result)) {
	w := e.world
	if a.executed = true; a.rejected {
		w.Violate(invariant.AdmissionRejected, "call %s was rejected by the admission queue for %s and then executed", a.queued.record.ID, e.Server)
	}
	e.serve(a.execution, a.queued.record, func(result attempt.Result) {
		if result.Outcome == attempt.Executed && w.Rng.Float64() < e.Behavior.FailureRate {
			result.EndpointFailed = true
		}
		done(result)
	})
}

// serve executes a request and calls done with the response, with a malformed response, or not at
// all.
func (e *Endpoint) serve(execution invariant.Execution, record *invariant.Call, done func(attempt.Result)) {
	w := e.world
	execution.ExecutedAt = w.now
	w.Checker.Executed(execution)
	e.inFlight++
	draw := w.Rng.Float64()
	serviceTime := e.Behavior.ServiceTime/2 + w.randomUpTo(e.Behavior.ServiceTime+1)
	if e.Behavior.SlowRate > 0 && w.Rng.Float64() < e.Behavior.SlowRate {
		serviceTime = slowServiceTime
	}
	w.After(serviceTime, func() {
		e.inFlight--
		defer e.dequeue()
		switch {
		case !e.running:
			done(attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.LostResponse, "the endpoint process ended before it responded"), Unreachable: true})
		case e.hung, draw < e.Behavior.NoResponseRate:
		case draw < e.Behavior.NoResponseRate+e.Behavior.MalformedRate:
			done(w.malformedResponse())
		default:
			record.Complete = true
			done(attempt.Result{Outcome: attempt.Executed})
		}
	})
}

// malformedResponse returns the result of an attempt whose response can't be parsed.
func (w *World) malformedResponse() attempt.Result {
	result := attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.BadResponse, "the response of the endpoint is malformed")}
	if w.Mutant == MutantWrongResponse {
		result.Outcome = attempt.Executed
	}
	return result
}

// dequeue starts queued requests as long as there are free slots.
func (e *Endpoint) dequeue() {
	for e.running && !e.hung && e.inFlight < e.Behavior.Slots && len(e.requestQueue) > 0 {
		next := e.requestQueue[0]
		e.requestQueue = e.requestQueue[1:]
		next()
	}
}
