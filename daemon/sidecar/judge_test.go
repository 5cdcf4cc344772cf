package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/wire/exchange"
)

// What an endpoint says in a return to this request: its own word that it did not run it,
// and nothing else, makes it not run; in all mixes.
func TestJudgeOfReturns(t *testing.T) {
	for _, status := range []int{200, 204, 400, 421, 500, 503, 504} {
		for _, name := range []string{"", "X-Not"} {
			for _, not := range []string{"", "1", "0"} {
				ret := &exchange.Return{Status: status, Header: http.Header{"X-Not": {not}}}
				got, word, d := judge(boot.Headers{NotRun: name}, ret)
				shed := status == 421 || name != "" && not != ""
				must.Eq(t, map[bool]string{false: gateReturn, true: gateShed}[shed], word, must.Sprint(status, name, not))
				must.Eq(t, !shed, got != nil && d == nil)
				must.Eq(t, shed, verdicts[word].Verdict == path.NotRun)
			}
		}
	}
}

// The words of a gate: only those that say so prove that a request did not run; what can't
// be read proves nothing.
func TestWordsOfGates(t *testing.T) {
	for word, want := range map[string]path.Verdict{gateReturn: path.Ran, gateTurned: path.NotRun, gateNoRoom: path.NotRun, gateShed: path.NotRun, gateUnsure: path.Unsure, "": path.Unsure, "news": path.Unsure} {
		must.Eq(t, want, verdict(nil, word).Verdict, must.Sprint(word))
	}
	for _, w := range []want{{}, {rank: 2, work: 31 * time.Millisecond, early: -time.Second, aim: 200 * time.Millisecond, peers: 0.25, must: true}} {
		must.Eq(t, w, wantOf(w.text()))
	}
	for _, text := range []string{"", ",,,", "x,y", "-1,-1,-1,-1,-1,-1", "99999999999999999999,1,1,1,1,1"} {
		w := wantOf(text)
		must.True(t, w.rank >= 0 && w.work >= 0 && w.peers >= 0 && w.peers <= 1, must.Sprint(text))
	}
}
