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

// serveRaw answers each request of a connection with the given bytes, and closes it after limit
// of them; it counts the requests that it read.
func serveRaw(t *testing.T, response string, limit int) (ident.Addr, *atomic.Int64) {
	var seen atomic.Int64
	addr := serveEach(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		for range limit {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			seen.Add(1)
			_, _ = c.Write([]byte(response))
		}
	})
	return addr, &seen
}

func newCall(method string) exchange.Call {
	return exchange.Call{Method: method, Target: "/x//y?z=1", Host: "h.x", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(`{}`)}
}

func doCall(_ *testing.T, pool *exchange.Pool, addr ident.Addr, c exchange.Call) (*exchange.Response, bool, *failure.Error) {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	return pool.Do(ctx, addr, c)
}

// A response that is cut off, garbled, or has no marked end is rejected; a complete one passes.
func TestOnlyCompleteResponsesPass(t *testing.T) {
	const j = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]struct {
		say  string
		kind failure.Kind
	}{
		"complete":           {j + "Content-Length: 7\r\n\r\n{\"a\":1}", ""},
		"chunked":            {j + "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n", ""},
		"json marks its end": {j + "Connection: close\r\n\r\n{\"a\":1}", ""},
		"no content":         {"HTTP/1.1 204 No Content\r\n\r\n", ""},
		"after a 100":        {"HTTP/1.1 100 Continue\r\n\r\n" + j + "Content-Length: 7\r\n\r\n{\"a\":1}", ""},
		"cut off":            {j + "Content-Length: 70\r\n\r\n{\"a\":1}", failure.BadResponse},
		"cut in a chunk":     {j + "Transfer-Encoding: chunked\r\n\r\n7\r\n{\"a\"", failure.BadResponse},
		"cut json to close":  {j + "Connection: close\r\n\r\n{\"a\":", failure.BadResponse},
		"text to close":      {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf", failure.BadResponse},
		"says json, is none": {j + "Content-Length: 5\r\n\r\n\x00\x01\x02\x03\x04", failure.BadResponse},
		"garbage":            {"\x00\x17 what\r\n\r\n", failure.BadResponse},
		"two lengths":        {j + "Content-Length: 7\r\nContent-Length: 8\r\n\r\n{\"a\":1}", failure.BadResponse},
		"nothing":            {"", failure.LostResponse},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serveRaw(t, c.say, 1)
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

// A request is written once, whatever happens to the connection: net/http's own
// client would send this one again, for its Idempotency-Key.
func TestNothingIsSentTwice(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	addr, seen := serveRaw(t, ok, 100)
	pool := exchange.New("")
	for range 5 {
		_, _, fail := doCall(t, pool, addr, newCall("POST"))
		must.Nil(t, fail)
	}
	must.Eq(t, 5, seen.Load())
	lost, seen2 := serveRaw(t, "", 1)
	_, sent, fail := doCall(t, pool, lost, newCall("POST"))
	must.NotNil(t, fail)
	must.True(t, sent)
	must.Eq(t, 1, seen2.Load())
}

// Not sent is said only when no byte left: nobody listens, or the last question
// before the first byte is answered with a no.
func TestNotSentIsProved(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := ident.Addr(l.Addr().String())
	must.NoError(t, l.Close())
	_, sent, fail := doCall(t, exchange.New(""), addr, newCall("POST"))
	must.False(t, sent)
	must.Eq(t, failure.Unreachable, fail.Kind)
	there, seen := serveRaw(t, "", 1)
	c := newCall("POST")
	c.BeforeSend = func() *failure.Error { return failure.New(failure.EndpointRejected, "left") }
	_, sent, fail = doCall(t, exchange.New(""), there, c)
	must.False(t, sent)
	must.Eq(t, failure.EndpointRejected, fail.Kind)
	must.Eq(t, 0, seen.Load())
}

// An endpoint that closes or speaks before it is asked has taken nothing, and is not lost.
func TestClosedBeforeItIsAskedIsBusy(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"} {
		over := make(chan struct{}, 8)
		addr := serveEach(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
			over <- struct{}{}
		})
		c := newCall("POST")
		c.BeforeSend = func() *failure.Error { <-over; return nil }
		_, sent, fail := doCall(t, exchange.New(""), addr, c)
		must.False(t, sent)
		must.Eq(t, failure.Busy, fail.Kind)
		must.Eq(t, failure.NotExecuted, fail.Outcome)
	}
}

// An idle connection that the peer has closed is not reused.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	addr, seen := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 1) // closes without Connection: close
	pool := exchange.New("")
	for range 4 {
		for {
			_, sent, fail := doCall(t, pool, addr, newCall("GET"))
			if fail == nil {
				break
			}
			// The close was still in flight when it was taken, or when it was written to.
			must.Eq(t, map[bool]failure.Kind{false: failure.Unreachable, true: failure.LostResponse}[sent], fail.Kind)
		}
	}
	must.GreaterEq(t, 4, seen.Load())
}
