package server_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/wire/server"
)

const (
	plainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	// awaitTimeout limits the wait for an expected event. The timeout is long, so that no test
	// fails because the machine is busy.
	awaitTimeout = time.Minute
	// quietPeriod is how long a test checks that an event does not occur.
	quietPeriod = 300 * time.Millisecond
)

// blockingServer is a server whose handler sends a value on started for each request and blocks until
// the context of the request ends or release is closed. The handler then sends the error of the
// context on ended.
type blockingServer struct {
	addr    string
	started chan struct{}
	release chan struct{}
	ended   chan error
}

func startBlockingServer(t *testing.T, options ...server.Option) *blockingServer {
	h := &blockingServer{started: make(chan struct{}, 1000), release: make(chan struct{}), ended: make(chan error, 1000)}
	h.addr = startServer(t, func(w http.ResponseWriter, r *http.Request) bool {
		h.started <- struct{}{}
		select {
		case <-r.Context().Done():
		case <-h.release:
		}
		h.ended <- r.Context().Err()
		_, _ = io.WriteString(w, "ok")
		return true
	}, options...)
	return h
}

func (h *blockingServer) dial(t *testing.T) *net.TCPConn {
	c, err := net.Dial("tcp", h.addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

func await[T any](t *testing.T, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(awaitTimeout):
		t.Fatalf("%s did not arrive within %v", what, awaitTimeout)
	}
	return value
}

// The context of a request ends when the client closes or resets the connection, with the close
// detection of net/http and with polled close detection.
func TestContextEndsWhenClientCloses(t *testing.T) {
	for name, options := range map[string][]server.Option{
		"net/http's detection": nil,
		"polled":               {server.PolledCloseDetection(), server.DeadPeerTimeout(3 * time.Second)},
	} {
		for _, linger := range []int{-1, 0} {
			t.Run(fmt.Sprint(name, ", linger ", linger), func(t *testing.T) {
				h := startBlockingServer(t, options...)
				c := h.dial(t)
				must.NoError(t, c.SetLinger(linger))
				_, _ = io.WriteString(c, plainRequest)
				await(t, "the request", h.started)
				must.NoError(t, c.Close())
				must.Error(t, await(t, "the end of the context", h.ended))
			})
		}
	}
}

// The context of a request does not end while the client stays connected: neither while the client
// waits, nor if the client has already sent the next request, nor for later requests on the
// connection.
func TestContextLastsWhileClientIsConnected(t *testing.T) {
	h := startBlockingServer(t, server.PolledCloseDetection())
	c := h.dial(t)
	const requests = 3
	for range requests {
		_, _ = io.WriteString(c, plainRequest)
	}
	await(t, "the request", h.started)
	select {
	case err := <-h.ended:
		t.Fatal("the request ended: ", err)
	case <-time.After(quietPeriod):
	}
	close(h.release)
	for range requests {
		must.NoError(t, await(t, "the end of a request", h.ended))
	}
}

// If some of many clients close the connection, only the contexts of their requests end.
func TestOnlyContextsOfClosedClientsEnd(t *testing.T) {
	h := startBlockingServer(t, server.PolledCloseDetection())
	const clients = 40
	var connecting sync.WaitGroup
	conns := make([]*net.TCPConn, clients)
	for i := range conns {
		conns[i] = h.dial(t)
		connecting.Go(func() { _, _ = io.WriteString(conns[i], plainRequest) })
	}
	connecting.Wait()
	for range clients {
		await(t, "a request", h.started)
	}
	for i := 0; i < clients; i += 2 {
		must.NoError(t, conns[i].Close())
	}
	for range clients / 2 {
		must.Error(t, await(t, "the end of a context", h.ended))
	}
	select {
	case err := <-h.ended:
		t.Fatal("the context of a connected client ended: ", err)
	case <-time.After(quietPeriod):
	}
	close(h.release)
	for range clients / 2 {
		must.NoError(t, await(t, "the end of a request", h.ended))
	}
}
