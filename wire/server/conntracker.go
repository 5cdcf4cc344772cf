package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker tracks the open connections of a server.
type connTracker struct {
	mu        sync.Mutex
	openConns map[*conn]struct{}
	// changed receives a value when a connection may have become unused or was closed.
	changed chan struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{openConns: map[*conn]struct{}{}, changed: make(chan struct{}, 1)}
}

// connStateHook returns a hook for http.Server.ConnState. The hook calls next, if next is not nil,
// with the TCP connection.
func (t *connTracker) connStateHook(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*conn); ok {
			t.setState(c, state)
			raw = c.TCPConn
		}
		if next != nil {
			next(raw, state)
		}
	}
}

func (t *connTracker) setState(c *conn, state http.ConnState) {
	c.setState(state)
	switch state {
	case http.StateNew:
		t.mu.Lock()
		t.openConns[c] = struct{}{}
		t.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.openConns, c)
		t.mu.Unlock()
	case http.StateActive:
		return
	}
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// wakeUnused wakes every unused connection and returns the number of open connections.
func (t *connTracker) wakeUnused() int {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.openConns {
		c.wakeIfUnused(now)
	}
	return len(t.openConns)
}
