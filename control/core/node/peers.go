package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
)

// peer is another core as last heard. Invariant: down is only a hint that it takes no
// connection; it moves keys and forwards, never a slot of the membership.
// Invariants: fits is the newest of its hellos whose list of sidecars is the one held
// here, acked the newest of ours that it said so of; told is what the last whole hello to
// it said. All of them belong to one run of it, which was first heard at since; echo is
// when the newest hello of ours was sent that it is known to have taken.
type peer struct {
	heartbeat          message.Heartbeat
	firstHeard         monotime.Time
	lastReceivedSentAt monotime.Time
	lastHeard          monotime.Time
	unreachable        bool
	syncedSeq          uint64
	ackedSeq           uint64
	lastFullState      string
	fullSentAt         monotime.Time
	lastSent           monotime.Time // when the last hello to it went out
	resendRequestedAt  monotime.Time
}

// live tells whether the peer counts as one that can be asked.
func (p *peer) live(now monotime.Time) bool {
	return !p.unreachable && now.Since(p.lastHeard) <= heartbeatTimeout && p.hearsThisCore(now)
}

// hearsThisCore tells whether the peer hears this core, as far as can be told: it may be heard
// itself, over a link that is cut one way.
func (p *peer) hearsThisCore(now monotime.Time) bool {
	return !p.heartbeat.ReportsReceived || now.Since(max(p.firstHeard, p.lastReceivedSentAt)) <= receiptTimeout
}

// sentHeartbeat is when a hello was sent.
type sentHeartbeat struct {
	seq    uint64
	sentAt monotime.Time
}

// recordSentHeartbeat notes that a hello is sent now, and forgets those that say nothing any more.
func (n *Node) recordSentHeartbeat(now monotime.Time) {
	expired := 0
	for expired < len(n.sentHeartbeats) && now.Since(n.sentHeartbeats[expired].sentAt) > receiptTimeout {
		expired++
	}
	n.sentHeartbeats = append(n.sentHeartbeats[expired:], sentHeartbeat{n.heartbeatSeq, now})
}

// heartbeatSentAt is when the hello of a number was sent, 0 if that is long ago.
func (n *Node) heartbeatSentAt(seq uint64) monotime.Time {
	index, found := slices.BinarySearchFunc(n.sentHeartbeats, seq, func(s sentHeartbeat, seq uint64) int { return cmp.Compare(s.seq, seq) })
	if !found {
		return 0
	}
	return n.sentHeartbeats[index].sentAt
}

// Cores lists the addresses of the cores known.
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
	for _, a := range slices.Sorted(maps.Keys(n.knownCores)) {
		add(a)
	}
	for _, a := range n.peerAddrs() {
		add(a)
	}
	return cores
}

// AddKnownCores takes addresses of cores that others told of; they are forgotten when nobody
// tells of them any more.
func (n *Node) AddKnownCores(now monotime.Time, cores []ident.Addr) {
	for _, a := range cores {
		if len(n.knownCores) < 64 {
			n.knownCores[a] = now
		}
	}
}

// ActiveCores lists the cores that this one stands for: itself, the voters, and whom it
// hears.
func (n *Node) ActiveCores(now monotime.Time) []ident.Addr {
	cores := []ident.Addr{n.config.Addr}
	for _, v := range n.membership.Current.Voters {
		if !slices.Contains(cores, v.Addr) {
			cores = append(cores, v.Addr)
		}
	}
	for _, a := range n.peerAddrs() {
		if now.Since(n.peers[a].lastHeard) <= 5*time.Second && !slices.Contains(cores, a) {
			cores = append(cores, a)
		}
	}
	return cores
}

// liveVoters lists the disks of counted voters that are heard and stay, this one included.
func (n *Node) liveVoters(now monotime.Time) (disks []ident.Disk, addrOf map[ident.Disk]ident.Addr) {
	addrOf = map[ident.Disk]ident.Addr{}
	for _, v := range n.membership.Current.Voters {
		if !v.Counted {
			continue
		}
		if v.Disk == n.Disk {
			if !n.leaving && !n.diskFailed {
				disks, addrOf[v.Disk] = append(disks, v.Disk), n.config.Addr
			}
			continue
		}
		for _, addr := range n.peerAddrs() {
			p := n.peers[addr]
			if p.heartbeat.Disk == v.Disk && !p.heartbeat.Leaving && !p.heartbeat.DiskFailed && p.live(now) {
				disks, addrOf[v.Disk] = append(disks, v.Disk), addr
			}
		}
	}
	return
}

func (n *Node) peerAddrs() []ident.Addr {
	addrs := make([]ident.Addr, 0, len(n.peers))
	for a := range n.peers {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	return addrs
}

// heardWithin lists the disks heard within span, this one included.
func (n *Node) heardWithin(now monotime.Time, window time.Duration) []ident.Disk {
	disks := []ident.Disk{n.Disk}
	for _, a := range n.peerAddrs() {
		if p := n.peers[a]; now.Since(p.lastHeard) <= window {
			disks = append(disks, p.heartbeat.Disk)
		}
	}
	return disks
}

// HasMajority tells whether enough voters are heard to serve.
func (n *Node) HasMajority(now monotime.Time) bool { return n.hasMajorityWithin(now, heartbeatTimeout) }

// lostMajority tells whether this core heard a majority and hears none now. One that has just
// started and has heard none yet is not: those that live may not have said so.
func (n *Node) lostMajority(now monotime.Time) bool { return n.hasSeenMajority && !n.HasMajority(now) }

// hasMajorityWithin tells whether enough voters were heard within a span.
func (n *Node) hasMajorityWithin(now monotime.Time, window time.Duration) bool {
	votes := 0
	heard := []ident.Disk{n.Disk}
	for _, p := range n.peers {
		if !p.unreachable && now.Since(p.lastHeard) <= window && p.hearsThisCore(now) {
			heard = append(heard, p.heartbeat.Disk)
		}
	}
	for _, v := range n.membership.Current.Voters {
		if v.Counted && slices.Contains(heard, v.Disk) && (v.Disk != n.Disk || !n.diskFailed) {
			votes++
		}
	}
	return n.membership.Current.Epoch > 0 && votes >= n.membership.Current.Majority()
}

// MarkUnreachable takes a hint that the process at an address is gone: it takes no connection.
// A hint only: its keys are taken by others, which is safe if it lives after all; the
// next hello brings it back.
func (n *Node) MarkUnreachable(now monotime.Time, addr ident.Addr) (fx Effects) {
	p := n.peers[addr]
	if p == nil || p.unreachable {
		return fx
	}
	p.unreachable = true
	n.abandonCopies(now, addr, p.heartbeat.InstanceID)
	n.tickPending(now, &fx)
	return fx
}

// votersByDistance lists the counted voters that are heard, this disk first, then those of its own
// district, which nearCount counts, then the rest.
func (n *Node) votersByDistance(now monotime.Time) (ordered []ident.Disk, sameZoneCount int) {
	disks, addrOf := n.liveVoters(now)
	if !slices.Contains(disks, n.Disk) {
		return nil, 0
	}
	ordered = append(make([]ident.Disk, 0, len(disks)), n.Disk)
	for _, sameZone := range []bool{true, false} {
		for _, d := range disks {
			if p := n.peers[addrOf[d]]; d != n.Disk && p != nil && (p.heartbeat.Zone == n.config.Zone) == sameZone {
				ordered = append(ordered, d)
			}
		}
		if sameZone {
			sameZoneCount = len(ordered) - 1
		}
	}
	return ordered, sameZoneCount
}
