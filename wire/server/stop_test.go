package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/wire/server"
)

// A request that is completed while the server stops, on a connection that was accepted before, is
// answered: if the connection ended without a response, the client could not know whether the request
// was executed.
func TestRequestDuringStopIsAnswered(t *testing.T) {
	s := server.New("127.0.0.1:0", func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	endpoint, err := s.Endpoint()
	must.NoError(t, err)
	go func() { _ = s.Start(context.Background()) }()
	c, err := net.Dial("tcp", endpoint.Host)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	// The first bytes mark the connection as used; Stop may close an unused connection.
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	must.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for { // the stop has begun when no more connections are accepted
		more, err := net.Dial("tcp", endpoint.Host)
		if err != nil {
			break
		}
		_ = more.Close()
	}
	_, err = io.WriteString(c, "Host: h\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err, must.Sprint("the connection ended without a response"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	_ = response.Body.Close()
	must.NoError(t, <-stopped)
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// startNoContentServer starts a server that answers every request with 204.
func startNoContentServer(t *testing.T, options ...server.Option) (s *server.Server, addr string) {
	s = server.New("127.0.0.1:0", func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusNoContent)
		return true
	}, options...)
	endpoint, err := s.Endpoint()
	must.NoError(t, err)
	go func() { _ = s.Start(context.Background()) }()
	return s, endpoint.Host
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

// readResponse reads one response and reports whether the response has Connection: close.
func readResponse(t *testing.T, from *bufio.Reader) bool {
	response, err := http.ReadResponse(from, nil)
	must.NoError(t, err, must.Sprint("the connection ended without a response"))
	must.Eq(t, http.StatusNoContent, response.StatusCode)
	_ = response.Body.Close()
	return response.Close
}

// Stop with each kind of open connection: a request that was read in part is answered and its
// connection is closed after the response, a new connection may still carry a request, and an idle
// connection is closed without delay.
func TestStopClosesEachKindOfConnection(t *testing.T) {
	for name, options := range map[string][]server.Option{
		"plain":                  nil,
		"polled close detection": {server.PolledCloseDetection(), server.DeadPeerTimeout(3 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := startNoContentServer(t, options...)
			fresh, fromFresh := dial(t, addr)
			idle, fromIdle := dial(t, addr)
			partial, fromPartial := dial(t, addr)
			for _, c := range []struct {
				net.Conn
				from *bufio.Reader
			}{{idle, fromIdle}, {partial, fromPartial}} {
				_, err := io.WriteString(c, request)
				must.NoError(t, err)
				must.False(t, readResponse(t, c.from))
			}
			_, err := io.WriteString(partial, request[:9])
			must.NoError(t, err)

			stopStarted := time.Now()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(context.Background()) }()
			_, err = fromIdle.ReadByte()
			must.ErrorIs(t, err, io.EOF)
			must.Less(t, time.Second, time.Since(stopStarted))
			_, err = io.WriteString(partial, request[9:])
			must.NoError(t, err)
			must.True(t, readResponse(t, fromPartial))
			_, err = io.WriteString(fresh, request)
			must.NoError(t, err)
			must.True(t, readResponse(t, fromFresh))
			must.NoError(t, <-stopped)
			_, err = net.Dial("tcp", addr)
			must.Error(t, err)
		})
	}
}

// Requests on connections that are pending when the server stops are answered.
func TestPendingConnectionsAreServedDuringStop(t *testing.T) {
	s := server.New("127.0.0.1:0", func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusNoContent)
		return true
	})
	endpoint, err := s.Endpoint()
	must.NoError(t, err)
	var pending []*bufio.Reader
	for range 100 {
		c, from := dial(t, endpoint.Host)
		_, err := io.WriteString(c, request)
		must.NoError(t, err)
		pending = append(pending, from)
	}
	go func() { _ = s.Start(context.Background()) }()
	readResponse(t, pending[0])
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for _, from := range pending[1:] {
		readResponse(t, from)
	}
	must.NoError(t, <-stopped)
}

// A request that is never completed delays Stop only until the context of Stop ends.
func TestStopIsBoundedByItsContext(t *testing.T) {
	s, addr := startNoContentServer(t)
	c, from := dial(t, addr)
	_, err := io.WriteString(c, request)
	must.NoError(t, err)
	must.False(t, readResponse(t, from))
	_, err = io.WriteString(c, request[:9])
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	must.ErrorIs(t, s.Stop(ctx), context.DeadlineExceeded)
	must.NoError(t, s.Close())
}

// A server that was stopped before it was started does not start.
func TestStoppedServerDoesNotStart(t *testing.T) {
	s := server.New("127.0.0.1:0", nil)
	must.NoError(t, s.Stop(context.Background()))
	must.NoError(t, s.Start(context.Background()))
}
