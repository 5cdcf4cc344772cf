package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/wire/exchange"
)

// queuedRequest is one request between the stages. Invariant: turn is closed once, when the
// request may be sent; who waits for it then walks with it.
type queuedRequest struct {
	call       *attempt.Call
	receivedAt monotime.Time
	outgoing   exchange.Call
	urgentSlot bool
	dispatched chan struct{}
}

// requestResult is how a walk ended. Invariant: without ret there is d.
type requestResult struct {
	response *exchange.Response
	failure  *failure.Error
}

// dispatchQueued is the sending stage: the next one queued is sent while there is room. mu
// is held. What is queued when the duties end is sent as well: a planned stop waits for
// it.
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

// sendWithRetries tries until there is a return, or nothing more may be tried.
func (s *Sidecar) sendWithRetries(request *queuedRequest) requestResult {
	var lastResponse *exchange.Response // an endpoint's own word that it failed, while others are tried
	for {
		s.mu.Lock()
		choice := s.router.Next(s.clock(), request.call)
		s.mu.Unlock()
		if choice.Failure != nil {
			return requestResult{response: lastResponse, failure: choice.Failure}
		}
		resp, attemptEnd := s.sendOnce(request, choice)
		s.mu.Lock()
		retry := s.router.Finished(s.clock(), request.call, attemptEnd)
		if attemptEnd.Outcome != attempt.Executed && !retry {
			fail := s.router.FinalFailure(request.call)
			s.mu.Unlock()
			return requestResult{response: lastResponse, failure: fail}
		}
		s.mu.Unlock()
		if attemptEnd.Outcome == attempt.Executed {
			if lastResponse = resp; !retry {
				return requestResult{response: resp}
			}
		}
	}
}

// sendOnce sends once: to the gate here, or to that of the endpoint's machine.
func (s *Sidecar) sendOnce(request *queuedRequest, choice attempt.Decision) (*exchange.Response, attempt.Result) {
	deadline := time.Now().Add(choice.Timeout)
	hints := hintsFor(s.clock(), request.receivedAt, request.call, choice)
	if choice.Entry.SidecarAddr == s.Settings.Addr {
		local := s.sendToEndpoint(deadline, choice.Entry.UID, choice.Entry.Service, request.outgoing, choice.RepeatChance, hints)
		result := endForResult(local.failure, local.result)
		result.LoadReport, result.Elapsed = parseLoadReport(local.loadReport), local.duration
		return withSize(request, local.response, result)
	}
	call := request.outgoing
	call.Deadline, call.ExpectContinue = deadline, true
	// The gate gives up a little before this side does, so that its word is heard.
	limitMs := strconv.FormatInt((choice.Timeout - min(choice.Timeout/10, 20*time.Millisecond)).Milliseconds(), 10)
	call.HeaderOverrides = append(make([]exchange.HeaderField, 0, 8), request.outgoing.HeaderOverrides...)
	call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: TargetHeader, Value: string(choice.Entry.UID)}, exchange.HeaderField{Name: ServiceHeader, Value: string(choice.Entry.Service)},
		exchange.HeaderField{Name: LimitHeader, Value: limitMs}, exchange.HeaderField{Name: AdmissionHintsHeader, Value: hints.encode()})
	if request.call.Route.Urgent {
		call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: UrgentHeader, Value: "1"})
	}
	if choice.RepeatChance > 0 {
		call.HeaderOverrides = append(call.HeaderOverrides, exchange.HeaderField{Name: RetryFractionHeader, Value: strconv.FormatFloat(choice.RepeatChance, 'f', 3, 64)})
	}
	resp, sent, fail := s.peerExchange.Do(context.Background(), choice.Entry.SidecarAddr, call)
	if fail != nil {
		if !sent {
			return nil, attempt.Result{Outcome: attempt.NotExecuted, Failure: fail, Unreachable: true}
		}
		return nil, attempt.Result{Outcome: attempt.Unknown, Failure: fail, Unreachable: fail.Kind == failure.LostResponse}
	}
	return parsePeerResponse(request, resp)
}

// approxHeaderBytes is about what the heads of a request and its return take between sidecars.
const approxHeaderBytes = 800

// withSize adds what a return itself tells of its end.
func withSize(request *queuedRequest, resp *exchange.Response, result attempt.Result) (*exchange.Response, attempt.Result) {
	if resp != nil {
		result.EndpointFailed, result.ResponseBytes = resp.Status >= 500, int64(len(request.outgoing.Body)+len(resp.Body)+approxHeaderBytes)
	}
	return resp, result
}

// parsePeerResponse tells a gate's own word from an endpoint's return that it passes on.
func parsePeerResponse(request *queuedRequest, resp *exchange.Response) (*exchange.Response, attempt.Result) {
	result := resp.Header.Get(PeerResultHeader)
	report := parseLoadReport(resp.Header.Get(LoadReportHeader))
	if result == resultResponse {
		microseconds, _ := strconv.ParseInt(resp.Header.Get(TookHeader), 10, 64)
		return withSize(request, resp, attempt.Result{Outcome: attempt.Executed, LoadReport: report, Elapsed: time.Duration(max(0, microseconds)) * time.Microsecond})
	}
	fail := &failure.Error{}
	if _, known := endByResult[result]; known && request.outgoing.Method == http.MethodHead {
		fail = failureWithoutBody(result)
	} else if err := json.Unmarshal(resp.Body, fail); err != nil || fail.Kind == "" || result == "" {
		return nil, attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.BadResponse, "the gate's return can't be read")}
	}
	attemptEnd := endForResult(fail, result)
	attemptEnd.LoadReport = report
	return nil, attemptEnd
}

// endByResult says what each word of a gate means.
var endByResult = map[string]attempt.Result{
	resultResponse:   {Outcome: attempt.Executed},
	resultRejected:   {Outcome: attempt.NotExecuted, Rejected: true},
	resultNoCapacity: {Outcome: attempt.NotExecuted, Rejected: true, Shed: true},
	resultShed:       {Outcome: attempt.NotExecuted, ReachedEndpoint: true},
	resultUnknown:    {Outcome: attempt.Unknown},
}

func endForResult(fail *failure.Error, result string) attempt.Result {
	end, ok := endByResult[result]
	if !ok {
		end = endByResult[resultUnknown]
	}
	end.Failure = fail
	return end
}
