package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/sim/invariant"
)

// accept takes a request as an endpoint with slots does: it works on so many at once and queues
// a few more. The others, and what names another endpoint, it rejects without running them.
func (e *Endpoint) accept(a *admissionAttempt, remaining time.Duration, done func(attempt.Result)) {
	w := e.world
	if e.hung {
		e.deferred = append(e.deferred, func() { e.accept(a, remaining, done) })
		return
	}
	switch {
	case e.Server != a.decision.Entry.UID && w.Mutant != MutantIgnoreTarget:
		e.shed(a, "it is another endpoint", done)
	case e.inFlight < e.Behavior.Slots:
		e.execute(a, done)
	case len(e.waiting) >= e.Behavior.QueueLimit:
		e.shed(a, "it is full", done)
	default:
		deadline := w.now.Add(remaining)
		e.waiting = append(e.waiting, func() {
			if w.now >= deadline {
				e.shed(a, "its time is over", done)
				return
			}
			e.execute(a, done)
		})
	}
}

// shed rejects a request for a reason, without running it.
func (e *Endpoint) shed(a *admissionAttempt, reason string, done func(attempt.Result)) {
	if e.world.Mutant == MutantExecuteShed {
		e.execute(a, func(attempt.Result) {})
	}
	done(attempt.Result{Outcome: attempt.NotExecuted, ReachedEndpoint: true, Failure: failure.New(failure.Busy, "%s", reason)})
}

// execute runs a request of an admission queue; the response may say that the endpoint failed.
func (e *Endpoint) execute(a *admissionAttempt, done func(attempt.Result)) {
	w := e.world
	if a.executed = true; a.rejected {
		w.Violate(invariant.AdmissionRejected, "%s was rejected by the admission queue beside %s and ran", a.queued.record.ID, e.Server)
	}
	e.serve(a.execution, a.queued.record, func(result attempt.Result) {
		if result.Outcome == attempt.Executed && w.Rng.Float64() < e.Behavior.FailureRate {
			result.EndpointFailed = true
		}
		done(result)
	})
}

// serve runs a request and gives its response, a damaged one, or none.
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
			done(attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.LostResponse, "the endpoint ended"), Unreachable: true})
		case e.hung, draw < e.Behavior.NoResponseRate:
		case draw < e.Behavior.NoResponseRate+e.Behavior.MalformedRate:
			done(w.garbage())
		default:
			record.Complete = true
			done(attempt.Result{Outcome: attempt.Executed})
		}
	})
}

// garbage is the result of an attempt whose response can't be read.
func (w *World) garbage() attempt.Result {
	result := attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.BadResponse, "garbage")}
	if w.Mutant == MutantWrongResponse {
		result.Outcome = attempt.Executed
	}
	return result
}

// dequeue works on requests that wait, as long as there are slots.
func (e *Endpoint) dequeue() {
	for e.running && !e.hung && e.inFlight < e.Behavior.Slots && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next()
	}
}
