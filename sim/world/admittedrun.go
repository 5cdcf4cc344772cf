package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/attempt"
)

// admittedRun is an attempt at the sidecar of its endpoint, from the admission queue on.
type admittedRun struct {
	sidecar    *Sidecar
	generation int // of the sidecar
	attempt    *admissionAttempt
	id         uint64 // in the admission queue
	deadline   monotime.Time
	done       func(attempt.Result)
	begun      bool // the retry budget counts it as running
	ended      bool
}

// onVerdict goes on after a decision of the admission queue.
func (r *admittedRun) onVerdict(verdict admission.Verdict) {
	if verdict.Decision == admission.Admit {
		r.start()
		return
	}
	failed := failure.New(failure.Busy, "server %q: %s", r.attempt.decision.Entry.UID, verdict.Reason)
	r.done(shed(failed.WithRetryAfter(max(leastRetryAfter, verdict.RetryAfter.Seconds()))))
	if r.sidecar.world.Mutant == MutantExecuteRejected {
		r.done = func(attempt.Result) {}
		r.start()
	}
}

// expire ends an attempt that still waits when its time is over.
func (r *admittedRun) expire() {
	s := r.sidecar
	if s.waiters[r.id] == nil {
		return
	}
	delete(s.waiters, r.id)
	s.deliverVerdicts(s.admission.Abandon(s.localTime(), r.attempt.decision.Entry.UID, r.id))
	r.done(shed(failure.New(failure.DeadlineExceeded, "no room in time")))
}

// start checks the endpoint once more and connects to it.
func (r *admittedRun) start() {
	s, entry := r.sidecar, r.attempt.decision.Entry
	addr, _, rejection := s.tracker.Check(s.localTime(), entry.UID, entry.Service)
	if rejection == nil {
		if r.begun = s.router.RetryBudget.BeginRun(s.localTime(), r.attempt.decision.RepeatChance); !r.begun {
			rejection = failure.New(failure.Busy, "no room for the calls of a repeat")
		}
	}
	if rejection != nil {
		r.reject(rejection)
		return
	}
	s.world.After(dialLatency, func() { s.runInGeneration(r.generation, func() { r.connected(addr) }) })
}

// connected hands the request to the endpoint at an address, if it is still the one that was
// checked.
func (r *admittedRun) connected(addr ident.Addr) {
	s, w, entry := r.sidecar, r.sidecar.world, r.attempt.decision.Entry
	e, failed := s.connect(addr, entry.UID)
	if failed != nil {
		r.reject(failed)
		return
	}
	if now, _, rejection := s.tracker.Check(s.localTime(), entry.UID, entry.Service); rejection != nil || now != addr {
		r.reject(failure.New(failure.EndpointRejected, "server %q is not there any more", entry.UID))
		return
	}
	began := s.localTime()
	remaining := r.deadline.Since(began)
	w.After(remaining, func() {
		noResponse := failure.NewUnknown(failure.DeadlineExceeded, "the endpoint gave no response")
		r.end(attempt.Result{Outcome: attempt.Unknown, Failure: noResponse}, admission.GivenUp, s.localTime().Since(began))
	})
	w.countArrival(r.attempt.queued)
	r.attempt.execution = w.executionBy(e, r.attempt.queued)
	e.accept(r.attempt, remaining, func(result attempt.Result) {
		switch {
		case result.Outcome == attempt.NotExecuted:
			r.end(result, admission.GivenUp, 0)
		case result.Outcome == attempt.Unknown || result.EndpointFailed:
			r.end(result, admission.Failed, 0)
		default:
			r.end(result, admission.Served, s.localTime().Since(began))
		}
	})
}

// reject ends an attempt that did not reach its endpoint.
func (r *admittedRun) reject(failed *failure.Error) {
	r.end(rejected(failed), admission.GivenUp, 0)
}

// end reports what became of the attempt, once, to the admission queue and to the client.
func (r *admittedRun) end(result attempt.Result, outcome admission.Outcome, elapsed time.Duration) {
	s := r.sidecar
	s.runInGeneration(r.generation, func() {
		if r.ended {
			return
		}
		r.ended = true
		if r.begun {
			s.router.RetryBudget.EndRun(r.attempt.decision.RepeatChance)
		}
		s.deliverVerdicts(s.admission.Done(s.localTime(), r.attempt.decision.Entry.UID, r.id, outcome, elapsed))
		result.Elapsed = elapsed
		r.done(result)
	})
}
