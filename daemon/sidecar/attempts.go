package sidecar

import (
	"context"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	// approxHeaderBytes approximates the size of the headers of a request and its response between
	// sidecars.
	approxHeaderBytes = 800
	// The timeout sent to a peer is a tenth shorter than the attempt's timeout, but shorter by at
	// most maxPeerMargin, so that the peer's response to a timeout still arrives in time.
	peerMarginDivisor = 10
	maxPeerMargin     = 20 * time.Millisecond
)

// sendWithRetries sends a request to one endpoint after another until a response arrives or no
// further attempt is allowed. A response that reports an endpoint failure is returned if no later
// attempt yields another response; without any response a failure is returned. No attempt starts
// after ctx is done, because the client has disconnected by then.
func (s *Sidecar) sendWithRetries(ctx context.Context, request *queuedRequest) (*exchange.Response, *failure.Error) {
	var failedResponse *exchange.Response
	for {
		if ctx.Err() != nil {
			return failedResponse, clientDisconnected()
		}
		decision := s.nextAttempt(request.call)
		if decision.Failure != nil {
			return failedResponse, decision.Failure
		}
		resp, result := s.sendOnce(ctx, request, decision)
		retry, fail := s.finishAttempt(request.call, result)
		switch {
		case result.Outcome != attempt.Executed && !retry:
			return failedResponse, fail
		case result.Outcome == attempt.Executed && !retry:
			return resp, nil
		case result.Outcome == attempt.Executed:
			failedResponse = resp
		}
	}
}

// nextAttempt selects the endpoint of the next attempt.
func (s *Sidecar) nextAttempt(call *attempt.Call) attempt.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Next(s.clock(), call)
}

// finishAttempt records the result of an attempt and reports whether to retry. When there is no
// retry and the attempt yielded no response, finishAttempt also returns the failure of the whole
// call.
func (s *Sidecar) finishAttempt(call *attempt.Call, result attempt.Result) (retry bool, fail *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retry = s.planner.Finished(s.clock(), call, result)
	if result.Outcome != attempt.Executed && !retry {
		fail = s.planner.FinalFailure(call)
	}
	return retry, fail
}

// sendOnce makes one attempt, either directly at an endpoint of this machine or through the sidecar
// of the endpoint's machine.
func (s *Sidecar) sendOnce(ctx context.Context, queued *queuedRequest, decision attempt.Decision) (*exchange.Response, attempt.Result) {
	request := endpointRequest{
		server:           decision.Entry.UID,
		service:          decision.Entry.Service,
		call:             queued.outgoing,
		deadline:         time.Now().Add(decision.Timeout),
		retryProbability: decision.RepeatChance,
		hints:            hintsFor(s.clock(), queued.receivedAt, queued.call, decision),
	}
	if decision.Entry.SidecarAddr == s.Settings.Addr {
		return s.sendLocally(ctx, request)
	}
	return s.sendToPeer(ctx, decision, request, queued.urgent())
}

// sendLocally makes one attempt at an endpoint of this machine.
func (s *Sidecar) sendLocally(ctx context.Context, request endpointRequest) (*exchange.Response, attempt.Result) {
	local := s.sendToEndpoint(ctx, request)
	result := attemptResultFor(local.failure, local.result)
	result.ClientLeft = local.failure != nil && local.failure.Kind == failure.ClientDisconnected
	result.LoadReport, result.Elapsed = parseLoadReport(local.loadReport), local.duration
	return withResponseDetails(request.call, local.response, result)
}

// sendToPeer makes one attempt through the sidecar of the endpoint's machine. When ctx is done, the
// connection is closed, which tells that sidecar that the client has disconnected.
func (s *Sidecar) sendToPeer(ctx context.Context, decision attempt.Decision, request endpointRequest, urgent bool) (*exchange.Response, attempt.Result) {
	call := peerCall(request, decision.Timeout, urgent)
	resp, sent, fail := s.peerExchange.Do(ctx, decision.Entry.SidecarAddr, call)
	switch {
	case fail != nil && ctx.Err() != nil:
		return nil, clientDisconnectedResult(sent)
	case fail != nil && !sent:
		return nil, attempt.Result{Outcome: attempt.NotExecuted, Failure: fail, Unreachable: true}
	case fail != nil:
		return nil, attempt.Result{Outcome: attempt.Unknown, Failure: fail, Unreachable: fail.Kind == failure.LostResponse}
	}
	return parsePeerResponse(request.call, resp)
}

// clientDisconnectedResult returns the result of an attempt that was canceled because its client
// disconnected.
func clientDisconnectedResult(sent bool) attempt.Result {
	if !sent {
		return attempt.Result{Outcome: attempt.NotExecuted, Failure: clientDisconnected(), ClientLeft: true}
	}
	fail := failure.NewUnknown(failure.ClientDisconnected, "the client closed its connection")
	return attempt.Result{Outcome: attempt.Unknown, Failure: fail, ClientLeft: true}
}

// peerCall builds the call to the sidecar of the endpoint's machine.
func peerCall(request endpointRequest, limit time.Duration, urgent bool) exchange.Call {
	call := request.call
	call.Deadline, call.ExpectContinue = request.deadline, true
	peerLimit := limit - min(limit/peerMarginDivisor, maxPeerMargin)
	call.HeaderOverrides = append(make([]exchange.HeaderField, 0, 8), request.call.HeaderOverrides...)
	call.HeaderOverrides = append(call.HeaderOverrides,
		exchange.HeaderField{Name: TargetHeader, Value: string(request.server)},
		exchange.HeaderField{Name: ServiceHeader, Value: string(request.service)},
		exchange.HeaderField{Name: TimeoutHeader, Value: strconv.FormatInt(peerLimit.Milliseconds(), 10)},
		exchange.HeaderField{Name: AdmissionHintsHeader, Value: request.hints.encode()})
	if urgent {
		call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: UrgentHeader, Value: "1"})
	}
	if request.retryProbability > 0 {
		fraction := strconv.FormatFloat(request.retryProbability, 'f', 3, 64)
		call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: RetryProbabilityHeader, Value: fraction})
	}
	return call
}

// withResponseDetails adds the response's status class and size to the result of an attempt.
func withResponseDetails(call exchange.Call, resp *exchange.Response, result attempt.Result) (*exchange.Response, attempt.Result) {
	if resp != nil {
		result.EndpointFailed = resp.Status >= 500
		result.ResponseBytes = int64(len(call.Body) + len(resp.Body) + approxHeaderBytes)
	}
	return resp, result
}
