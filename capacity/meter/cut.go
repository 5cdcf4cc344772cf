package meter

import (
	"net"
	"sync"
)

// cuts holds up what passes between regions while they are apart. Invariant: a byte
// between two regions waits while the cut is on, in both directions, and is not lost
// unless its connection is closed meanwhile.
type cuts struct {
	region func(string) int
	mu     sync.Mutex
	on     bool
	wake   chan struct{}
}

func newCuts(region func(string) int) *cuts { return &cuts{region: region, wake: make(chan struct{})} }

// Apart cuts the regions apart, or joins them again.
func (m *Meter) Apart(on bool) {
	m.cut.mu.Lock()
	defer m.cut.mu.Unlock()
	m.cut.on = on
	close(m.cut.wake)
	m.cut.wake = make(chan struct{})
}

func (c *cuts) state() (bool, chan struct{}) { c.mu.Lock(); defer c.mu.Unlock(); return c.on, c.wake }

type listener struct {
	net.Listener
	m *Meter
}

// Listen counts what passes through a listener's connections.
func (m *Meter) Listen(l net.Listener) net.Listener { return listener{l, m} }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	near, far := ip(c.LocalAddr()), ip(c.RemoteAddr())
	a, b := l.m.cut.region(near), l.m.cut.region(far)
	return &conn{Conn: c, c: l.m.peers.at(far), cut: l.m.cut, far: a >= 0 && b >= 0 && a != b, over: make(chan struct{})}, nil
}

func ip(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return ""
}

type conn struct {
	net.Conn
	c    *cell
	cut  *cuts
	far  bool // its ends are in two regions
	once sync.Once
	over chan struct{}
}

// pass waits while the regions are apart.
func (c *conn) pass() error {
	for c.far {
		on, wake := c.cut.state()
		if !on {
			return nil
		}
		select {
		case <-wake:
		case <-c.over:
			return net.ErrClosed
		}
	}
	return nil
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if e := c.pass(); e != nil {
		return 0, e
	}
	c.c.in.Add(int64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.c.out.Add(int64(n))
	return n, err
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.over) })
	return c.Conn.Close()
}
