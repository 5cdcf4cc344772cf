package endpoint

import (
	"net"
	"sync/atomic"
	"time"
)

// SetHung makes the endpoint hang or resume. A hung endpoint accepts connections, reads from them
// only after it resumes, and sends no heartbeats.
func (e *Endpoint) SetHung(on bool) {
	e.SetHeartbeatsMuted(on)
	e.hangMu.Lock()
	defer e.hangMu.Unlock()
	switch {
	case on && e.awake == nil:
		e.awake = make(chan struct{})
	case !on && e.awake != nil:
		close(e.awake)
		e.awake = nil
	}
}

// waitWhileHung waits while the endpoint hangs, and tells whether it did.
func (e *Endpoint) waitWhileHung() bool {
	e.hangMu.Lock()
	awake := e.awake
	e.hangMu.Unlock()
	if awake == nil {
		return false
	}
	select {
	case <-awake:
	case <-e.stop:
	}
	return true
}

// hangListener is the listener of an endpoint that may hang.
type hangListener struct {
	net.Listener
	endpoint *Endpoint
}

// hangConn is a connection of an endpoint that may hang.
type hangConn struct {
	net.Conn
	endpoint   *Endpoint
	acceptedAt time.Time
	delayed    atomic.Bool // the last read waited for the endpoint to wake
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Accept accepts a connection, whether the endpoint hangs or not.
func (h hangListener) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hangConn{Conn: c, endpoint: h.endpoint, acceptedAt: time.Now()}, nil
}

// Read waits while the endpoint hangs.
func (c *hangConn) Read(p []byte) (int, error) {
	c.delayed.Store(c.endpoint.waitWhileHung())
	return c.Conn.Read(p)
}

// Write waits while the endpoint hangs.
func (c *hangConn) Write(p []byte) (int, error) {
	c.endpoint.waitWhileHung()
	return c.Conn.Write(p)
}
