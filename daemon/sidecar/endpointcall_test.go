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

	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/exchange"
)

// Without an id, the response to one request can't be told apart from the response to another. Such
// a request therefore uses its own connection to the endpoint, so that a late response to an
// earlier request reaches nobody.
func TestRequestWithoutIDUsesItsOwnConnection(t *testing.T) {
	for name, echo := range map[string]string{"echoed": testIDHeader + ": \r\n", "not echoed": ""} {
		t.Run(name, func(t *testing.T) {
			response := func(n int) string {
				body := fmt.Sprintf(`{"n":%d}`, n)
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: s\r\nContent-Length: %d\r\n\r\n%s", echo, testSuccessMarkHeader, len(body), body)
			}
			received := make(chan string, 8)
			var sent atomic.Int64
			endpointAddr := listen(t, func(c *net.TCPConn) {
				previous := ""
				serveRequests(c, func(_ *bufio.Reader, _ *http.Request, body []byte) bool {
					received <- string(body)
					own := response(int(sent.Add(1)))
					_, _ = io.WriteString(c, previous+own)
					previous = own
					return true
				})
			})
			s := newTestSidecar("a", "127.0.0.1:1", endpointAddr)
			s.addWorkloads("a", "127.0.0.1:1", "a0")
			for n := range 3 {
				w := s.sendAsCaller("/once/x", "", patientLimit)
				must.Eq(t, http.StatusOK, w.Code, must.Sprint(w.Body))
				must.Eq(t, fmt.Sprintf(`{"n":%d}`, n+1), w.Body.String())
				must.Eq(t, `{"to":""}`, <-received)
			}
		})
	}
}

// Every call to an endpoint either uses a connection of its own, or has an id and accepts only a
// connection that was used within maxIdleAge, never just any open connection.
func TestEndpointCallsAreIdentifiedOrSingleUse(t *testing.T) {
	for _, name := range []string{"", testIDHeader} {
		for _, id := range []string{"", "r"} {
			headers := settings.Headers{RequestID: name, SuccessMark: testSuccessMarkHeader, Deadline: "X-Limit-Left-Ms"}
			call := endpointCall(headers, exchange.Call{Header: http.Header{testIDHeader: {id}}}, "e", time.Now().Add(time.Minute))
			hasID := name != "" && id != ""
			must.Eq(t, !hasID, call.SingleUse)
			must.Eq(t, hasID, call.IDHeader == testIDHeader && call.ID == "r")
			must.Eq(t, hasID, call.MaxIdleAge == maxIdleAge)
			must.Eq(t, name != "", call.RequiredHeader == testSuccessMarkHeader && call.RejectEncoded)
			must.Eq(t, exchange.HeaderField{Name: TargetHeader, Value: "e"}, call.HeaderOverrides[0])
		}
	}
}
