package sidecar

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/wire/reply"
)

// A peer that turns a large request away before it read the body, and closes: its word is
// heard all the same, the request is told as not run, and the next one is not disturbed.
func TestPeerTurnsALargeRequestAwayEarly(t *testing.T) {
	st := newStage(t)
	j := newJournal(nil, nil)
	st.journals.Store("1", j)
	open, full := node("b", "127.0.0.1:2", st.endpoints...), node("b", "127.0.0.1:2", st.endpoints...)
	full.Boot.Hand = 0
	s := node("a", "127.0.0.1:1")
	s.knows("b", gated(t, st.peer.Load), "b0", "b1")
	s.limits.Store(&check.Limits{HeadBytes: 4 << 10, BodyBytes: 32 << 20})
	for round := range 2 {
		st.peer.Store(full)
		for _, size := range []int{100, 300 << 10, 16 << 20} {
			r := httptest.NewRequest(http.MethodPost, "/once/x", bytes.NewReader(make([]byte, size)))
			r.Host = "h"
			r.Header.Set(testId, "1-large")
			w := httptest.NewRecorder()
			s.Intake(w, r)
			say := must.Sprintf("round %d, %d bytes: %s", round, size, w.Body)
			must.Eq(t, http.StatusServiceUnavailable, w.Code, say)
			must.Eq(t, string(failure.NotExecuted), w.Header().Get(reply.FateHeader), say)
		}
		st.peer.Store(open)
		must.Eq(t, http.StatusOK, s.asks("/once/y", "1-small", patientLimit).Code)
	}
	must.Eq(t, 0, len(j.arrivals["1-large"]))
	must.Eq(t, 2, len(j.arrivals["1-small"]))
}
