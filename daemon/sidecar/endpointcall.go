package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	// endpointMarginMs is how many milliseconds before this sidecar gives up the endpoint is
	// told to end, so that its own answer is heard.
	endpointMarginMs = 10
	// idleTrust is for how long after its last use a connection to an endpoint counts as open:
	// an endpoint may close one that is idle just as the next request is sent.
	maxIdleAge = 2 * time.Second
)

// endpointRequest is a request for an endpoint of this machine, of a caller here or of another
// sidecar.
type endpointRequest struct {
	server           ident.Server
	service          ident.Service
	call             exchange.Call
	deadline         time.Time
	retryProbability float64 // the probability that it repeats one that ran
	hints            admissionHints
}

// endpointResult is what became of a request at an endpoint of this machine. Invariant: response
// is set if and only if result is resultResponse, failure if and only if it is not.
type endpointResult struct {
	response   *exchange.Response
	result     peerResult
	failure    *failure.Error
	loadReport string        // the endpoint's load when the request was over, as text
	duration   time.Duration // how long the endpoint had it
}

// sendToEndpoint sends a request to an endpoint of this machine. It checks that the endpoint is
// still the one that is meant, waits for a slot, and checks again right before the first byte. ctx
// ends when the client leaves: what waits is then dropped, and a run is broken off if it is
// repeatable.
func (s *Sidecar) sendToEndpoint(ctx context.Context, request endpointRequest) (result endpointResult) {
	if _, fail := s.checkEndpoint(request); fail != nil {
		return endpointResult{result: resultRejected, failure: fail}
	}
	slot, fail := s.waitForSlot(ctx, request)
	if fail != nil {
		return endpointResult{result: resultNoCapacity, failure: fail, loadReport: s.loadReport(request.server)}
	}
	outcome := admission.GivenUp
	defer func() {
		s.releaseSlot(request.server, slot, outcome, result.duration)
		result.loadReport = s.loadReport(request.server)
	}()
	result, outcome = s.sendWithSlot(ctx, request)
	return result
}

// checkEndpoint returns the address of the endpoint that is meant, or why it may not be sent to.
func (s *Sidecar) checkEndpoint(request endpointRequest) (ident.Addr, *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, _, fail := s.endpoints.Check(s.clock(), request.server, request.service)
	return addr, fail
}

// sendWithSlot sends a request that has a slot, and tells the admission queue how it ended.
func (s *Sidecar) sendWithSlot(ctx context.Context, request endpointRequest) (endpointResult, admission.Outcome) {
	addr, connections, fail := s.beginEndpointCall(request)
	if fail != nil {
		return endpointResult{result: resultRejected, failure: fail}, admission.GivenUp
	}
	defer s.endEndpointCall(request)
	call := endpointCall(s.Settings.Headers, request.call, request.server, request.deadline)
	call.MaxConns = connections
	call.BeforeSend = func() *failure.Error {
		if ctx.Err() != nil {
			return clientLeft()
		}
		return s.checkAddrUnchanged(request, addr)
	}
	sentAt := s.clock()
	resp, sent, fail := s.endpointExchange.Do(runContext(ctx, request), addr, call)
	if fail != nil && ctx.Err() != nil && request.hints.repeatable {
		return s.canceledCallResult(sent, sentAt)
	}
	if fail != nil {
		return s.failedCallResult(request.server, fail, sent, sentAt)
	}
	return s.answeredCallResult(resp, sentAt)
}

// runContext is the context of a request's run. One that can't be repeated goes on to its end when
// its client leaves: broken off, it may be half done, and nobody could tell.
func runContext(ctx context.Context, request endpointRequest) context.Context {
	if request.hints.repeatable {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// endpointGivenUp is the result of a call that was broken off as its client left.
func (s *Sidecar) canceledCallResult(sent bool, sentAt monotime.Time) (endpointResult, admission.Outcome) {
	if !sent {
		return endpointResult{result: resultRejected, failure: clientLeft()}, admission.GivenUp
	}
	result := endpointResult{
		result:   resultUnknown,
		failure:  failure.NewUnknown(failure.ClientDisconnected, "the client closed its connection"),
		duration: s.clock().Since(sentAt),
	}
	return result, admission.GivenUp
}

// beginEndpointCall checks the endpoint a second time and charges the request to the retry
// budget. It gives the endpoint's address, and the bound of its connections that the
// configuration sets, 0 if none.
func (s *Sidecar) beginEndpointCall(request endpointRequest) (addr ident.Addr, connections int, fail *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, _, fail = s.endpoints.Check(s.clock(), request.server, request.service)
	if fail != nil {
		return "", 0, fail
	}
	if !s.planner.RetryBudget.BeginRun(s.clock(), request.retryProbability) {
		return "", 0, failure.New(failure.Busy, "the retry budget of the services called is used up").WithRetryAfter(retryAfterSeconds)
	}
	if config := s.planner.Config(); config != nil {
		connections = config.Services[request.service].MaxConnections
	}
	s.runs.begin(s.requestID(request))
	return addr, connections, nil
}

// endEndpointCall ends what beginEndpointCall began.
func (s *Sidecar) endEndpointCall(request endpointRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.RetryBudget.EndRun(request.retryProbability)
	s.runs.end(s.requestID(request))
}

// requestID is the id by which the endpoint knows a request, "" if it has none.
func (s *Sidecar) requestID(request endpointRequest) string {
	if s.Settings.Headers.RequestID == "" {
		return ""
	}
	return firstValue(request.call.Header, s.Settings.Headers.RequestID)
}

// checkNotMoved is the last check before the first byte: while the connection came up, the
// endpoint may have ended and another may have taken its address.
func (s *Sidecar) checkAddrUnchanged(request endpointRequest, addr ident.Addr) *failure.Error {
	current, fail := s.checkEndpoint(request)
	if fail == nil && current != addr {
		return failure.New(failure.EndpointRejected, "server %q has moved", request.server)
	}
	return fail
}

// endpointFailed is the result of a call that brought no response.
func (s *Sidecar) failedCallResult(
	server ident.Server, fail *failure.Error, sent bool, sentAt monotime.Time,
) (endpointResult, admission.Outcome) {
	if fail.Kind == failure.Unreachable {
		s.mu.Lock()
		s.applyEndpointChange(s.endpoints.HandleConnectFailure(s.clock(), server))
		s.mu.Unlock()
	}
	switch {
	case !sent:
		return endpointResult{result: resultRejected, failure: fail}, admission.GivenUp
	case fail.Kind == failure.DeadlineExceeded:
		return endpointResult{result: resultUnknown, failure: fail, duration: s.clock().Since(sentAt)}, admission.GivenUp
	default:
		return endpointResult{result: resultUnknown, failure: fail}, admission.Failed
	}
}

// endpointAnswered is the result of a call that brought a response.
func (s *Sidecar) answeredCallResult(resp *exchange.Response, sentAt monotime.Time) (endpointResult, admission.Outcome) {
	result := classifyResponse(s.Settings.Headers, resp)
	switch {
	case result.result == resultShed:
		return result, admission.GivenUp
	case resp.Status == http.StatusGatewayTimeout:
		result.duration = s.clock().Since(sentAt)
		return result, admission.GivenUp
	case resp.Status >= 500:
		return result, admission.Failed
	default:
		result.duration = s.clock().Since(sentAt)
		return result, admission.Served
	}
}

// classifyResponse tells the endpoint's response to the request from its statement that it did not
// run it. That the response is whole and belongs to this request, the exchange has checked.
func classifyResponse(headers settings.Headers, resp *exchange.Response) endpointResult {
	if resp.Status == http.StatusMisdirectedRequest || headers.NotExecuted != "" && firstValue(resp.Header, headers.NotExecuted) != "" {
		fail := failure.New(failure.Busy, "the endpoint rejected the request").WithRetryAfter(retryAfterSeconds)
		return endpointResult{result: resultShed, failure: fail}
	}
	return endpointResult{result: resultResponse, response: resp}
}

// endpointCall makes the call of one endpoint: it names the endpoint and the time that is left,
// and says how the response is known as this call's own.
func endpointCall(headers settings.Headers, call exchange.Call, server ident.Server, deadline time.Time) exchange.Call {
	call.Deadline = deadline
	call.HeaderOverrides = append(make([]exchange.HeaderField, 0, 4), call.HeaderOverrides...)
	call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: TargetHeader, Value: string(server)})
	if headers.RequestID != "" {
		limitMs := max(1, time.Until(deadline).Milliseconds()-endpointMarginMs)
		call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: headers.Deadline, Value: strconv.FormatInt(limitMs, 10)})
		call.RequiredHeader, call.RejectEncoded = headers.SuccessMark, true
	}
	if id := firstValue(call.Header, headers.RequestID); id == "" {
		// Without an id nothing tells an unasked response on a kept connection from the one
		// that is due: each request has a connection of its own.
		call.SingleUse = true
	} else {
		call.IDHeader, call.ID, call.MaxIdleAge = headers.RequestID, id, maxIdleAge
	}
	return call
}
