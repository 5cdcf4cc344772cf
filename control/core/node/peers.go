package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/base/ordered"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/registry/record"
)

const (
	// heartbeatTimeout is how long after its last heartbeat a core counts as live.
	heartbeatTimeout = 1200 * time.Millisecond
	// receiptTimeout is how long ago the newest heartbeat that a peer is known to have received
	// may have been sent. It is twice heartbeatTimeout, as the peer reports it in its own.
	receiptTimeout = 2500 * time.Millisecond
	// activeFor is how long after its last heartbeat a core is still listed as active.
	activeFor = 5 * time.Second
	// maxKnownCores bounds the cores that are known by mention alone.
	maxKnownCores = 64
)

// peer is another core as last heard. All of its fields belong to one run of that core.
type peer struct {
	// heartbeat is the last one, completed by the last full one.
	heartbeat  message.Heartbeat
	firstHeard monotime.Time
	lastHeard  monotime.Time
	// lastReceivedSentAt is when the newest of our heartbeats was sent that it has received.
	lastReceivedSentAt monotime.Time
	// unreachable is set when it refused a connection. It is a hint only: it moves keys and
	// forwarded operations, but never a slot of the membership.
	unreachable bool
	// syncedSeq is the newest of its heartbeats whose list of leases is the one held here.
	syncedSeq uint64
	// ackedSeq is the newest of our heartbeats whose list of leases it holds.
	ackedSeq uint64
	// lastFullState is what the last full heartbeat to it said, sent at fullSentAt.
	lastFullState string
	fullSentAt    monotime.Time
	// lastSent is when the last heartbeat to it was sent.
	lastSent          monotime.Time
	resendRequestedAt monotime.Time
}

// live reports whether requests can be sent to the peer.
func (p *peer) live(now monotime.Time) bool {
	return p.heardWithin(now, heartbeatTimeout)
}

// heardWithin reports whether the peer can be reached and was heard in the last window.
func (p *peer) heardWithin(now monotime.Time, window time.Duration) bool {
	return !p.unreachable && now.Since(p.lastHeard) <= window && p.receives(now)
}

// receives reports whether the peer receives what this core sends, as far as that is known: a
// link that fails in one direction lets its heartbeats through. Peers that do not report what
// they receive are taken to receive it.
func (p *peer) receives(now monotime.Time) bool {
	return !p.heartbeat.ReportsReceived || now.Since(max(p.firstHeard, p.lastReceivedSentAt)) <= receiptTimeout
}

// peerAddrs lists the addresses of all peers in order.
func (n *Node) peerAddrs() []ident.Addr { return ordered.Keys(n.peers) }

func (n *Node) forgetPeer(a ident.Addr) {
	delete(n.peers, a)
	n.Leases.RemoveRegistrar(a)
}

// forgetSilentPeers drops the peers that were not heard, and the known cores that were not
// mentioned, for forgetPeerAfter.
func (n *Node) forgetSilentPeers(now monotime.Time) {
	for _, a := range n.peerAddrs() {
		if now.Since(n.peers[a].lastHeard) > forgetPeerAfter {
			n.forgetPeer(a)
		}
	}
	for a, mentionedAt := range n.knownCores {
		if now.Since(mentionedAt) > forgetPeerAfter {
			delete(n.knownCores, a)
		}
	}
}

// Cores lists the addresses of all cores that are known, this one first.
func (n *Node) Cores() []ident.Addr {
	cores := []ident.Addr{n.config.Addr}
	add := func(a ident.Addr) {
		if a != "" && !slices.Contains(cores, a) {
			cores = append(cores, a)
		}
	}
	for _, v := range n.membership.Current.Voters {
		add(v.Addr)
	}
	for _, a := range n.config.Seeds {
		add(a)
	}
	for _, a := range n.config.Founders {
		add(a)
	}
	for _, a := range ordered.Keys(n.knownCores) {
		add(a)
	}
	for _, a := range n.peerAddrs() {
		add(a)
	}
	return cores
}

// AddKnownCores records addresses of cores that others mentioned.
func (n *Node) AddKnownCores(now monotime.Time, cores []ident.Addr) {
	for _, a := range cores {
		if len(n.knownCores) < maxKnownCores {
			n.knownCores[a] = now
		}
	}
}

// ActiveCores lists the cores that this one recommends to others: itself, the voters and the
// cores it hears.
func (n *Node) ActiveCores(now monotime.Time) []ident.Addr {
	cores := []ident.Addr{n.config.Addr}
	for _, v := range n.membership.Current.Voters {
		if !slices.Contains(cores, v.Addr) {
			cores = append(cores, v.Addr)
		}
	}
	for _, a := range n.peerAddrs() {
		if now.Since(n.peers[a].lastHeard) <= activeFor && !slices.Contains(cores, a) {
			cores = append(cores, a)
		}
	}
	return cores
}

// CoreLocations lists the active cores with their zones.
func (n *Node) CoreLocations(now monotime.Time) []record.CoreLocation {
	var locations []record.CoreLocation
	for _, a := range n.ActiveCores(now) {
		location := record.CoreLocation{Addr: a}
		if p := n.peers[a]; p != nil {
			location.Zone = p.heartbeat.Zone
		} else if a == n.config.Addr {
			location.Zone = n.config.Zone
		}
		locations = append(locations, location)
	}
	return locations
}

// MarkUnreachable takes a hint that the process at an address accepts no connection. Its keys
// move to others at once, which is safe even if it runs after all; its next heartbeat clears
// the hint.
func (n *Node) MarkUnreachable(now monotime.Time, addr ident.Addr) (fx Effects) {
	p := n.peers[addr]
	if p == nil || p.unreachable {
		return fx
	}
	p.unreachable = true
	n.abandonCopies(addr, p.heartbeat.InstanceID)
	n.tickPending(now, &fx)
	return fx
}
