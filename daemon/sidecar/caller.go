package sidecar

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/wire/exchange"
)

// queuedRequest is a caller's request on its way through the stages. Invariant: dispatched is
// closed once, when the request may be sent; the goroutine that waits for it then sends it.
type queuedRequest struct {
	call       *attempt.Call
	receivedAt monotime.Time
	outgoing   exchange.Call
	urgentSlot bool // it was dispatched as urgent
	dispatched chan struct{}
}

// urgent says that the request goes before others: its route says so, or a run waits for it.
func (r *queuedRequest) urgent() bool { return r.call.Route.Urgent || r.call.Nested }

// HandleCaller serves the address for callers: every request there is one for the mesh.
func (s *Sidecar) HandleCaller(w http.ResponseWriter, r *http.Request) bool {
	s.ServeCaller(w, r)
	return true
}

// ServeCaller takes a caller's request through the stages: it is read within the limits, routed,
// queued until it may be sent, and sent with retries.
func (s *Sidecar) ServeCaller(w http.ResponseWriter, r *http.Request) {
	s.beginRequest()
	defer s.endRequest()
	ctx := r.Context()
	defer s.countIfClientLeft(ctx, counterCallersLeft)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	receivedAt := s.clock()
	body, release, fail := s.readRequest(r)
	if fail != nil {
		s.writeFailure(w, fail)
		return
	}
	defer release()
	request := s.newQueuedRequest(r, body, receivedAt)
	if fail := s.route(request, r.Header.Get(s.Settings.Headers.Deadline)); fail != nil {
		s.writeFailure(w, fail)
		return
	}
	if fail := s.awaitDispatch(ctx, request); fail != nil {
		s.writeFailure(w, fail)
		return
	}
	resp, fail := s.sendDispatched(ctx, request)
	if resp == nil {
		if request.call.Nested {
			s.count(counterNestedFailedPrefix + string(fail.Kind))
		}
		s.count(counterRequestsFailedPrefix + string(fail.Kind))
		s.writeFailure(w, fail)
		return
	}
	s.count(counterResponses)
	writeResponse(w, resp)
}

// countIfLeft counts a request that ends after its client has left.
func (s *Sidecar) countIfClientLeft(ctx context.Context, counter string) {
	if ctx.Err() != nil {
		s.count(counter)
	}
}

func (s *Sidecar) beginRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *Sidecar) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// newQueuedRequest makes of a caller's request the one that is sent on. A caller that does not
// name itself is known by its address.
func (s *Sidecar) newQueuedRequest(r *http.Request, body []byte, receivedAt monotime.Time) *queuedRequest {
	remoteHost, _, _ := net.SplitHostPort(r.RemoteAddr)
	caller := r.Header.Get(CallerHeader)
	if caller == "" {
		caller = remoteHost
	}
	request := &queuedRequest{
		call:       &attempt.Call{Host: r.Host, Path: r.URL.Path, Method: r.Method, Caller: caller, Session: r.Header.Get(SessionHeader)},
		receivedAt: receivedAt,
		outgoing:   exchange.Call{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: stripMeshHeaders(r.Header), Body: body},
		dispatched: make(chan struct{}),
	}
	if !strings.HasPrefix(request.outgoing.Target, "/") {
		request.outgoing.Target = r.URL.RequestURI()
	}
	if callerServiceHeader := s.Settings.Headers.CallingService; callerServiceHeader == "" {
		request.outgoing.Header.Add(forwardedForHeader, remoteHost)
	} else {
		request.outgoing.HeaderOverrides = []exchange.HeaderField{{Name: callerServiceHeader, Value: string(s.Settings.EndpointService)}}
	}
	return request
}

// isNested reports, and counts, whether this machine's endpoint made the request as it ran another;
// mu is held.
func (s *Sidecar) isNested(request *queuedRequest) bool {
	header := s.Settings.Headers.RequestID
	if header == "" || !s.runs.containsParentOf(firstValue(request.outgoing.Header, header)) {
		return false
	}
	s.count(counterNested)
	return true
}

// route finds the request's route and deadline; limitMs is the time that the caller allows, "" if
// it names none.
func (s *Sidecar) route(request *queuedRequest, limitMs string) *failure.Error {
	requested, _ := strconv.Atoi(limitMs)
	s.mu.Lock()
	defer s.mu.Unlock()
	request.call.Nested = s.isNested(request)
	return s.planner.Route(request.receivedAt, request.call, time.Duration(requested)*time.Millisecond)
}

// awaitDispatch queues a request and waits until it may be sent, or ctx ends as its client leaves.
func (s *Sidecar) awaitDispatch(ctx context.Context, request *queuedRequest) *failure.Error {
	s.mu.Lock()
	queued := s.sendQueue.Enqueue(s.clock(), request, request.urgent(), request.call.Deadline)
	s.dispatchQueued()
	s.mu.Unlock()
	if !queued {
		s.count(counterQueueFull)
		return failure.New(failure.Busy, "too many requests are queued").WithRetryAfter(retryAfterSeconds)
	}
	if s.dispatchedInTime(ctx, request) {
		return nil
	}
	if ctx.Err() != nil {
		return clientLeft()
	}
	s.count(counterLateInQueue)
	return failure.New(failure.DeadlineExceeded, "the deadline passed while the request was queued").WithRetryAfter(retryAfterSeconds)
}

// clientLeft is the failure of a request that no endpoint has begun when its client leaves.
func clientLeft() *failure.Error {
	return failure.New(failure.ClientDisconnected, "the client closed its connection")
}

// dispatchQueued dispatches the queued requests for which there is room; mu is held. It goes on
// when the duties end, as a planned stop waits for what is queued.
func (s *Sidecar) dispatchQueued() {
	for {
		request, urgent, ok := s.sendQueue.Dequeue()
		if !ok {
			return
		}
		request.urgentSlot = urgent
		close(request.dispatched)
	}
}

// dispatchedInTime waits until a request is dispatched; it is false when its time was over or its
// client left before, and then it has left the queue and will not be dispatched.
func (s *Sidecar) dispatchedInTime(ctx context.Context, request *queuedRequest) bool {
	select {
	case <-request.dispatched:
		return true
	default:
	}
	deadline := time.NewTimer(request.call.Deadline.Since(s.clock()))
	defer deadline.Stop()
	select {
	case <-request.dispatched:
		return true
	case <-deadline.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := s.sendQueue.Remove(func(waiting *queuedRequest) bool { return waiting == request })
	return !removed
}

// sendDispatched sends a request that was dispatched, and dispatches those that waited for its
// end.
func (s *Sidecar) sendDispatched(ctx context.Context, request *queuedRequest) (*exchange.Response, *failure.Error) {
	sentAt := s.clock()
	resp, fail := s.sendWithRetries(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendQueue.Done(request.urgentSlot, s.clock().Since(sentAt))
	s.dispatchQueued()
	return resp, fail
}
