package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/attempt"
)

// dialLatency is how long a sidecar takes to connect to an endpoint beside it.
const dialLatency = 150 * time.Microsecond

// forward hands a request to an endpoint of this machine, after the last check, in a world
// without admission queues.
func (s *Sidecar) forward(decision attempt.Decision, queued *queuedCall, done func(attempt.Result)) {
	addr, _, rejection := s.tracker.Check(s.localTime(), decision.Entry.UID, decision.Entry.Service)
	if rejection == nil && !s.router.RetryBudget.BeginRun(s.localTime(), decision.RepeatChance) {
		rejection = failure.New(failure.Busy, "no room for the calls of a repeat")
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
			s.handTo(e, decision, queued, finish)
		})
	})
}

// connect connects to the endpoint that is at an address now, if any is.
func (s *Sidecar) connect(addr ident.Addr, server ident.Server) (*Endpoint, *failure.Error) {
	e := s.world.endpoints[addr]
	if e == nil {
		s.endpointsChanged(s.tracker.HandleConnectFailure(s.localTime(), server))
		return nil, failure.New(failure.Unreachable, "no connection")
	}
	return e, nil
}

// handTo hands a request to a connected endpoint. One that hangs keeps it in its socket:
// whoever gave up on it has a result, and it runs all the same.
func (s *Sidecar) handTo(e *Endpoint, decision attempt.Decision, queued *queuedCall, finish func(attempt.Result)) {
	w, generation, ended := s.world, s.generation, false
	end := func(result attempt.Result) {
		if !ended {
			ended = true
			s.runInGeneration(generation, func() { finish(result) })
		}
	}
	execution := w.executionBy(e, queued)
	w.After(decision.Timeout, func() {
		end(attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.LostResponse, "the endpoint gave no response"), Unreachable: true})
	})
	w.countArrival(queued)
	if e.hung {
		e.deferred = append(e.deferred, func() { e.serve(execution, queued.record, end) })
		return
	}
	e.serve(execution, queued.record, end)
}
