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

// continueServer is a server that answers the head of each request with early, reads the body if
// reads is set, and then answers with late. It counts connections and bytes of bodies.
type continueServer struct {
	early, late string
	reads       bool
	conns       atomic.Int64
	bodyBytes   atomic.Int64
	expected    atomic.Int64
}

func (s *continueServer) serve(t *testing.T) ident.Addr {
	return serveEach(t, func(c *net.TCPConn) {
		s.conns.Add(1)
		s.talk(c)
	})
}

func (s *continueServer) talk(c net.Conn) {
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
			s.expected.Add(1)
		}
		_, _ = io.WriteString(c, s.early)
		if !s.reads {
			if s.early == "" { // says nothing, and keeps the connection open for a while
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

// expectingCall is a call with a body of so many bytes, which asks for 100 Continue if they are many.
func expectingCall(bodyBytes int) exchange.Call {
	return exchange.Call{
		Method:         http.MethodPost,
		Target:         "/x",
		Host:           "h",
		Body:           make([]byte, bodyBytes),
		ExpectContinue: true,
	}
}

// A body is sent only after 100 Continue. Whatever ends the call before that is known not to have
// been executed, and a rejection is passed on as it came.
func TestBodyLeavesOnlyWhenWanted(t *testing.T) {
	for name, c := range map[string]struct {
		server *continueServer
		status int // 0 for none
		sent   bool
		body   int64
	}{
		"wanted": {&continueServer{early: continueResponse, late: acceptedResponse, reads: true}, 200, true, largeBody},
		"wanted after other 1xx": {&continueServer{
			early: "HTTP/1.1 102 Processing\r\n\r\n" + continueResponse,
			late:  acceptedResponse,
			reads: true,
		}, 200, true, largeBody},
		"refused":               {&continueServer{early: refusedResponse}, 503, true, 0},
		"refused in one breath": {&continueServer{early: continueResponse + refusedResponse}, 503, true, 0},
		"silent":                {&continueServer{}, 0, false, 0},
		"garbled":               {&continueServer{early: "what is this\r\n\r\n"}, 0, false, 0},
		"half a refusal":        {&continueServer{early: refusedResponse[:50]}, 0, false, 0},
		"endless 1xx":           {&continueServer{early: manyProcessing()}, 0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			addr := c.server.serve(t)
			pool := exchange.New("")
			req := expectingCall(largeBody)
			req.Deadline = time.Now().Add(bodyTimeout)
			response, sent, fail := doCall(t, pool, addr, req)
			must.Eq(t, c.sent, sent)
			must.Eq(t, 1, c.server.expected.Load())
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

func manyProcessing() (text string) {
	for range 20 {
		text += "HTTP/1.1 102 Processing\r\n\r\n"
	}
	return text
}

// A connection on which a body was asked for, and sent, is reused; one on which it was refused
// is not, since the peer may still wait for the body.
func TestConnectionReuseAfterContinue(t *testing.T) {
	for name, c := range map[string]struct {
		server *continueServer
		conns  int64
	}{
		"wanted":  {&continueServer{early: continueResponse, late: acceptedResponse, reads: true}, 1},
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

// A body that was asked for and is broken off has an unknown outcome; a small body is not
// asked for at all.
func TestExpectContinueOfInterruptedAndSmallBodies(t *testing.T) {
	pool := exchange.New("")
	interrupted := &continueServer{early: continueResponse}
	_, sent, fail := doCall(t, pool, interrupted.serve(t), expectingCall(16<<20))
	must.True(t, sent)
	must.NotNil(t, fail)
	must.Eq(t, failure.OutcomeUnknown, fail.Outcome)
	small := &continueServer{late: acceptedResponse, reads: true}
	_, _, fail = doCall(t, pool, small.serve(t), expectingCall(100))
	must.Nil(t, fail)
	must.Eq(t, 0, small.expected.Load())
}
