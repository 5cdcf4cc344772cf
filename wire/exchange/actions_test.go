package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/exchange"
	"github.com/shoenig/test/must"
)

// expectation is the result that the caller must get for a request that an endpoint has read.
type expectation int

const (
	ownResponse expectation = iota // the response to the request
	noResponse                     // no response, and an unknown outcome
)

// action is how an endpoint answers one request that the endpoint has read completely. The argument
// pastIDs of respond holds the ids of the earlier requests. connEnd is what the endpoint does with
// the connection after the response.
type action struct {
	name    string
	respond func(id string, past []string) string
	expect  expectation
	connEnd connEnd
}

type connEnd int

const (
	keepOpen connEnd = iota
	closeConn
	resetConn
	resetOnNextBytes // resets when the next bytes arrive, without reading them
)

func repeatLast(past []string) string {
	if len(past) == 0 {
		return responseTo("before")
	}
	return responseTo(past[len(past)-1])
}

func respondOwn(id string, _ []string) string { return responseTo(id) }

func respondTruncated(part func(text string) int) func(string, []string) string {
	return func(id string, _ []string) string { return responseTo(id)[:part(responseTo(id))] }
}

var actions = []action{
	{"own", respondOwn, ownResponse, keepOpen},
	{"stale response first", func(id string, past []string) string { return repeatLast(past) + responseTo(id) }, ownResponse, keepOpen},
	{"stale response after", func(id string, past []string) string { return responseTo(id) + repeatLast(past) }, ownResponse, keepOpen},
	{"doubled", func(id string, _ []string) string { return responseTo(id) + responseTo(id) }, ownResponse, keepOpen},
	{"foreign first", func(id string, _ []string) string { return responseTo("foreign") + responseTo(id) }, ownResponse, keepOpen},
	{"foreign only", func(string, []string) string { return responseTo("foreign") }, noResponse, closeConn},
	{"no id", func(id string, _ []string) string {
		return strings.Replace(responseTo(id), requestIDHeader, "X-Other", 1)
	}, noResponse, keepOpen},
	{"garbage after", func(id string, _ []string) string { return responseTo(id) + "\x00\x01 garbage\r\n" }, ownResponse, keepOpen},
	{"garbage instead", func(string, []string) string { return "\x00\x01 garbage\r\n" }, noResponse, keepOpen},
	{"cut in the head", respondTruncated(func(text string) int { return strings.Index(text, "Content-Length") + 4 }), noResponse, closeConn},
	{"cut in the body", respondTruncated(func(text string) int { return len(text) - 3 }), noResponse, resetConn},
	{"early close", func(string, []string) string { return "" }, noResponse, closeConn},
	{"closed after", respondOwn, ownResponse, closeConn},
	{"reset when idle", respondOwn, ownResponse, resetConn},
	{"reset on next bytes", respondOwn, ownResponse, resetOnNextBytes},
}

// endpoint performs one action of its script for each request, in order, on whichever connection the
// request arrives.
type endpoint struct {
	mu         sync.Mutex
	script     []action
	pastIDs    []string
	readCounts map[string]int
}

func (e *endpoint) serve(c *net.TCPConn) {
	r := bufio.NewReader(c)
	for {
		id, ok := readID(r)
		if !ok {
			return
		}
		e.mu.Lock()
		e.readCounts[id]++
		next := e.script[0]
		e.script = e.script[1:]
		text := next.respond(id, e.pastIDs)
		e.pastIDs = append(e.pastIDs, id)
		e.mu.Unlock()
		_, _ = c.Write([]byte(text))
		switch next.connEnd {
		case closeConn:
			return
		case resetOnNextBytes:
			_, _ = r.Peek(1)
			fallthrough
		case resetConn:
			_ = c.SetLinger(0)
			return
		}
	}
}

// Every sequence of three endpoint actions runs on pooled connections. Each caller gets the response
// to its own request or none; a complete response with the id of the request always reaches the
// caller; no request is written twice, and no request that is reported as not sent was read.
func TestEndpointActionSequences(t *testing.T) {
	for a := range actions {
		t.Run(actions[a].name, func(t *testing.T) {
			t.Parallel()
			for b := range actions {
				for c := range actions {
					testSequence(t, []action{actions[a], actions[b], actions[c]})
				}
			}
		})
	}
}

func testSequence(t *testing.T, script []action) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &endpoint{script: append(script[:len(script):len(script)], actions[0], actions[0], actions[0]), readCounts: map[string]int{}}
	go acceptAll(l, server.serve)
	pool := exchange.New("", longDialTimeout)
	addr := ident.Addr(l.Addr().String())
	defer func() { pool.Drop(addr); _ = l.Close() }()
	for n := range script {
		id := fmt.Sprintf("r%d", n)
		server.mu.Lock()
		next := server.script[0]
		server.mu.Unlock()
		response, sent, fail := doCall(t, pool, addr, identifiedCall([]string{"POST", "GET"}[n%2], id))
		server.mu.Lock()
		read := server.readCounts[id]
		server.mu.Unlock()
		detail := must.Sprintf("%s, %s, %s: request %d: %v", script[0].name, script[1].name, script[2].name, n, fail)
		must.LessEq(t, 1, read, detail)
		must.Eq(t, response == nil, fail != nil, detail)
		if response != nil {
			must.Eq(t, jsonBody(id), string(response.Body), detail)
		}
		switch {
		case !sent:
			must.Eq(t, 0, read, detail)
			must.Eq(t, failure.NotExecuted, fail.Outcome, detail)
		case fail != nil:
			must.Eq(t, failure.OutcomeUnknown, fail.Outcome, detail)
		}
		if read == 1 {
			must.Eq(t, next.expect == ownResponse, response != nil, detail)
			continue
		}
		// The request was not read, because the last action ended the connection and the close
		// was still in flight when the connection was taken.
		last := server.lastAction(script)
		must.True(t, last != nil && last.connEnd != keepOpen, detail)
	}
}

// lastAction returns the action that was performed last, or nil.
func (e *endpoint) lastAction(played []action) *action {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.pastIDs) == 0 {
		return nil
	}
	return &played[len(e.pastIDs)-1]
}

// A response that is truncated at any byte is rejected, and the complete response is accepted, for
// each body framing and for a connection that is closed or reset.
func TestResponseTruncatedAtEachByte(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n" + requestIDHeader + ": r\r\nContent-Type: text/plain\r\n"
	for name, whole := range map[string]string{
		"length": first + "Content-Length: 5\r\n\r\nhello",
		"chunks": first + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"tailed": first + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Tail: a\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/reset ", reset), func(t *testing.T) {
				t.Parallel()
				at := make(chan int, 1)
				addr := serveConns(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
					for _, ok := next(); ok; _, ok = next() {
						n := <-at
						_, _ = c.Write([]byte(whole[:n]))
						if n < len(whole) {
							if reset {
								_ = c.(*net.TCPConn).SetLinger(0)
							}
							return
						}
					}
				})
				pool := exchange.New("", longDialTimeout)
				for n := range len(whole) + 1 {
					at <- n
					response, sent, fail := doCall(t, pool, addr, identifiedCall("POST", "r"))
					must.True(t, sent)
					if n == len(whole) {
						must.Nil(t, fail)
						must.Eq(t, "hello", string(response.Body))
						continue
					}
					must.Nil(t, response)
					must.Eq(t, failure.OutcomeUnknown, fail.Outcome)
				}
			})
		}
	}
}

// A response that is malformed, that two parsers could read differently, that is encoded or that
// lacks the required header is rejected.
func TestMalformedResponsesAreRejected(t *testing.T) {
	const id = requestIDHeader + ": r\r\n"
	const ok = "HTTP/1.1 200 OK\r\n" + id
	for name, text := range map[string]string{
		"valid":                    ok + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"equal lengths":            ok + "X-Seal: s\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
		"no required header":       ok + "Content-Length: 2\r\n\r\nhi",
		"encoded":                  ok + "X-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
		"folded line":              ok + "X-Seal: s\r\n more\r\nContent-Length: 2\r\n\r\nhi",
		"bare LF":                  ok + "X-Seal: s\nContent-Length: 2\r\n\r\nhi",
		"a bare CR":                ok + "X-Seal: s\rContent-Length: 2\r\n\r\nhi",
		"a control byte":           ok + "X-Seal: s\x01\r\nContent-Length: 2\r\n\r\nhi",
		"a space before the colon": ok + "X-Seal: s\r\nContent-Length : 2\r\n\r\nhi",
		"no colon":                 ok + "X-Seal: s\r\nContent-Length 2\r\n\r\nhi",
		"a signed length":          ok + "X-Seal: s\r\nContent-Length: +2\r\n\r\nhi",
		"lengths in a list":        ok + "X-Seal: s\r\nContent-Length: 2, 2\r\n\r\nhi",
		"an empty length":          ok + "X-Seal: s\r\nContent-Length:\r\n\r\nhi",
		"length above int64":       ok + "X-Seal: s\r\nContent-Length: 99999999999999999999\r\n\r\nhi",
		"length above limit":       ok + "X-Seal: s\r\nContent-Length: 99999999999\r\n\r\nhi",
		"chunks and a length":      ok + "X-Seal: s\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"another coding":           ok + "X-Seal: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"a bad chunk":              ok + "X-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nz\r\nhi\r\n0\r\n\r\n",
		"a chunk too long":         ok + "X-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhiya\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\n" + id + "X-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"another protocol":         "HTTP/2.0 200 OK\r\n" + id + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"no status":                "HTTP/1.1 OK\r\n" + id + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"four-digit status":        "HTTP/1.1 2000 OK\r\n" + id + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"a status below 100":       "HTTP/1.1 020 OK\r\n" + id + "X-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"protocol switch":          "HTTP/1.1 101 Go\r\n" + id + "X-Seal: s\r\n\r\n",
		"head above limit":         ok + "X-Seal: " + strings.Repeat("s", 20<<10) + "\r\nContent-Length: 2\r\n\r\nhi",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serveConns(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
				if _, ok := next(); ok {
					_, _ = c.Write([]byte(text))
				}
			})
			call := identifiedCall("POST", "r")
			call.RequiredHeader, call.RejectEncoded = "X-Seal", true
			response, sent, fail := doCall(t, exchange.New("", longDialTimeout), addr, call)
			must.True(t, sent)
			if strings.HasPrefix(name, "valid") || name == "equal lengths" {
				must.Nil(t, fail)
				must.Eq(t, "hi", string(response.Body))
				return
			}
			must.Nil(t, response)
			must.Eq(t, failure.BadResponse, fail.Kind)
			must.Eq(t, failure.OutcomeUnknown, fail.Outcome)
		})
	}
}

// The written request contains exactly the parts of the call, without hop-by-hop headers. A part
// that could inject a header or a request is Malformed, and nothing is sent.
func TestWrittenRequest(t *testing.T) {
	got := make(chan string, 1)
	addr := serveConns(t, func(c net.Conn, r *bufio.Reader, _ func() (string, bool)) {
		var all strings.Builder
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			all.WriteString(line)
			if line == "\r\n" {
				break
			}
		}
		got <- all.String()
		_, _ = c.Write([]byte(responseTo("r")))
	})
	call := identifiedCall("GET", "r")
	call.Target, call.Body = "//x//y/../z?q=%2F&a=;b", nil
	call.Header = map[string][]string{
		"Connection":        {"close, X-Hop"},
		"X-Hop":             {"1"},
		"Te":                {"trailers"},
		"Content-Length":    {"9"},
		"Transfer-Encoding": {"chunked"},
		requestIDHeader:     {"forged"},
		"X-Calling":         {"forged"},
		"Host":              {"forged"},
		"X-Gone":            {"1"},
	}
	call.HeaderOverrides = []exchange.HeaderField{{Name: "X-Calling", Value: "real"}, {Name: "X-Gone"}}
	pool := exchange.New("", longDialTimeout)
	_, _, fail := doCall(t, pool, addr, call)
	must.Nil(t, fail)
	must.Eq(t, "GET //x//y/../z?q=%2F&a=;b HTTP/1.1\r\nHost: h.x\r\n"+requestIDHeader+": r\r\nX-Calling: real\r\n\r\n", <-got)
	for name, corrupt := range map[string]func(*exchange.Call){
		"target": func(call *exchange.Call) { call.Target = "/a b" },
		"empty":  func(call *exchange.Call) { call.Target = "" },
		"host":   func(call *exchange.Call) { call.Host = "a\r\nb" },
		"method": func(call *exchange.Call) { call.Method = "GET /" },
		"value":  func(call *exchange.Call) { call.Header = map[string][]string{"A": {"b\r\nC: d"}} },
		"name":   func(call *exchange.Call) { call.Header = map[string][]string{"A: b\r\nC": {"d"}} },
		"id":     func(call *exchange.Call) { call.ID = "r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			call := identifiedCall("GET", "r")
			corrupt(&call)
			_, sent, fail := doCall(t, pool, addr, call)
			must.False(t, sent)
			must.Eq(t, failure.Malformed, fail.Kind)
		})
	}
}

// If an endpoint rejects a long request before the request is complete, the response is read,
// provided that the response carries the id of the request.
func TestResponseBeforeRequestIsComplete(t *testing.T) {
	addr := serveConns(t, func(c net.Conn, r *bufio.Reader, _ func() (string, bool)) {
		_, _ = r.Peek(1)
		_, _ = c.Write([]byte(responseTo("r")))
	})
	call := identifiedCall("POST", "r")
	call.Body = make([]byte, 64<<20)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	response, sent, fail := exchange.New("", longDialTimeout).Do(ctx, addr, call)
	must.True(t, sent)
	must.Nil(t, fail)
	must.Eq(t, jsonBody("r"), string(response.Body))
}

func readID(r *bufio.Reader) (id string, ok bool) {
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", false
		}
		if line == "\r\n" {
			break
		}
		_, _ = fmt.Sscanf(line, requestIDHeader+": %s", &id)
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
	}
	_, err := r.Discard(length)
	return id, err == nil
}
