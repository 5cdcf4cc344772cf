package exchange_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	largeBody        = 64 << 10
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
	acceptedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	refusedResponse  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	bodyTimeout      = 200 * time.Millisecond
)

// continueServer is a server that writes early after the head of each request and, if readsBody is
// set, reads the body and then writes late. The counters hold the number of connections, of body
// bytes and of requests with an Expect header.
type continueServer struct {
	early, late   string
	readsBody     bool
	conns         atomic.Int64
	bodyBytes     atomic.Int64
	expectHeaders atomic.Int64
}

func (s *continueServer) serve(t *testing.T) ident.Addr {
	return serveEach(t, func(c *net.TCPConn) {
		s.conns.Add(1)
		s.serveConn(c)
	})
}

func (s *continueServer) serveConn(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "" {
			return
		}
		head, err := textproto.NewReader(r).ReadMIMEHeader()
		if err != nil {
			return
		}
		if head.Get("Expect") != "" {
			s.expectHeaders.Add(1)
		}
		_, _ = io.WriteString(c, s.early)
		if !s.readsBody {
			if s.early == "" { // send nothing, and count the bytes until the client closes the connection
				n, _ := io.Copy(io.Discard, r)
				s.bodyBytes.Add(n)
			}
			return
		}
		size, _ := strconv.ParseInt(head.Get("Content-Length"), 10, 64)
		n, err := io.CopyN(io.Discard, r, size)
		s.bodyBytes.Add(n)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, s.late)
	}
}

// expectingCall returns a call with a body of bodyBytes bytes and with ExpectContinue set.
func expectingCall(bodyBytes int) exchange.Call {
	return exchange.Call{
		Method:         http.MethodPost,
		Target:         "/x",
		Host:           "h",
		Body:           make([]byte, bodyBytes),
		ExpectContinue: true,
	}
}

// A body is sent only after 100 Continue. A call that fails before 100 Continue is known not to have
// been executed, and a final response before 100 Continue is returned unchanged.
func TestBodyIsSentOnlyAfterContinue(t *testing.T) {
	for name, c := range map[string]struct {
		server *continueServer
		status int // 0 if the call fails without a response
		sent   bool
		body   int64
	}{
		"wanted": {&continueServer{early: continueResponse, late: acceptedResponse, readsBody: true}, 200, true, largeBody},
		"wanted after other 1xx": {&continueServer{
			early:     "HTTP/1.1 102 Processing\r\n\r\n" + continueResponse,
			late:      acceptedResponse,
			readsBody: true,
		}, 200, true, largeBody},
		"refused":                 {&continueServer{early: refusedResponse}, 503, true, 0},
		"100 and refusal at once": {&continueServer{early: continueResponse + refusedResponse}, 503, true, 0},
		"silent":                  {&continueServer{}, 0, false, 0},
		"garbled":                 {&continueServer{early: "what is this\r\n\r\n"}, 0, false, 0},
		"truncated refusal":       {&continueServer{early: refusedResponse[:50]}, 0, false, 0},
		"endless 1xx":             {&continueServer{early: manyInformational()}, 0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			addr := c.server.serve(t)
			pool := exchange.New("")
			req := expectingCall(largeBody)
			req.Deadline = time.Now().Add(bodyTimeout)
			response, sent, fail := doCall(t, pool, addr, req)
			must.Eq(t, c.sent, sent)
			must.Eq(t, 1, c.server.expectHeaders.Load())
			if c.status != 0 {
				must.Nil(t, fail)
				must.Eq(t, c.status, response.Status)
			} else {
				must.NotNil(t, fail)
				must.Eq(t, failure.NotExecuted, fail.Outcome)
			}
			must.Eq(t, c.body, c.server.bodyBytes.Load())
		})
	}
}

func manyInformational() (text string) {
	for range 20 {
		text += "HTTP/1.1 102 Processing\r\n\r\n"
	}
	return text
}

// A connection is reused after 100 Continue and a sent body, but not after a refusal, because the
// peer may still expect the body.
func TestConnectionReuseAfterExpectContinue(t *testing.T) {
	for name, c := range map[string]struct {
		server *continueServer
		conns  int64
	}{
		"wanted":  {&continueServer{early: continueResponse, late: acceptedResponse, readsBody: true}, 1},
		"refused": {&continueServer{early: refusedResponse}, 3},
	} {
		addr := c.server.serve(t)
		pool := exchange.New("")
		for range 3 {
			_, _, fail := doCall(t, pool, addr, expectingCall(largeBody))
			must.Nil(t, fail)
		}
		must.Eq(t, c.conns, c.server.conns.Load(), must.Sprint(name))
	}
}

// A request whose body is interrupted after 100 Continue has an unknown outcome. A request with a
// small body is sent without an Expect header.
func TestExpectContinueOfInterruptedAndSmallBodies(t *testing.T) {
	pool := exchange.New("")
	interrupted := &continueServer{early: continueResponse}
	_, sent, fail := doCall(t, pool, interrupted.serve(t), expectingCall(16<<20))
	must.True(t, sent)
	must.NotNil(t, fail)
	must.Eq(t, failure.OutcomeUnknown, fail.Outcome)
	small := &continueServer{late: acceptedResponse, readsBody: true}
	_, _, fail = doCall(t, pool, small.serve(t), expectingCall(100))
	must.Nil(t, fail)
	must.Eq(t, 0, small.expectHeaders.Load())
}
