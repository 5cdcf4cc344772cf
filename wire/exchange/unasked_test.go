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

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/exchange"
	"github.com/shoenig/test/must"
)

// played serves every connection with a script of its own; next reads one request and
// gives its X-Request-Id, r what is left of the connection.
func played(t *testing.T, play func(c net.Conn, r *bufio.Reader, next func() (id string, ok bool))) ident.Addr {
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
				play(c, r, func() (string, bool) {
					req, err := http.ReadRequest(r)
					if err != nil {
						return "", false
					}
					_, _ = io.Copy(io.Discard, req.Body)
					return req.Header.Get(idName), true
				})
			}()
		}
	}()
	return ident.Addr(l.Addr().String())
}

const idName = "X-Request-Id"

// patient is for tests on a machine under load: nothing ends by time.
var patient = exchange.Settings{Dial: time.Minute}

// asked is a call that wants its own id echoed.
func asked(method, id string) exchange.Call {
	q := call(method)
	q.Header, q.IdHeader, q.Id = nil, idName, id
	return q
}

func body(id string) string { return `{"id":"` + id + `"}` }

func told(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", idName, id, len(body(id)), body(id))
}

// each serves every request of a connection with what say makes of its id.
func each(say func(id string) string) func(net.Conn, *bufio.Reader, func() (string, bool)) {
	return func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		for id, ok := next(); ok; id, ok = next() {
			_, _ = c.Write([]byte(say(id)))
		}
	}
}

// Whatever an endpoint says unasked, doubled, too early or with a wrong end, a caller
// gets the return to its own request or none, and so does whoever comes next. Each case
// is played over connections of their own and over kept ones.
func TestOnlyTheOwnReturnReachesACaller(t *testing.T) {
	const all, none, some = "all", "none", "some"
	bare := func(id string) string { return strings.Replace(told(id), idName, "X-Other", 1) }
	early := func(first string, then func(id string) string) func(net.Conn, *bufio.Reader, func() (string, bool)) {
		return func(c net.Conn, r *bufio.Reader, next func() (string, bool)) {
			for {
				if _, err := r.Peek(1); err != nil {
					return
				}
				_, _ = c.Write([]byte(first))
				id, ok := next()
				if !ok {
					return
				}
				say := then(id)
				if _, _ = c.Write([]byte(say)); say == "" {
					return
				}
			}
		}
	}
	nothing := func(string) string { return "" }
	for name, c := range map[string]struct {
		play  func(net.Conn, *bufio.Reader, func() (string, bool))
		good  string
		large int
	}{
		"well":                           {each(told), all, 0},
		"a second return with the first": {each(func(id string) string { return told(id) + told("other") }), all, 0},
		"a doubled return":               {each(func(id string) string { return told(id) + told(id) }), all, 0},
		"another's return with the own":  {each(func(id string) string { return told("other") + told(id) }), all, 0},
		"another's return alone": {func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			if _, ok := next(); ok {
				_, _ = c.Write([]byte(told("other")))
			}
		}, none, 0},
		"no id":                           {each(bare), none, 0},
		"no id, then the own":             {each(func(id string) string { return bare(id) + told(id) }), none, 0},
		"an empty id, then the own":       {each(func(id string) string { return told("") + told(id) }), none, 0},
		"two ids":                         {each(func(id string) string { return strings.Replace(told(id), idName, idName+": other\r\n"+idName, 1) }), none, 0},
		"two ids, the own first":          {each(func(id string) string { return strings.Replace(told("other"), idName, idName+": "+id+"\r\n"+idName, 1) }), none, 0},
		"a few of others, then the own":   {each(func(id string) string { return strings.Repeat(told("other"), 4) + told(id) }), all, 0},
		"a flood of others, then the own": {each(func(id string) string { return strings.Repeat(told("other"), 5) + told(id) }), none, 0},
		"another's without an end, the own": {each(func(id string) string {
			return strings.Replace(told("other"), "Content-Length", "X-Length", 1) + told(id)
		}), none, 0},
		"a second return a little later": {func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			for id, ok := next(); ok; id, ok = next() {
				_, _ = c.Write([]byte(told(id)))
				_, _ = c.Write([]byte(told("other")))
			}
		}, some, 0},
		"a return before any request": {func(c net.Conn, r *bufio.Reader, next func() (string, bool)) {
			_, _ = c.Write([]byte(told("other")))
			each(told)(c, r, next)
		}, some, 0},
		"a return before the request is whole":               {early(told("other"), nothing), none, 1 << 20},
		"a return before the request is whole, then the own": {early(told("other"), told), all, 1 << 20},
		"no id before the request is whole, then the own":    {early(bare("other"), told), none, 1 << 20},
		"a length below the body's": {each(func(id string) string {
			return strings.Replace(told(id), "application/json", "text/plain", 1) + "more"
		}), all, 0},
		"a length above the body's": {func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			id, _ := next()
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + idName + ": " + id + "\r\nContent-Type: text/plain\r\nContent-Length: 90\r\n\r\nhalf"))
		}, none, 0},
		"two lengths": {each(func(id string) string {
			return strings.Replace(told(id), "Content-Length", "Content-Length: 3\r\nContent-Length", 1)
		}), none, 0},
		"a length and chunks": {each(func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + idName + ": " + id + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		}), none, 0},
		"a flood of 1xx": {each(func(id string) string { return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 500) + told(id) }), none, 0},
		"a few 1xx":      {each(func(id string) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 3) + told(id) }), all, 0},
		"a reset between header and body": {func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			id, _ := next()
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + idName + ": " + id + "\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n"))
			_ = c.(*net.TCPConn).SetLinger(0)
		}, none, 0},
	} {
		for _, fresh := range []bool{true, false} {
			t.Run(fmt.Sprint(name, "/fresh ", fresh), func(t *testing.T) {
				good := 0
				p := exchange.New("", patient)
				addr := played(t, c.play)
				for n := range 30 {
					id := fmt.Sprintf("r%d", n)
					q := asked([]string{"GET", "POST"}[n%2], id)
					q.Fresh = fresh
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
					must.Eq(t, sent, d.Outcome == failure.OutcomeUnknown)
				}
				must.True(t, c.good == some || c.good == all && good == 30 || c.good == none && good == 0, must.Sprintf("%d of 30 came through", good))
			})
		}
	}
}

// Without an id only the connection tells whose a return is: what follows it in one
// piece, or stands there before the last byte of a long request left, makes it none.
func TestWithoutAnIdOnlyALonelyReturnPasses(t *testing.T) {
	for name, c := range map[string]struct {
		play  func(net.Conn, *bufio.Reader, func() (string, bool))
		large int
	}{
		"a second return with the first": {each(func(id string) string { return told(id) + told("other") }), 0},
		"a length below the body's": {each(func(id string) string {
			return strings.Replace(told(id), "application/json", "text/plain", 1) + "more"
		}), 0},
		// The buffers between hold less than the request: its last byte can't leave before
		// the other end, which has spoken by then, reads on.
		"a return before the request is whole": {func(c net.Conn, _ *bufio.Reader, _ func() (string, bool)) {
			_ = c.(*net.TCPConn).SetReadBuffer(256 << 10)
			_, _ = c.Read(make([]byte, 1))
			_, _ = c.Write([]byte(told("other")))
			_, _ = io.Copy(io.Discard, c)
		}, 16 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			addr := played(t, c.play)
			p := exchange.New("", patient)
			for n := range 3 {
				q := call("POST")
				q.Fresh, q.Header = true, http.Header{idName: {fmt.Sprintf("r%d", n)}}
				if c.large > 0 {
					q.Body = bytes.Repeat([]byte("x"), c.large)
				}
				ret, sent, d := do(t, p, addr, q)
				must.Nil(t, ret)
				must.True(t, sent)
				must.Eq(t, failure.BadResponse, d.Kind)
			}
		})
	}
}

// On kept connections without ids the second return does reach the next caller: what the
// test above looks for can happen.
func TestKeptConnectionsWouldMixReturns(t *testing.T) {
	step := make(chan struct{})
	addr := played(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
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
	addr := played(t, func(c net.Conn, r *bufio.Reader, next func() (string, bool)) {
		<-wake
		each(told)(c, r, next)
	})
	p := exchange.New("")
	q := call("POST")
	q.Fresh, q.Header = true, http.Header{"X-Request-Id": {"late"}}
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	ret, sent, d := p.Do(ctx, addr, q)
	must.Nil(t, ret)
	must.True(t, sent)
	must.Eq(t, failure.DeadlineExceeded, d.Kind)
	must.Eq(t, failure.OutcomeUnknown, d.Outcome)
	close(wake)
	for _, id := range []string{"a", "b", "c"} {
		q.Header = http.Header{"X-Request-Id": {id}}
		ret, _, d := do(t, p, addr, q)
		must.Nil(t, d)
		must.Eq(t, body(id), string(ret.Body))
	}
}
