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
	// wakeLatency is the delay between a decision of the admission queue and the moment at which
	// the waiting attempt continues.
	wakeLatency = 10 * time.Microsecond
	// responseMargin is the largest amount by which the timeout at the endpoint's sidecar is
	// shorter than the timeout at the client's sidecar, so that the response arrives in time.
	responseMargin = 20 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a rejection, in seconds.
	minRetryAfter = 0.01
)

// admissionAttempt is one attempt of a call that passes through an admission queue. Invariants:
// rejected is set once the queue rejected the attempt, executed is set once an endpoint executed
// the attempt, and never are both set.
type admissionAttempt struct {
	decision  attempt.Decision
	queued    *queuedCall
	request   admission.Request // with times relative to the arrival at the queue
	timeout   time.Duration
	execution invariant.Execution // by the endpoint that the attempt reached
	rejected  bool
	executed  bool
}

// newAdmissionAttempt returns the attempt for a decision, with the request that the client's
// sidecar sends to the admission queue.
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
	return &admissionAttempt{decision: decision, queued: queued, request: request, timeout: decision.Timeout - min(decision.Timeout/10, responseMargin)}
}

// waiter is an attempt in the admission queue, with the callback for the decision.
type waiter struct {
	attempt   *admissionAttempt
	onVerdict func(admission.Verdict)
}

// deliverVerdicts delivers decisions to the waiting attempts. The attempts continue after
// wakeLatency.
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

// deliverVerdict checks one decision and schedules the callback of the waiting attempt.
func (s *Sidecar) deliverVerdict(verdict admission.Verdict) {
	w := s.world
	w.Checker.Observe(invariant.AdmissionDecision)
	waiting := s.waiters[verdict.ID]
	if waiting == nil {
		w.Violate(invariant.AdmissionDecision, "the admission queue of %s made decision %d on attempt %d, which is already decided or no longer waiting", s.Node, verdict.Decision, verdict.ID)
		return
	}
	delete(s.waiters, verdict.ID)
	if verdict.Decision == admission.Reject {
		w.Checker.Observe(invariant.AdmissionRejected)
		if waiting.attempt.rejected = true; waiting.attempt.executed {
			w.Violate(invariant.AdmissionRejected, "call %s was rejected by the admission queue of %s after it had been executed", waiting.attempt.queued.record.ID, s.Node)
		}
	}
	generation := s.generation
	w.After(wakeLatency, func() { s.runInGeneration(generation, func() { waiting.onVerdict(verdict) }) })
}

// submitForAdmission checks the endpoint of an attempt and submits the attempt to the admission
// queue.
func (s *Sidecar) submitForAdmission(a *admissionAttempt, done func(attempt.Result)) {
	w, generation, server := s.world, s.generation, a.decision.Entry.UID
	if _, _, rejection := s.tracker.Check(s.localTime(), server, a.decision.Entry.Service); rejection != nil {
		done(rejected(rejection))
		return
	}
	s.inFlight++
	now := s.localTime()
	s.lastWaiterID++
	serverSide := &serverSideAttempt{sidecar: s, generation: generation, attempt: a, id: s.lastWaiterID, deadline: now.Add(a.timeout), done: s.reportOnce(a, done)}
	s.waiters[serverSide.id] = &waiter{attempt: a, onVerdict: serverSide.onVerdict}
	request := a.request
	request.ID, request.Deadline = serverSide.id, serverSide.deadline
	request.FreeRejectUntil, request.Target = now.Add(time.Duration(request.FreeRejectUntil)), now.Add(time.Duration(request.Target))
	s.deliverVerdicts(s.admission.Submit(now, server, request))
	if s.waiters[serverSide.id] == nil {
		return // the queue has already decided
	}
	w.After(a.timeout, func() { s.runInGeneration(generation, serverSide.expire) })
}

// reportOnce wraps done: the first call ends the request in flight and adds the load of the
// endpoint to the result; further calls have no effect.
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

// shed returns the result of an attempt that the admission queue rejected.
func shed(failed *failure.Error) attempt.Result {
	return attempt.Result{Outcome: attempt.NotExecuted, Rejected: true, Shed: true, Failure: failed}
}
