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
	// firstRequestWait is how long a connection that has sent nothing yet is kept while the
	// server stops: its first request is on the way. net/http waits as long.
	firstRequestWait = 5 * time.Second
	// lastLook is how long an idle connection is read once more before it is closed, so that
	// a request which has arrived already is not lost.
	lastLook = time.Millisecond
)

// conn is an accepted connection. It knows whether a part of a request was read, which
// http.ConnState does not tell: net/http calls a connection new or idle until it has read a
// whole head.
type conn struct {
	*net.TCPConn
	source   io.Reader // what Read reads from: the TCPConn, or one that is deaf
	accepted time.Time
	// begun tells that a part of a request was read since the connection was last idle.
	begun atomic.Bool

	mu    sync.Mutex
	state http.ConnState
	// woken tells that wake set a read deadline. Only a new or idle connection is woken.
	woken bool
}

// Read reads from the connection. One that was woken ends here if nothing of a request has
// come: the goroutine that reads decides that, so no request is lost between the look and
// the close.
func (c *conn) Read(into []byte) (int, error) {
	for {
		n, err := c.source.Read(into)
		if n > 0 {
			c.begun.Store(true)
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.takeWake() {
			return n, err
		}
		if c.begun.Load() {
			// The wake took the place of net/http's deadline for the head.
			_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(lastLook))
		if n, err = c.source.Read(into); n > 0 {
			c.begun.Store(true)
			_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
		}
		return n, err
	}
}

func (c *conn) takeWake() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken := c.woken
	c.woken = false
	return woken
}

// enter follows net/http's state of the connection.
func (c *conn) enter(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateIdle:
		c.begun.Store(false)
	case http.StateActive:
		if c.woken { // net/http has no deadline now: it has read the head
			c.woken = false
			_ = c.SetReadDeadline(time.Time{})
		}
	}
}

// wake has the connection's reader end it, if it is unused.
func (c *conn) wake(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.accepted) >= firstRequestWait
	if !unused || c.begun.Load() {
		return
	}
	c.woken = true
	_ = c.SetReadDeadline(now)
}

// conns are the open connections of a server.
type conns struct {
	mu   sync.Mutex
	open map[*conn]struct{}
	// changed gets a value when a connection may have become unused or has ended.
	changed chan struct{}
}

func newConns() *conns {
	return &conns{open: map[*conn]struct{}{}, changed: make(chan struct{}, 1)}
}

// follow is a hook for http.Server.ConnState, which calls then, when given, with the TCP
// connection.
func (o *conns) follow(then func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*conn); ok {
			o.enter(c, state)
			raw = c.TCPConn
		}
		if then != nil {
			then(raw, state)
		}
	}
}

func (o *conns) enter(c *conn, state http.ConnState) {
	c.enter(state)
	switch state {
	case http.StateNew:
		o.mu.Lock()
		o.open[c] = struct{}{}
		o.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		o.mu.Lock()
		delete(o.open, c)
		o.mu.Unlock()
	case http.StateActive:
		return
	}
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// wakeUnused wakes every unused connection and tells how many are open.
func (o *conns) wakeUnused() int {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.open {
		c.wake(now)
	}
	return len(o.open)
}
