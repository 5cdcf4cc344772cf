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
	// patience bounds what must come about; no test may fail because the machine is busy.
	patience = time.Minute
	// quietTime is how long it is watched that something does not come about.
	quietTime = 300 * time.Millisecond
)

// heldServer is a server whose handler tells of each request on begun and holds it until its
// context ends, or until release is closed; ended tells which it was.
type heldServer struct {
	addr    string
	begun   chan struct{}
	release chan struct{}
	ended   chan error
}

func startHeldServer(t *testing.T, options ...server.Option) *heldServer {
	h := &heldServer{begun: make(chan struct{}, 1000), release: make(chan struct{}), ended: make(chan error, 1000)}
	h.addr = startServer(t, func(w http.ResponseWriter, r *http.Request) bool {
		h.begun <- struct{}{}
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

func (h *heldServer) dial(t *testing.T) *net.TCPConn {
	c, err := net.Dial("tcp", h.addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

func await[T any](t *testing.T, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(patience):
		t.Fatalf("%s did not come", what)
	}
	return value
}

// The context of a request ends when its client closes or resets the connection, in both ways of
// detection, and also on a connection that has carried requests before.
func TestContextEndsWhenClientLeaves(t *testing.T) {
	for name, options := range map[string][]server.Option{
		"net/http's detection": nil,
		"polled":               {server.PolledCloseDetection(), server.DeadPeerTimeout(3 * time.Second)},
	} {
		for _, linger := range []int{-1, 0} {
			t.Run(fmt.Sprint(name, ", linger ", linger), func(t *testing.T) {
				h := startHeldServer(t, options...)
				c := h.dial(t)
				must.NoError(t, c.SetLinger(linger))
				_, _ = io.WriteString(c, plainRequest)
				await(t, "the request", h.begun)
				must.NoError(t, c.Close())
				must.Error(t, await(t, "the end of the context", h.ended))
			})
		}
	}
}

// A client that stays is not taken for one that left: not while it only waits, nor when it has
// sent its next request already, nor on the later requests of a connection.
func TestContextOfAClientThatStays(t *testing.T) {
	h := startHeldServer(t, server.PolledCloseDetection())
	c := h.dial(t)
	const requests = 3
	for range requests {
		_, _ = io.WriteString(c, plainRequest)
	}
	await(t, "the request", h.begun)
	select {
	case err := <-h.ended:
		t.Fatal("the request ended: ", err)
	case <-time.After(quietTime):
	}
	close(h.release)
	for range requests {
		must.NoError(t, await(t, "the end of a request", h.ended))
	}
}

// Of many clients that leave and stay in any order, just those that leave are seen to.
func TestManyClientsLeave(t *testing.T) {
	h := startHeldServer(t, server.PolledCloseDetection())
	const clients = 40
	var connecting sync.WaitGroup
	conns := make([]*net.TCPConn, clients)
	for i := range conns {
		conns[i] = h.dial(t)
		connecting.Go(func() { _, _ = io.WriteString(conns[i], plainRequest) })
	}
	connecting.Wait()
	for range clients {
		await(t, "a request", h.begun)
	}
	for i := 0; i < clients; i += 2 {
		must.NoError(t, conns[i].Close())
	}
	for range clients / 2 {
		must.Error(t, await(t, "the end of a context", h.ended))
	}
	select {
	case err := <-h.ended:
		t.Fatal("the request of a client that stays ended: ", err)
	case <-time.After(quietTime):
	}
	close(h.release)
	for range clients / 2 {
		must.NoError(t, await(t, "the end of a request", h.ended))
	}
}
