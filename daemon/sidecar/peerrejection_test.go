package sidecar

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/wire/response"
)

// A peer rejects a large request before reading its body, and closes the connection: the sidecar
// still reads the peer's result, the request is answered as not executed, and the next request is
// unaffected.
func TestPeerRejectsALargeRequestEarly(t *testing.T) {
	harness := newFaultHarness(t)
	sc := newScenario(nil, nil)
	harness.scenarios.Store("1", sc)
	accepting, rejecting := newTestSidecar("b", "127.0.0.1:2", harness.endpoints...), newTestSidecar("b", "127.0.0.1:2", harness.endpoints...)
	rejecting.Settings.MaxInFlight = 0
	s := newTestSidecar("a", "127.0.0.1:1")
	s.addWorkloads("b", startPeerServer(t, harness.peer.Load), "b0", "b1")
	s.bodies.limits.Store(&validation.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 32 << 20})
	for round := range 2 {
		harness.peer.Store(rejecting)
		for _, size := range []int{100, 300 << 10, 16 << 20} {
			r := httptest.NewRequest(http.MethodPost, "/once/x", bytes.NewReader(make([]byte, size)))
			r.Host = "h"
			r.Header.Set(testIDHeader, "1-large")
			w := httptest.NewRecorder()
			s.ServeCaller(w, r)
			message := must.Sprintf("round %d, %d bytes: %s", round, size, w.Body)
			must.Eq(t, http.StatusServiceUnavailable, w.Code, message)
			must.Eq(t, string(failure.NotExecuted), w.Header().Get(response.OutcomeHeader), message)
		}
		harness.peer.Store(accepting)
		must.Eq(t, http.StatusOK, s.sendAsCaller("/once/y", "1-small", patientLimit).Code)
	}
	must.Eq(t, 0, len(sc.arrivals["1-large"]))
	must.Eq(t, 2, len(sc.arrivals["1-small"]))
}
