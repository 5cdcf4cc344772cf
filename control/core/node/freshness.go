package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/registry/record"
)

const (
	// The manifest's proposer reads it anew when what it knows is older than refreshAge; another
	// core does so only when no hello brought it word for otherRefreshAge.
	refreshAge      = 500 * time.Millisecond
	otherRefreshAge = time.Second
	// staleAge is from when on a core says that it can't tell what the newest manifest is.
	staleAge = 1300 * time.Millisecond
	// silentMajorityAge is the same for how long it may go without a hello from a majority.
	silentMajorityAge = 800 * time.Millisecond
	// behindAge is the same for how long it may know of a newer manifest than it holds: it
	// hears the others, and can't ask them for it.
	behindAge = 800 * time.Millisecond
)

// refreshConfigRevision keeps this core informed of the newest confirmed manifest. Invariant: nothing newer
// than Epoch was confirmed before freshAsOf, for a read through the key's proposer began then,
// here or at the core whose hello told of it.
func (n *Node) refreshConfigRevision(now monotime.Time, fx *Effects) {
	if n.refreshStarted != 0 || now.Since(n.freshAsOf) < refreshAge && n.freshAsOf != 0 || n.leaving || !n.HasMajority(now) {
		return
	}
	disks, _ := n.liveVoters(now)
	if first, _ := placement.Proposer(proposal.Key, disks); first != n.Disk && n.freshAsOf != 0 && now.Since(n.freshAsOf) < otherRefreshAge {
		return
	}
	n.refreshStarted = now
	n.begin(now, &pending{operation: proposer.Operation{Key: proposal.Key, Kind: "manifest/epoch"}, deadline: now.Add(time.Second), onDone: func(now monotime.Time, result Result, fx *Effects) {
		began := n.refreshStarted
		n.refreshStarted = 0
		var newest proposal.Accepted
		if result.Failure != nil || json.Unmarshal(result.Body, &newest) != nil {
			return
		}
		if newest.Revision > n.ConfigRevision || newest.Revision > n.heldRevision() {
			// With its ballot, a disk that took part in the round shows the value itself.
			n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(newest.Revision), Ballot: result.Ballot}, fx)
		}
		n.freshAsOf = max(n.freshAsOf, began)
	}}, fx)
}

// stale tells whether this core can't tell what the newest manifest is, or can't get it.
func (n *Node) stale(now monotime.Time) bool {
	return n.freshAsOf == 0 || now.Since(n.freshAsOf) > staleAge || !n.hasMajorityWithin(now, silentMajorityAge) || n.behindSince != 0 && now.Since(n.behindSince) > behindAge
}

// trackBehind notes since when a newer manifest is known of here than the one held.
func (n *Node) trackBehind(now monotime.Time) {
	switch {
	case n.heldRevision() >= n.ConfigRevision:
		n.behindSince = 0
	case n.behindSince == 0:
		n.behindSince = now
	}
}

// heldRevision is the epoch of the manifest that this core hands out, 0 if it has none.
func (n *Node) heldRevision() ident.Epoch {
	if m := n.Leases.Config(); m != nil {
		return m.Revision
	}
	return 0
}

// StaleAt is the same for those who ask.
func (n *Node) StaleAt(now monotime.Time) bool { return n.stale(now) }

// Stale is the same as of the last tick; that it changed is news to those who follow.
func (n *Node) Stale() bool { return n.wasStale }

// Renew takes a sidecar's renewal.
func (n *Node) Renew(now monotime.Time, r record.Renewal) (record.RenewalResponse, Effects, *failure.Error) {
	renewed, rejected := n.Leases.Renew(now, r)
	if rejected != nil {
		return record.RenewalResponse{}, Effects{}, rejected
	}
	return record.RenewalResponse{ReportWanted: renewed.ReportWanted, AcknowledgedRenewal: n.Leases.AcknowledgedRenewal(r.Node, n.MajorityAckedSeq()), Members: n.Leases.LiveCount(), Leaving: n.leaving,
		Stale: n.stale(now)}, Effects{SidecarViewChanged: renewed.Changed}, nil
}

// CoreZones lists the cores that this one stands for, with their districts.
func (n *Node) CoreZones(now monotime.Time) []record.CoreLocation {
	var zones []record.CoreLocation
	for _, a := range n.ActiveCores(now) {
		core := record.CoreLocation{Addr: a}
		if p := n.peers[a]; p != nil {
			core.Zone = p.heartbeat.Zone
		} else if a == n.config.Addr {
			core.Zone = n.config.Zone
		}
		zones = append(zones, core)
	}
	return zones
}
