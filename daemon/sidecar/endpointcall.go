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
	// endpointMarginMs is how many milliseconds the timeout sent to the endpoint is shorter than
	// the sidecar's own, so that the endpoint's response to a timeout still arrives in time.
	endpointMarginMs = 10
	// maxIdleAge is how long after its last use an open connection to an endpoint is reused. An
	// endpoint may close an idle connection just as the next request is sent.
	maxIdleAge = 2 * time.Second
)

// endpointRequest is a request for an endpoint of this machine, from a local caller or from another
// sidecar.
type endpointRequest struct {
	server           ident.Server
	service          ident.Service
	call             exchange.Call
	deadline         time.Time
	retryProbability float64 // probability that the request repeats an executed request
	hints            admissionHints
}

// endpointResult is the outcome of a request at an endpoint of this machine. Invariant: response is
// set if and only if result is resultResponse, and failure is set if and only if result is not.
type endpointResult struct {
	response   *exchange.Response
	result     peerResult
	failure    *failure.Error
	loadReport string        // the endpoint's encoded load report at the end of the request
	duration   time.Duration // how long the endpoint took
}

// sendToEndpoint sends a request to an endpoint of this machine. It checks that the address still
// belongs to the intended endpoint, waits for a slot, and checks again right before the first byte.
// ctx is done when the client disconnects: a waiting request is then dropped, and an execution is
// canceled if it is repeatable.
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

// checkEndpoint returns the address of the intended endpoint, or the reason why the request must
// not be sent.
func (s *Sidecar) checkEndpoint(request endpointRequest) (ident.Addr, *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, _, fail := s.endpoints.Check(s.clock(), request.server, request.service)
	return addr, fail
}

// sendWithSlot sends a request that was admitted, and returns its result and its outcome for the
// admission queue.
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
			return clientDisconnected()
		}
		return s.checkAddrUnchanged(request, addr)
	}
	sentAt := s.clock()
	resp, sent, fail := s.endpointExchange.Do(executionContext(ctx, request), addr, call)
	if fail != nil && ctx.Err() != nil && request.hints.repeatable {
		return s.canceledCallResult(sent, sentAt)
	}
	if fail != nil {
		return s.failedCallResult(request.server, fail, sent, sentAt)
	}
	return s.answeredCallResult(resp, sentAt)
}

// executionContext returns the context of a request's execution. A request that can't be repeated
// is executed to its end even if its client disconnects, because a canceled execution may have
// taken effect in part, which no response would report.
func executionContext(ctx context.Context, request endpointRequest) context.Context {
	if request.hints.repeatable {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// canceledCallResult returns the result of a call that was canceled because its client
// disconnected.
func (s *Sidecar) canceledCallResult(sent bool, sentAt monotime.Time) (endpointResult, admission.Outcome) {
	if !sent {
		return endpointResult{result: resultRejected, failure: clientDisconnected()}, admission.GivenUp
	}
	result := endpointResult{
		result:   resultUnknown,
		failure:  failure.NewUnknown(failure.ClientDisconnected, "the client closed its connection"),
		duration: s.clock().Since(sentAt),
	}
	return result, admission.GivenUp
}

// beginEndpointCall checks the endpoint a second time and charges the request to the retry budget.
// It returns the endpoint's address and the configured maximum of connections to the endpoint, 0 if
// none is set.
func (s *Sidecar) beginEndpointCall(request endpointRequest) (addr ident.Addr, connections int, fail *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr, _, fail = s.endpoints.Check(s.clock(), request.server, request.service)
	if fail != nil {
		return "", 0, fail
	}
	if !s.planner.RetryBudget.BeginRun(s.clock(), request.retryProbability) {
		return "", 0, failure.New(failure.Busy, "the retry budget of a service that the endpoint calls is exhausted").WithRetryAfter(retryAfterSeconds)
	}
	if config := s.planner.Config(); config != nil {
		connections = config.Services[request.service].MaxConnections
	}
	s.activeRequests.begin(s.requestID(request))
	return addr, connections, nil
}

// endEndpointCall reverses the accounting of beginEndpointCall.
func (s *Sidecar) endEndpointCall(request endpointRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.RetryBudget.EndRun(request.retryProbability)
	s.activeRequests.end(s.requestID(request))
}

// requestID returns the id by which the endpoint identifies a request, or "" if the request has
// none.
func (s *Sidecar) requestID(request endpointRequest) string {
	if s.Settings.Headers.RequestID == "" {
		return ""
	}
	return firstValue(request.call.Header, s.Settings.Headers.RequestID)
}

// checkAddrUnchanged is the last check before the first byte: while the connection was being
// established, the endpoint may have stopped and another endpoint may have taken over the address.
func (s *Sidecar) checkAddrUnchanged(request endpointRequest, addr ident.Addr) *failure.Error {
	current, fail := s.checkEndpoint(request)
	if fail == nil && current != addr {
		return failure.New(failure.EndpointRejected, "the address of server %q has changed", request.server)
	}
	return fail
}

// failedCallResult returns the result of a call without a response.
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

// answeredCallResult returns the result of a call with a response.
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

// classifyResponse distinguishes the response of an executed request from a response by which the
// endpoint states that the endpoint did not execute the request. The exchange has already checked that
// the response is complete and belongs to this request.
func classifyResponse(headers settings.Headers, resp *exchange.Response) endpointResult {
	if resp.Status == http.StatusMisdirectedRequest || headers.NotExecuted != "" && firstValue(resp.Header, headers.NotExecuted) != "" {
		fail := failure.New(failure.Busy, "the endpoint rejected the request").WithRetryAfter(retryAfterSeconds)
		return endpointResult{result: resultShed, failure: fail}
	}
	return endpointResult{result: resultResponse, response: resp}
}

// endpointCall builds the call to an endpoint. The call names the endpoint and the remaining time,
// and says how to recognize the response as the response to this call.
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
		// Without an id, a late response on an open connection can't be told apart from the
		// response to this request, so each request gets a connection of its own.
		call.SingleUse = true
	} else {
		call.IDHeader, call.ID, call.MaxIdleAge = headers.RequestID, id, maxIdleAge
	}
	return call
}
