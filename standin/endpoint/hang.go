package endpoint

import (
	"net"
	"sync/atomic"
	"time"
)

// SetHung makes the endpoint hang or resume. A hung endpoint accepts connections, but sends no
// heartbeats, and reads and writes on connections wait until the endpoint resumes.
func (e *Endpoint) SetHung(hung bool) {
	e.SetHeartbeatsMuted(hung)
	e.hangMu.Lock()
	defer e.hangMu.Unlock()
	switch {
	case hung && e.resumed == nil:
		e.resumed = make(chan struct{})
	case !hung && e.resumed != nil:
		close(e.resumed)
		e.resumed = nil
	}
}

// waitWhileHung waits until a hung endpoint resumes or stops, and reports whether the endpoint was hung
// at the time of the call.
func (e *Endpoint) waitWhileHung() bool {
	e.hangMu.Lock()
	resumed := e.resumed
	e.hangMu.Unlock()
	if resumed == nil {
		return false
	}
	select {
	case <-resumed:
	case <-e.stop:
	}
	return true
}

// hangingListener is the listener of an endpoint that may hang.
type hangingListener struct {
	net.Listener
	endpoint *Endpoint
}

// hangingConn is a connection of an endpoint that may hang.
type hangingConn struct {
	net.Conn
	endpoint      *Endpoint
	acceptedAt    time.Time
	delayedByHang atomic.Bool // whether the last read waited for the endpoint to resume
}

// connContextKey is the key of the *hangingConn in the context of a request.
type connContextKey struct{}

// Accept accepts a connection, whether the endpoint hangs or not.
func (h hangingListener) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hangingConn{Conn: c, endpoint: h.endpoint, acceptedAt: time.Now()}, nil
}

// Read waits while the endpoint hangs.
func (c *hangingConn) Read(p []byte) (int, error) {
	c.delayedByHang.Store(c.endpoint.waitWhileHung())
	return c.Conn.Read(p)
}

// Write waits while the endpoint hangs.
func (c *hangingConn) Write(p []byte) (int, error) {
	c.endpoint.waitWhileHung()
	return c.Conn.Write(p)
}
