package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/attempt"
)

// dialLatency is the time that a sidecar takes to connect to a local endpoint.
const dialLatency = 150 * time.Microsecond

// forward checks a local endpoint and sends a request to it, in a world without admission queues.
func (s *Sidecar) forward(decision attempt.Decision, queued *queuedCall, done func(attempt.Result)) {
	addr, _, rejection := s.tracker.Check(s.localTime(), decision.Entry.UID, decision.Entry.Service)
	if rejection == nil && !s.router.RetryBudget.BeginRun(s.localTime(), decision.RepeatChance) {
		rejection = failure.New(failure.Busy, "the retry budget of the services called is used up")
	}
	if rejection != nil {
		done(rejected(rejection))
		return
	}
	generation := s.generation
	s.inFlight++
	finish := func(result attempt.Result) {
		if s.releaseRequest(generation); s.generation == generation {
			s.router.RetryBudget.EndRun(decision.RepeatChance)
		}
		done(result)
	}
	s.world.After(dialLatency, func() {
		s.runInGeneration(generation, func() {
			e, failed := s.connect(addr, decision.Entry.UID)
			if failed == nil {
				_, _, failed = s.tracker.Check(s.localTime(), decision.Entry.UID, decision.Entry.Service)
			}
			if failed != nil {
				finish(rejected(failed))
				return
			}
			s.sendToEndpoint(e, decision, queued, finish)
		})
	})
}

// connect returns the endpoint that now listens at an address. If there is none, the tracker is
// told that the connection to the server failed.
func (s *Sidecar) connect(addr ident.Addr, server ident.Server) (*Endpoint, *failure.Error) {
	e := s.world.endpoints[addr]
	if e == nil {
		s.handleEndpointChange(s.tracker.HandleConnectFailure(s.localTime(), server))
		return nil, failure.New(failure.Unreachable, "no endpoint listens at the address")
	}
	return e, nil
}

// sendToEndpoint sends a request to a connected endpoint. A hung endpoint keeps the request in its
// socket buffer and executes it later, even if the sidecar has already reported a timeout.
func (s *Sidecar) sendToEndpoint(e *Endpoint, decision attempt.Decision, queued *queuedCall, finish func(attempt.Result)) {
	w, generation, ended := s.world, s.generation, false
	end := func(result attempt.Result) {
		if !ended {
			ended = true
			s.runInGeneration(generation, func() { finish(result) })
		}
	}
	execution := w.executionBy(e, queued)
	w.After(decision.Timeout, func() {
		end(attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.LostResponse, "the endpoint did not respond in time"), Unreachable: true})
	})
	w.countArrival(queued)
	if e.hung {
		e.arrivedWhileHung = append(e.arrivedWhileHung, func() { e.serve(execution, queued.record, end) })
		return
	}
	e.serve(execution, queued.record, end)
}
