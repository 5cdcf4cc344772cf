package node

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/message"
)

const (
	// fullHeartbeatInterval is how often a hello says all, changed or not.
	fullHeartbeatInterval = 10 * time.Second
	// resendRequestInterval is how often a peer is asked again for what did not come.
	resendRequestInterval = 200 * time.Millisecond
	// rolloutActiveFor is how long after the last sign of a roll-out its ends are told.
	rolloutActiveFor = 3 * time.Second
)

// sendDueHeartbeats tells the cores whose turn it is that this one lives: all of them when all is set.
func (n *Node) sendDueHeartbeats(now monotime.Time, toEveryone bool, fx *Effects) {
	for _, a := range n.peerAddrs() {
		if now.Since(n.peers[a].lastHeard) > time.Minute {
			delete(n.peers, a)
			n.Leases.RemoveRegistrar(a)
		}
	}
	for a, mentionedAt := range n.knownCores {
		if now.Since(mentionedAt) > time.Minute {
			delete(n.knownCores, a)
		}
	}
	contactUnheard := now.Since(n.unheardContactedAt) >= heartbeatInterval
	if contactUnheard {
		n.unheardContactedAt = now
	}
	var to []ident.Addr
	for _, a := range n.Cores() {
		switch p := n.peers[a]; {
		case a == n.config.Addr:
		case toEveryone, p == nil && contactUnheard, p != nil && now.Since(p.lastSent) >= n.heartbeatIntervalTo(a, p):
			to = append(to, a)
		}
	}
	if len(to) > 0 {
		n.sendHeartbeats(now, to, fx)
	}
}

// heartbeatIntervalTo is how often a peer is told hello. Of two cores the one with the lower address
// begins, and the other's hello travels in the response; it begins itself when none came.
// Two that do not vote move no keys by their hellos: they need fewer.
func (n *Node) heartbeatIntervalTo(a ident.Addr, p *peer) time.Duration {
	interval := heartbeatInterval
	if !n.membership.Current.Counts(n.Disk) && !n.membership.Current.Counts(p.heartbeat.Disk) {
		interval = nonVoterHeartbeatInterval
	}
	if n.config.Addr > a {
		interval += secondSenderDelay
	}
	return interval
}

// sendHeartbeats says hello to some cores.
func (n *Node) sendHeartbeats(now monotime.Time, to []ident.Addr, fx *Effects) {
	n.heartbeatSeq++
	n.recordSentHeartbeat(now)
	n.Leases.StampHeartbeat(n.heartbeatSeq)
	brief := message.Heartbeat{Run: message.InstanceHash(n.config.InstanceID), Brief: true, Seq: n.heartbeatSeq, LeaseChecksum: n.Leases.AnnouncedSum(), MembershipEpoch: n.membership.Current.Epoch, ConfigRevision: n.ConfigRevision, HoldsDuty: n.holdsDuty, RolloutActive: n.holdsDuty && n.RolloutActive(now)}
	if n.freshAsOf != 0 {
		brief.ConfigAgeMs = now.Since(n.freshAsOf).Milliseconds() + 1
	}
	if n.RolloutActive(now) {
		brief.CallOutcomes = n.Leases.LocalAttemptCounts()
	}
	full := brief
	full.Brief, full.InstanceID, full.Disk, full.Zone, full.Leaving, full.DiskFailed, full.Cores, full.AcceptsPatches, full.ReportsReceived = false, n.config.InstanceID, n.Disk, n.config.Zone, n.leaving, n.diskFailed, n.ActiveCores(now), true, true
	if n.membership.Current.Epoch > 0 {
		r := n.membership.Current
		full.Membership = &r
	}
	fullState := fmt.Sprint(full.Disk, full.Leaving, full.DiskFailed, full.MembershipEpoch, full.Cores)
	for _, a := range to {
		h, p := full, n.peers[a]
		if p != nil {
			if p.lastFullState == fullState && p.live(now) && now.Since(p.fullSentAt) < fullHeartbeatInterval {
				h = brief
			} else {
				p.lastFullState, p.fullSentAt = fullState, now
			}
			p.lastSent = now
			h.AckInstance, h.AckSeq = p.heartbeat.Run, p.syncedSeq
			if p.heartbeat.Seq != p.syncedSeq {
				h.ReceivedSeq = p.heartbeat.Seq
			}
		}
		fx.Sends = append(fx.Sends, Send{a, message.Message{Heartbeat: &h}})
	}
}

func (n *Node) onHeartbeat(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Heartbeat == nil {
		return false
	}
	h, p := *m.Heartbeat, n.peers[m.From]
	if h.Brief && (p == nil || p.heartbeat.Run != h.Run) {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{ResendRequest: &message.ResendRequest{Heartbeat: true}}})
		return true
	}
	if p == nil {
		p = &peer{firstHeard: now}
		n.peers[m.From] = p
	}
	if p.heartbeat.Run != h.Run {
		n.abandonCopies(now, m.From, p.heartbeat.InstanceID)
		n.Leases.RemoveRegistrar(m.From)
		*p = peer{firstHeard: now}
	}
	p.lastHeard, p.unreachable = now, false
	if h.Seq < p.heartbeat.Seq {
		return true // a late one says that it lives, and no more
	}
	p.heartbeat = p.heartbeat.MergedWith(h)
	h = p.heartbeat
	n.proposer.SetPatchCapable(h.Disk, h.AcceptsPatches)
	// One disk is at one address: an older address of the same disk is stale.
	for _, a := range n.peerAddrs() {
		if a != m.From && n.peers[a].heartbeat.Disk == h.Disk {
			delete(n.peers, a)
			n.Leases.RemoveRegistrar(a)
		}
	}
	if !m.Heartbeat.Brief {
		n.AddKnownCores(now, h.Cores)
		if h.Membership != nil {
			n.adoptMembership(now, *h.Membership, fx)
		}
	}
	if h.AckInstance == message.InstanceHash(n.config.InstanceID) {
		p.ackedSeq = max(p.ackedSeq, h.AckSeq)
		p.lastReceivedSentAt = max(p.lastReceivedSentAt, n.heartbeatSentAt(max(h.AckSeq, h.ReceivedSeq)))
	}
	var resend message.ResendRequest
	resend.Heartbeat = m.Heartbeat.Brief && h.MembershipEpoch > n.membership.Current.Epoch
	if n.Leases.Heartbeat(now, m.From, m.Heartbeat.LeaseChecksum) {
		p.syncedSeq = max(p.syncedSeq, m.Heartbeat.Seq)
	} else {
		resend.Leases = true
	}
	if (resend.Heartbeat || resend.Leases) && now.Since(p.resendRequestedAt) >= resendRequestInterval {
		p.resendRequestedAt = now
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{ResendRequest: &resend}})
	}
	if h.RolloutActive {
		n.rolloutSeenAt = now
	}
	n.Leases.AddRemoteAttemptCounts(m.From, h.InstanceID, h.CallOutcomes)
	n.learnConfigRevision(now, m.Heartbeat, fx)
	// Half due, it goes at once: it travels in the response to the hello that came.
	if now.Since(p.lastSent) >= n.heartbeatIntervalTo(m.From, p)/2 {
		n.sendLeaseUpdates(now, fx)
		n.sendHeartbeats(now, []ident.Addr{m.From}, fx)
	}
	return true
}

// learnConfigRevision takes what a hello says of the manifest.
func (n *Node) learnConfigRevision(now monotime.Time, h *message.Heartbeat, fx *Effects) {
	if h.ConfigRevision > n.ConfigRevision {
		n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(h.ConfigRevision)}, fx)
	}
	if h.ConfigAgeMs > 0 {
		n.freshAsOf = max(n.freshAsOf, now.Add(-time.Duration(h.ConfigAgeMs)*time.Millisecond))
	}
}

// RolloutActive tells whether a roll-out is known to run.
func (n *Node) RolloutActive(now monotime.Time) bool {
	return n.rolloutSeenAt != 0 && now.Since(n.rolloutSeenAt) < rolloutActiveFor
}

// sendLeaseUpdates tells the other cores what changed among the sidecars registered here, and all of it to
// those that asked.
func (n *Node) sendLeaseUpdates(now monotime.Time, fx *Effects) {
	if update, due := n.Leases.PendingUpdate(); due {
		for _, a := range n.peerAddrs() {
			if n.peers[a].live(now) {
				fx.Sends = append(fx.Sends, Send{a, message.Message{LeaseUpdate: &update}})
			}
		}
	}
	if len(n.leaseResendTo) == 0 {
		return
	}
	if update, ok := n.Leases.FullUpdate(); ok {
		for _, a := range n.leaseResendTo {
			fx.Sends = append(fx.Sends, Send{a, message.Message{LeaseUpdate: &update}})
		}
		n.leaseResendTo = nil
	}
}

func (n *Node) onLeaseUpdate(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.LeaseUpdate == nil {
		return false
	}
	p := n.peers[m.From]
	if p == nil {
		return true // its hello comes first
	}
	changed, inSync := n.Leases.ApplyUpdate(now, m.From, *m.LeaseUpdate)
	fx.SidecarViewChanged = fx.SidecarViewChanged || changed
	if !inSync && now.Since(p.resendRequestedAt) >= resendRequestInterval {
		p.resendRequestedAt = now
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{ResendRequest: &message.ResendRequest{Leases: true}}})
	}
	return true
}

func (n *Node) onResendRequest(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.ResendRequest == nil {
		return false
	}
	if p := n.peers[m.From]; p != nil && m.ResendRequest.Heartbeat {
		p.lastFullState = ""
	}
	if m.ResendRequest.Leases && !slices.Contains(n.leaseResendTo, m.From) {
		n.leaseResendTo = append(n.leaseResendTo, m.From)
	}
	n.sendLeaseUpdates(now, fx)
	return true
}

// MajorityAckedSeq is the newest hello of this core that a majority of the voters, this one among
// them, has taken with the list of sidecars it meant: they have heard of every renewal
// that came in before it.
func (n *Node) MajorityAckedSeq() uint64 {
	var acked []uint64
	for _, v := range n.membership.Current.Voters {
		switch {
		case v.Joining:
		case v.Disk == n.Disk:
			acked = append(acked, n.heartbeatSeq+1) // what was taken here is known here
		default:
			for _, a := range n.peerAddrs() {
				if p := n.peers[a]; p.heartbeat.Disk == v.Disk {
					acked = append(acked, p.ackedSeq)
				}
			}
		}
	}
	need := n.membership.Current.Majority()
	if n.membership.Current.Epoch == 0 || len(acked) < need {
		return 0
	}
	slices.Sort(acked)
	return acked[len(acked)-need]
}
