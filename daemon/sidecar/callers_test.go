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

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/wire/server"
)

// seen is one request as an endpoint read it.
type seen struct{ method, target, id, body string }

// ledger keeps what an endpoint read, in its order.
type ledger struct {
	mu  sync.Mutex
	all []seen
}

func (l *ledger) serve(c *net.TCPConn) {
	eachRequest(c, func(_ *bufio.Reader, req *http.Request, body []byte) bool {
		id := req.Header.Get(testId)
		l.mu.Lock()
		l.all = append(l.all, seen{req.Method, req.RequestURI, id, string(body)})
		l.mu.Unlock()
		_, _ = io.WriteString(c, sealedAnswer(id, nil))
		return true
	})
}

func (l *ledger) list() []seen {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]seen(nil), l.all...)
}

// fronted is a sidecar on the daemon's own server for callers, with one endpoint.
func fronted(t *testing.T) (*Sidecar, *ledger, string) {
	l := &ledger{}
	s := node("a", "127.0.0.1:1", listens(t, l.serve))
	s.knows("a", "127.0.0.1:1", "a0")
	front := server.New("127.0.0.1:0", s.Front, server.Silence(3*time.Second), server.Deaf())
	at, err := front.Endpoint()
	must.NoError(t, err)
	done := make(chan struct{})
	go func() { defer close(done); _ = front.Start(context.Background()) }()
	t.Cleanup(func() { _ = front.Close(); <-done })
	return s, l, at.Host
}

func request(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, testId, id, len(body), body)
}

// smuggled is a request that stands where only a body may stand: nobody may run it.
var smuggled = request("POST", "/once/smuggled", "smuggled", "s")

// A caller's connection, whatever bytes come on it and however early it is answered: the
// endpoint runs just the requests that stand whole on it, each once and as it was sent, the
// answers come in their order, and what can't be told apart ends the connection.
func TestWhatACallerSendsOnOneConnection(t *testing.T) {
	one, two := request("POST", "/once/x", "r1", "one"), request("POST", "/again/y", "r2", "two")
	first, second := seen{"POST", "/once/x", "r1", "one"}, seen{"POST", "/again/y", "r2", "two"}
	large := smuggled + strings.Repeat("b", 1<<20)
	for name, c := range map[string]struct {
		sends   string
		answers []string // "status id", in order; then the connection ends or is silent
		runs    []seen
		open    bool // the connection goes on
		with    func(*Sidecar)
	}{
		"one":                       {one, []string{"200 r1"}, []seen{first}, true, nil},
		"two in one piece":          {one + two, []string{"200 r1", "200 r2"}, []seen{first, second}, true, nil},
		"the same twice":            {one + one, []string{"200 r1", "200 r1"}, []seen{first, first}, true, nil},
		"bytes behind a body":       {one + "garbage\r\n\r\n", []string{"200 r1", "400 "}, []seen{first}, false, nil},
		"empty lines behind a body": {one + "\r\n\r\n" + two, []string{"200 r1", "200 r2"}, []seen{first, second}, true, nil},
		"a request inside a body":   {request("POST", "/once/x", "r1", smuggled) + two, []string{"200 r1", "200 r2"}, []seen{{"POST", "/once/x", "r1", smuggled}, second}, true, nil},
		"a body broken off":         {one[:len(one)-1], []string{"400 "}, nil, false, nil},
		"a head broken off":         {one + two[:20], []string{"200 r1", "400 "}, []seen{first}, false, nil},
		"a bad chunk, a request behind": {"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled,
			[]string{"400 "}, nil, false, nil},
		"chunks, a request behind": {"POST /once/x HTTP/1.1\r\nHost: h\r\n" + testId + ": r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n" + two,
			[]string{"200 r1", "200 r2"}, []seen{first, second}, true, nil},
		"two lengths":    {"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled, []string{"400 "}, nil, false, nil},
		"another coding": {"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + smuggled, []string{"501 "}, nil, false, nil},
		"too large, small enough to be read past": {request("POST", "/once/x", "r1", smuggled) + two, []string{"413 ", "200 r2"}, []seen{second}, true,
			func(s *Sidecar) { s.limits.Store(&check.Limits{HeadBytes: 4 << 10, BodyBytes: 10}) }},
		"too large by far": {request("POST", "/once/x", "r1", large) + two, []string{"413 "}, nil, false,
			func(s *Sidecar) { s.limits.Store(&check.Limits{HeadBytes: 4 << 10, BodyBytes: 10}) }},
		"no room for the body": {request("POST", "/once/x", "r1", smuggled) + two, []string{"503 ", "200 r2"}, []seen{second}, true,
			func(s *Sidecar) { s.Boot.Bulk = 10 }},
		"no room for a large body": {request("POST", "/once/x", "r1", large) + two, []string{"503 "}, nil, false, func(s *Sidecar) { s.Boot.Bulk = 10 }},
		"no way":                   {request("POST", "/nowhere", "r1", smuggled) + two, []string{"404 ", "200 r2"}, []seen{second}, true, nil},
		"turned away before it sends its body": {"POST /once/x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9999\r\n\r\n" + smuggled, []string{"413 "}, nil, false,
			func(s *Sidecar) { s.limits.Store(&check.Limits{HeadBytes: 4 << 10, BodyBytes: 10}) }},
		"it asks to close": {strings.Replace(one, "Host", "Connection: close\r\nHost", 1) + two, []string{"200 r1"}, []seen{first}, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, endpoint, at := fronted(t)
			if c.with != nil {
				c.with(s)
			}
			conn, err := net.Dial("tcp", at)
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			go func() {
				_, _ = io.WriteString(conn, c.sends)
				if !c.open {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			}()
			r := bufio.NewReader(conn)
			for _, want := range c.answers {
				must.Eq(t, want, nextAnswer(t, r))
			}
			if c.open {
				_, err := io.WriteString(conn, request("POST", "/once/last", "last", ""))
				must.NoError(t, err)
				must.Eq(t, "200 last", nextAnswer(t, r))
				c.runs = append(c.runs, seen{"POST", "/once/last", "last", ""})
			} else if _, err := r.Peek(1); err == nil {
				t.Fatal("more answers than requests")
			}
			must.Eq(t, c.runs, endpoint.list())
			must.Eq(t, 0, s.bulk.Load())
		})
	}
}

// nextAnswer reads an answer whole and gives its status and its id; the body of a success
// must be the one of that id.
func nextAnswer(t *testing.T, r *bufio.Reader) string {
	res, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	id := res.Header.Get(testId)
	if res.StatusCode == http.StatusOK {
		must.Eq(t, ownBody(id), string(body))
	}
	return fmt.Sprint(res.StatusCode, " ", id)
}
