package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// HasMajority reports whether a majority of the voters is live, so that this core can serve
// requests.
func (n *Node) HasMajority(now monotime.Time) bool {
	return n.hasMajorityWithin(now, heartbeatTimeout)
}

// lostMajority reports whether this run had a majority earlier and has none now. A run that never
// had a majority has just started, and heartbeats of live cores may not have arrived yet.
func (n *Node) lostMajority(now monotime.Time) bool { return n.hasSeenMajority && !n.HasMajority(now) }

// hasMajorityWithin reports whether a majority of the voters was live within the last window, see
// peer.heardWithin.
func (n *Node) hasMajorityWithin(now monotime.Time, window time.Duration) bool {
	heard := []ident.Disk{n.Disk}
	for _, p := range n.peers {
		if p.heardWithin(now, window) {
			heard = append(heard, p.heartbeat.Disk)
		}
	}
	votes := 0
	for _, v := range n.membership.Current.Voters {
		if v.Counted && slices.Contains(heard, v.Disk) && (v.Disk != n.Disk || !n.diskFailed) {
			votes++
		}
	}
	return n.membership.Current.Epoch > 0 && votes >= n.membership.Current.Majority()
}

// liveVoters lists the disks of the counted voters that are live, work and are not leaving, and the
// address of each disk. This core's disk is included under the same conditions.
func (n *Node) liveVoters(now monotime.Time) ([]ident.Disk, map[ident.Disk]ident.Addr) {
	var disks []ident.Disk
	addrOf := map[ident.Disk]ident.Addr{}
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
	return disks, addrOf
}

// votersByDistance lists the live voters: this disk first, then the sameZoneCount other disks in
// this core's zone, then the disks in other zones. The list is empty if this disk is not a live
// voter.
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

// disksHeardWithin lists this disk and the disks of the peers that sent a heartbeat within the last
// window.
func (n *Node) disksHeardWithin(now monotime.Time, window time.Duration) []ident.Disk {
	disks := []ident.Disk{n.Disk}
	for _, a := range n.peerAddrs() {
		if p := n.peers[a]; now.Since(p.lastHeard) <= window {
			disks = append(disks, p.heartbeat.Disk)
		}
	}
	return disks
}

// healthyDisks lists this disk and the disks of the peers that are live, not leaving and have a
// working disk.
func (n *Node) healthyDisks(now monotime.Time) []ident.Disk {
	disks := []ident.Disk{n.Disk}
	for _, a := range n.peerAddrs() {
		if p := n.peers[a]; p.live(now) && !p.heartbeat.Leaving && !p.heartbeat.DiskFailed {
			disks = append(disks, p.heartbeat.Disk)
		}
	}
	return disks
}

// presumedAlive lists the disks that this core does not presume dead: the disks of peers that sent
// a heartbeat within voterDeadAfter and, until this core has run for voterDeadAfter, all voters.
func (n *Node) presumedAlive(now monotime.Time) []ident.Disk {
	disks := n.disksHeardWithin(now, voterDeadAfter)
	if now.Since(n.startedAt) > voterDeadAfter {
		return disks
	}
	for _, v := range n.membership.Current.Voters {
		if !slices.Contains(disks, v.Disk) {
			disks = append(disks, v.Disk)
		}
	}
	return disks
}

// allVotersHeard reports whether a heartbeat from every counted voter except the excluded voter
// arrived within heartbeatTimeout.
func (n *Node) allVotersHeard(now monotime.Time, excluded ident.Disk) bool {
	heard := n.disksHeardWithin(now, heartbeatTimeout)
	return !slices.ContainsFunc(n.membership.Current.Voters, func(v quorum.Voter) bool {
		return v.Counted && v.Disk != excluded && !slices.Contains(heard, v.Disk)
	})
}
