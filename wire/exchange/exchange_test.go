package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/exchange"
	"github.com/shoenig/test/must"
)

// serveRaw starts a server that answers each request with the given bytes and closes a connection
// after limit requests. requestsRead counts the requests that the server has read.
func serveRaw(t *testing.T, response string, limit int) (ident.Addr, *atomic.Int64) {
	var requestsRead atomic.Int64
	addr := serveEach(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		for range limit {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			requestsRead.Add(1)
			_, _ = c.Write([]byte(response))
		}
	})
	return addr, &requestsRead
}

func newCall(method string) exchange.Call {
	return exchange.Call{Method: method, Target: "/x//y?z=1", Host: "h.x", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(`{}`)}
}

func doCall(_ *testing.T, pool *exchange.Pool, addr ident.Addr, c exchange.Call) (*exchange.Response, bool, *failure.Error) {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	return pool.Do(ctx, addr, c)
}

// A response that is truncated, that is malformed or whose body has no marked end is rejected, and a
// complete response is accepted.
func TestIncompleteResponsesAreRejected(t *testing.T) {
	const jsonHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]struct {
		response string
		kind     failure.Kind
	}{
		"complete":            {jsonHead + "Content-Length: 7\r\n\r\n{\"a\":1}", ""},
		"chunked":             {jsonHead + "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n", ""},
		"json marks its end":  {jsonHead + "Connection: close\r\n\r\n{\"a\":1}", ""},
		"no content":          {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"after a 100":         {"HTTP/1.1 100 Continue\r\n\r\n" + jsonHead + "Content-Length: 7\r\n\r\n{\"a\":1}", ""},
		"truncated":           {jsonHead + "Content-Length: 70\r\n\r\n{\"a\":1}", failure.BadResponse},
		"truncated chunk":     {jsonHead + "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"a\"", failure.BadResponse},
		"truncated json":      {jsonHead + "Connection: close\r\n\r\n{\"a\":", failure.BadResponse},
		"text without length": {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf", failure.BadResponse},
		"invalid json":        {jsonHead + "Content-Length: 5\r\n\r\n\x00\x01\x02\x03\x04", failure.BadResponse},
		"garbage":             {"\x00\x17 what\r\n\r\n", failure.BadResponse},
		"two lengths":         {jsonHead + "Content-Length: 7\r\nContent-Length: 8\r\n\r\n{\"a\":1}", failure.BadResponse},
		"nothing":             {"", failure.LostResponse},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serveRaw(t, c.response, 1)
			response, sent, fail := doCall(t, exchange.New(""), addr, newCall("GET"))
			must.True(t, sent)
			if c.kind == "" {
				must.Nil(t, fail)
				must.NotNil(t, response)
				return
			}
			must.Nil(t, response)
			must.Eq(t, c.kind, fail.Kind)
			must.Eq(t, failure.OutcomeUnknown, fail.Outcome)
		})
	}
}

// A request is written only once, even if the connection ends without a response. The client of
// net/http would resend this request, because the request has an Idempotency-Key.
func TestRequestIsSentOnce(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	addr, requestsRead := serveRaw(t, ok, 100)
	pool := exchange.New("")
	for range 5 {
		_, _, fail := doCall(t, pool, addr, newCall("POST"))
		must.Nil(t, fail)
	}
	must.Eq(t, 5, requestsRead.Load())
	silentAddr, silentRequestsRead := serveRaw(t, "", 1)
	_, sent, fail := doCall(t, pool, silentAddr, newCall("POST"))
	must.NotNil(t, fail)
	must.True(t, sent)
	must.Eq(t, 1, silentRequestsRead.Load())
}

// A call is reported as not sent if the connection is refused or if BeforeSend fails.
func TestNotSentFailures(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := ident.Addr(l.Addr().String())
	must.NoError(t, l.Close())
	_, sent, fail := doCall(t, exchange.New(""), addr, newCall("POST"))
	must.False(t, sent)
	must.Eq(t, failure.Unreachable, fail.Kind)
	liveAddr, requestsRead := serveRaw(t, "", 1)
	c := newCall("POST")
	c.BeforeSend = func() *failure.Error { return failure.New(failure.EndpointRejected, "left") }
	_, sent, fail = doCall(t, exchange.New(""), liveAddr, c)
	must.False(t, sent)
	must.Eq(t, failure.EndpointRejected, fail.Kind)
	must.Eq(t, 0, requestsRead.Load())
}

// If an endpoint closes the connection or sends data before the request, the call fails as Busy and
// is known not to have been executed.
func TestConnectionClosedBeforeRequestIsBusy(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"} {
		closed := make(chan struct{}, 8)
		addr := serveEach(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
			closed <- struct{}{}
		})
		c := newCall("POST")
		c.BeforeSend = func() *failure.Error { <-closed; return nil }
		_, sent, fail := doCall(t, exchange.New(""), addr, c)
		must.False(t, sent)
		must.Eq(t, failure.Busy, fail.Kind)
		must.Eq(t, failure.NotExecuted, fail.Outcome)
	}
}

// An idle connection that the peer has closed is not reused.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	addr, requestsRead := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 1) // closes without Connection: close
	pool := exchange.New("")
	for range 4 {
		for {
			_, sent, fail := doCall(t, pool, addr, newCall("GET"))
			if fail == nil {
				break
			}
			// The close was still in flight when the connection was taken, or when the request
			// was written.
			must.Eq(t, map[bool]failure.Kind{false: failure.Unreachable, true: failure.LostResponse}[sent], fail.Kind)
		}
	}
	must.GreaterEq(t, 4, requestsRead.Load())
}
