package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/sim/invariant"
)

const (
	// admissionDrainTimeout is how soon after a planned stop began nobody waits in its admission queue any more.
	admissionDrainTimeout = 100 * time.Millisecond
	// probeSlots is the daemon's.
	probeSlots = 4
)

// admissionAttempt is one try of a call. Invariants: turned is set once the admission queue turned it away, ran once
// an endpoint ran it; never both.
type admissionAttempt struct {
	choice                      attempt.Decision
	call                        *attempt.Call
	record                      *invariant.Call
	request                     admission.Request // with spans that are reckoned from nought
	timeout                     time.Duration
	arrivedAt, leaveConfirmedAt monotime.Time // when it reached the endpoint, and what that endpoint's end was then
	lossConfirmedAt             monotime.Time
	rejected, executed          bool
}

// newAdmissionAttempt makes the try of a choice, as the caller's sidecar tells it to the admission queue.
func (s *Sidecar) newAdmissionAttempt(choice attempt.Decision, queued *queuedCall) *admissionAttempt {
	now, c := s.localTime(), queued.call
	aim := c.Route.TargetLatency
	if aim <= 0 {
		aim = c.Deadline.Since(queued.startedAt)
	}
	request := admission.Request{Rank: c.Route.Priority, Work: choice.MeanWork, PeerFailureRate: choice.PeerFailureRate, LastResort: choice.LastResort,
		FreeRejectUntil: monotime.Time(queued.startedAt.Add(aim / 4).Since(now)), Target: monotime.Time(queued.startedAt.Add(aim).Since(now))}
	// The gate gives up a little before the caller's side does, so that its word is heard.
	return &admissionAttempt{choice: choice, call: c, record: queued.record, request: request, timeout: choice.Timeout - min(choice.Timeout/10, 20*time.Millisecond)}
}

// waiter is a try that waits in the admission queue, and what goes on when it has a word.
type waiter struct {
	attempt   *admissionAttempt
	onVerdict func(admission.Verdict)
}

// deliverVerdicts tells those who wait what becomes of them. What follows runs later, as whoever
// waited must first be woken.
func (s *Sidecar) deliverVerdicts(verdicts []admission.Verdict) {
	w := s.world
	if w.Mutant == "bay-act" && len(verdicts) > 0 {
		verdicts = append(verdicts, verdicts[0])
	}
	for _, a := range verdicts {
		if a.Decision == admission.Wait {
			continue
		}
		w.Checker.Observe(invariant.AdmissionDecision)
		waiting := s.waiters[a.ID]
		if waiting == nil {
			w.Violate(invariant.AdmissionDecision, "the admission queue of %s told %d of %d, who has a word or waits no more", s.Node, a.Decision, a.ID)
			continue
		}
		delete(s.waiters, a.ID)
		if a.Decision == admission.Reject {
			w.Checker.Observe(invariant.AdmissionRejected)
			if waiting.attempt.rejected = true; waiting.attempt.executed {
				w.Violate(invariant.AdmissionRejected, "%s was turned away by the admission queue of %s and had run", waiting.attempt.record.ID, s.Node)
			}
		}
		generation := s.generation
		w.After(10*time.Microsecond, func() { s.runInGeneration(generation, func() { waiting.onVerdict(a) }) })
	}
}

// syncAdmission keeps the admission queue to what the gate knows.
func (s *Sidecar) syncAdmission() {
	known := map[ident.Server]bool{}
	for _, x := range s.tracker.Workloads() {
		known[x.UID] = true
		if x.Status != record.Healthy {
			s.deliverVerdicts(s.admission.RejectAll(x.UID))
		}
	}
	admitting := s.admittedEndpoints[:0]
	for _, id := range s.admittedEndpoints {
		if known[id] {
			admitting = append(admitting, id)
			continue
		}
		s.deliverVerdicts(s.admission.Remove(id))
	}
	s.admittedEndpoints = admitting
}

// endpointsChanged carries out a change of the gate.
func (s *Sidecar) endpointsChanged(c endpoint.Change) {
	if s.world.Platform && c.Updated && !(s.leaving && s.world.Mutant == "bay-stop") {
		s.syncAdmission()
	}
}

// heartbeatTaken takes what a heartbeat says of an endpoint's room.
func (s *Sidecar) heartbeatTaken(heartbeat endpoint.Heartbeat) {
	if !s.world.Platform || heartbeat.State != endpoint.Alive || heartbeat.Slots == 0 {
		return
	}
	for _, id := range s.admittedEndpoints {
		if id == heartbeat.Server {
			s.deliverVerdicts(s.admission.SetSlots(s.localTime(), heartbeat.Server, heartbeat.Slots, 0))
			return
		}
	}
	s.admittedEndpoints = append(s.admittedEndpoints, heartbeat.Server)
	s.deliverVerdicts(s.admission.SetSlots(s.localTime(), heartbeat.Server, heartbeat.Slots, 0))
}

// probeEndpoint asks the endpoint beside a sidecar that has just started, as the daemon does.
func (s *Sidecar) probeEndpoint() {
	if s.probed || s.router.Revision() == 0 {
		return
	}
	s.probed = true
	if len(s.Endpoints) == 0 || s.Endpoints[0].hung || s.Endpoints[0].state != endpoint.Alive {
		return
	}
	e, generation := s.Endpoints[0], s.generation
	heartbeat := endpoint.Heartbeat{Server: e.Server, Service: e.Service, Addr: e.Addr, State: endpoint.Alive, Slots: probeSlots}
	s.world.After(time.Millisecond, func() {
		s.runInGeneration(generation, func() {
			if len(s.tracker.Workloads()) > 0 || s.leaving {
				return
			}
			if c, rejection := s.tracker.HandleHeartbeat(s.localTime(), heartbeat); rejection == nil {
				e.lastHeartbeat, e.lossConfirmedAt = s.localTime(), 0
				s.endpointsChanged(c)
				s.heartbeatTaken(heartbeat)
			}
		})
	})
}

// admit is the gate with its admission queue and what lies behind them, as the daemon's pass is.
func (s *Sidecar) admit(t *admissionAttempt, done func(attempt.Result)) {
	w, generation, server := s.world, s.generation, t.choice.Entry.UID
	if _, _, rejection := s.tracker.Check(s.localTime(), server, t.choice.Entry.Service); rejection != nil {
		done(attempt.Result{Outcome: attempt.NotExecuted, Failure: rejection, Rejected: true})
		return
	}
	s.inFlight++
	ended := false
	end := func(e attempt.Result) {
		if ended {
			return
		}
		ended = true
		s.releaseRequest(generation)
		if waiting, ok := s.admission.LoadReport(s.localTime(), server); ok {
			e.LoadReport = &waiting
		}
		done(e)
	}
	now := s.localTime()
	until := now.Add(t.timeout)
	s.lastWaiterID++
	id := s.lastWaiterID
	waiting := &waiter{attempt: t, onVerdict: func(request admission.Verdict) {
		if request.Decision == admission.Admit {
			s.executeAdmitted(t, id, until, end)
			return
		}
		end(attempt.Result{Outcome: attempt.NotExecuted, Rejected: true, Shed: true, Failure: failure.New(failure.Busy, "server %q: %s", server, request.Reason).WithRetryAfter(max(0.01, request.RetryAfter.Seconds()))})
		if w.Mutant == "bay" {
			s.executeAdmitted(t, id, until, func(attempt.Result) {})
		}
	}}
	s.waiters[id] = waiting
	request := t.request
	request.ID, request.FreeRejectUntil, request.Target, request.Deadline = id, now.Add(time.Duration(request.FreeRejectUntil)), now.Add(time.Duration(request.Target)), until
	s.deliverVerdicts(s.admission.Submit(now, server, request))
	if s.waiters[id] == nil {
		return
	}
	w.After(t.timeout, func() {
		s.runInGeneration(generation, func() {
			if s.waiters[id] != nil {
				delete(s.waiters, id)
				s.deliverVerdicts(s.admission.Abandon(s.localTime(), server, id))
				end(attempt.Result{Outcome: attempt.NotExecuted, Rejected: true, Shed: true, Failure: failure.New(failure.DeadlineExceeded, "no room in time")})
			}
		})
	})
}

// executeAdmitted goes on with a try that the admission queue let in.
func (s *Sidecar) executeAdmitted(t *admissionAttempt, id uint64, until monotime.Time, done func(attempt.Result)) {
	w, generation, server, repeat := s.world, s.generation, t.choice.Entry.UID, t.choice.RepeatChance
	ended, begun := false, false
	// end says what became of it, at the endpoint too, and once.
	end := func(e attempt.Result, outcome admission.Outcome, took time.Duration) {
		s.runInGeneration(generation, func() {
			if ended {
				return
			}
			ended = true
			if begun {
				s.router.RetryBudget.EndRun(repeat)
			}
			s.deliverVerdicts(s.admission.Done(s.localTime(), server, id, outcome, took))
			e.Elapsed = took
			done(e)
		})
	}
	reject := func(rejection *failure.Error) {
		end(attempt.Result{Outcome: attempt.NotExecuted, Failure: rejection, Rejected: true}, admission.GivenUp, 0)
	}
	addr, _, rejection := s.tracker.Check(s.localTime(), server, t.choice.Entry.Service)
	if rejection == nil {
		if begun = s.router.RetryBudget.BeginRun(s.localTime(), repeat); !begun {
			rejection = failure.New(failure.Busy, "a repeat has no room below")
		}
	}
	if rejection != nil {
		reject(rejection)
		return
	}
	w.After(150*time.Microsecond, func() { // the dial
		s.runInGeneration(generation, func() {
			e := w.endpoints[addr]
			if e == nil {
				s.endpointsChanged(s.tracker.ConnectFailed(s.localTime(), server))
				reject(failure.New(failure.Unreachable, "no connection"))
				return
			}
			if now, _, rejection := s.tracker.Check(s.localTime(), server, t.choice.Entry.Service); rejection != nil || now != addr {
				reject(failure.New(failure.EndpointRejected, "server %q is not there any more", server))
				return
			}
			began := s.localTime()
			took := func() time.Duration { return s.localTime().Since(began) }
			w.After(until.Since(began), func() {
				end(attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.DeadlineExceeded, "the endpoint gave no return")}, admission.GivenUp, took())
			})
			w.countArrival(t.record, t.call)
			t.arrivedAt, t.leaveConfirmedAt, t.lossConfirmedAt = w.now, e.leaveConfirmedAt, e.lossConfirmedAt
			e.accept(t, until.Since(began), func(result attempt.Result) {
				switch {
				case result.Outcome == attempt.NotExecuted:
					end(result, admission.GivenUp, 0)
				case result.Outcome == attempt.Unknown || result.EndpointFailed:
					end(result, admission.Failed, 0)
				default:
					end(result, admission.Served, took())
				}
			})
		})
	})
}

// accept is an endpoint with slots: it works on so many at once, queues a few more, and says
// of the others, and of what names another endpoint, that it did not run them.
func (e *Endpoint) accept(t *admissionAttempt, remaining time.Duration, done func(attempt.Result)) {
	w := e.world
	if e.hung {
		e.deferred = append(e.deferred, func() { e.accept(t, remaining, done) })
		return
	}
	reject := func(reason string) {
		w.Counters["endpoint-shed"]++
		if w.Mutant == "shed" {
			e.execute(t, func(attempt.Result) {})
		}
		done(attempt.Result{Outcome: attempt.NotExecuted, ReachedEndpoint: true, Failure: failure.New(failure.Busy, "%s", reason)})
	}
	switch {
	case e.Server != t.choice.Entry.UID && w.Mutant != "fence":
		reject("it is another endpoint")
	case e.inFlight < e.Behavior.Slots:
		e.execute(t, done)
	case len(e.waiting) >= e.Behavior.QueueLimit:
		reject("it is full")
	default:
		until := w.now.Add(remaining)
		e.waiting = append(e.waiting, func() bool {
			if w.now >= until {
				reject("its time is over")
				return false
			}
			e.execute(t, done)
			return true
		})
	}
}

// execute runs a request and takes the next one in when it is done.
func (e *Endpoint) execute(t *admissionAttempt, done func(attempt.Result)) {
	w := e.world
	if t.executed = true; t.rejected {
		w.Violate(invariant.AdmissionRejected, "%s was turned away by the admission queue beside %s and ran", t.record.ID, e.Server)
	}
	execution := invariant.Execution{ID: t.record.ID, Server: e.Server, Service: e.Service, RequestedService: t.call.Route.Service, ArrivedAt: t.arrivedAt, LeaveConfirmedAt: t.leaveConfirmedAt, LossConfirmedAt: t.lossConfirmedAt, AtMostOnce: t.record.AtMostOnce}
	e.serve(execution, t.record, func(result attempt.Result) {
		if result.Outcome == attempt.Executed && w.Rng.Float64() < e.Behavior.FailureRate {
			result.EndpointFailed = true
		}
		done(result)
	})
}

// dequeue lets those in who queue at an endpoint.
func (e *Endpoint) dequeue() {
	for e.running && !e.hung && e.inFlight < e.Behavior.Slots && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next()
	}
}
