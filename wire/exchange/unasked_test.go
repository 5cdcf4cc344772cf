package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/wire/exchange"
	"github.com/shoenig/test/must"
)

// played serves every connection with a script of its own; id is the request's
// X-Request-Id, empty before one was read.
func played(t *testing.T, play func(c net.Conn, next func() (id string, ok bool))) ident.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				play(c, func() (string, bool) {
					req, err := http.ReadRequest(r)
					if err != nil {
						return "", false
					}
					_, _ = io.Copy(io.Discard, req.Body)
					return req.Header.Get("X-Request-Id"), true
				})
			}()
		}
	}()
	return ident.Addr(l.Addr().String())
}

func body(id string) string { return `{"id":"` + id + `"}` }

func told(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body(id)), body(id))
}

// each serves every request of a connection with what say makes of its id.
func each(say func(id string) string) func(net.Conn, func() (string, bool)) {
	return func(c net.Conn, next func() (string, bool)) {
		for id, ok := next(); ok; id, ok = next() {
			_, _ = c.Write([]byte(say(id)))
		}
	}
}

// Whatever an endpoint says unasked, doubled, too early or with a wrong end, a caller
// gets the return to its own request or none, and so does whoever comes next.
func TestOnlyTheOwnReturnReachesACaller(t *testing.T) {
	for name, c := range map[string]struct {
		play  func(net.Conn, func() (string, bool))
		some  bool // good returns must come through as well
		large int
	}{
		"well":                           {each(told), true, 0},
		"a second return with the first": {each(func(id string) string { return told(id) + told("other") }), false, 0},
		"a second return a little later": {func(c net.Conn, next func() (string, bool)) {
			for id, ok := next(); ok; id, ok = next() {
				_, _ = c.Write([]byte(told(id)))
				_, _ = c.Write([]byte(told("other")))
			}
		}, false, 0},
		"a return before any request": {func(c net.Conn, next func() (string, bool)) {
			_, _ = c.Write([]byte(told("other")))
			each(told)(c, next)
		}, false, 0},
		"a return before the request is whole": {func(c net.Conn, _ func() (string, bool)) {
			one := make([]byte, 1)
			_, _ = c.Read(one)
			_, _ = c.Write([]byte(told("other")))
			_, _ = io.Copy(io.Discard, c)
		}, false, 4 << 20},
		"a length below the body's": {each(func(id string) string {
			return strings.Replace(told(id), "application/json", "text/plain", 1) + "more"
		}), false, 0},
		"a length above the body's": {func(c net.Conn, next func() (string, bool)) {
			_, _ = next()
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 90\r\n\r\nhalf"))
		}, false, 0},
		"two lengths": {each(func(id string) string {
			return strings.Replace(told(id), "Content-Length", "Content-Length: 3\r\nContent-Length", 1)
		}), false, 0},
		"a length and chunks": {each(func(id string) string {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		}), false, 0},
		"a flood of 1xx": {each(func(id string) string { return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 500) + told(id) }), false, 0},
		"a few 1xx":      {each(func(id string) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 3) + told(id) }), true, 0},
		"a reset between header and body": {func(c net.Conn, next func() (string, bool)) {
			_, _ = next()
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n"))
			_ = c.(*net.TCPConn).SetLinger(0)
		}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			addr := played(t, c.play)
			p := exchange.New("")
			good := 0
			for n := range 30 {
				id := fmt.Sprintf("r%d", n)
				q := call([]string{"GET", "POST"}[n%2])
				q.Fresh = true
				q.Header = http.Header{"X-Request-Id": {id}}
				if c.large > 0 {
					q.Body = bytes.Repeat([]byte("x"), c.large)
				}
				ret, sent, d := do(t, p, addr, q)
				if d == nil {
					good++
					must.Eq(t, body(id), string(ret.Body))
					continue
				}
				must.Nil(t, ret)
				must.Eq(t, sent, d.Fate == defect.FateUnknown)
			}
			must.Eq(t, c.some, good == 30, must.Sprintf("%d of 30 came through", good))
			must.True(t, c.some || good == 0, must.Sprintf("%d of 30 came through", good))
		})
	}
}

// On kept connections, as they were before, the second return does reach the next
// caller: what the test above looks for can happen.
func TestKeptConnectionsWouldMixReturns(t *testing.T) {
	step := make(chan struct{})
	addr := played(t, func(c net.Conn, next func() (string, bool)) {
		for id, ok := next(); ok; id, ok = next() {
			_, _ = c.Write([]byte(told(id)))
			id, ok = next() // the next request is here: the unasked return comes first
			if !ok {
				return
			}
			_, _ = c.Write([]byte(told("other") + told(id)))
			close(step)
		}
	})
	p := exchange.New("")
	for n, want := range []string{"r0", "other"} {
		q := call("GET")
		q.Header = http.Header{"X-Request-Id": {fmt.Sprintf("r%d", n)}}
		ret, _, d := do(t, p, addr, q)
		must.Nil(t, d)
		must.Eq(t, body(want), string(ret.Body))
	}
	<-step
}

// A return that comes after the limit reaches nobody: neither who gave up nor who comes
// next. The request may still be run by an endpoint that was hung, so its fate is unknown.
func TestLateReturnReachesNobody(t *testing.T) {
	wake := make(chan struct{})
	addr := played(t, func(c net.Conn, next func() (string, bool)) {
		<-wake
		each(told)(c, next)
	})
	p := exchange.New("")
	q := call("POST")
	q.Fresh, q.Header = true, http.Header{"X-Request-Id": {"late"}}
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	ret, sent, d := p.Do(ctx, addr, q)
	must.Nil(t, ret)
	must.True(t, sent)
	must.Eq(t, defect.Late, d.Kind)
	must.Eq(t, defect.FateUnknown, d.Fate)
	close(wake)
	for _, id := range []string{"a", "b", "c"} {
		q.Header = http.Header{"X-Request-Id": {id}}
		ret, _, d := do(t, p, addr, q)
		must.Nil(t, d)
		must.Eq(t, body(id), string(ret.Body))
	}
}
