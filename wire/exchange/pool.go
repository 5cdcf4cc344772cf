package exchange

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/idletimeout"
)

// Pool keeps connections for reuse. Invariants: a connection that has exceeded its idle time is not
// reused; the first byte of a request is written only after a check that the connection is open and
// has no unread bytes.
type Pool struct {
	mu        sync.Mutex
	settings  Settings
	dialer    net.Dialer
	hosts     map[ident.Addr]*hostPool
	dialCount int
}

// New returns a pool that dials from the IP of localAddr. The last of the settings applies.
func New(localAddr ident.Addr, settings ...Settings) *Pool {
	pool := &Pool{hosts: map[ident.Addr]*hostPool{}}
	for _, configured := range settings {
		pool.settings = configured
	}
	pool.settings = pool.settings.withDefaults()
	timeout := pool.settings.DeadPeerTimeout
	pool.dialer = net.Dialer{
		Timeout:   pool.settings.DialTimeout,
		LocalAddr: localAddr.DialSource(),
		KeepAlive: -1, // idletimeout.Set configures the probes
		Control:   func(_, _ string, raw syscall.RawConn) error { return idletimeout.Set(raw, timeout) },
	}
	return pool
}

// Dials returns the number of dial attempts so far.
func (pool *Pool) Dials() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.dialCount
}

// OpenConns returns the number of connections to an address that are in use, idle or being dialed.
func (pool *Pool) OpenConns(addr ident.Addr) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if host := pool.hosts[addr]; host != nil {
		return host.openCount
	}
	return 0
}

// Drop closes the idle connections to an address and fails the calls that wait for a connection.
// Connections in use are closed after their call and no longer count against the limit.
func (pool *Pool) Drop(addr ident.Addr) {
	pool.mu.Lock()
	host := pool.hosts[addr]
	if host == nil {
		pool.mu.Unlock()
		return
	}
	delete(pool.hosts, addr)
	host.dropped = true
	idle, waiters := host.idle, host.waiters
	host.openCount -= len(idle)
	host.idle, host.waiters = nil, nil
	pool.mu.Unlock()
	abortAll(idle)
	for _, waiter := range waiters {
		close(waiter)
	}
}

// CloseExpired closes the connections that have exceeded their idle time. An idle connection that
// the peer has closed holds a file descriptor until the connection is taken for a call or expires.
func (pool *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	pool.mu.Lock()
	for addr, host := range pool.hosts {
		if host.openCount == 0 {
			delete(pool.hosts, addr)
			continue
		}
		expired = append(expired, host.removeExpired(now)...)
	}
	pool.mu.Unlock()
	for _, c := range expired {
		pool.release(c, false)
	}
}

func (pool *Pool) host(addr ident.Addr) *hostPool {
	host := pool.hosts[addr]
	if host == nil {
		host = &hostPool{addr: addr, settings: &pool.settings}
		pool.hosts[addr] = host
	}
	return host
}

// acquire returns an idle connection for the call, or dials one within the limit. reused reports
// whether the connection has already carried a call.
func (pool *Pool) acquire(ctx context.Context, addr ident.Addr, call *Call) (c *conn, reused bool, fail *failure.Error) {
	now := time.Now()
	if ctx.Err() != nil || !call.Deadline.IsZero() && !now.Before(call.Deadline) {
		return nil, false, failure.New(failure.DeadlineExceeded, "the call timed out or was canceled before a connection to %s was acquired", addr)
	}
	reserved := pool.reserve(now, addr, call)
	abortAll(reserved.evicted)
	switch {
	case reserved.idle != nil:
		_ = reserved.idle.SetDeadline(call.Deadline)
		return reserved.idle, true, nil
	case reserved.mayDial:
		return pool.dialConn(ctx, reserved.host, call)
	case reserved.waiter != nil:
		return pool.waitForConn(ctx, reserved.host, call, reserved.waiter)
	}
	return nil, false, failure.New(failure.Busy, "the connection limit of %s is reached", addr)
}

// reservation is what a call receives from the host pool of an address: an idle connection, a slot
// in which the call may dial, a place in the queue, or, at the connection limit, nothing.
type reservation struct {
	host    *hostPool
	idle    *conn
	mayDial bool
	waiter  chan *conn
	evicted []*conn // connections that the caller must close
}

// reserve makes the reservation of a call. Invariant: if mayDial is set, openCount includes the
// connection to be dialed.
func (pool *Pool) reserve(now time.Time, addr ident.Addr, call *Call) (r reservation) {
	limit := call.MaxConns
	if limit <= 0 {
		limit = pool.settings.MaxConns
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	r.host = pool.host(addr)
	if !call.SingleUse {
		if r.idle = r.host.popIdle(now, call, &r.evicted); r.idle != nil {
			return r
		}
	}
	r.evicted = append(r.evicted, r.host.evictIdle(limit)...)
	switch {
	case limit <= 0 || r.host.openCount < limit:
		r.host.openCount++
		r.mayDial = true
	case call.WaitForConn:
		r.waiter = make(chan *conn, 1)
		r.host.waiters = append(r.host.waiters, r.waiter)
	}
	return r
}

// waitForConn waits until the call receives a connection, or a slot in which the call may dial.
func (pool *Pool) waitForConn(ctx context.Context, host *hostPool, call *Call, waiter chan *conn) (*conn, bool, *failure.Error) {
	var deadline <-chan time.Time
	if !call.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(call.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case c, ok := <-waiter:
		return pool.acceptHandoff(ctx, host, call, c, ok)
	case <-deadline:
	case <-ctx.Done():
	}
	pool.mu.Lock()
	removed := host.removeWaiter(waiter)
	pool.mu.Unlock()
	if !removed {
		pool.releaseHandoff(host, waiter)
	}
	return nil, false, failure.New(failure.DeadlineExceeded, "the call timed out or was canceled while waiting for a connection to %s", host.addr)
}

// acceptHandoff returns the connection for a call that has waited. c is the connection that the call
// received, or nil for a slot in which the call may dial. ok is false if the address was dropped.
func (pool *Pool) acceptHandoff(ctx context.Context, host *hostPool, call *Call, c *conn, ok bool) (*conn, bool, *failure.Error) {
	if !ok {
		return nil, false, failure.New(failure.Unreachable, "the connection pool of %s was dropped", host.addr)
	}
	if c != nil {
		if !call.SingleUse {
			_ = c.SetDeadline(call.Deadline)
			return c, true, nil
		}
		c.abort()
	}
	return pool.dialConn(ctx, host, call)
}

// releaseHandoff returns the connection or the slot that a call received while the call stopped
// waiting.
func (pool *Pool) releaseHandoff(host *hostPool, waiter chan *conn) {
	c, ok := <-waiter
	switch {
	case !ok:
	case c == nil:
		pool.releaseSlot(host)
	default:
		pool.release(c, true)
	}
}

// dialConn dials a connection for the call. Invariant: openCount already includes the connection.
func (pool *Pool) dialConn(ctx context.Context, host *hostPool, call *Call) (*conn, bool, *failure.Error) {
	pool.mu.Lock()
	pool.dialCount++
	pool.mu.Unlock()
	dialer := pool.dialer
	dialer.Deadline = call.Deadline
	raw, err := dialer.DialContext(ctx, "tcp", string(host.addr))
	if err != nil {
		pool.releaseSlot(host)
		if ctx.Err() != nil || !call.Deadline.IsZero() && !time.Now().Before(call.Deadline) {
			return nil, false, failure.New(failure.DeadlineExceeded, "the call timed out or was canceled while dialing %s", host.addr)
		}
		return nil, false, failure.New(failure.Unreachable, "can't connect to %s: %v", host.addr, err)
	}
	c, err := newConn(raw.(*net.TCPConn), host)
	if err != nil {
		pool.releaseSlot(host)
		_ = raw.Close()
		return nil, false, failure.New(failure.Unreachable, "can't access the socket of the connection to %s: %v", host.addr, err)
	}
	_ = c.SetDeadline(call.Deadline)
	return c, false, nil
}

// releaseSlot passes the slot of a closed connection to the first waiting call, or frees the slot.
func (pool *Pool) releaseSlot(host *hostPool) {
	pool.mu.Lock()
	host.releaseSlot()
	pool.mu.Unlock()
}

// release ends the use of a connection. A reusable connection is passed to the first waiting call or
// becomes idle; any other connection is closed.
func (pool *Pool) release(c *conn, reusable bool) {
	host := c.host
	pool.mu.Lock()
	if !reusable || host.dropped {
		host.releaseSlot()
		pool.mu.Unlock()
		c.abort()
		return
	}
	c.lastUsed = time.Now()
	evicted := host.put(c)
	pool.mu.Unlock()
	if evicted != nil {
		evicted.abort()
	}
}

func abortAll(conns []*conn) {
	for _, c := range conns {
		c.abort()
	}
}
