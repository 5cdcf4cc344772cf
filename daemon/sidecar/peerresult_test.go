package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/wire/exchange"
	"cottonarch.example/cottonarch/wire/response"
)

// The response to a HEAD request has no body, so the result in its header is sufficient. With any
// other method, a result without a readable body proves nothing.
func TestPeerResultWithoutABody(t *testing.T) {
	for method, wantByResult := range map[string]map[peerResult]attempt.Outcome{
		http.MethodHead: {
			resultRejected:   attempt.NotExecuted,
			resultNoCapacity: attempt.NotExecuted,
			resultShed:       attempt.NotExecuted,
			resultUnknown:    attempt.Unknown,
			"":               attempt.Unknown,
			"news":           attempt.Unknown,
		},
		http.MethodPost: {
			resultRejected:   attempt.Unknown,
			resultNoCapacity: attempt.Unknown,
			resultShed:       attempt.Unknown,
			resultUnknown:    attempt.Unknown,
		},
	} {
		for result, want := range wantByResult {
			call := exchange.Call{Method: method}
			resp, attemptEnd := parsePeerResponse(call, &exchange.Response{Status: 503, Header: http.Header{PeerResultHeader: {string(result)}}})
			must.Nil(t, resp)
			must.Eq(t, want, attemptEnd.Outcome, must.Sprint(method, result))
			must.Eq(t, want == attempt.NotExecuted, attemptEnd.Failure.Outcome == failure.NotExecuted)
		}
	}
}

// A non-repeatable HEAD request that a peer rejects is sent to another endpoint or answered as not
// executed.
func TestHeadIsRejectedByAPeer(t *testing.T) {
	peer := newTestSidecar("b", "127.0.0.1:2") // has no endpoint
	s := newTestSidecar("a", "127.0.0.1:1")
	s.addWorkloads("b", startPeerServer(t, func() *Sidecar { return peer }), "b0")
	r := httptest.NewRequest(http.MethodHead, "/once/x", strings.NewReader(""))
	r.Host = "h"
	r.Header.Set(testIDHeader, "r")
	w := httptest.NewRecorder()
	s.ServeCaller(w, r)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, string(failure.NotExecuted), w.Header().Get(response.OutcomeHeader))
}
