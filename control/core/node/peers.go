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
	// heartbeatTimeout is the time since its last heartbeat for which a core is considered live.
	heartbeatTimeout = 1200 * time.Millisecond
	// receiptTimeout is the maximum age of the newest heartbeat that a peer has acknowledged, for
	// the peer to be considered able to receive messages. It is about twice heartbeatTimeout,
	// because the acknowledgement arrives with the peer's own heartbeat.
	receiptTimeout = 2500 * time.Millisecond
	// activeFor is the time since its last heartbeat for which a core is listed as active.
	activeFor = 5 * time.Second
	// maxKnownCores limits the number of cores that are known only from the lists of peers.
	maxKnownCores = 64
)

// peer is the state of another core as of its last heartbeat. All fields refer to one run of that
// core.
type peer struct {
	// heartbeat is the last heartbeat. Fields that a brief heartbeat omits come from the last full
	// heartbeat.
	heartbeat  message.Heartbeat
	firstHeard monotime.Time
	lastHeard  monotime.Time
	// lastReceivedSentAt is the send time of this core's newest heartbeat that the peer has
	// received.
	lastReceivedSentAt monotime.Time
	// unreachable is set when the peer refused a connection. The flag is only a hint: it causes
	// keys and forwarded operations to move to other cores, but never frees a slot of the
	// membership.
	unreachable bool
	// syncedSeq is the sequence number of the peer's newest heartbeat whose list of leases matches
	// the list held here.
	syncedSeq uint64
	// ackedSeq is the sequence number of this core's newest heartbeat whose list of leases the peer
	// holds.
	ackedSeq uint64
	// lastFullState is the state in the last full heartbeat to the peer, sent at fullSentAt.
	lastFullState string
	fullSentAt    monotime.Time
	// lastSent is the time at which the last heartbeat to the peer was sent.
	lastSent          monotime.Time
	resendRequestedAt monotime.Time
}

// live reports whether the peer is considered able to receive and answer requests.
func (p *peer) live(now monotime.Time) bool {
	return p.heardWithin(now, heartbeatTimeout)
}

// heardWithin reports whether the peer is reachable, receives this core's messages and sent a
// heartbeat within the last window.
func (p *peer) heardWithin(now monotime.Time, window time.Duration) bool {
	return !p.unreachable && now.Since(p.lastHeard) <= window && p.receives(now)
}

// receives reports whether the peer has recently received a heartbeat of this core. Without the
// check, a link that fails only in the direction to the peer would go unnoticed, because the peer's
// own heartbeats still arrive. Peers that do not report receipt are assumed to receive all
// messages.
func (p *peer) receives(now monotime.Time) bool {
	return !p.heartbeat.ReportsReceived || now.Since(max(p.firstHeard, p.lastReceivedSentAt)) <= receiptTimeout
}

// peerAddrs lists the addresses of all peers in sorted order.
func (n *Node) peerAddrs() []ident.Addr { return ordered.Keys(n.peers) }

func (n *Node) forgetPeer(a ident.Addr) {
	delete(n.peers, a)
	n.Leases.RemoveRegistrar(a)
}

// forgetSilentPeers removes the peers that sent no heartbeat, and the known cores that no peer
// listed, for forgetPeerAfter.
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

// Cores lists the addresses of all known cores, starting with this core.
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

// AddKnownCores records the addresses of cores that a peer listed.
func (n *Node) AddKnownCores(now monotime.Time, cores []ident.Addr) {
	for _, a := range cores {
		if len(n.knownCores) < maxKnownCores {
			n.knownCores[a] = now
		}
	}
}

// ActiveCores lists the cores that this core announces to other cores and to sidecars: itself, the
// voters, and the cores whose last heartbeat arrived within activeFor.
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

// CoreLocations lists the addresses and zones of the active cores.
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

// MarkUnreachable records that the process at an address refused a connection. The process's keys
// move to other proposers immediately, which is safe even if the process is still running. The next
// heartbeat from the address clears the mark.
func (n *Node) MarkUnreachable(now monotime.Time, addr ident.Addr) (fx Effects) {
	p := n.peers[addr]
	if p == nil || p.unreachable {
		return fx
	}
	p.unreachable = true
	n.abandonAttempts(addr, p.heartbeat.InstanceID)
	n.tickPending(now, &fx)
	return fx
}
