// Package linkproxy stands between the processes of a fleet, so that links can be cut.
package linkproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Network is all relays of one fleet. A machine is its IP. Invariant: while a direction
// is cut no byte passes in it; what was sent meanwhile waits, as it would in TCP.
type Network struct {
	mu          sync.Mutex
	cutLinks    map[[2]string]bool
	changed     chan struct{}
	listeners   []net.Listener
	connections map[net.Conn]bool
}

// New makes an uncut network.
func New() *Network {
	return &Network{cutLinks: map[[2]string]bool{}, changed: make(chan struct{}), connections: map[net.Conn]bool{}}
}

// SetCut cuts or heals one direction.
func (n *Network) SetCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[[2]string{from, to}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// Heal heals everything.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks = map[[2]string]bool{}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) isCut(from, to string) (bool, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLinks[[2]string{from, to}], n.changed
}

// Listen listens at addr for a machine's process that listens at inner.
func (n *Network) Listen(addr, processAddr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, listener)
	n.mu.Unlock()
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go n.forward(connection, to, processAddr)
		}
	}()
	return nil
}

func (n *Network) forward(inbound net.Conn, to, processAddr string) {
	from, _, err := net.SplitHostPort(inbound.RemoteAddr().String())
	if err != nil {
		_ = inbound.Close()
		return
	}
	outbound, err := net.DialTimeout("tcp", processAddr, time.Second)
	if err != nil {
		// The process is down: the dialler sees its connection reset.
		if tcp, ok := inbound.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = inbound.Close()
		return
	}
	n.mu.Lock()
	n.connections[inbound], n.connections[outbound] = true, true
	n.mu.Unlock()
	var pipes sync.WaitGroup
	pipes.Add(2)
	pipe := func(src, dst net.Conn, source, target string) {
		defer pipes.Done()
		buf := make([]byte, 32<<10)
		for {
			size, err := src.Read(buf)
			if size > 0 && !n.waitUncut(source, target) {
				break
			}
			if size > 0 {
				if _, writeErr := dst.Write(buf[:size]); writeErr != nil {
					break
				}
			}
			if err == io.EOF {
				n.waitUncut(source, target)
				if tcp, ok := dst.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			if err != nil {
				break
			}
		}
		n.waitUncut(source, target)
		for _, connection := range []net.Conn{src, dst} {
			if tcp, ok := connection.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = connection.Close()
		}
	}
	go pipe(inbound, outbound, from, to)
	go pipe(outbound, inbound, to, from)
	pipes.Wait()
	_, _ = inbound.Close(), outbound.Close()
	n.mu.Lock()
	delete(n.connections, inbound)
	delete(n.connections, outbound)
	n.mu.Unlock()
}

// waitUncut waits while the direction is cut, a minute at most.
func (n *Network) waitUncut(from, to string) bool {
	timeout := time.NewTimer(time.Minute)
	defer timeout.Stop()
	for {
		cut, changed := n.isCut(from, to)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		}
	}
}

// Close ends every relay.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for connection := range n.connections {
		_ = connection.Close()
	}
}
