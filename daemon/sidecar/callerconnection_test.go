package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/wire/server"
)

// receivedRequest is one request as an endpoint read it.
type receivedRequest struct{ method, target, id, body string }

// requestLog keeps what an endpoint read, in its order.
type requestLog struct {
	mu       sync.Mutex
	requests []receivedRequest
}

func (l *requestLog) serve(c *net.TCPConn) {
	serveRequests(c, func(_ *bufio.Reader, req *http.Request, body []byte) bool {
		id := req.Header.Get(testIDHeader)
		l.mu.Lock()
		l.requests = append(l.requests, receivedRequest{req.Method, req.RequestURI, id, string(body)})
		l.mu.Unlock()
		_, _ = io.WriteString(c, successResponse(id, nil))
		return true
	})
}

func (l *requestLog) list() []receivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]receivedRequest(nil), l.requests...)
}

// startCallerServer is a sidecar on the daemon's own server for callers, with one endpoint.
func startCallerServer(t *testing.T) (*Sidecar, *requestLog, string) {
	requests := &requestLog{}
	s := newTestSidecar("a", "127.0.0.1:1", listen(t, requests.serve))
	s.addWorkloads("a", "127.0.0.1:1", "a0")
	callerServer := server.New("127.0.0.1:0", s.HandleCaller, server.DeadPeerTimeout(3*time.Second), server.PolledCloseDetection())
	endpointURL, err := callerServer.Endpoint()
	must.NoError(t, err)
	done := make(chan struct{})
	go func() { defer close(done); _ = callerServer.Start(context.Background()) }()
	t.Cleanup(func() { _ = callerServer.Close(); <-done })
	return s, requests, endpointURL.Host
}

func rawRequest(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, testIDHeader, id, len(body), body)
}

// smuggled is a request in the place of a body: no endpoint may run it.
var smuggled = rawRequest("POST", "/once/smuggled", "smuggled", "s")

// connectionCase is what a caller sends on one connection and what comes of it.
type connectionCase struct {
	input     string
	responses []string // "status id", in order; then the connection ends or is silent
	runs      []receivedRequest
	staysOpen bool // the connection takes another request
	configure func(*Sidecar)
}

// connectionCases are the cases of TestWhatACallerSendsOnOneConnection by name.
func connectionCases() map[string]connectionCase {
	one, two := rawRequest("POST", "/once/x", "r1", "one"), rawRequest("POST", "/again/y", "r2", "two")
	first, second := receivedRequest{"POST", "/once/x", "r1", "one"}, receivedRequest{"POST", "/again/y", "r2", "two"}
	large := smuggled + strings.Repeat("b", 1<<20)
	smallBodies := func(s *Sidecar) {
		s.bodies.limits.Store(&validation.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 10})
	}
	return map[string]connectionCase{
		"one":                       {one, []string{"200 r1"}, []receivedRequest{first}, true, nil},
		"two in one piece":          {one + two, []string{"200 r1", "200 r2"}, []receivedRequest{first, second}, true, nil},
		"the same twice":            {one + one, []string{"200 r1", "200 r1"}, []receivedRequest{first, first}, true, nil},
		"bytes behind a body":       {one + "garbage\r\n\r\n", []string{"200 r1", "400 "}, []receivedRequest{first}, false, nil},
		"empty lines behind a body": {one + "\r\n\r\n" + two, []string{"200 r1", "200 r2"}, []receivedRequest{first, second}, true, nil},
		"a request inside a body":   {rawRequest("POST", "/once/x", "r1", smuggled) + two, []string{"200 r1", "200 r2"}, []receivedRequest{{"POST", "/once/x", "r1", smuggled}, second}, true, nil},
		"a body broken off":         {one[:len(one)-1], []string{"400 "}, nil, false, nil},
		"a head broken off":         {one + two[:20], []string{"200 r1", "400 "}, []receivedRequest{first}, false, nil},
		"a bad chunk, a request behind": {"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled,
			[]string{"400 "}, nil, false, nil},
		"chunks, a request behind": {"POST /once/x HTTP/1.1\r\nHost: h\r\n" + testIDHeader + ": r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n" + two,
			[]string{"200 r1", "200 r2"}, []receivedRequest{first, second}, true, nil},
		"two lengths":    {"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled, []string{"400 "}, nil, false, nil},
		"another coding": {"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + smuggled, []string{"501 "}, nil, false, nil},
		"too large, small enough to be read past": {rawRequest("POST", "/once/x", "r1", smuggled) + two, []string{"413 ", "200 r2"}, []receivedRequest{second}, true,
			smallBodies},
		"too large by far": {rawRequest("POST", "/once/x", "r1", large) + two, []string{"413 "}, nil, false,
			smallBodies},
		"no room for the body": {rawRequest("POST", "/once/x", "r1", smuggled) + two, []string{"503 ", "200 r2"}, []receivedRequest{second}, true,
			func(s *Sidecar) { s.Settings.MaxBodyBytes = 10 }},
		"no room for a large body": {rawRequest("POST", "/once/x", "r1", large) + two, []string{"503 "}, nil, false, func(s *Sidecar) { s.Settings.MaxBodyBytes = 10 }},
		"no route":                 {rawRequest("POST", "/nowhere", "r1", smuggled) + two, []string{"404 ", "200 r2"}, []receivedRequest{second}, true, nil},
		"rejected before it sends its body": {"POST /once/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9999\r\n\r\n" + smuggled, []string{"413 "}, nil, false,
			smallBodies},
		"it asks to close": {strings.Replace(one, "Host", "Connection: close\r\nHost", 1) + two, []string{"200 r1"}, []receivedRequest{first}, false, nil},
	}
}

// A caller's connection, whatever bytes come on it and however early it is answered: the endpoint
// runs just the requests that come whole, each once and as it was sent; the answers come in their
// order; and bytes that can't be parsed end the connection.
func TestPipelinedAndMalformedCallerRequests(t *testing.T) {
	for name, c := range connectionCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// play sends the bytes to a new sidecar and checks the answers and what the endpoint read.
func (c connectionCase) run(t *testing.T) {
	s, received, frontAddr := startCallerServer(t)
	if c.configure != nil {
		c.configure(s)
	}
	conn, err := net.Dial("tcp", frontAddr)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	go func() {
		_, _ = io.WriteString(conn, c.input)
		if !c.staysOpen {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}()
	r := bufio.NewReader(conn)
	for _, want := range c.responses {
		must.Eq(t, want, readResponse(t, r))
	}
	if c.staysOpen {
		_, err := io.WriteString(conn, rawRequest("POST", "/once/last", "last", ""))
		must.NoError(t, err)
		must.Eq(t, "200 last", readResponse(t, r))
		c.runs = append(c.runs, receivedRequest{"POST", "/once/last", "last", ""})
	} else if _, err := r.Peek(1); err == nil {
		t.Fatal("more answers than requests")
	}
	must.Eq(t, c.runs, received.list())
	must.Eq(t, 0, s.bodies.inFlight.Load())
}

// nextAnswer reads an answer whole and gives its status and its id; the body of a success
// must be the one of that id.
func readResponse(t *testing.T, r *bufio.Reader) string {
	resp, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	id := resp.Header.Get(testIDHeader)
	if resp.StatusCode == http.StatusOK {
		must.Eq(t, responseBody(id), string(body))
	}
	return fmt.Sprint(resp.StatusCode, " ", id)
}
