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

// Pool keeps connections for reuse. Invariants: a pooled connection has not exceeded its idle
// time when it is taken; before the first byte of a request is written it is seen to be open
// with nothing to read.
type Pool struct {
	mu        sync.Mutex
	settings  Settings
	dialer    net.Dialer
	hosts     map[ident.Addr]*hostPool
	dialCount int
}

// New makes a pool that dials from the machine's own IP. The last of the given settings
// counts.
func New(localAddr ident.Addr, settings ...Settings) *Pool {
	pool := &Pool{hosts: map[ident.Addr]*hostPool{}}
	for _, given := range settings {
		pool.settings = given
	}
	pool.settings = pool.settings.withDefaults()
	timeout := pool.settings.DeadPeerTimeout
	pool.dialer = net.Dialer{
		Timeout:   pool.settings.DialTimeout,
		LocalAddr: localAddr.DialSource(),
		KeepAlive: -1, // idletimeout sets its own probes
		Control:   func(_, _ string, raw syscall.RawConn) error { return idletimeout.Set(raw, timeout) },
	}
	return pool
}

// Dials returns how many connections were dialled so far.
func (pool *Pool) Dials() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.dialCount
}

// OpenConns returns how many connections to an address are open, idle ones included.
func (pool *Pool) OpenConns(addr ident.Addr) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if host := pool.hosts[addr]; host != nil {
		return host.openCount
	}
	return 0
}

// Drop closes the idle connections of an address, lets those in use end after their call and
// fails the calls that wait for one. Those still in use no longer count against the limit.
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

// CloseExpired closes the connections that exceeded their idle time. A connection that the
// peer has closed holds a file descriptor until it is taken or expires.
func (pool *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	pool.mu.Lock()
	for addr, host := range pool.hosts {
		if host.openCount == 0 {
			delete(pool.hosts, addr)
			continue
		}
		expired = append(expired, host.takeExpired(now)...)
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

// acquire finds a connection for the call, or dials one within the limit. reused says that
// it was in use before.
func (pool *Pool) acquire(ctx context.Context, addr ident.Addr, call *Call) (c *conn, reused bool, fail *failure.Error) {
	now := time.Now()
	if ctx.Err() != nil || !call.Deadline.IsZero() && !now.Before(call.Deadline) {
		return nil, false, failure.New(failure.DeadlineExceeded, "no time is left")
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

// reservation is what a call gets of the connections of an address: an idle one, the slot to
// dial one, a place in the queue for one, or, at the limit, nothing.
type reservation struct {
	host    *hostPool
	idle    *conn
	mayDial bool
	waiter  chan *conn
	evicted []*conn // connections that gave way; they are to be closed
}

// reserve finds what a call gets. Invariant: a slot that it may dial in is counted in openCount.
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

// waitForConn waits in the host's queue for a connection, or for a free slot to dial one.
func (pool *Pool) waitForConn(ctx context.Context, host *hostPool, call *Call, waiter chan *conn) (*conn, bool, *failure.Error) {
	var deadline <-chan time.Time
	if !call.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(call.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case c, ok := <-waiter:
		return pool.useHandover(ctx, host, call, c, ok)
	case <-deadline:
	case <-ctx.Done():
	}
	pool.mu.Lock()
	left := host.removeWaiter(waiter)
	pool.mu.Unlock()
	if !left {
		pool.returnHandover(host, waiter)
	}
	return nil, false, failure.New(failure.DeadlineExceeded, "no connection to %s in time", host.addr)
}

// useHandover uses what a waiting call was handed: a connection, or, if c is nil, the slot
// for one. served is false when the address was dropped.
func (pool *Pool) useHandover(ctx context.Context, host *hostPool, call *Call, c *conn, served bool) (*conn, bool, *failure.Error) {
	if !served {
		return nil, false, failure.New(failure.Unreachable, "%s is no longer served", host.addr)
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

// returnHandover gives back what a call was handed as it stopped waiting.
func (pool *Pool) returnHandover(host *hostPool, waiter chan *conn) {
	c, ok := <-waiter
	switch {
	case !ok:
	case c == nil:
		pool.releaseSlot(host)
	default:
		pool.release(c, true)
	}
}

// dialConn dials. Invariant: the new connection is counted in openCount already.
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
			return nil, false, failure.New(failure.DeadlineExceeded, "no connection to %s in time", host.addr)
		}
		return nil, false, failure.New(failure.Unreachable, "can't connect to %s", host.addr)
	}
	c, err := newConn(raw.(*net.TCPConn), host)
	if err != nil {
		pool.releaseSlot(host)
		_ = raw.Close()
		return nil, false, failure.New(failure.Unreachable, "can't connect to %s", host.addr)
	}
	_ = c.SetDeadline(call.Deadline)
	return c, false, nil
}

// releaseSlot hands the slot of one connection to the first waiter.
func (pool *Pool) releaseSlot(host *hostPool) {
	pool.mu.Lock()
	host.releaseSlot()
	pool.mu.Unlock()
}

// release takes a connection back: it goes to the first waiter, becomes idle, or is closed.
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
