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
	// firstRequestTimeout is how long a stopping server keeps a new connection on which no bytes
	// have arrived, because the first request may be in flight. net/http waits equally long.
	firstRequestTimeout = 5 * time.Second
	// finalReadTimeout limits the last read from an unused connection before the close, so that a
	// request that has already arrived is not lost.
	finalReadTimeout = time.Millisecond
)

// conn is an accepted connection. conn records whether a part of a request was read, which
// http.ConnState does not show: net/http reports a connection as new or idle until net/http has read
// a complete head.
type conn struct {
	*net.TCPConn
	source   io.Reader // source of Read: TCPConn, or a noCloseDetectionConn on TCPConn
	accepted time.Time
	// requestStarted is true if a part of a request was read since the connection was last idle.
	requestStarted atomic.Bool
	// rawConn and descriptor are used by closeWatcher. rawConn is nil if the connection is not
	// watched.
	rawConn    syscall.RawConn
	descriptor int32

	mu    sync.Mutex
	state http.ConnState
	// woken is true after wakeIfUnused has set a read deadline. Only a new or idle connection is
	// woken.
	woken bool
}

// Read reads from the connection. If the connection was woken and no part of a request has arrived,
// Read returns an error, which makes net/http close the connection. The reading goroutine makes this
// decision, so that no request is lost between the check and the close.
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.source.Read(buffer)
		if n > 0 {
			c.requestStarted.Store(true)
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.takeWake() {
			return n, err
		}
		if c.requestStarted.Load() {
			// wakeIfUnused has replaced the deadline that net/http set for the head.
			_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(finalReadTimeout))
		if n, err = c.source.Read(buffer); n > 0 {
			c.requestStarted.Store(true)
			_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
		}
		return n, err
	}
}

// takeWake clears woken and returns its previous value.
func (c *conn) takeWake() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken := c.woken
	c.woken = false
	return woken
}

// setState records the state that net/http reports for the connection.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateIdle:
		c.requestStarted.Store(false)
	case http.StateActive:
		if c.woken { // net/http has read the head and has cleared its deadline
			c.woken = false
			_ = c.SetReadDeadline(time.Time{})
		}
	}
}

// wakeIfUnused interrupts the read from an unused connection, so that Read ends with an error and
// net/http closes the connection, unless a request has arrived in the meantime.
func (c *conn) wakeIfUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.accepted) >= firstRequestTimeout
	if !unused || c.requestStarted.Load() {
		return
	}
	c.woken = true
	_ = c.SetReadDeadline(now)
}
