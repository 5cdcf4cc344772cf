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

// peerResult is what became of a request at the endpoint's machine, as PeerResultHeader names it.
type peerResult string

// The results. Only resultResponse comes with the endpoint's response, the others with a
// failure.Error.
const (
	// resultResponse: this is the endpoint's response.
	resultResponse peerResult = "return"
	// resultRejected: no byte of the request was sent to the endpoint.
	resultRejected peerResult = "turned-away"
	// resultNoCapacity: the same, as the endpoint or the link has no capacity in time.
	resultNoCapacity peerResult = "bay"
	// resultShed: the endpoint itself says that it did not run the request.
	resultShed peerResult = "shed"
	// resultUnknown: the endpoint may have run the request.
	resultUnknown peerResult = "unsure"
)

// attemptResults says what each of them tells of the attempt.
var attemptResults = map[peerResult]attempt.Result{
	resultResponse:   {Outcome: attempt.Executed},
	resultRejected:   {Outcome: attempt.NotExecuted, Rejected: true},
	resultNoCapacity: {Outcome: attempt.NotExecuted, Rejected: true, Shed: true},
	resultShed:       {Outcome: attempt.NotExecuted, ReachedEndpoint: true},
	resultUnknown:    {Outcome: attempt.Unknown},
}

// attemptResultFor returns the result of an attempt; a peerResult that is not known proves nothing.
func attemptResultFor(fail *failure.Error, peer peerResult) attempt.Result {
	result, known := attemptResults[peer]
	if !known {
		result = attemptResults[resultUnknown]
	}
	result.Failure = fail
	return result
}

// parsePeerResponse tells an endpoint's response that a sidecar passes on from the sidecar's own
// result.
func parsePeerResponse(call exchange.Call, resp *exchange.Response) (*exchange.Response, attempt.Result) {
	peer := peerResult(resp.Header.Get(PeerResultHeader))
	report := parseLoadReport(resp.Header.Get(LoadReportHeader))
	if peer == resultResponse {
		microseconds, _ := strconv.ParseInt(resp.Header.Get(ServiceTimeHeader), 10, 64)
		took := time.Duration(max(0, microseconds)) * time.Microsecond
		return withSize(call, resp, attempt.Result{Outcome: attempt.Executed, LoadReport: report, Elapsed: took})
	}
	fail, ok := peerFailure(call, resp, peer)
	if !ok {
		unreadable := failure.NewUnknown(failure.BadResponse, "the response of the endpoint's sidecar can't be read")
		return nil, attempt.Result{Outcome: attempt.Unknown, Failure: unreadable}
	}
	result := attemptResultFor(fail, peer)
	result.LoadReport = report
	return nil, result
}

// peerFailure reads the failure that comes with a result; it is false if there is none that can
// be read. The response to a HEAD has no body: there the result alone tells.
func peerFailure(call exchange.Call, resp *exchange.Response, peer peerResult) (*failure.Error, bool) {
	if _, known := attemptResults[peer]; known && call.Method == http.MethodHead {
		return failureWithoutBody(peer), true
	}
	fail := &failure.Error{}
	if err := json.Unmarshal(resp.Body, fail); err != nil || fail.Kind == "" || peer == "" {
		return nil, false
	}
	return fail, true
}

// failureWithoutBody is the failure for a result that came without one.
func failureWithoutBody(peer peerResult) *failure.Error {
	if attemptResults[peer].Outcome == attempt.NotExecuted {
		return failure.New(failure.Busy, "the endpoint's sidecar rejected the request").WithRetryAfter(retryAfterSeconds)
	}
	return failure.NewUnknown(failure.LostResponse, "the endpoint's sidecar can't tell whether the request ran")
}
