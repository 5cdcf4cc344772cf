package sidecar

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/wire/exchange"
)

// peerResult is the result of a request at the endpoint's machine, as sent in PeerResultHeader.
type peerResult string

// The results of a request. Only resultResponse comes with the endpoint's response; the others come
// with a failure.Error.
const (
	// resultResponse: the response is the endpoint's own.
	resultResponse peerResult = "return"
	// resultRejected: no byte of the request was sent to the endpoint.
	resultRejected peerResult = "turned-away"
	// resultNoCapacity: no byte of the request was sent, because the endpoint or the link would not
	// have had capacity in time.
	resultNoCapacity peerResult = "bay"
	// resultShed: the endpoint itself stated that the request was not executed.
	resultShed peerResult = "shed"
	// resultUnknown: the endpoint may have executed the request.
	resultUnknown peerResult = "unsure"
)

// attemptResults maps each peerResult to what it proves about the attempt.
var attemptResults = map[peerResult]attempt.Result{
	resultResponse:   {Outcome: attempt.Executed},
	resultRejected:   {Outcome: attempt.NotExecuted, Rejected: true},
	resultNoCapacity: {Outcome: attempt.NotExecuted, Rejected: true, Shed: true},
	resultShed:       {Outcome: attempt.NotExecuted, ReachedEndpoint: true},
	resultUnknown:    {Outcome: attempt.Unknown},
}

// attemptResultFor returns the result of an attempt; an unrecognized peerResult proves nothing.
func attemptResultFor(fail *failure.Error, received peerResult) attempt.Result {
	result, known := attemptResults[received]
	if !known {
		result = attemptResults[resultUnknown]
	}
	result.Failure = fail
	return result
}

// parsePeerResponse distinguishes an endpoint's response that a sidecar passes on from a result of
// the sidecar itself.
func parsePeerResponse(call exchange.Call, resp *exchange.Response) (*exchange.Response, attempt.Result) {
	received := peerResult(resp.Header.Get(PeerResultHeader))
	report := parseLoadReport(resp.Header.Get(LoadReportHeader))
	if received == resultResponse {
		microseconds, _ := strconv.ParseInt(resp.Header.Get(ServiceTimeHeader), 10, 64)
		took := time.Duration(max(0, microseconds)) * time.Microsecond
		return withResponseDetails(call, resp, attempt.Result{Outcome: attempt.Executed, LoadReport: report, Elapsed: took})
	}
	fail, ok := peerFailure(call, resp, received)
	if !ok {
		unreadable := failure.NewUnknown(failure.BadResponse, "the response of the endpoint's sidecar is malformed")
		return nil, attempt.Result{Outcome: attempt.Unknown, Failure: unreadable}
	}
	result := attemptResultFor(fail, received)
	result.LoadReport = report
	return nil, result
}

// peerFailure decodes the failure that comes with a result, and reports whether the failure is valid.
// The response to a HEAD request has no body, so its failure follows from the result alone.
func peerFailure(call exchange.Call, resp *exchange.Response, received peerResult) (*failure.Error, bool) {
	if _, known := attemptResults[received]; known && call.Method == http.MethodHead {
		return failureWithoutBody(received), true
	}
	fail := &failure.Error{}
	if err := json.Unmarshal(resp.Body, fail); err != nil || fail.Kind == "" || received == "" {
		return nil, false
	}
	return fail, true
}

// failureWithoutBody returns the failure for a result that came without a body.
func failureWithoutBody(received peerResult) *failure.Error {
	if attemptResults[received].Outcome == attempt.NotExecuted {
		return failure.New(failure.Busy, "the endpoint's sidecar rejected the request").WithRetryAfter(retryAfterSeconds)
	}
	return failure.NewUnknown(failure.LostResponse, "the endpoint's sidecar does not know whether the request was executed")
}
