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

// The results of a request at the endpoint's machine, as PeerResultHeader names them. Only
// resultResponse comes with the endpoint's response, the others with a failure.Error.
const (
	// resultResponse: this is the endpoint's response.
	resultResponse = "return"
	// resultRejected: no byte of the request was sent to the endpoint.
	resultRejected = "turned-away"
	// resultNoCapacity: the same, as the endpoint or the link has no capacity in time.
	resultNoCapacity = "bay"
	// resultShed: the endpoint itself says that it did not run the request.
	resultShed = "shed"
	// resultUnknown: the endpoint may have run the request.
	resultUnknown = "unsure"
)

// endByResult says what each result tells of the attempt.
var endByResult = map[string]attempt.Result{
	resultResponse:   {Outcome: attempt.Executed},
	resultRejected:   {Outcome: attempt.NotExecuted, Rejected: true},
	resultNoCapacity: {Outcome: attempt.NotExecuted, Rejected: true, Shed: true},
	resultShed:       {Outcome: attempt.NotExecuted, ReachedEndpoint: true},
	resultUnknown:    {Outcome: attempt.Unknown},
}

// endForResult gives the end of an attempt; a result that is not known proves nothing.
func endForResult(fail *failure.Error, result string) attempt.Result {
	end, ok := endByResult[result]
	if !ok {
		end = endByResult[resultUnknown]
	}
	end.Failure = fail
	return end
}

// parsePeerResponse tells an endpoint's response that a sidecar passes on from the sidecar's own
// result.
func parsePeerResponse(call exchange.Call, resp *exchange.Response) (*exchange.Response, attempt.Result) {
	result := resp.Header.Get(PeerResultHeader)
	report := parseLoadReport(resp.Header.Get(LoadReportHeader))
	if result == resultResponse {
		microseconds, _ := strconv.ParseInt(resp.Header.Get(TookHeader), 10, 64)
		took := time.Duration(max(0, microseconds)) * time.Microsecond
		return withSize(call, resp, attempt.Result{Outcome: attempt.Executed, LoadReport: report, Elapsed: took})
	}
	fail, ok := peerFailure(call, resp, result)
	if !ok {
		return nil, attempt.Result{Outcome: attempt.Unknown, Failure: failure.NewUnknown(failure.BadResponse, "the response of the endpoint's sidecar can't be read")}
	}
	end := endForResult(fail, result)
	end.LoadReport = report
	return nil, end
}

// peerFailure reads the failure that comes with a result; it is false if there is none that can
// be read. The response to a HEAD has no body: there the result alone tells.
func peerFailure(call exchange.Call, resp *exchange.Response, result string) (*failure.Error, bool) {
	if _, known := endByResult[result]; known && call.Method == http.MethodHead {
		return failureWithoutBody(result), true
	}
	fail := &failure.Error{}
	if err := json.Unmarshal(resp.Body, fail); err != nil || fail.Kind == "" || result == "" {
		return nil, false
	}
	return fail, true
}

// failureWithoutBody is the failure for a result that came without one.
func failureWithoutBody(result string) *failure.Error {
	if endByResult[result].Outcome == attempt.NotExecuted {
		return failure.New(failure.Busy, "the endpoint's sidecar rejected the request").WithRetryAfter(retryAfterSeconds)
	}
	return failure.NewUnknown(failure.LostResponse, "the endpoint's sidecar can't tell whether the request ran")
}
