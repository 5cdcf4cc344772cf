package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/sim/invariant"
)

// RequestKind is one kind of request.
type RequestKind struct {
	Name, Method, Host, Path string
	Service                  ident.Service
	Weight                   int
	Urgent                   bool
	// Repeat is what its way says may run twice; empty leaves it to the method.
	Repeat string
}

// atMostOnce tells whether the request may run once at most.
func (k RequestKind) atMostOnce() bool {
	switch k.Repeat {
	case "":
		return k.Method != "GET"
	case "repeatable", "download":
		return false
	}
	return true
}

// queuedCall is a call queued at its own sidecar.
type queuedCall struct {
	call           *attempt.Call
	record         *invariant.Call
	startedAt      monotime.Time
	endpointFailed bool // an endpoint's own word that it failed is at hand, while others are tried
}

// Call sends one request from the callers of a machine.
func (w *World) Call(s *Sidecar, k RequestKind) {
	w.callCount++
	id := fmt.Sprintf("%s-%d", k.Name, w.callCount)
	record := &invariant.Call{ID: id, Service: k.Service, Urgent: k.Urgent, AtMostOnce: k.atMostOnce(), Began: w.now}
	w.Checker.Calls = append(w.Checker.Calls, record)
	if !s.running || s.leaving {
		record.Outcome = invariant.SidecarDown
		return
	}
	generation := s.generation
	s.inFlight++
	if k.Urgent {
		s.urgentInFlight++
	}
	record.Done = func() {
		s.releaseRequest(generation)
		if k.Urgent && s.generation == generation {
			s.urgentInFlight--
		}
	}
	w.After(50*time.Microsecond, func() {
		s.runInGeneration(generation, func() {
			record.LastAttemptEnded = w.now
			c := &attempt.Call{Host: k.Host, Path: k.Path, Method: k.Method, Caller: string(s.Node)}
			if failed := s.router.Route(s.localTime(), c, 0); failed != nil {
				w.endCall(record, failed)
				return
			}
			record.Routed = true
			record.Deadline = w.now.Add(c.Deadline.Since(s.localTime()))
			record.UrgentInFlight, record.UrgentCapacity = s.urgentInFlight, w.MaxSenders
			if !s.queue.Enqueue(s.localTime(), &queuedCall{call: c, record: record, startedAt: s.localTime()}, c.Route.Urgent, c.Deadline) {
				w.endCall(record, failure.New(failure.Busy, "too many requests are in hand").WithRetryAfter(1))
				return
			}
			s.dispatch(generation)
		})
	})
}

// dispatch are the sending stage: whoever is free takes the next one queued.
func (s *Sidecar) dispatch(generation int) {
	for {
		queued, urgent, ok := s.queue.Dequeue()
		if !ok {
			return
		}
		began, released := s.localTime(), queued.record.Done
		queued.record.Done = func() {
			released()
			s.runInGeneration(generation, func() {
				s.queue.Done(urgent, s.localTime().Since(began))
				s.dispatch(generation)
			})
		}
		s.tryNext(generation, queued)
	}
}

func (w *World) endCall(record *invariant.Call, failed *failure.Error) {
	record.Ended = w.now
	if w.Mutant == "held" && failed != nil && record.Deadline > w.now {
		// A no is held back until the time is nearly over.
		w.After(record.Deadline.Since(w.now), func() { record.Ended = w.now })
	}
	record.Done()
	switch {
	case failed == nil:
		record.Outcome = invariant.Served
	case failed.Outcome == failure.NotExecuted:
		record.Outcome, record.Reason = invariant.NotExecuted, string(failed.Kind)
	default:
		record.Outcome, record.Reason = invariant.Unknown, string(failed.Kind)
		if w.Mutant == "fate" {
			record.Outcome = invariant.NotExecuted
		}
	}
}

func (s *Sidecar) tryNext(generation int, queued *queuedCall) {
	w, call, record := s.world, queued.call, queued.record
	if call.Attempts() == 0 {
		record.LastAttemptEnded = w.now // its turn has come
	}
	choice := s.router.Next(s.localTime(), call)
	// fail ends it with what an endpoint itself said of its failure, if one did.
	fail := func(d *failure.Error) {
		if queued.endpointFailed {
			d = nil
		}
		w.endCall(record, d)
	}
	if choice.Failure != nil {
		fail(choice.Failure)
		return
	}
	ended := false
	done := func(e attempt.Result) {
		if ended {
			return
		}
		ended = true
		s.runInGeneration(generation, func() {
			record.LastAttemptEnded = w.now
			retry := s.router.Finished(s.localTime(), call, e)
			record.RejectedAtEndpoint = e.Shed || w.Platform && e.ReachedEndpoint
			queued.endpointFailed = queued.endpointFailed || e.Outcome == attempt.Executed
			switch {
			case e.Outcome == attempt.Executed && !(retry || e.EndpointFailed && w.Mutant == "failed"):
				w.endCall(record, nil)
			case e.Outcome != attempt.Executed && !retry:
				fail(s.router.FinalFailure(call))
			default:
				s.tryNext(generation, queued)
			}
		})
	}
	unknown := func(kind failure.Kind) attempt.Result {
		return attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(kind, "no return"), Unreachable: kind == failure.LostResponse}
	}
	w.After(choice.Timeout, func() { done(unknown(failure.DeadlineExceeded)) })
	if w.Mutant == "return" {
		unknown = func(failure.Kind) attempt.Result { return attempt.Result{Outcome: attempt.Executed} }
	}
	target := w.sidecarAt(choice.Entry.SidecarAddr)
	pass := func(at *Sidecar, done func(attempt.Result)) { at.forward(choice, call, record, done) }
	if w.Platform {
		t := s.newAdmissionAttempt(choice, queued)
		pass = func(at *Sidecar, done func(attempt.Result)) { at.admit(t, done) }
	}
	if target == s {
		pass(s, done)
		return
	}
	if target == nil || !target.running {
		w.After(time.Millisecond, func() {
			done(attempt.Result{Outcome: attempt.NotExecuted, Failure: failure.New(failure.Unreachable, "down"), Unreachable: true})
		})
		return
	}
	if !w.Links.Open(s.Addr, target.Addr) || !w.Links.Open(target.Addr, s.Addr) {
		w.After(300*time.Millisecond, func() {
			done(attempt.Result{Outcome: attempt.NotExecuted, Failure: failure.New(failure.Unreachable, "cut"), Unreachable: true})
		})
		return
	}
	targetGeneration := target.generation
	w.After(w.linkDelay(), func() {
		if !target.running || target.generation != targetGeneration {
			done(unknown(failure.LostResponse))
			return
		}
		target.runInGeneration(targetGeneration, func() {
			pass(target, func(e attempt.Result) {
				if w.Links.Open(target.Addr, s.Addr) && target.running && target.generation == targetGeneration {
					w.After(w.linkDelay(), func() { done(e) })
				}
			})
		})
	})
}

func (w *World) sidecarAt(a ident.Addr) *Sidecar {
	for _, s := range w.Sidecars {
		if s.Addr == a {
			return s
		}
	}
	return nil
}

// forward is the gate and what lies behind it.
func (s *Sidecar) forward(choice attempt.Decision, call *attempt.Call, record *invariant.Call, done func(attempt.Result)) {
	w, generation := s.world, s.generation
	reject := func(rejection *failure.Error) {
		done(attempt.Result{Outcome: attempt.NotExecuted, Failure: rejection, Rejected: true})
	}
	addr, _, rejection := s.tracker.Check(s.localTime(), choice.Entry.UID, choice.Entry.Service)
	if rejection != nil {
		reject(rejection)
		return
	}
	if !s.router.RetryBudget.BeginRun(s.localTime(), choice.RepeatChance) {
		reject(failure.New(failure.Busy, "no room for the calls of a repeat"))
		return
	}
	s.inFlight++
	release := done
	done = func(e attempt.Result) {
		if s.releaseRequest(generation); s.generation == generation {
			s.router.RetryBudget.EndRun(choice.RepeatChance)
		}
		release(e)
	}
	reject = func(rejection *failure.Error) {
		done(attempt.Result{Outcome: attempt.NotExecuted, Failure: rejection, Rejected: true})
	}
	w.After(150*time.Microsecond, func() { // the dial
		s.runInGeneration(generation, func() {
			e := w.endpoints[addr]
			if e == nil {
				s.tracker.ConnectFailed(s.localTime(), choice.Entry.UID)
				reject(failure.New(failure.Unreachable, "no connection"))
				return
			}
			if _, _, rejection := s.tracker.Check(s.localTime(), choice.Entry.UID, choice.Entry.Service); rejection != nil {
				reject(rejection)
				return
			}
			execution := invariant.Execution{ID: record.ID, Server: e.Server, Service: e.Service, RequestedService: call.Route.Service, ArrivedAt: w.now, LeaveConfirmedAt: e.leaveConfirmedAt, LossConfirmedAt: e.lossConfirmedAt, AtMostOnce: record.AtMostOnce}
			ended := false
			end := func(result attempt.Result) {
				if !ended {
					ended = true
					s.runInGeneration(generation, func() { done(result) })
				}
			}
			w.After(choice.Timeout, func() {
				end(attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.LostResponse, "the endpoint gave no return"), Unreachable: true})
			})
			if e.hung {
				// It lies in the socket; who gave up on it may be told so, and it runs all the same.
				w.countArrival(record, call)
				e.deferred = append(e.deferred, func() { e.serve(execution, record, end) })
				return
			}
			w.countArrival(record, call)
			e.serve(execution, record, end)
		})
	})
}

// countArrival counts what reaches an endpoint beyond the first try of its request.
func (w *World) countArrival(record *invariant.Call, call *attempt.Call) {
	if record.Arrivals++; record.Arrivals > 1 {
		w.Checker.Retried(w.now, call.Route.Service)
	}
}

// serve runs a request and gives its return, or none.
func (e *Endpoint) serve(execution invariant.Execution, record *invariant.Call, done func(attempt.Result)) {
	w := e.world
	execution.ExecutedAt = w.now
	w.Checker.Executed(execution)
	e.inFlight++
	outcome := w.Rng.Float64()
	serviceTime := e.Behavior.ServiceTime/2 + time.Duration(w.Rng.Int64N(int64(e.Behavior.ServiceTime)+1))
	if e.Behavior.SlowRate > 0 && w.Rng.Float64() < e.Behavior.SlowRate {
		serviceTime = slowServiceTime
	}
	w.After(serviceTime, func() {
		e.inFlight--
		defer e.dequeue()
		switch {
		case !e.running:
			done(attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.LostResponse, "the endpoint ended"), Unreachable: true})
		case e.hung, outcome < e.Behavior.NoResponseRate: // no return comes
		case outcome < e.Behavior.NoResponseRate+e.Behavior.GarbageRate:
			end := attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.BadResponse, "garbage")}
			if w.Mutant == "return" {
				end.Outcome = attempt.Executed
			}
			done(end)
		default:
			record.Complete = true
			done(attempt.Result{Outcome: attempt.Executed})
		}
	})
}

// releaseRequest counts one request out of hand, unless the sidecar has been started anew.
func (s *Sidecar) releaseRequest(generation int) {
	if s.generation == generation {
		s.inFlight--
	}
}
