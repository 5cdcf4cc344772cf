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

// queuedRequest is a caller's request while it is queued and sent. Invariant: dispatched is closed
// exactly once, when the request may be sent; the goroutine that waits on dispatched then sends the
// request.
type queuedRequest struct {
	call             *attempt.Call
	receivedAt       monotime.Time
	outgoing         exchange.Call
	dispatchedUrgent bool // the request was dispatched from the queue of urgent requests
	dispatched       chan struct{}
}

// urgent reports whether the request takes precedence in the queue: its route is urgent, or the
// execution of another request waits for its response.
func (r *queuedRequest) urgent() bool { return r.call.Route.Urgent || r.call.Nested }

// HandleCaller handles a request on the listener for callers, where every request is for the mesh.
func (s *Sidecar) HandleCaller(w http.ResponseWriter, r *http.Request) bool {
	s.ServeCaller(w, r)
	return true
}

// ServeCaller processes a caller's request: read it within the limits, route it, queue it until it
// may be sent, and send it with retries.
func (s *Sidecar) ServeCaller(w http.ResponseWriter, r *http.Request) {
	s.beginRequest()
	defer s.endRequest()
	ctx := r.Context()
	defer s.countIfClientDisconnected(ctx, counterCallersDisconnected)
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

// countIfClientDisconnected increments counter if the client of the request has disconnected.
func (s *Sidecar) countIfClientDisconnected(ctx context.Context, counter string) {
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

// newQueuedRequest builds the outgoing request from a caller's request. A caller without a
// CallerHeader is identified by its IP address.
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

// isNested reports whether this machine's endpoint made the request while executing another request,
// and counts the nested requests; the caller must hold mu.
func (s *Sidecar) isNested(request *queuedRequest) bool {
	header := s.Settings.Headers.RequestID
	if header == "" || !s.activeRequests.containsParentOf(firstValue(request.outgoing.Header, header)) {
		return false
	}
	s.count(counterNested)
	return true
}

// route determines the request's route and deadline. limitMs is the timeout that the caller asks
// for, in milliseconds, or "" if the caller sets none.
func (s *Sidecar) route(request *queuedRequest, limitMs string) *failure.Error {
	requested, _ := strconv.Atoi(limitMs)
	s.mu.Lock()
	defer s.mu.Unlock()
	request.call.Nested = s.isNested(request)
	return s.planner.Route(request.receivedAt, request.call, time.Duration(requested)*time.Millisecond)
}

// awaitDispatch queues a request and waits until it may be sent, its deadline passes, or ctx is
// done because its client disconnected.
func (s *Sidecar) awaitDispatch(ctx context.Context, request *queuedRequest) *failure.Error {
	s.mu.Lock()
	queued := s.sendQueue.Enqueue(s.clock(), request, request.urgent(), request.call.Deadline)
	s.dispatchQueued()
	s.mu.Unlock()
	if !queued {
		s.count(counterQueueFull)
		return failure.New(failure.Busy, "the send queue is full").WithRetryAfter(retryAfterSeconds)
	}
	if s.dispatchedInTime(ctx, request) {
		return nil
	}
	if ctx.Err() != nil {
		return clientDisconnected()
	}
	s.count(counterLateInQueue)
	return failure.New(failure.DeadlineExceeded, "the deadline passed while the request was queued").WithRetryAfter(retryAfterSeconds)
}

// clientDisconnected returns the failure of a request whose client disconnected before any endpoint
// began to execute the request.
func clientDisconnected() *failure.Error {
	return failure.New(failure.ClientDisconnected, "the client closed its connection")
}

// dispatchQueued dispatches queued requests while there are free senders; the caller must hold mu.
// Dispatching continues after Close, because a planned stop waits for the queued requests.
func (s *Sidecar) dispatchQueued() {
	for {
		request, urgent, ok := s.sendQueue.Dequeue()
		if !ok {
			return
		}
		request.dispatchedUrgent = urgent
		close(request.dispatched)
	}
}

// dispatchedInTime waits until a request is dispatched. It returns false if the request's deadline
// passed or its client disconnected first; the request is then removed from the queue and is never
// dispatched.
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

// sendDispatched sends a dispatched request and, when the request has ended, dispatches requests
// that waited for its sender.
func (s *Sidecar) sendDispatched(ctx context.Context, request *queuedRequest) (*exchange.Response, *failure.Error) {
	sentAt := s.clock()
	resp, fail := s.sendWithRetries(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendQueue.Done(request.dispatchedUrgent, s.clock().Since(sentAt))
	s.dispatchQueued()
	return resp, fail
}
