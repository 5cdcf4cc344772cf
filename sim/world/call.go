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

// localLatency is the latency of a request from a client to its local sidecar.
const localLatency = 50 * time.Microsecond

// RequestKind describes one kind of request that the simulated clients send.
type RequestKind struct {
	Name, Method, Host, Path string
	Service                  ident.Service
	Weight                   int // frequency relative to the other kinds
	Urgent                   bool
	// Repeat is the route's setting for repeated execution. If Repeat is empty, the method decides.
	Repeat string
}

// atMostOnce reports whether the request may run at most once.
func (k RequestKind) atMostOnce() bool {
	switch k.Repeat {
	case "":
		return k.Method != "GET"
	case "repeatable", "download":
		return false
	}
	return true
}

// queuedCall is a call at the sidecar of its client.
type queuedCall struct {
	call           *attempt.Call
	record         *invariant.Call
	startedAt      monotime.Time
	endpointFailed bool // an endpoint responded with a failure, and other endpoints are tried
}

// Call sends one request of a client on the machine of a sidecar.
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
	w.After(localLatency, func() {
		s.runInGeneration(generation, func() { s.routeCall(k, record) })
	})
}

// routeCall finds the route of a call and adds the call to the priority queue.
func (s *Sidecar) routeCall(k RequestKind, record *invariant.Call) {
	w, now := s.world, s.localTime()
	record.LastAttemptEnded = w.now
	call := &attempt.Call{Host: k.Host, Path: k.Path, Method: k.Method, Caller: string(s.Node)}
	if failed := s.router.Route(now, call, 0); failed != nil {
		w.endCall(record, failed)
		return
	}
	record.Routed = true
	record.Deadline = w.now.Add(call.Deadline.Since(now))
	record.UrgentInFlight, record.UrgentCapacity = s.urgentInFlight, w.MaxSenders
	queued := &queuedCall{call: call, record: record, startedAt: now}
	if !s.queue.Enqueue(now, queued, call.Route.Urgent, call.Deadline) {
		w.endCall(record, failure.New(failure.Busy, "too many requests are in flight").WithRetryAfter(1))
		return
	}
	s.dispatch(s.generation)
}

// dispatch starts queued calls as long as there are free senders.
func (s *Sidecar) dispatch(generation int) {
	for {
		queued, urgent, ok := s.queue.Dequeue()
		if !ok {
			return
		}
		began, release := s.localTime(), queued.record.Done
		queued.record.Done = func() {
			release()
			s.runInGeneration(generation, func() {
				s.queue.Done(urgent, s.localTime().Since(began))
				s.dispatch(generation)
			})
		}
		s.tryNext(generation, queued)
	}
}

// endCall records the outcome that the client of a call receives.
func (w *World) endCall(record *invariant.Call, failed *failure.Error) {
	record.Ended = w.now
	if w.Mutant == MutantDelayFailures && failed != nil && record.Deadline > w.now {
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
		if w.Mutant == MutantWrongOutcome {
			record.Outcome = invariant.NotExecuted
		}
	}
}

// releaseRequest decrements the number of requests in flight, unless the sidecar has restarted.
func (s *Sidecar) releaseRequest(generation int) {
	if s.generation == generation {
		s.inFlight--
	}
}
