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

// receivedRequest is a request as read by an endpoint.
type receivedRequest struct{ method, target, id, body string }

// requestLog records the requests that an endpoint read, in order.
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

// startCallerServer starts a sidecar with one endpoint behind the server that the daemon uses for
// callers.
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

// smuggled is a complete request placed inside the body of another request, as in request smuggling. No
// endpoint may execute the inner request.
var smuggled = rawRequest("POST", "/once/smuggled", "smuggled", "s")

// connectionCase is the input that a caller sends on one connection, with the expected responses
// and requests.
type connectionCase struct {
	input         string
	wantResponses []string // "status id" in order; afterwards the connection is closed or stays silent
	wantRequests  []receivedRequest
	staysOpen     bool // the connection accepts another request
	configure     func(*Sidecar)
}

// connectionCases returns the cases of TestPipelinedAndMalformedCallerRequests by name.
func connectionCases() map[string]connectionCase {
	one, two := rawRequest("POST", "/once/x", "r1", "one"), rawRequest("POST", "/again/y", "r2", "two")
	first, second := receivedRequest{"POST", "/once/x", "r1", "one"}, receivedRequest{"POST", "/again/y", "r2", "two"}
	large := smuggled + strings.Repeat("b", 1<<20)
	smallBodies := func(s *Sidecar) {
		s.bodies.limits.Store(&validation.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 10})
	}
	return map[string]connectionCase{
		"one request":              {one, []string{"200 r1"}, []receivedRequest{first}, true, nil},
		"two pipelined requests":   {one + two, []string{"200 r1", "200 r2"}, []receivedRequest{first, second}, true, nil},
		"the same request twice":   {one + one, []string{"200 r1", "200 r1"}, []receivedRequest{first, first}, true, nil},
		"garbage after a body":     {one + "garbage\r\n\r\n", []string{"200 r1", "400 "}, []receivedRequest{first}, false, nil},
		"empty lines after a body": {one + "\r\n\r\n" + two, []string{"200 r1", "200 r2"}, []receivedRequest{first, second}, true, nil},
		"a request inside a body":  {rawRequest("POST", "/once/x", "r1", smuggled) + two, []string{"200 r1", "200 r2"}, []receivedRequest{{"POST", "/once/x", "r1", smuggled}, second}, true, nil},
		"truncated body":           {one[:len(one)-1], []string{"400 "}, nil, false, nil},
		"truncated header":         {one + two[:20], []string{"200 r1", "400 "}, []receivedRequest{first}, false, nil},
		"invalid chunk, then a request": {"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled,
			[]string{"400 "}, nil, false, nil},
		"chunked body, then a request": {"POST /once/x HTTP/1.1\r\nHost: h\r\n" + testIDHeader + ": r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n" + two,
			[]string{"200 r1", "200 r2"}, []receivedRequest{first, second}, true, nil},
		"two content lengths":           {"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled, []string{"400 "}, nil, false, nil},
		"unsupported transfer encoding": {"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + smuggled, []string{"501 "}, nil, false, nil},
		"body over the limit, small enough to discard": {rawRequest("POST", "/once/x", "r1", smuggled) + two, []string{"413 ", "200 r2"}, []receivedRequest{second}, true,
			smallBodies},
		"body far over the limit": {rawRequest("POST", "/once/x", "r1", large) + two, []string{"413 "}, nil, false,
			smallBodies},
		"no memory for the body": {rawRequest("POST", "/once/x", "r1", smuggled) + two, []string{"503 ", "200 r2"}, []receivedRequest{second}, true,
			func(s *Sidecar) { s.Settings.MaxBodyBytes = 10 }},
		"no memory for a large body": {rawRequest("POST", "/once/x", "r1", large) + two, []string{"503 "}, nil, false, func(s *Sidecar) { s.Settings.MaxBodyBytes = 10 }},
		"no route":                   {rawRequest("POST", "/nowhere", "r1", smuggled) + two, []string{"404 ", "200 r2"}, []receivedRequest{second}, true, nil},
		"rejected before the body is sent": {"POST /once/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9999\r\n\r\n" + smuggled, []string{"413 "}, nil, false,
			smallBodies},
		"connection close requested": {strings.Replace(one, "Host", "Connection: close\r\nHost", 1) + two, []string{"200 r1"}, []receivedRequest{first}, false, nil},
	}
}

// Whatever bytes arrive on a caller's connection, and however early a response is sent: the
// endpoint executes exactly the requests that arrive complete, each once and as sent; the responses
// arrive in the order of the requests; and bytes that can't be parsed close the connection.
func TestPipelinedAndMalformedCallerRequests(t *testing.T) {
	for name, c := range connectionCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// run sends the input to a new sidecar, and checks the responses and the requests that the endpoint
// read.
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
	for _, want := range c.wantResponses {
		must.Eq(t, want, readResponse(t, r))
	}
	if c.staysOpen {
		_, err := io.WriteString(conn, rawRequest("POST", "/once/last", "last", ""))
		must.NoError(t, err)
		must.Eq(t, "200 last", readResponse(t, r))
		c.wantRequests = append(c.wantRequests, receivedRequest{"POST", "/once/last", "last", ""})
	} else if _, err := r.Peek(1); err == nil {
		t.Fatal("more responses than requests")
	}
	must.Eq(t, c.wantRequests, received.list())
	must.Eq(t, 0, s.bodies.inFlight.Load())
}

// readResponse reads a complete response and returns its status and id; the body of a successful
// response must belong to that id.
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
