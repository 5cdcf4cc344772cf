// Package linkproxy places TCP proxies between the processes of a test fleet, so that tests can cut
// each direction of the links between the processes.
package linkproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	dialTimeout = time.Second
	// cutTimeout is how long data waits on a cut link before the connection is reset.
	cutTimeout = time.Minute
	bufferSize = 32 << 10
)

// link is the path from one machine to another machine. The machines are identified by their IPs.
type link struct{ from, to string }

// Network holds the proxies of a fleet. Invariant: no byte passes over a cut link. Data sent over a
// cut link waits, like unacknowledged data in TCP.
type Network struct {
	mu          sync.Mutex
	cutLinks    map[link]bool
	changed     chan struct{} // closed and replaced whenever cutLinks changes
	listeners   []net.Listener
	connections map[net.Conn]bool
	closed      bool

	done       chan struct{}  // closed by Close
	goroutines sync.WaitGroup // accept loops and forwarded connections
}

// New returns a network without proxies and without cut links.
func New() *Network {
	return &Network{
		cutLinks:    map[link]bool{},
		changed:     make(chan struct{}),
		connections: map[net.Conn]bool{},
		done:        make(chan struct{}),
	}
}

// SetCut cuts or heals the link from one IP to another.
func (n *Network) SetCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[link{from, to}] = cut
	n.wakeWaiters()
}

// Heal heals all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks = map[link]bool{}
	n.wakeWaiters()
}

// wakeWaiters makes the goroutines that wait on a cut link check the link again. The caller holds
// mu.
func (n *Network) wakeWaiters() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// isCut reports whether a link is cut. The channel changed is closed when the set of cut links
// changes.
func (n *Network) isCut(l link) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLinks[l], n.changed
}

// Listen starts a proxy that listens on addr and forwards connections to the process that listens on
// processAddr.
func (n *Network) Listen(addr, processAddr string) error {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "parse the address of a link proxy")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "start a link proxy")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = listener.Close()
		return failure.Wrap(net.ErrClosed, failure.Internal, "start a link proxy on "+addr)
	}
	n.listeners = append(n.listeners, listener)
	n.goroutines.Go(func() { n.acceptLoop(listener, to, processAddr) })
	return nil
}

// acceptLoop forwards each connection of a listener until the listener is closed.
func (n *Network) acceptLoop(listener net.Listener, to, processAddr string) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		n.goroutines.Go(func() { n.forward(connection, to, processAddr) })
	}
}

// forward forwards a connection to the process at processAddr until both directions have ended. to
// is the IP of the machine of the process.
func (n *Network) forward(inbound net.Conn, to, processAddr string) {
	from, _, err := net.SplitHostPort(inbound.RemoteAddr().String())
	if err != nil {
		_ = inbound.Close()
		return
	}
	outbound, err := net.DialTimeout("tcp", processAddr, dialTimeout)
	if err != nil {
		reset(inbound) // as if the client had dialed the stopped process directly
		return
	}
	if !n.track(inbound, outbound) {
		reset(inbound)
		reset(outbound)
		return
	}
	var pipes sync.WaitGroup
	pipes.Go(func() { n.pipe(inbound, outbound, link{from, to}) })
	pipes.Go(func() { n.pipe(outbound, inbound, link{to, from}) })
	pipes.Wait()
	_, _ = inbound.Close(), outbound.Close()
	n.untrack(inbound, outbound)
}

// track registers connections for Close to close. track returns false, without registering the
// connections, if the network is closed.
func (n *Network) track(connections ...net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	for _, connection := range connections {
		n.connections[connection] = true
	}
	return true
}

// untrack removes connections that track has registered.
func (n *Network) untrack(connections ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, connection := range connections {
		delete(n.connections, connection)
	}
}

// pipe copies one direction of a connection until the source ends. pipe forwards the end of the
// stream as a half-close of the target, and resets both connections on any other error. Data, the
// half-close and the reset wait while the link is cut.
func (n *Network) pipe(source, target net.Conn, l link) {
	err := n.copyUntilEnd(source, target, l)
	n.waitUntilHealed(l)
	if errors.Is(err, io.EOF) {
		if tcp, ok := target.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return
	}
	reset(source)
	reset(target)
}

// copyUntilEnd copies until a read or a write fails and returns the error, which is io.EOF at the
// end of the source's stream.
func (n *Network) copyUntilEnd(source, target net.Conn, l link) error {
	buffer := make([]byte, bufferSize)
	for {
		size, err := source.Read(buffer)
		if size > 0 {
			if !n.waitUntilHealed(l) {
				return errLinkCut
			}
			if _, err := target.Write(buffer[:size]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// errLinkCut is the error of a connection whose link was not healed within cutTimeout or before
// Close.
var errLinkCut = failure.New(failure.DeadlineExceeded, "the link was not healed within %v", cutTimeout)

// waitUntilHealed waits while the link is cut and returns true once the link is not cut.
// waitUntilHealed returns false after cutTimeout, or if the network is closed while the link is cut.
func (n *Network) waitUntilHealed(l link) bool {
	timeout := time.NewTimer(cutTimeout)
	defer timeout.Stop()
	for {
		cut, changed := n.isCut(l)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-n.done:
			return false
		}
	}
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// Close closes all proxies and their connections, and waits for the goroutines of the network to
// end.
func (n *Network) Close() {
	n.closeConnections()
	n.goroutines.Wait()
}

// closeConnections closes the listeners and the connections. Further calls have no effect.
func (n *Network) closeConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.closed = true
	close(n.done)
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for connection := range n.connections {
		_ = connection.Close()
	}
}
