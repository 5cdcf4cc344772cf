package sidecar

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/wire/exchange"
)

// What an endpoint says is judged by id, seal and its own word that it did not run; in
// all mixes. Only a return to this very request is given on, and only the endpoint's own
// word makes it not run.
func TestJudgeOfReturns(t *testing.T) {
	heads := boot.Headers{Id: "X-Id", Seal: "X-Seal", NotRun: "X-Not"}
	for _, status := range []int{200, 204, 400, 421, 500, 503, 504} {
		for n := range 27 {
			id, seal, not := n%3, n/3%3, n/9
			ret := &exchange.Return{Status: status, Header: http.Header{}}
			for name, v := range map[string]int{"X-Id": id, "X-Seal": seal, "X-Not": not} {
				if v > 0 {
					ret.Header.Set(name, []string{"", "1", "other"}[v])
				}
			}
			req := exchange.Call{Header: http.Header{"X-Id": {"1"}}}
			got, word, d := judge(heads, req, ret)
			want := gateReturn
			switch {
			case id != 1:
				want = gateUnsure
			case not > 0 || status == 421:
				want = gateShed
			case status < 300 && seal == 0:
				want = gateUnsure
			}
			must.Eq(t, want, word, must.Sprint(status, id, seal, not))
			must.Eq(t, want == gateReturn, got != nil && d == nil)
		}
	}
}
