package sidecar

import (
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/exchange"
	"cottonarch.example/cottonarch/wire/response"
)

const (
	// TargetHeader names the endpoint that is meant.
	TargetHeader = "X-Target-Server"
	// ServiceHeader names the service it is meant as.
	ServiceHeader = "X-Cottonarch-Service"
	// LimitHeader carries what is left of the request's time.
	LimitHeader = "X-Cottonarch-Limit-Ms"
	// PeerResultHeader says what a gate's return is: an endpoint's, or the gate's own.
	PeerResultHeader = "X-Cottonarch-Gate"
	// RetryFractionHeader tells a gate how far a request repeats one that ran, from 0 to 1.
	RetryFractionHeader = "X-Cottonarch-Repeat"
	// AdmissionHintsHeader tells an admission queue what a request wants; LoadReportHeader and TookHeader tell its
	// origin what the endpoint has in hand, and how many microseconds this one took.
	AdmissionHintsHeader = "X-Cottonarch-Want"
	LoadReportHeader     = "X-Cottonarch-Burden"
	TookHeader           = "X-Cottonarch-Took"
	// CallerHeader names the caller in the tree of allowances.
	CallerHeader = "X-Caller"
	// SessionHeader names the session, which stays on one side of a split way.
	SessionHeader = "X-Session"
	// UrgentHeader marks a request of an urgent way between sidecars.
	UrgentHeader = "X-Cottonarch-Urgent"

	resultResponse = "return"
	resultRejected = "turned-away"
	resultUnknown  = "unsure"
	// resultNoCapacity is a gate's word that its endpoint has no room in time.
	resultNoCapacity = "bay"
	// resultShed is a gate's word that the endpoint itself turned the request away.
	resultShed = "shed"

	// retryAfterSeconds is when a caller that was turned away for want of room may come back, in
	// seconds.
	retryAfterSeconds = 0.1
	// endpointMarginMs is how many milliseconds sooner than the gate gives up an endpoint is told
	// to end, so that its own word is heard.
	endpointMarginMs = 10
	// idleTrust is for how long a connection to an endpoint counts as alive without a look at
	// what happened to it meanwhile: an endpoint may forget one that is idle.
	idleTrust = 2 * time.Second
)

// meshHeaders lists the headers that the mesh itself sets; none is taken from outside.
var meshHeaders = []string{TargetHeader, ServiceHeader, LimitHeader, PeerResultHeader, UrgentHeader, RetryFractionHeader, AdmissionHintsHeader, LoadReportHeader, TookHeader, response.OutcomeHeader}

// stripMeshHeaders takes the mesh's own headers out; the exchange leaves out those that belong to one
// connection.
func stripMeshHeaders(headers http.Header) http.Header {
	for _, name := range meshHeaders {
		delete(headers, name)
	}
	return headers
}

// readRequest takes a request whole within the manifest's limits and the room for bodies; free
// must be called when it is over.
func (s *Sidecar) readRequest(r *http.Request) (body []byte, release func(), fail *failure.Error) {
	limits := validation.DefaultLimits
	if configured := s.limits.Load(); configured != nil {
		limits = *configured
	}
	headBytes := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			headBytes += int64(len(name) + len(value) + 4)
		}
	}
	if headBytes > limits.MaxHeaderBytes+meshHeaderBytes {
		return nil, nil, failure.New(failure.Oversize, "a head is at most %d bytes", limits.MaxHeaderBytes)
	}
	// What comes in pieces may be as large as the limit; it is counted as it is read.
	size := max(0, r.ContentLength)
	if size > limits.MaxBodyBytes {
		return nil, nil, failure.New(failure.Oversize, "a body is at most %d bytes", limits.MaxBodyBytes)
	}
	if s.bodyBytesInFlight.Add(size) > s.Settings.MaxBodyBytes && s.Settings.MaxBodyBytes > 0 && size > 0 {
		s.bodyBytesInFlight.Add(-size)
		s.Metrics.Add("bodies_turned_away", 1)
		return nil, nil, failure.New(failure.Busy, "too many bytes are in hand").WithRetryAfter(retryAfterSeconds)
	}
	limit := limits.MaxBodyBytes
	if s.Settings.MaxBodyBytes > 0 {
		limit = min(limit, max(size, s.Settings.MaxBodyBytes-s.bodyBytesInFlight.Load()+size))
	}
	if body, fail = response.ReadBody(r, limit); fail != nil {
		s.bodyBytesInFlight.Add(-size)
		if fail.Kind == failure.Oversize && limit < limits.MaxBodyBytes {
			fail = failure.New(failure.Busy, "too many bytes are in hand").WithRetryAfter(retryAfterSeconds)
		}
		return nil, nil, fail
	}
	uncounted := int64(len(body)) - size
	s.bodyBytesInFlight.Add(uncounted)
	return body, func() { s.bodyBytesInFlight.Add(-size - uncounted) }, nil
}

// meshHeaderBytes is what the mesh's own headers may add to a head between sidecars, in bytes.
const meshHeaderBytes = 2 << 10

// ServeCaller is the first stage: it takes a caller's request whole, finds its way and
// queues it, or turns it away at once.
func (s *Sidecar) ServeCaller(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.inFlight++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
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
	headers := s.Settings.Headers
	remoteHost, _, _ := net.SplitHostPort(r.RemoteAddr)
	caller := r.Header.Get(CallerHeader)
	if caller == "" {
		caller = remoteHost
	}
	call := &attempt.Call{Host: r.Host, Path: r.URL.Path, Method: r.Method, Caller: caller, Session: r.Header.Get(SessionHeader)}
	request := &queuedRequest{call: call, receivedAt: receivedAt, dispatched: make(chan struct{})}
	request.outgoing = exchange.Call{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: stripMeshHeaders(r.Header), Body: body}
	if !strings.HasPrefix(request.outgoing.Target, "/") {
		request.outgoing.Target = r.URL.RequestURI()
	}
	if headers.CallingService == "" {
		request.outgoing.Header.Add("X-Forwarded-For", remoteHost)
	} else {
		request.outgoing.HeaderOverrides = []exchange.HeaderField{{Name: headers.CallingService, Value: string(s.Settings.EndpointService)}}
	}
	requestedMs, _ := strconv.Atoi(r.Header.Get(headers.Deadline))
	s.mu.Lock()
	fail = s.router.Route(receivedAt, call, time.Duration(requestedMs)*time.Millisecond)
	s.mu.Unlock()
	if fail != nil {
		s.writeFailure(w, fail)
		return
	}
	s.mu.Lock()
	queued := s.sendQueue.Enqueue(s.clock(), request, call.Route.Urgent, call.Deadline)
	s.dispatchQueued()
	s.mu.Unlock()
	if !queued {
		s.Metrics.Add("turned_away", 1)
		s.writeFailure(w, failure.New(failure.Busy, "too many requests are in hand").WithRetryAfter(retryAfterSeconds))
		return
	}
	if !s.awaitDispatch(request) {
		s.Metrics.Add("late_in_line", 1)
		s.writeFailure(w, failure.New(failure.DeadlineExceeded, "its time was over before its turn").WithRetryAfter(retryAfterSeconds))
		return
	}
	sentAt := s.clock()
	result := s.sendWithRetries(request)
	s.mu.Lock()
	s.sendQueue.Done(request.urgentSlot, s.clock().Since(sentAt))
	s.dispatchQueued() // what waited only for this one's end
	s.mu.Unlock()
	if result.response == nil {
		s.Metrics.Add("ended_"+string(result.failure.Kind), 1)
		s.writeFailure(w, result.failure)
		return
	}
	s.Metrics.Add("returns", 1)
	writeResponse(w, result.response)
}

// writeFailure tells a caller of a failure, as this surface speaks.
func (s *Sidecar) writeFailure(w http.ResponseWriter, fail *failure.Error) {
	if s.Settings.Headers.FractionalRetryAfter {
		response.WriteErrorFractional(w, fail)
		return
	}
	response.WriteError(w, fail)
}

// writeResponse writes a return that is already whole.
func writeResponse(w http.ResponseWriter, resp *exchange.Response) {
	headers := w.Header()
	length := resp.Header.Get("Content-Length")
	maps.Copy(headers, stripMeshHeaders(resp.Header))
	if resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		if len(resp.Body) > 0 || length == "" {
			length = strconv.Itoa(len(resp.Body))
		}
		headers.Set("Content-Length", length)
	}
	if _, ok := headers["Date"]; !ok {
		headers["Date"] = nil
	}
	if _, ok := headers["Content-Type"]; !ok {
		headers["Content-Type"] = nil
	}
	w.WriteHeader(resp.Status)
	if len(resp.Body) > 0 {
		_, _ = w.Write(resp.Body)
	}
}

// awaitDispatch waits for a job's turn, and tells whether it came within the job's time. A job
// that is late has left the queue: its turn never comes.
func (s *Sidecar) awaitDispatch(request *queuedRequest) bool {
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
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.sendQueue.Remove(func(waiting *queuedRequest) bool { return waiting == request })
}

// failureWithoutBody is the failure behind a gate's word that came without one.
func failureWithoutBody(result string) *failure.Error {
	if endByResult[result].Outcome == attempt.NotExecuted {
		return failure.New(failure.Busy, "a gate turned it away").WithRetryAfter(retryAfterSeconds)
	}
	return failure.NewUnknown(failure.LostResponse, "a gate can't tell what became of it")
}

// endpointCall makes of a request the call of one endpoint: it names that one and the time
// that is left, and says by what the answer is known as this call's own.
func endpointCall(headers settings.Headers, call exchange.Call, server ident.Server, deadline time.Time) exchange.Call {
	call.Deadline = deadline
	call.HeaderOverrides = append(make([]exchange.HeaderField, 0, 4), call.HeaderOverrides...)
	call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: TargetHeader, Value: string(server)})
	if headers.RequestID != "" {
		call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: headers.Deadline, Value: strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()-endpointMarginMs), 10)})
		call.RequiredHeader, call.Unencoded = headers.SuccessMark, true
	}
	if id := firstValue(call.Header, headers.RequestID); id == "" {
		// Without an id nothing tells an unasked return on a kept connection from the one
		// that is due: each request has a connection of its own.
		call.SingleUse = true
	} else {
		call.IDHeader, call.ID, call.MaxIdleAge = headers.RequestID, id, idleTrust
	}
	return call
}
