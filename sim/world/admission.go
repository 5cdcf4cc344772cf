package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/sim/invariant"
)

const (
	// wakeLatency is how long a waiter takes to go on after a decision.
	wakeLatency = 10 * time.Microsecond
	// answerMargin is by how much the endpoint's sidecar gives up before the client's at most,
	// so that its answer arrives.
	answerMargin = 20 * time.Millisecond
	// leastRetryAfter is the shortest delay that a rejection asks for, in seconds.
	leastRetryAfter = 0.01
)

// admissionAttempt is one attempt of a call that passes an admission queue. Invariants: rejected
// is set once the queue rejected it, executed once an endpoint ran it, and never both.
type admissionAttempt struct {
	decision  attempt.Decision
	queued    *queuedCall
	request   admission.Request // with times that count from its arrival at the queue
	timeout   time.Duration
	execution invariant.Execution // by the endpoint that it reached
	rejected  bool
	executed  bool
}

// newAdmissionAttempt makes the attempt of a decision, as the client's sidecar describes it to
// the admission queue.
func (s *Sidecar) newAdmissionAttempt(decision attempt.Decision, queued *queuedCall) *admissionAttempt {
	now, route := s.localTime(), queued.call.Route
	target := route.TargetLatency
	if target <= 0 {
		target = queued.call.Deadline.Since(queued.startedAt)
	}
	request := admission.Request{
		Rank: route.Priority, ServiceTime: decision.MeanServiceTime, PeerFailureRate: decision.PeerFailureRate, LastResort: decision.LastResort,
		FreeRejectUntil: monotime.Time(queued.startedAt.Add(target / 4).Since(now)),
		Target:          monotime.Time(queued.startedAt.Add(target).Since(now)),
	}
	return &admissionAttempt{decision: decision, queued: queued, request: request, timeout: decision.Timeout - min(decision.Timeout/10, answerMargin)}
}

// waiter is an attempt that waits in the admission queue, and how it goes on after a decision.
type waiter struct {
	attempt   *admissionAttempt
	onVerdict func(admission.Verdict)
}

// deliverVerdicts tells those who wait what is decided. They go on later, for they must be
// woken first.
func (s *Sidecar) deliverVerdicts(verdicts []admission.Verdict) {
	if s.world.Mutant == MutantDecideTwice && len(verdicts) > 0 {
		verdicts = append(verdicts, verdicts[0])
	}
	for _, verdict := range verdicts {
		if verdict.Decision != admission.Wait {
			s.deliverVerdict(verdict)
		}
	}
}

func (s *Sidecar) deliverVerdict(verdict admission.Verdict) {
	w := s.world
	w.Checker.Observe(invariant.AdmissionDecision)
	waiting := s.waiters[verdict.ID]
	if waiting == nil {
		w.Violate(invariant.AdmissionDecision, "the admission queue of %s decided %d about %d, which has a decision or waits no more", s.Node, verdict.Decision, verdict.ID)
		return
	}
	delete(s.waiters, verdict.ID)
	if verdict.Decision == admission.Reject {
		w.Checker.Observe(invariant.AdmissionRejected)
		if waiting.attempt.rejected = true; waiting.attempt.executed {
			w.Violate(invariant.AdmissionRejected, "%s was rejected by the admission queue of %s and had run", waiting.attempt.queued.record.ID, s.Node)
		}
	}
	generation := s.generation
	w.After(wakeLatency, func() { s.runInGeneration(generation, func() { waiting.onVerdict(verdict) }) })
}

// admit takes an attempt into the admission queue, after the check of its endpoint.
func (s *Sidecar) admit(a *admissionAttempt, done func(attempt.Result)) {
	w, generation, server := s.world, s.generation, a.decision.Entry.UID
	if _, _, rejection := s.tracker.Check(s.localTime(), server, a.decision.Entry.Service); rejection != nil {
		done(rejected(rejection))
		return
	}
	s.inFlight++
	now := s.localTime()
	s.lastWaiterID++
	run := &admittedRun{sidecar: s, generation: generation, attempt: a, id: s.lastWaiterID, deadline: now.Add(a.timeout), done: s.reportOnce(a, done)}
	s.waiters[run.id] = &waiter{attempt: a, onVerdict: run.onVerdict}
	request := a.request
	request.ID, request.Deadline = run.id, run.deadline
	request.FreeRejectUntil, request.Target = now.Add(time.Duration(request.FreeRejectUntil)), now.Add(time.Duration(request.Target))
	s.deliverVerdicts(s.admission.Submit(now, server, request))
	if s.waiters[run.id] == nil {
		return // it is decided already
	}
	w.After(a.timeout, func() { s.runInGeneration(generation, run.expire) })
}

// reportOnce wraps done to be called once, with the endpoint's load, when the request is no
// longer in flight.
func (s *Sidecar) reportOnce(a *admissionAttempt, done func(attempt.Result)) func(attempt.Result) {
	generation, ended := s.generation, false
	return func(result attempt.Result) {
		if ended {
			return
		}
		ended = true
		s.releaseRequest(generation)
		if load, ok := s.admission.LoadReport(s.localTime(), a.decision.Entry.UID); ok {
			result.LoadReport = &load
		}
		done(result)
	}
}

// shed is the result of an attempt that the admission queue rejected.
func shed(failed *failure.Error) attempt.Result {
	return attempt.Result{Outcome: attempt.NotExecuted, Rejected: true, Shed: true, Failure: failed}
}
