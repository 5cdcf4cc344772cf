package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/sim/invariant"
)

// cutDetectionLatency is the time after which a sidecar detects that the link to another sidecar
// is cut.
const cutDetectionLatency = 300 * time.Millisecond

// callAttempt is one attempt of a call, as seen by the client's sidecar.
type callAttempt struct {
	sidecar    *Sidecar // the client's sidecar
	generation int      // of the client's sidecar when the attempt began
	queued     *queuedCall
	decision   attempt.Decision
	ended      bool
}

// tryNext makes the next attempt of a call, or ends the call if the router allows no attempt.
func (s *Sidecar) tryNext(generation int, queued *queuedCall) {
	if queued.call.Attempts() == 0 {
		queued.record.LastAttemptEnded = s.world.now // the call waited in the queue until now
	}
	decision := s.router.Next(s.localTime(), queued.call)
	if decision.Failure != nil {
		s.giveUp(queued, decision.Failure)
		return
	}
	a := &callAttempt{sidecar: s, generation: generation, queued: queued, decision: decision}
	s.world.After(decision.Timeout, func() { a.finish(a.noResponse(failure.DeadlineExceeded)) })
	a.send()
}

// giveUp ends a call that is not retried. If an endpoint responded with a failure, the client
// receives that response.
func (s *Sidecar) giveUp(queued *queuedCall, failed *failure.Error) {
	if queued.endpointFailed {
		failed = nil
	}
	s.world.endCall(queued.record, failed)
}

// finish handles the result of the attempt, and then makes the next attempt or ends the call. Only the
// first use of finish has an effect, because a response and the timeout may both report a result.
func (a *callAttempt) finish(result attempt.Result) {
	if a.ended {
		return
	}
	a.ended = true
	s := a.sidecar
	s.runInGeneration(a.generation, func() {
		w, queued := s.world, a.queued
		queued.record.LastAttemptEnded = w.now
		retry := s.router.Finished(s.localTime(), queued.call, result)
		queued.record.RejectedAtEndpoint = result.Shed || w.Platform && result.ReachedEndpoint
		executed := result.Outcome == attempt.Executed
		queued.endpointFailed = queued.endpointFailed || executed
		switch {
		case executed && !(retry || result.EndpointFailed && w.Mutant == MutantRetryFailed):
			w.endCall(queued.record, nil)
		case !executed && !retry:
			s.giveUp(queued, s.router.FinalFailure(queued.call))
		default:
			s.tryNext(a.generation, queued)
		}
	})
}

// noResponse returns the result of an attempt without a response.
func (a *callAttempt) noResponse(kind failure.Kind) attempt.Result {
	if a.sidecar.world.Mutant == MutantWrongResponse {
		return attempt.Result{Outcome: attempt.Executed}
	}
	return attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(kind, "the attempt got no response"), Unreachable: kind == failure.LostResponse}
}

// unreachable returns the result of an attempt that was not sent to the endpoint. message says why.
func unreachable(message string) attempt.Result {
	return attempt.Result{Outcome: attempt.NotExecuted, Failure: failure.New(failure.Unreachable, "%s", message), Unreachable: true}
}

// rejected returns the result of an attempt that was rejected without being executed.
func rejected(failed *failure.Error) attempt.Result {
	return attempt.Result{Outcome: attempt.NotExecuted, Failure: failed, Rejected: true}
}

// send sends the attempt to the sidecar of the endpoint, which may be the client's own sidecar.
func (a *callAttempt) send() {
	s, w := a.sidecar, a.sidecar.world
	target := w.sidecarAt(a.decision.Entry.SidecarAddr)
	handle := a.handler()
	switch {
	case target == s:
		handle(s, a.finish)
	case target == nil || !target.running:
		w.After(connectLatency, func() { a.finish(unreachable("the endpoint's sidecar is down")) })
	case !w.Links.openBothWays(s.Addr, target.Addr):
		w.After(cutDetectionLatency, func() { a.finish(unreachable("the link to the endpoint's sidecar is cut")) })
	default:
		a.sendTo(target, handle)
	}
}

// handler returns the function by which the endpoint's sidecar handles the attempt. In a world
// with admission queues, the function submits the attempt to the queue of that sidecar.
func (a *callAttempt) handler() func(*Sidecar, func(attempt.Result)) {
	if !a.sidecar.world.Platform {
		return func(target *Sidecar, done func(attempt.Result)) { target.forward(a.decision, a.queued, done) }
	}
	admission := a.sidecar.newAdmissionAttempt(a.decision, a.queued)
	return func(target *Sidecar, done func(attempt.Result)) { target.submitForAdmission(admission, done) }
}

// sendTo sends the attempt to another sidecar. The result is lost if the other sidecar ends before the
// response is sent, or if the link to the client's sidecar is cut when the response is sent.
func (a *callAttempt) sendTo(target *Sidecar, handle func(*Sidecar, func(attempt.Result))) {
	w, generation := a.sidecar.world, target.generation
	w.After(w.linkDelay(), func() {
		if !target.running || target.generation != generation {
			a.finish(a.noResponse(failure.LostResponse))
			return
		}
		target.runInGeneration(generation, func() {
			handle(target, func(result attempt.Result) {
				if w.Links.Open(target.Addr, a.sidecar.Addr) && target.running && target.generation == generation {
					w.After(w.linkDelay(), func() { a.finish(result) })
				}
			})
		})
	})
}

// countArrival counts an attempt that reaches an endpoint. Every arrival after the first of a call
// counts as a retry.
func (w *World) countArrival(queued *queuedCall) {
	if queued.record.Arrivals++; queued.record.Arrivals > 1 {
		w.Checker.Retried(w.now, queued.call.Route.Service)
	}
}

// executionBy returns the execution of a call by the endpoint that the call reaches now.
func (w *World) executionBy(e *Endpoint, queued *queuedCall) invariant.Execution {
	return invariant.Execution{
		ID: queued.record.ID, Server: e.Server, Service: e.Service, RequestedService: queued.call.Route.Service,
		ArrivedAt: w.now, LeaveConfirmedAt: e.leaveConfirmedAt, LossConfirmedAt: e.lossConfirmedAt, AtMostOnce: queued.record.AtMostOnce,
	}
}
