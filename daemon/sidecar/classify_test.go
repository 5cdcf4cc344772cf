package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/exchange"
)

// Only an endpoint's own statement proves that a request was not executed, for all combinations of
// status and header.
func TestClassifyResponse(t *testing.T) {
	for _, status := range []int{200, 204, 400, 421, 500, 503, 504} {
		for _, name := range []string{"", "X-Not"} {
			for _, notRun := range []string{"", "1", "0"} {
				resp := &exchange.Response{Status: status, Header: http.Header{"X-Not": {notRun}}}
				got := classifyResponse(settings.Headers{NotExecuted: name}, resp)
				shed := status == 421 || name != "" && notRun != ""
				must.Eq(t, map[bool]peerResult{false: resultResponse, true: resultShed}[shed], got.result, must.Sprint(status, name, notRun))
				must.Eq(t, !shed, got.response != nil && got.failure == nil)
				must.Eq(t, shed, attemptResults[got.result].Outcome == attempt.NotExecuted)
			}
		}
	}
}

// Only certain results prove that a request was not executed; an unrecognized result proves
// nothing. Admission hints survive encoding, and malformed hints stay within their bounds.
func TestPeerResults(t *testing.T) {
	for result, want := range map[peerResult]attempt.Outcome{
		resultResponse:   attempt.Executed,
		resultRejected:   attempt.NotExecuted,
		resultNoCapacity: attempt.NotExecuted,
		resultShed:       attempt.NotExecuted,
		resultUnknown:    attempt.Unknown,
		"":               attempt.Unknown,
		"news":           attempt.Unknown,
	} {
		must.Eq(t, want, attemptResultFor(nil, result).Outcome, must.Sprint(result))
	}
	for _, hints := range []admissionHints{
		{},
		{
			priority:            2,
			expectedServiceTime: 31 * time.Millisecond,
			earlyRejection:      -time.Second,
			latencyTarget:       200 * time.Millisecond,
			peerFailureRate:     0.25,
			lastResort:          true,
			responseBytes:       1 << 10,
		},
		{repeatable: true},
	} {
		must.Eq(t, hints, parseHints(hints.encode()))
	}
	// Earlier releases do not say whether an execution may be canceled: by default, an execution may
	// not be canceled.
	must.False(t, parseHints("2,1000,2000,3000,250,1,900").repeatable)
	for _, text := range []string{"", ",,,", "x,y", "-1,-1,-1,-1,-1,-1", "99999999999999999999,1,1,1,1,1"} {
		hints := parseHints(text)
		must.True(t, hints.priority >= 0 && hints.expectedServiceTime >= 0 && hints.peerFailureRate >= 0 && hints.peerFailureRate <= 1,
			must.Sprint(text))
	}
}
