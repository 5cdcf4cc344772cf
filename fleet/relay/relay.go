// Package relay stands between the processes of a fleet, so that links can be cut.
package relay

import (
	"io"
	"net"
	"sync"
	"time"
)

// Net is all relays of one fleet. A machine is its IP. Invariant: while a direction
// is cut no byte passes in it; what was sent meanwhile waits, as it would in TCP.
type Net struct {
	mu   sync.Mutex
	cuts map[[2]string]bool
	wake chan struct{}
	lis  []net.Listener
	all  map[net.Conn]bool
}

// New makes an uncut network.
func New() *Net {
	return &Net{cuts: map[[2]string]bool{}, wake: make(chan struct{}), all: map[net.Conn]bool{}}
}

// Cut cuts or heals one direction.
func (n *Net) Cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = on
	close(n.wake)
	n.wake = make(chan struct{})
}

// Heal heals everything.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[[2]string]bool{}
	close(n.wake)
	n.wake = make(chan struct{})
}

func (n *Net) cut(from, to string) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}], n.wake
}

// Open listens at addr for a machine's process that listens at inner.
func (n *Net) Open(addr, inner string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.lis = append(n.lis, l)
	n.mu.Unlock()
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c, to, inner)
		}
	}()
	return nil
}

func (n *Net) serve(c net.Conn, to, inner string) {
	from, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		_ = c.Close()
		return
	}
	d, err := net.DialTimeout("tcp", inner, time.Second)
	if err != nil {
		// The process is down: the dialler sees its connection reset.
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		return
	}
	n.mu.Lock()
	n.all[c], n.all[d] = true, true
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	pipe := func(src, dst net.Conn, a, b string) {
		defer both.Done()
		buf := make([]byte, 32<<10)
		for {
			k, err := src.Read(buf)
			if k > 0 && !n.hold(a, b) {
				break
			}
			if k > 0 {
				if _, werr := dst.Write(buf[:k]); werr != nil {
					break
				}
			}
			if err == io.EOF {
				n.hold(a, b)
				if t, ok := dst.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
				return
			}
			if err != nil {
				break
			}
		}
		n.hold(a, b)
		for _, x := range []net.Conn{src, dst} {
			if t, ok := x.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = x.Close()
		}
	}
	go pipe(c, d, from, to)
	go pipe(d, c, to, from)
	both.Wait()
	_, _ = c.Close(), d.Close()
	n.mu.Lock()
	delete(n.all, c)
	delete(n.all, d)
	n.mu.Unlock()
}

// hold waits while the direction is cut, a minute at most.
func (n *Net) hold(from, to string) bool {
	late := time.NewTimer(time.Minute)
	defer late.Stop()
	for {
		cut, wake := n.cut(from, to)
		if !cut {
			return true
		}
		select {
		case <-wake:
		case <-late.C:
			return false
		}
	}
}

// Close ends every relay.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.lis {
		_ = l.Close()
	}
	for c := range n.all {
		_ = c.Close()
	}
}
