package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/attempt"
)

// serverSideAttempt is an attempt while the sidecar on the machine of the called endpoint handles the
// attempt, from the submission to the admission queue until the result.
type serverSideAttempt struct {
	sidecar       *Sidecar
	generation    int // of the sidecar
	attempt       *admissionAttempt
	id            uint64 // in the admission queue
	deadline      monotime.Time
	done          func(attempt.Result)
	inRetryBudget bool // the retry budget counts the attempt as running
	ended         bool
}

// onVerdict starts or rejects the attempt, according to the decision of the admission queue. With
// MutantExecuteRejected, a rejected attempt starts as well.
func (r *serverSideAttempt) onVerdict(verdict admission.Verdict) {
	if verdict.Decision == admission.Admit {
		r.start()
		return
	}
	failed := failure.New(failure.Busy, "server %q: %s", r.attempt.decision.Entry.UID, verdict.Reason)
	r.done(shed(failed.WithRetryAfter(max(minRetryAfter, verdict.RetryAfter.Seconds()))))
	if r.sidecar.world.Mutant == MutantExecuteRejected {
		r.done = func(attempt.Result) {}
		r.start()
	}
}

// expire ends the attempt if the attempt still waits in the admission queue at the deadline.
func (r *serverSideAttempt) expire() {
	s := r.sidecar
	if s.waiters[r.id] == nil {
		return
	}
	delete(s.waiters, r.id)
	s.deliverVerdicts(s.admission.Abandon(s.localTime(), r.attempt.decision.Entry.UID, r.id))
	r.done(shed(failure.New(failure.DeadlineExceeded, "the request left the admission queue at its deadline without a decision")))
}

// start checks the endpoint and the retry budget, and connects to the endpoint.
func (r *serverSideAttempt) start() {
	s, entry := r.sidecar, r.attempt.decision.Entry
	addr, _, rejection := s.tracker.Check(s.localTime(), entry.UID, entry.Service)
	if rejection == nil {
		if r.inRetryBudget = s.router.RetryBudget.BeginRun(s.localTime(), r.attempt.decision.RepeatChance); !r.inRetryBudget {
			rejection = failure.New(failure.Busy, "the retry budget of the services called is used up")
		}
	}
	if rejection != nil {
		r.reject(rejection)
		return
	}
	s.world.After(dialLatency, func() { s.runInGeneration(r.generation, func() { r.forwardTo(addr) }) })
}

// forwardTo sends the request to the endpoint at an address, if the tracker still maps the server
// to that address.
func (r *serverSideAttempt) forwardTo(addr ident.Addr) {
	s, w, entry := r.sidecar, r.sidecar.world, r.attempt.decision.Entry
	e, failed := s.connect(addr, entry.UID)
	if failed != nil {
		r.reject(failed)
		return
	}
	if currentAddr, _, rejection := s.tracker.Check(s.localTime(), entry.UID, entry.Service); rejection != nil || currentAddr != addr {
		r.reject(failure.New(failure.EndpointRejected, "server %q is no longer at its checked address", entry.UID))
		return
	}
	began := s.localTime()
	remaining := r.deadline.Since(began)
	w.After(remaining, func() {
		noResponse := failure.NewUnknown(failure.DeadlineExceeded, "the endpoint did not respond in time")
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

// reject ends the attempt before the request has reached the endpoint.
func (r *serverSideAttempt) reject(failed *failure.Error) {
	r.end(rejected(failed), admission.GivenUp, 0)
}

// end reports the result to the admission queue and to the caller of submitForAdmission. Only the first
// call has an effect.
func (r *serverSideAttempt) end(result attempt.Result, outcome admission.Outcome, elapsed time.Duration) {
	s := r.sidecar
	s.runInGeneration(r.generation, func() {
		if r.ended {
			return
		}
		r.ended = true
		if r.inRetryBudget {
			s.router.RetryBudget.EndRun(r.attempt.decision.RepeatChance)
		}
		s.deliverVerdicts(s.admission.Done(s.localTime(), r.attempt.decision.Entry.UID, r.id, outcome, elapsed))
		result.Elapsed = elapsed
		r.done(result)
	})
}
