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

// The result of a HEAD comes without a body: the header alone tells. With any other method a result
// without a body that can be read proves nothing.
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

// A one-shot HEAD that a peer rejects goes on to another endpoint, or is answered as not run.
func TestHeadIsRejectedByAPeer(t *testing.T) {
	peer := newTestSidecar("b", "127.0.0.1:2") // it knows no endpoint
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
