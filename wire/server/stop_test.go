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

// A connection was accepted before a planned stop; its request comes as the server stops. It is
// answered, since its client can't know whether it was executed when the connection just ends.
func TestRequestThatComesAsTheServerStopsIsAnswered(t *testing.T) {
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
	// The first bytes show that the connection is not an unused one, which a stop may close.
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	must.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for { // the stop has begun once no connection is accepted any more
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

// startNoContentServer runs a server that answers 204.
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

// readResponse reads one response and reports whether it closes its connection.
func readResponse(t *testing.T, from *bufio.Reader) bool {
	response, err := http.ReadResponse(from, nil)
	must.NoError(t, err, must.Sprint("the connection ended without a response"))
	must.Eq(t, http.StatusNoContent, response.StatusCode)
	_ = response.Body.Close()
	return response.Close
}

// Each kind of connection that is open as the server stops: a request that was begun is answered,
// and its connection ends with the response; an unused one ends without a wait.
func TestStopEndsEachConnectionInOrder(t *testing.T) {
	for name, with := range map[string][]server.Option{
		"plain":                  nil,
		"polled close detection": {server.PolledCloseDetection(), server.DeadPeerTimeout(3 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := startNoContentServer(t, with...)
			fresh, fromFresh := dial(t, addr)
			idle, fromIdle := dial(t, addr)
			begun, fromBegun := dial(t, addr)
			for _, c := range []struct {
				net.Conn
				from *bufio.Reader
			}{{idle, fromIdle}, {begun, fromBegun}} {
				_, err := io.WriteString(c, request)
				must.NoError(t, err)
				must.False(t, readResponse(t, c.from))
			}
			_, err := io.WriteString(begun, request[:9])
			must.NoError(t, err)

			began := time.Now()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(context.Background()) }()
			_, err = fromIdle.ReadByte()
			must.ErrorIs(t, err, io.EOF)
			must.Less(t, time.Second, time.Since(began))
			_, err = io.WriteString(begun, request[9:])
			must.NoError(t, err)
			must.True(t, readResponse(t, fromBegun))
			_, err = io.WriteString(fresh, request)
			must.NoError(t, err)
			must.True(t, readResponse(t, fromFresh))
			must.NoError(t, <-stopped)
			_, err = net.Dial("tcp", addr)
			must.Error(t, err)
		})
	}
}

// Connections that wait to be accepted as the server stops are answered too.
func TestWaitingConnectionsAreAnsweredInAStop(t *testing.T) {
	s := server.New("127.0.0.1:0", func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusNoContent)
		return true
	})
	endpoint, err := s.Endpoint()
	must.NoError(t, err)
	var waiting []*bufio.Reader
	for range 100 {
		c, from := dial(t, endpoint.Host)
		_, err := io.WriteString(c, request)
		must.NoError(t, err)
		waiting = append(waiting, from)
	}
	go func() { _ = s.Start(context.Background()) }()
	readResponse(t, waiting[0])
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for _, from := range waiting[1:] {
		readResponse(t, from)
	}
	must.NoError(t, <-stopped)
}

// A request that never becomes complete delays a stop until its context ends, not longer.
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
