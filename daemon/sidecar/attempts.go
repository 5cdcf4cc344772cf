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
	// approxHeaderBytes is about what the headers of a request and its response take between
	// sidecars.
	approxHeaderBytes = 800
	// A peer gives up a request by a tenth of its time sooner than this side, at most by
	// maxPeerMargin, so that its answer is still heard.
	peerMarginFraction = 10
	maxPeerMargin      = 20 * time.Millisecond
)

// sendWithRetries sends a request to one endpoint after the other until there is a response, or
// no further attempt is allowed. A response that says that the endpoint failed is given if the
// attempts after it bring nothing better. Without a response there is a failure.
func (s *Sidecar) sendWithRetries(request *queuedRequest) (*exchange.Response, *failure.Error) {
	var failedResponse *exchange.Response
	for {
		choice := s.nextAttempt(request.call)
		if choice.Failure != nil {
			return failedResponse, choice.Failure
		}
		resp, end := s.sendOnce(request, choice)
		retry, fail := s.endAttempt(request.call, end)
		switch {
		case end.Outcome != attempt.Executed && !retry:
			return failedResponse, fail
		case end.Outcome == attempt.Executed && !retry:
			return resp, nil
		case end.Outcome == attempt.Executed:
			failedResponse = resp
		}
	}
}

// nextAttempt chooses the endpoint of the next request.
func (s *Sidecar) nextAttempt(call *attempt.Call) attempt.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Next(s.clock(), call)
}

// endAttempt takes the end of an attempt, and tells whether to try again. If not, and the attempt
// brought no response, it gives the failure of the whole call.
func (s *Sidecar) endAttempt(call *attempt.Call, end attempt.Result) (retry bool, fail *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retry = s.router.Finished(s.clock(), call, end)
	if end.Outcome != attempt.Executed && !retry {
		fail = s.router.FinalFailure(call)
	}
	return retry, fail
}

// sendOnce makes one attempt: at an endpoint of this machine, or through the sidecar of the
// endpoint's machine.
func (s *Sidecar) sendOnce(queued *queuedRequest, choice attempt.Decision) (*exchange.Response, attempt.Result) {
	request := endpointRequest{
		server:        choice.Entry.UID,
		service:       choice.Entry.Service,
		call:          queued.outgoing,
		deadline:      time.Now().Add(choice.Timeout),
		retryFraction: choice.RepeatChance,
		hints:         hintsFor(s.clock(), queued.receivedAt, queued.call, choice),
	}
	if choice.Entry.SidecarAddr == s.Settings.Addr {
		return s.sendLocally(request)
	}
	return s.sendToPeer(choice, request, queued.call.Route.Urgent)
}

// sendLocally makes an attempt at an endpoint of this machine.
func (s *Sidecar) sendLocally(request endpointRequest) (*exchange.Response, attempt.Result) {
	result := s.sendToEndpoint(request)
	end := endForResult(result.failure, result.result)
	end.LoadReport, end.Elapsed = parseLoadReport(result.loadReport), result.duration
	return withSize(request.call, result.response, end)
}

// sendToPeer makes an attempt through the sidecar of the endpoint's machine.
func (s *Sidecar) sendToPeer(choice attempt.Decision, request endpointRequest, urgent bool) (*exchange.Response, attempt.Result) {
	call := peerCall(request, choice.Timeout, urgent)
	resp, sent, fail := s.peerExchange.Do(context.Background(), choice.Entry.SidecarAddr, call)
	switch {
	case fail != nil && !sent:
		return nil, attempt.Result{Outcome: attempt.NotExecuted, Failure: fail, Unreachable: true}
	case fail != nil:
		return nil, attempt.Result{Outcome: attempt.Unknown, Failure: fail, Unreachable: fail.Kind == failure.LostResponse}
	}
	return parsePeerResponse(request.call, resp)
}

// peerCall makes the call to the sidecar of the endpoint's machine.
func peerCall(request endpointRequest, limit time.Duration, urgent bool) exchange.Call {
	call := request.call
	call.Deadline, call.ExpectContinue = request.deadline, true
	peerLimit := limit - min(limit/peerMarginFraction, maxPeerMargin)
	call.HeaderOverrides = append(make([]exchange.HeaderField, 0, 8), request.call.HeaderOverrides...)
	call.HeaderOverrides = append(call.HeaderOverrides,
		exchange.HeaderField{Name: TargetHeader, Value: string(request.server)},
		exchange.HeaderField{Name: ServiceHeader, Value: string(request.service)},
		exchange.HeaderField{Name: LimitHeader, Value: strconv.FormatInt(peerLimit.Milliseconds(), 10)},
		exchange.HeaderField{Name: AdmissionHintsHeader, Value: request.hints.encode()})
	if urgent {
		call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: UrgentHeader, Value: "1"})
	}
	if request.retryFraction > 0 {
		call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: RetryFractionHeader, Value: strconv.FormatFloat(request.retryFraction, 'f', 3, 64)})
	}
	return call
}

// withSize adds to the end of an attempt what the response itself tells.
func withSize(call exchange.Call, resp *exchange.Response, end attempt.Result) (*exchange.Response, attempt.Result) {
	if resp != nil {
		end.EndpointFailed = resp.Status >= 500
		end.ResponseBytes = int64(len(call.Body) + len(resp.Body) + approxHeaderBytes)
	}
	return resp, end
}
