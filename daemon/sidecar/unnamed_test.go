package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/wire/exchange"
)

// A request that brings no id has nothing that tells its answer from another's: it gets a
// connection to the endpoint of its own, so an older answer that comes late reaches nobody.
func TestRequestWithoutAnIdHasAConnectionOfItsOwn(t *testing.T) {
	for name, echo := range map[string]string{"echoed": testId + ": \r\n", "not echoed": ""} {
		t.Run(name, func(t *testing.T) {
			answer := func(n int) string {
				body := fmt.Sprintf(`{"n":%d}`, n)
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: s\r\nContent-Length: %d\r\n\r\n%s", echo, testSeal, len(body), body)
			}
			asked := make(chan string, 8)
			var all atomic.Int64
			at := listens(t, func(c *net.TCPConn) {
				past := ""
				eachRequest(c, func(_ *bufio.Reader, _ *http.Request, body []byte) bool {
					asked <- string(body)
					own := answer(int(all.Add(1)))
					_, _ = io.WriteString(c, past+own)
					past = own
					return true
				})
			})
			s := node("a", "127.0.0.1:1", at)
			s.knows("a", "127.0.0.1:1", "a0")
			for n := range 3 {
				w := s.asks("/once/x", "", patientLimit)
				must.Eq(t, http.StatusOK, w.Code, must.Sprint(w.Body))
				must.Eq(t, fmt.Sprintf(`{"n":%d}`, n+1), w.Body.String())
				must.Eq(t, `{"to":""}`, <-asked)
			}
		})
	}
}

// Every call of an endpoint either has a connection of its own, or asks for its id and for a
// connection that was in use just now: never for any kept one.
func TestHowAnEndpointIsCalled(t *testing.T) {
	for _, name := range []string{"", testId} {
		for _, id := range []string{"", "r"} {
			heads := boot.Headers{Id: name, Seal: testSeal, Limit: "X-Limit-Left-Ms"}
			call := toEndpoint(heads, exchange.Call{Header: http.Header{testId: {id}}}, "e", time.Now().Add(time.Minute))
			named := name != "" && id != ""
			must.Eq(t, !named, call.Fresh)
			must.Eq(t, named, call.IdHeader == testId && call.Id == "r")
			must.Eq(t, named, call.Sure == sure)
			must.Eq(t, name != "", call.Seal == testSeal && call.Plain)
			must.Eq(t, exchange.Field{Name: TargetHeader, Value: "e"}, call.Set[0])
		}
	}
}
