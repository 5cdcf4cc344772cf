package server

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// firstRequestTimeout is how long a connection that has sent nothing yet is kept while the
	// server stops: its first request is on the way. net/http waits as long.
	firstRequestTimeout = 5 * time.Second
	// finalReadTimeout is how long an idle connection is read once more before it is closed, so
	// that a request which has arrived already is not lost.
	finalReadTimeout = time.Millisecond
)

// conn is an accepted connection. It knows whether a part of a request was read, which
// http.ConnState does not tell: net/http calls a connection new or idle until it has read a
// complete head.
type conn struct {
	*net.TCPConn
	source   io.Reader // what Read reads from: the TCPConn, or one without close detection
	accepted time.Time
	// requestBegun tells that a part of a request was read since the connection was last idle.
	requestBegun atomic.Bool
	// rawConn and descriptor are for the close watch; rawConn is nil when there is none.
	rawConn    syscall.RawConn
	descriptor int32

	mu    sync.Mutex
	state http.ConnState
	// woken tells that wakeIfUnused has set a read deadline. Only a new or idle connection is
	// woken.
	woken bool
}

// Read reads from the connection. If it was woken and no part of a request has come, it fails
// and so ends the connection: the goroutine that reads decides that, so no request is lost
// between the check and the close.
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.source.Read(buffer)
		if n > 0 {
			c.requestBegun.Store(true)
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.consumeWake() {
			return n, err
		}
		if c.requestBegun.Load() {
			// The wake replaced net/http's deadline for the head.
			_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(finalReadTimeout))
		if n, err = c.source.Read(buffer); n > 0 {
			c.requestBegun.Store(true)
			_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
		}
		return n, err
	}
}

// consumeWake reports whether the connection was woken, and forgets it.
func (c *conn) consumeWake() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken := c.woken
	c.woken = false
	return woken
}

// setState follows net/http's state of the connection.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateIdle:
		c.requestBegun.Store(false)
	case http.StateActive:
		if c.woken { // net/http has no deadline now: it has read the head
			c.woken = false
			_ = c.SetReadDeadline(time.Time{})
		}
	}
}

// wakeIfUnused interrupts the read of an unused connection, which ends it.
func (c *conn) wakeIfUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.accepted) >= firstRequestTimeout
	if !unused || c.requestBegun.Load() {
		return
	}
	c.woken = true
	_ = c.SetReadDeadline(now)
}
