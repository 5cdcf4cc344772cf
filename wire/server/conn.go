package server

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRequestTimeout is how long a connection that has sent nothing yet is kept while the
	// server stops: its first request is on the way. net/http waits as long.
	firstRequestTimeout = 5 * time.Second
	// finalReadTimeout is how long an idle connection is read once more before it is closed, so that
	// a request which has arrived already is not lost.
	finalReadTimeout = time.Millisecond
)

// conn is an accepted connection. It knows whether a part of a request was read, which
// http.ConnState does not tell: net/http calls a connection new or idle until it has read a
// whole head.
type conn struct {
	*net.TCPConn
	source   io.Reader // what Read reads from: the TCPConn, or one that is deaf
	accepted time.Time
	// requestBegun tells that a part of a request was read since the connection was last idle.
	requestBegun atomic.Bool

	mu    sync.Mutex
	state http.ConnState
	// woken tells that wake set a read deadline. Only a new or idle connection is woken.
	woken bool
}

// Read reads from the connection. One that was woken ends here if nothing of a request has
// come: the goroutine that reads decides that, so no request is lost between the look and
// the close.
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
			// The wake took the place of net/http's deadline for the head.
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

// wakeIfUnused has the connection's reader end it, if it is unused.
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

// connTracker are the open connections of a server.
type connTracker struct {
	mu        sync.Mutex
	openConns map[*conn]struct{}
	// changed gets a value when a connection may have become unused or has ended.
	changed chan struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{openConns: map[*conn]struct{}{}, changed: make(chan struct{}, 1)}
}

// connStateHook is a hook for http.Server.ConnState, which calls then, when given, with the TCP
// connection.
func (tracker *connTracker) connStateHook(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*conn); ok {
			tracker.setState(c, state)
			raw = c.TCPConn
		}
		if next != nil {
			next(raw, state)
		}
	}
}

func (tracker *connTracker) setState(c *conn, state http.ConnState) {
	c.setState(state)
	switch state {
	case http.StateNew:
		tracker.mu.Lock()
		tracker.openConns[c] = struct{}{}
		tracker.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		tracker.mu.Lock()
		delete(tracker.openConns, c)
		tracker.mu.Unlock()
	case http.StateActive:
		return
	}
	select {
	case tracker.changed <- struct{}{}:
	default:
	}
}

// wakeUnused wakes every unused connection and tells how many are open.
func (tracker *connTracker) wakeUnused() int {
	now := time.Now()
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for c := range tracker.openConns {
		c.wakeIfUnused(now)
	}
	return len(tracker.openConns)
}
