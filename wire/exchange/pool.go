package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/idletimeout"
)

// Pool keeps connections. Invariants: a kept connection is young enough when it is taken
// out; before the first byte of a request it is seen to be open and silent.
type Pool struct {
	mu        sync.Mutex
	settings  Settings
	dialer    net.Dialer
	hosts     map[ident.Addr]*hostPool
	dialCount int
}

// hostPool holds the connections of one address. Invariants: open counts those in use,
// unused and being dialled; idle is in order of use, the latest last; somebody is in
// line only while open is at the bound.
type hostPool struct {
	addr      ident.Addr
	settings  *Settings
	idle      []*conn
	openCount int
	waiters   []chan *conn // gets a connection, or nil: the room to dial one; closed when dropped
	dropped   bool
}

// New makes a pool that dials from the machine's own IP.
func New(localAddr ident.Addr, settings ...Settings) *Pool {
	pool := &Pool{hosts: map[ident.Addr]*hostPool{}}
	for _, given := range settings {
		pool.settings = given
	}
	pool.settings = pool.settings.withDefaults()
	timeout := pool.settings.DeadPeerTimeout
	pool.dialer = net.Dialer{Timeout: pool.settings.DialTimeout, LocalAddr: localAddr.DialSource(), KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error { return idletimeout.Set(raw, timeout) }}
	return pool
}

// Dials tells how many connections were begun so far.
func (pool *Pool) Dials() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.dialCount
}

// OpenConns tells how many connections to an address are open, unused ones included.
func (pool *Pool) OpenConns(addr ident.Addr) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if host := pool.hosts[addr]; host != nil {
		return host.openCount
	}
	return 0
}

// Drop closes the kept connections of an address, keeps none of those in use and turns
// away who waits for one. Those still in use no longer count against the bound.
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
	for _, c := range idle {
		c.abort()
	}
	for _, waiter := range waiters {
		close(waiter)
	}
}

// CloseExpired closes what has been unused for too long. A connection that the other end closed
// holds a descriptor until it is taken or tidied.
func (pool *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	pool.mu.Lock()
	for addr, host := range pool.hosts {
		if host.openCount == 0 {
			delete(pool.hosts, addr)
			continue
		}
		fresh := host.idle[:0]
		for _, c := range host.idle {
			if now.Sub(c.lastUsed) < c.maxIdle {
				fresh = append(fresh, c)
				continue
			}
			expired = append(expired, c)
		}
		clear(host.idle[len(fresh):])
		host.idle = fresh
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

// popIdle takes the latest used connection that may still be used for the call; old ones on
// the way go to cut.
func (h *hostPool) popIdle(now time.Time, call *Call, expired *[]*conn) *conn {
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		age := now.Sub(c.lastUsed)
		if age < c.maxIdle && call.MaxIdleAge > 0 && age >= call.MaxIdleAge {
			return nil
		}
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		if age < c.maxIdle {
			return c
		}
		h.releaseSlot()
		*expired = append(*expired, c)
	}
	return nil
}

// acquire finds a connection for the call, or dials one within the bound. kept says that it
// was in use before.
func (pool *Pool) acquire(ctx context.Context, addr ident.Addr, call *Call) (c *conn, reused bool, fail *failure.Error) {
	limit := call.MaxConns
	if limit <= 0 {
		limit = pool.settings.MaxConns
	}
	now := time.Now()
	if ctx.Err() != nil || !call.Deadline.IsZero() && !now.Before(call.Deadline) {
		return nil, false, failure.New(failure.DeadlineExceeded, "no time is left")
	}
	var evicted []*conn
	pool.mu.Lock()
	host := pool.host(addr)
	if !call.SingleUse {
		if c := host.popIdle(now, call, &evicted); c != nil {
			pool.mu.Unlock()
			abortAll(evicted)
			_ = c.SetDeadline(call.Deadline)
			return c, true, nil
		}
	}
	for limit > 0 && host.openCount >= limit && len(host.idle) > 0 {
		// An unused one makes room for the new one that is asked for.
		evicted = append(evicted, host.idle[0])
		host.idle = slices.Delete(host.idle, 0, 1)
		host.openCount--
	}
	if limit <= 0 || host.openCount < limit {
		host.openCount++
		pool.mu.Unlock()
		abortAll(evicted)
		return pool.dialConn(ctx, host, call)
	}
	if !call.WaitForConn {
		pool.mu.Unlock()
		abortAll(evicted)
		return nil, false, failure.New(failure.Busy, "%s has all the connections it may have", addr)
	}
	waiter := make(chan *conn, 1)
	host.waiters = append(host.waiters, waiter)
	pool.mu.Unlock()
	abortAll(evicted)
	return pool.waitForConn(ctx, host, call, waiter)
}

// waitForConn stands in line for a connection, or for the room to dial one.
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
	for n, other := range host.waiters {
		if other == waiter {
			host.waiters = slices.Delete(host.waiters, n, n+1)
			pool.mu.Unlock()
			return nil, false, failure.New(failure.DeadlineExceeded, "no connection to %s in time", host.addr)
		}
	}
	pool.mu.Unlock()
	if c, ok := <-waiter; ok {
		if c == nil {
			pool.releaseSlot(host)
		} else {
			pool.release(c, true)
		}
	}
	return nil, false, failure.New(failure.DeadlineExceeded, "no connection to %s in time", host.addr)
}

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

// dialConn dials. Invariant: the new connection is counted already.
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
		return nil, false, failure.New(failure.Unreachable, "%s takes no connection", host.addr)
	}
	c, err := newConn(raw.(*net.TCPConn), host)
	if err != nil {
		pool.releaseSlot(host)
		_ = raw.Close()
		return nil, false, failure.New(failure.Unreachable, "%s takes no connection", host.addr)
	}
	_ = c.SetDeadline(call.Deadline)
	return c, false, nil
}

// releaseSlot gives the room of one connection to who is first in line.
func (pool *Pool) releaseSlot(host *hostPool) {
	pool.mu.Lock()
	host.releaseSlot()
	pool.mu.Unlock()
}

func (h *hostPool) releaseSlot() {
	if len(h.waiters) > 0 {
		h.waiters[0] <- nil
		h.waiters = h.waiters[1:]
		return
	}
	h.openCount--
}

// release takes a connection back: to who is first in line, to the shelf, or to its end.
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
	if len(host.waiters) > 0 {
		host.waiters[0] <- c
		host.waiters = host.waiters[1:]
		pool.mu.Unlock()
		return
	}
	var evicted *conn
	if len(host.idle) >= pool.settings.MaxIdleConns {
		evicted = host.idle[0]
		host.idle = slices.Delete(host.idle, 0, 1)
		host.openCount--
	}
	host.idle = append(host.idle, c)
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
