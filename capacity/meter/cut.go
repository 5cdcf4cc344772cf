package meter

import (
	"net"
	"sync"
)

// partition holds up what passes between regions while they are apart. Invariant: a byte
// between two regions waits while the cut is on, in both directions, and is not lost
// unless its connection is closed meanwhile.
type partition struct {
	regionOf func(string) int
	mu       sync.Mutex
	active   bool
	changed  chan struct{}
}

func newPartition(regionOf func(string) int) *partition {
	return &partition{regionOf: regionOf, changed: make(chan struct{})}
}

// SetPartitioned cuts the regions apart, or joins them again.
func (m *Meter) SetPartitioned(partitioned bool) {
	m.partition.mu.Lock()
	defer m.partition.mu.Unlock()
	m.partition.active = partitioned
	close(m.partition.changed)
	m.partition.changed = make(chan struct{})
}

func (p *partition) state() (bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active, p.changed
}

type listener struct {
	net.Listener
	meter *Meter
}

// WrapListener counts what passes through a listener's connections.
func (m *Meter) WrapListener(l net.Listener) net.Listener { return listener{l, m} }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	localIP, remoteIP := hostIP(accepted.LocalAddr()), hostIP(accepted.RemoteAddr())
	localRegion, remoteRegion := l.meter.partition.regionOf(localIP), l.meter.partition.regionOf(remoteIP)
	return &conn{Conn: accepted, counter: l.meter.peers.counter(remoteIP), partition: l.meter.partition, crossesRegions: localRegion >= 0 && remoteRegion >= 0 && localRegion != remoteRegion, closed: make(chan struct{})}, nil
}

func hostIP(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return ""
}

type conn struct {
	net.Conn
	counter        *trafficCounter
	partition      *partition
	crossesRegions bool // its ends are in two regions
	once           sync.Once
	closed         chan struct{}
}

// waitUntilJoined waits while the regions are apart.
func (c *conn) waitUntilJoined() error {
	for c.crossesRegions {
		active, changed := c.partition.state()
		if !active {
			return nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	return nil
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitUntilJoined(); waitErr != nil {
		return 0, waitErr
	}
	c.counter.bytesIn.Add(int64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitUntilJoined(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.counter.bytesOut.Add(int64(n))
	return n, err
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
