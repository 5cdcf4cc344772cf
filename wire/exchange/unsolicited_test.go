package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
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

// serveConns starts a server that calls serve for each connection. next reads one request and returns
// its X-Request-Id; r reads the remaining bytes of the connection.
func serveConns(t *testing.T, serve func(c net.Conn, r *bufio.Reader, next func() (id string, ok bool))) ident.Addr {
	return serveEach(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		serve(c, r, func() (string, bool) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return "", false
			}
			_, _ = io.Copy(io.Discard, req.Body)
			return req.Header.Get(requestIDHeader), true
		})
	})
}

const requestIDHeader = "X-Request-Id"

// longDialTimeout prevents dial timeouts in tests on a machine under load.
var longDialTimeout = exchange.Settings{DialTimeout: time.Minute}

// identifiedCall returns a call with an id that the response must echo.
func identifiedCall(method, id string) exchange.Call {
	call := newCall(method)
	call.Header, call.IDHeader, call.ID = nil, requestIDHeader, id
	return call
}

func jsonBody(id string) string { return `{"id":"` + id + `"}` }

func responseTo(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", requestIDHeader, id, len(jsonBody(id)), jsonBody(id))
}

// respondEach answers every request of a connection with the text for the id of the request.
func respondEach(text func(id string) string) func(net.Conn, *bufio.Reader, func() (string, bool)) {
	return func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		for id, ok := next(); ok; id, ok = next() {
			_, _ = c.Write([]byte(text(id)))
		}
	}
}

// respondEarly writes first as soon as the first byte of a request arrives, and writes then(id) after
// the whole request. The connection is closed if then returns an empty text.
func respondEarly(first string, then func(id string) string) func(net.Conn, *bufio.Reader, func() (string, bool)) {
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
			text := then(id)
			if _, _ = c.Write([]byte(text)); text == "" {
				return
			}
		}
	}
}

// The values of unsolicitedCase.succeeding.
const (
	allSucceed  = "all"
	noneSucceed = "none"
	someSucceed = "some" // the number depends on timing
)

// unsolicitedCase describes how an endpoint answers, how many of the calls succeed, and the size of
// the request bodies in bytes. 0 keeps the default body.
type unsolicitedCase struct {
	serve      func(net.Conn, *bufio.Reader, func() (string, bool))
	succeeding string
	bodyBytes  int
}

// unsolicitedCases returns the cases of TestCallerGetsOnlyItsOwnResponse by name.
func unsolicitedCases() map[string]unsolicitedCase {
	const all, none, some = allSucceed, noneSucceed, someSucceed
	responseWithoutID := func(id string) string { return strings.Replace(responseTo(id), requestIDHeader, "X-Other", 1) }
	nothing := func(string) string { return "" }
	return map[string]unsolicitedCase{
		"valid":                             {respondEach(responseTo), all, 0},
		"a second response with the first":  {respondEach(func(id string) string { return responseTo(id) + responseTo("other") }), all, 0},
		"a doubled response":                {respondEach(func(id string) string { return responseTo(id) + responseTo(id) }), all, 0},
		"another's response before its own": {respondEach(func(id string) string { return responseTo("other") + responseTo(id) }), all, 0},
		"another's response alone": {func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			if _, ok := next(); ok {
				_, _ = c.Write([]byte(responseTo("other")))
			}
		}, none, 0},
		"no id":                     {respondEach(responseWithoutID), none, 0},
		"no id, then its own":       {respondEach(func(id string) string { return responseWithoutID(id) + responseTo(id) }), none, 0},
		"an empty id, then its own": {respondEach(func(id string) string { return responseTo("") + responseTo(id) }), none, 0},
		"two ids": {respondEach(func(id string) string {
			return strings.Replace(responseTo(id), requestIDHeader, requestIDHeader+": other\r\n"+requestIDHeader, 1)
		}), none, 0},
		"two ids, its own first": {respondEach(func(id string) string {
			return strings.Replace(responseTo("other"), requestIDHeader, requestIDHeader+": "+id+"\r\n"+requestIDHeader, 1)
		}), none, 0},
		"a few of others, then its own":   {respondEach(func(id string) string { return strings.Repeat(responseTo("other"), 4) + responseTo(id) }), all, 0},
		"a flood of others, then its own": {respondEach(func(id string) string { return strings.Repeat(responseTo("other"), 5) + responseTo(id) }), none, 0},
		"another's without an end, then its own": {respondEach(func(id string) string {
			return strings.Replace(responseTo("other"), "Content-Length", "X-Length", 1) + responseTo(id)
		}), none, 0},
		"a second response a little later": {func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			for id, ok := next(); ok; id, ok = next() {
				_, _ = c.Write([]byte(responseTo(id)))
				_, _ = c.Write([]byte(responseTo("other")))
			}
		}, some, 0},
		"a response before any request": {func(c net.Conn, r *bufio.Reader, next func() (string, bool)) {
			_, _ = c.Write([]byte(responseTo("other")))
			respondEach(responseTo)(c, r, next)
		}, some, 0},
		"a response before the request is complete":               {respondEarly(responseTo("other"), nothing), none, 1 << 20},
		"a response before the request is complete, then its own": {respondEarly(responseTo("other"), responseTo), all, 1 << 20},
		"no id before the request is complete, then its own":      {respondEarly(responseWithoutID("other"), responseTo), none, 1 << 20},
	}
}

// malformedCases returns further cases of TestCallerGetsOnlyItsOwnResponse by name, in which the head
// or the framing of a response is malformed or unusual.
func malformedCases() map[string]unsolicitedCase {
	const all, none = allSucceed, noneSucceed
	return map[string]unsolicitedCase{
		"a length below the body's": {respondEach(func(id string) string {
			return strings.Replace(responseTo(id), "application/json", "text/plain", 1) + "more"
		}), all, 0},
		"a length above the body's": {func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			id, _ := next()
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + requestIDHeader + ": " + id + "\r\nContent-Type: text/plain\r\nContent-Length: 90\r\n\r\nhalf"))
		}, none, 0},
		"two lengths": {respondEach(func(id string) string {
			return strings.Replace(responseTo(id), "Content-Length", "Content-Length: 3\r\nContent-Length", 1)
		}), none, 0},
		"a length and chunks": {respondEach(func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + requestIDHeader + ": " + id + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		}), none, 0},
		"a flood of 1xx": {respondEach(func(id string) string { return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 500) + responseTo(id) }), none, 0},
		"a few 1xx":      {respondEach(func(id string) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 3) + responseTo(id) }), all, 0},
		"a reset between header and body": {func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			id, _ := next()
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + requestIDHeader + ": " + id + "\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n"))
			_ = c.(*net.TCPConn).SetLinger(0)
		}, none, 0},
	}
}

// An endpoint sends unsolicited, duplicate, early or wrongly framed responses. Each caller gets the
// response to its own request or none. Each case runs over single-use and over pooled connections.
func TestCallerGetsOnlyItsOwnResponse(t *testing.T) {
	cases := unsolicitedCases()
	maps.Copy(cases, malformedCases())
	for name, c := range cases {
		for _, singleUse := range []bool{true, false} {
			t.Run(fmt.Sprint(name, "/single use ", singleUse), func(t *testing.T) { c.run(t, singleUse) })
		}
	}
}

// run makes the calls of a case, each over a connection of its own if singleUse is set.
func (c unsolicitedCase) run(t *testing.T, singleUse bool) {
	succeeded := 0
	pool := exchange.New("", longDialTimeout)
	addr := serveConns(t, c.serve)
	for n := range 30 {
		id := fmt.Sprintf("r%d", n)
		call := identifiedCall([]string{"GET", "POST"}[n%2], id)
		call.SingleUse = singleUse
		if c.bodyBytes > 0 {
			call.Body = bytes.Repeat([]byte("x"), c.bodyBytes)
		}
		response, sent, fail := doCall(t, pool, addr, call)
		if fail == nil {
			succeeded++
			must.Eq(t, jsonBody(id), string(response.Body))
			continue
		}
		must.Nil(t, response)
		must.Eq(t, sent, fail.Outcome == failure.OutcomeUnknown)
	}
	must.True(t, c.succeeding == someSucceed || c.succeeding == allSucceed && succeeded == 30 || c.succeeding == noneSucceed && succeeded == 0,
		must.Sprintf("%d of 30 calls succeeded", succeeded))
}

// Without an id, only the connection shows which request a response belongs to. A response is
// rejected if further bytes follow immediately, or if the response arrives before the last byte of a
// long request is sent.
func TestResponseWithoutIDMustBeTheOnlyData(t *testing.T) {
	for name, c := range map[string]struct {
		play  func(net.Conn, *bufio.Reader, func() (string, bool))
		large int
	}{
		"a second response with the first": {respondEach(func(id string) string { return responseTo(id) + responseTo("other") }), 0},
		"a length below the body's": {respondEach(func(id string) string {
			return strings.Replace(responseTo(id), "application/json", "text/plain", 1) + "more"
		}), 0},
		// The socket buffers hold less than the request, so the last byte can't be sent before
		// the peer continues to read, and the peer writes the response before that.
		"a response before the request is complete": {func(c net.Conn, _ *bufio.Reader, _ func() (string, bool)) {
			_ = c.(*net.TCPConn).SetReadBuffer(256 << 10)
			_, _ = c.Read(make([]byte, 1))
			_, _ = c.Write([]byte(responseTo("other")))
			_, _ = io.Copy(io.Discard, c)
		}, 16 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveConns(t, c.play)
			pool := exchange.New("", longDialTimeout)
			for n := range 3 {
				call := newCall("POST")
				call.SingleUse, call.Header = true, http.Header{requestIDHeader: {fmt.Sprintf("r%d", n)}}
				if c.large > 0 {
					call.Body = bytes.Repeat([]byte("x"), c.large)
				}
				response, sent, fail := doCall(t, pool, addr, call)
				must.Nil(t, response)
				must.True(t, sent)
				must.Eq(t, failure.BadResponse, fail.Kind)
			}
		})
	}
}

// On pooled connections without ids, an unsolicited response does reach the next caller. The test
// shows that the failure that TestResponseWithoutIDMustBeTheOnlyData guards against can occur.
func TestReusedConnectionsWithoutIDsMixResponses(t *testing.T) {
	step := make(chan struct{})
	addr := serveConns(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		for id, ok := next(); ok; id, ok = next() {
			_, _ = c.Write([]byte(responseTo(id)))
			id, ok = next() // the next request has arrived: the unsolicited response is written first
			if !ok {
				return
			}
			_, _ = c.Write([]byte(responseTo("other") + responseTo(id)))
			close(step)
		}
	})
	pool := exchange.New("")
	for n, want := range []string{"r0", "other"} {
		call := newCall("GET")
		call.Header = http.Header{"X-Request-Id": {fmt.Sprintf("r%d", n)}}
		response, _, fail := doCall(t, pool, addr, call)
		must.Nil(t, fail)
		must.Eq(t, jsonBody(want), string(response.Body))
	}
	<-step
}

// A response that arrives after the deadline reaches neither the caller that timed out nor the next
// caller. An endpoint that has not responded may still execute the request, so the outcome is
// unknown.
func TestLateResponseIsDiscarded(t *testing.T) {
	release := make(chan struct{})
	addr := serveConns(t, func(c net.Conn, r *bufio.Reader, next func() (string, bool)) {
		<-release
		respondEach(responseTo)(c, r, next)
	})
	pool := exchange.New("")
	call := newCall("POST")
	call.SingleUse, call.Header = true, http.Header{"X-Request-Id": {"late"}}
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	response, sent, fail := pool.Do(ctx, addr, call)
	must.Nil(t, response)
	must.True(t, sent)
	must.Eq(t, failure.DeadlineExceeded, fail.Kind)
	must.Eq(t, failure.OutcomeUnknown, fail.Outcome)
	close(release)
	for _, id := range []string{"a", "b", "c"} {
		call.Header = http.Header{"X-Request-Id": {id}}
		response, _, fail := doCall(t, pool, addr, call)
		must.Nil(t, fail)
		must.Eq(t, jsonBody(id), string(response.Body))
	}
}
