package meter

import (
	"net"
	"sync"
)

// partition is the network between regions, which can be cut. Invariant: while it is cut, a
// byte between two regions waits, in both directions, and is not lost unless its connection
// is closed meanwhile.
type partition struct {
	regionOf func(ip string) int
	mu       sync.Mutex
	active   bool          // the regions are cut apart
	changed  chan struct{} // closed and replaced whenever active is set
}

func newPartition(regionOf func(ip string) int) *partition {
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

// state tells whether the regions are cut apart; changed is closed when that is set anew.
func (p *partition) state() (active bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active, p.changed
}

// crosses tells whether two IPs lie in different regions.
func (p *partition) crosses(a, b string) bool {
	regionA, regionB := p.regionOf(a), p.regionOf(b)
	return regionA >= 0 && regionB >= 0 && regionA != regionB
}

// listener counts what passes through its connections and subjects them to the partition.
type listener struct {
	net.Listener
	meter *Meter
}

// WrapListener counts what passes through a listener's connections, and lets those between
// regions wait while the regions are cut apart.
func (m *Meter) WrapListener(l net.Listener) net.Listener { return listener{l, m} }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	localIP, remoteIP := hostIP(accepted.LocalAddr()), hostIP(accepted.RemoteAddr())
	return &conn{
		Conn:           accepted,
		counter:        l.meter.peers.counter(remoteIP),
		partition:      l.meter.partition,
		crossesRegions: l.meter.partition.crosses(localIP, remoteIP),
		closed:         make(chan struct{}),
	}, nil
}

// hostIP is the IP of a TCP address, empty for any other.
func hostIP(addr net.Addr) string {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ""
}

// conn is an accepted connection whose bytes are counted.
type conn struct {
	net.Conn
	counter        *trafficCounter
	partition      *partition
	crossesRegions bool // its ends are in two regions
	closeOnce      sync.Once
	closed         chan struct{}
}

// waitUntilJoined waits while the connection's regions are cut apart, or fails when it is
// closed meanwhile.
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
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
