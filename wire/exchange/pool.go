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
	mu      sync.Mutex
	set     Settings
	dial    net.Dialer
	shelves map[ident.Addr]*shelf
	news    int
}

// shelf holds the connections of one address. Invariants: open counts those in use,
// unused and being dialled; idle is in order of use, the latest last; somebody is in
// line only while open is at the bound.
type shelf struct {
	addr ident.Addr
	set  *Settings
	idle []*conn
	open int
	line []chan *conn // gets a connection, or nil: the room to dial one; closed when dropped
	dead bool
}

// New makes a pool that dials from the machine's own IP.
func New(own ident.Addr, set ...Settings) *Pool {
	p := &Pool{shelves: map[ident.Addr]*shelf{}}
	for _, s := range set {
		p.set = s
	}
	p.set = p.set.filled()
	span := p.set.Silence
	p.dial = net.Dialer{Timeout: p.set.Dial, LocalAddr: own.DialSource(), KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error { return idletimeout.Set(raw, span) }}
	return p
}

// Dials tells how many connections were begun so far.
func (p *Pool) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.news
}

// Open tells how many connections to an address are open, unused ones included.
func (p *Pool) Open(addr ident.Addr) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.shelves[addr]; s != nil {
		return s.open
	}
	return 0
}

// Drop closes the kept connections of an address, keeps none of those in use and turns
// away who waits for one. Those still in use no longer count against the bound.
func (p *Pool) Drop(addr ident.Addr) {
	p.mu.Lock()
	s := p.shelves[addr]
	if s == nil {
		p.mu.Unlock()
		return
	}
	delete(p.shelves, addr)
	s.dead = true
	idle, line := s.idle, s.line
	s.open -= len(idle)
	s.idle, s.line = nil, nil
	p.mu.Unlock()
	for _, c := range idle {
		c.cut()
	}
	for _, in := range line {
		close(in)
	}
}

// Tidy closes what has been unused for too long. A connection that the other end closed
// holds a descriptor until it is taken or tidied.
func (p *Pool) Tidy() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for addr, s := range p.shelves {
		if s.open == 0 {
			delete(p.shelves, addr)
			continue
		}
		kept := s.idle[:0]
		for _, c := range s.idle {
			if now.Sub(c.used) < c.rest {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		clear(s.idle[len(kept):])
		s.idle = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		p.give(c, false)
	}
}

func (p *Pool) shelf(addr ident.Addr) *shelf {
	s := p.shelves[addr]
	if s == nil {
		s = &shelf{addr: addr, set: &p.set}
		p.shelves[addr] = s
	}
	return s
}

// pop takes the latest used connection that may still be used for the call; old ones on
// the way go to cut.
func (s *shelf) pop(now time.Time, call *Call, cut *[]*conn) *conn {
	for n := len(s.idle); n > 0; n = len(s.idle) {
		c := s.idle[n-1]
		age := now.Sub(c.used)
		if age < c.rest && call.Sure > 0 && age >= call.Sure {
			return nil
		}
		s.idle[n-1] = nil
		s.idle = s.idle[:n-1]
		if age < c.rest {
			return c
		}
		s.vacate()
		*cut = append(*cut, c)
	}
	return nil
}

// take finds a connection for the call, or dials one within the bound. kept says that it
// was in use before.
func (p *Pool) take(ctx context.Context, addr ident.Addr, call *Call) (c *conn, kept bool, d *failure.Error) {
	most := call.Conns
	if most <= 0 {
		most = p.set.Conns
	}
	now := time.Now()
	if ctx.Err() != nil || !call.Until.IsZero() && !now.Before(call.Until) {
		return nil, false, failure.New(failure.DeadlineExceeded, "no time is left")
	}
	var old []*conn
	p.mu.Lock()
	s := p.shelf(addr)
	if !call.Fresh {
		if c := s.pop(now, call, &old); c != nil {
			p.mu.Unlock()
			cut(old)
			_ = c.SetDeadline(call.Until)
			return c, true, nil
		}
	}
	for most > 0 && s.open >= most && len(s.idle) > 0 {
		// An unused one makes room for the new one that is asked for.
		old = append(old, s.idle[0])
		s.idle = slices.Delete(s.idle, 0, 1)
		s.open--
	}
	if most <= 0 || s.open < most {
		s.open++
		p.mu.Unlock()
		cut(old)
		return p.begin(ctx, s, call)
	}
	if !call.Wait {
		p.mu.Unlock()
		cut(old)
		return nil, false, failure.New(failure.Busy, "%s has all the connections it may have", addr)
	}
	in := make(chan *conn, 1)
	s.line = append(s.line, in)
	p.mu.Unlock()
	cut(old)
	return p.wait(ctx, s, call, in)
}

// wait stands in line for a connection, or for the room to dial one.
func (p *Pool) wait(ctx context.Context, s *shelf, call *Call, in chan *conn) (*conn, bool, *failure.Error) {
	var end <-chan time.Time
	if !call.Until.IsZero() {
		t := time.NewTimer(time.Until(call.Until))
		defer t.Stop()
		end = t.C
	}
	select {
	case c, ok := <-in:
		return p.handed(ctx, s, call, c, ok)
	case <-end:
	case <-ctx.Done():
	}
	p.mu.Lock()
	for n, one := range s.line {
		if one == in {
			s.line = slices.Delete(s.line, n, n+1)
			p.mu.Unlock()
			return nil, false, failure.New(failure.DeadlineExceeded, "no connection to %s in time", s.addr)
		}
	}
	p.mu.Unlock()
	if c, ok := <-in; ok {
		if c == nil {
			p.vacate(s)
		} else {
			p.give(c, true)
		}
	}
	return nil, false, failure.New(failure.DeadlineExceeded, "no connection to %s in time", s.addr)
}

func (p *Pool) handed(ctx context.Context, s *shelf, call *Call, c *conn, ok bool) (*conn, bool, *failure.Error) {
	if !ok {
		return nil, false, failure.New(failure.Unreachable, "%s is no longer served", s.addr)
	}
	if c != nil {
		if !call.Fresh {
			_ = c.SetDeadline(call.Until)
			return c, true, nil
		}
		c.cut()
	}
	return p.begin(ctx, s, call)
}

// begin dials. Invariant: the new connection is counted already.
func (p *Pool) begin(ctx context.Context, s *shelf, call *Call) (*conn, bool, *failure.Error) {
	p.mu.Lock()
	p.news++
	p.mu.Unlock()
	dial := p.dial
	dial.Deadline = call.Until
	raw, err := dial.DialContext(ctx, "tcp", string(s.addr))
	if err != nil {
		p.vacate(s)
		if ctx.Err() != nil || !call.Until.IsZero() && !time.Now().Before(call.Until) {
			return nil, false, failure.New(failure.DeadlineExceeded, "no connection to %s in time", s.addr)
		}
		return nil, false, failure.New(failure.Unreachable, "%s takes no connection", s.addr)
	}
	c, err := opened(raw.(*net.TCPConn), s)
	if err != nil {
		p.vacate(s)
		_ = raw.Close()
		return nil, false, failure.New(failure.Unreachable, "%s takes no connection", s.addr)
	}
	_ = c.SetDeadline(call.Until)
	return c, false, nil
}

// vacate gives the room of one connection to who is first in line.
func (p *Pool) vacate(s *shelf) {
	p.mu.Lock()
	s.vacate()
	p.mu.Unlock()
}

func (s *shelf) vacate() {
	if len(s.line) > 0 {
		s.line[0] <- nil
		s.line = s.line[1:]
		return
	}
	s.open--
}

// give takes a connection back: to who is first in line, to the shelf, or to its end.
func (p *Pool) give(c *conn, keep bool) {
	s := c.shelf
	p.mu.Lock()
	if !keep || s.dead {
		s.vacate()
		p.mu.Unlock()
		c.cut()
		return
	}
	c.used = time.Now()
	if len(s.line) > 0 {
		s.line[0] <- c
		s.line = s.line[1:]
		p.mu.Unlock()
		return
	}
	var old *conn
	if len(s.idle) >= p.set.Keep {
		old = s.idle[0]
		s.idle = slices.Delete(s.idle, 0, 1)
		s.open--
	}
	s.idle = append(s.idle, c)
	p.mu.Unlock()
	if old != nil {
		old.cut()
	}
}

func cut(list []*conn) {
	for _, c := range list {
		c.cut()
	}
}
