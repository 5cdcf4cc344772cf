package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/wire/exchange"
	"cottonarch.example/cottonarch/wire/reply"
)

// A gate's word on a HEAD comes without its body: the header alone tells what it says. On
// any other method a word without a body that can be read proves nothing.
func TestWordWithoutABody(t *testing.T) {
	for method, words := range map[string]map[string]path.Verdict{
		http.MethodHead: {gateTurned: path.NotRun, gateNoRoom: path.NotRun, gateShed: path.NotRun, gateUnsure: path.Unsure, "": path.Unsure, "news": path.Unsure},
		http.MethodPost: {gateTurned: path.Unsure, gateNoRoom: path.Unsure, gateShed: path.Unsure, gateUnsure: path.Unsure},
	} {
		for word, want := range words {
			j := &job{req: exchange.Call{Method: method}}
			ret, end := read(j, &exchange.Return{Status: 503, Header: http.Header{GateHeader: {word}}})
			must.Nil(t, ret)
			must.Eq(t, want, end.Verdict, must.Sprint(method, word))
			must.Eq(t, want == path.NotRun, end.Failure.Outcome == failure.NotExecuted)
		}
	}
}

// A one-shot HEAD that a peer's gate turns away goes on to another endpoint, or is told as
// not run.
func TestHeadIsTurnedAwayByAPeer(t *testing.T) {
	peer := node("b", "127.0.0.1:2") // it knows no endpoint
	s := node("a", "127.0.0.1:1")
	s.knows("b", gated(t, func() *Sidecar { return peer }), "b0")
	r := httptest.NewRequest(http.MethodHead, "/once/x", strings.NewReader(""))
	r.Host = "h"
	r.Header.Set(testId, "r")
	w := httptest.NewRecorder()
	s.Intake(w, r)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, string(failure.NotExecuted), w.Header().Get(reply.FateHeader))
}
