package meter

import (
	"net"
	"sync"
)

// partition simulates a network partition between regions, which SetPartitioned begins and ends.
// Invariant: while the partition is active, bytes between two regions are delayed in both directions,
// and are lost only if their connection is closed meanwhile.
type partition struct {
	regionOf func(ip string) int
	mu       sync.Mutex
	active   bool          // the regions are partitioned
	changed  chan struct{} // closed and replaced whenever active is set
}

func newPartition(regionOf func(ip string) int) *partition {
	return &partition{regionOf: regionOf, changed: make(chan struct{})}
}

// SetPartitioned begins or ends the network partition between the regions.
func (m *Meter) SetPartitioned(partitioned bool) {
	m.partition.mu.Lock()
	defer m.partition.mu.Unlock()
	m.partition.active = partitioned
	close(m.partition.changed)
	m.partition.changed = make(chan struct{})
}

// state reports whether the partition is active. changed is closed at the next call of SetPartitioned.
func (p *partition) state() (active bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active, p.changed
}

// crossesRegions reports whether two IP addresses belong to different regions.
func (p *partition) crossesRegions(a, b string) bool {
	regionA, regionB := p.regionOf(a), p.regionOf(b)
	return regionA >= 0 && regionB >= 0 && regionA != regionB
}

// countingListener wraps each accepted connection in a countingConn.
type countingListener struct {
	net.Listener
	meter *Meter
}

// WrapListener counts the bytes of a listener's connections by peer, and delays the bytes of connections
// between regions while the regions are partitioned.
func (m *Meter) WrapListener(l net.Listener) net.Listener { return countingListener{l, m} }

// Accept waits for the next connection and wraps the connection.
func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	localIP, remoteIP := hostIP(accepted.LocalAddr()), hostIP(accepted.RemoteAddr())
	return &countingConn{
		Conn:           accepted,
		counter:        l.meter.peers.counter(remoteIP),
		partition:      l.meter.partition,
		crossesRegions: l.meter.partition.crossesRegions(localIP, remoteIP),
		closed:         make(chan struct{}),
	}, nil
}

// hostIP returns the IP of a TCP address, or the empty string for other addresses.
func hostIP(addr net.Addr) string {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ""
}

// countingConn is an accepted connection that counts its bytes and delays them while the partition is
// active.
type countingConn struct {
	net.Conn
	counter        *trafficCounter
	partition      *partition
	crossesRegions bool // the ends of the connection are in different regions
	closeOnce      sync.Once
	closed         chan struct{}
}

// waitUntilHealed waits while the connection's regions are partitioned, and fails if the connection is
// closed meanwhile.
func (c *countingConn) waitUntilHealed() error {
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

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitUntilHealed(); waitErr != nil {
		return 0, waitErr
	}
	c.counter.bytesIn.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.waitUntilHealed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.counter.bytesOut.Add(int64(n))
	return n, err
}

func (c *countingConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
