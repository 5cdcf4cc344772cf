// Package linkproxy puts TCP proxies between the processes of a test fleet, so that the
// links between them can be cut in either direction.
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
	// cutTimeout is how long bytes wait on a cut link before their connection is reset.
	cutTimeout = time.Minute
	bufferSize = 32 << 10
)

// link is one direction between two machines, each named by its IP.
type link struct{ from, to string }

// Network is all proxies of one fleet. Invariant: while a link is cut no byte passes on it;
// what was sent meanwhile waits, as it would in TCP.
type Network struct {
	mu          sync.Mutex
	cutLinks    map[link]bool
	changed     chan struct{} // closed and replaced whenever cutLinks changes
	listeners   []net.Listener
	connections map[net.Conn]bool
	closed      bool

	done    chan struct{}  // closed by Close
	running sync.WaitGroup // accept loops and the connections that they forward
}

// New makes a network without proxies, whose links are all whole.
func New() *Network {
	return &Network{
		cutLinks:    map[link]bool{},
		changed:     make(chan struct{}),
		connections: map[net.Conn]bool{},
		done:        make(chan struct{}),
	}
}

// SetCut cuts or heals one direction between two IPs.
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

// wakeWaiters lets those that wait on a cut link check it again. The caller holds mu.
func (n *Network) wakeWaiters() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// isCut tells whether a link is cut; changed is closed when that may differ.
func (n *Network) isCut(l link) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLinks[l], n.changed
}

// Listen opens a proxy at addr for the process that listens at processAddr.
func (n *Network) Listen(addr, processAddr string) error {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "link proxy")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "link proxy")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = listener.Close()
		return failure.Wrap(net.ErrClosed, failure.Internal, "link proxy")
	}
	n.listeners = append(n.listeners, listener)
	n.running.Go(func() { n.acceptLoop(listener, to, processAddr) })
	return nil
}

// acceptLoop forwards each connection of a listener until that is closed.
func (n *Network) acceptLoop(listener net.Listener, to, processAddr string) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		n.running.Go(func() { n.forward(connection, to, processAddr) })
	}
}

// forward carries one connection to the process at processAddr until both directions have
// ended. to is the IP of the process's machine.
func (n *Network) forward(inbound net.Conn, to, processAddr string) {
	from, _, err := net.SplitHostPort(inbound.RemoteAddr().String())
	if err != nil {
		_ = inbound.Close()
		return
	}
	outbound, err := net.DialTimeout("tcp", processAddr, dialTimeout)
	if err != nil {
		reset(inbound) // as if the process that is down had been dialled itself
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

// track notes connections that Close is to close, and tells whether the network is still open.
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

func (n *Network) untrack(connections ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, connection := range connections {
		delete(n.connections, connection)
	}
}

// pipe copies one direction of a connection until it ends. An orderly end of the source is
// passed on as one; anything else resets both connections. Both wait while the link is cut.
func (n *Network) pipe(source, target net.Conn, l link) {
	err := n.copyUntilEnd(source, target, l)
	n.waitHealed(l)
	if errors.Is(err, io.EOF) {
		if tcp, ok := target.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		return
	}
	reset(source)
	reset(target)
}

// copyUntilEnd copies until a read or a write fails and returns that error, io.EOF when the
// source has ended in an orderly way.
func (n *Network) copyUntilEnd(source, target net.Conn, l link) error {
	buffer := make([]byte, bufferSize)
	for {
		size, err := source.Read(buffer)
		if size > 0 {
			if !n.waitHealed(l) {
				return errStayedCut
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

// errStayedCut ends a connection whose link was not healed within cutTimeout, or before Close.
var errStayedCut = failure.New(failure.DeadlineExceeded, "the link stayed cut for %v", cutTimeout)

// waitHealed waits while the link is cut, and tells whether it was healed: false after cutTimeout,
// and when the network is closed meanwhile.
func (n *Network) waitHealed(l link) bool {
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

// reset closes a connection so that its other end sees a reset rather than an orderly end.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// Close ends every proxy and its connections, and waits until their goroutines have ended.
func (n *Network) Close() {
	n.closeAll()
	n.running.Wait()
}

// closeAll closes the listeners and the connections, once.
func (n *Network) closeAll() {
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
