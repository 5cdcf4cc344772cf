package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/message"
)

const (
	// heartbeatInterval is the time between two heartbeats to the same peer. Cores from which no
	// heartbeat was received yet are contacted at the same interval.
	heartbeatInterval = 300 * time.Millisecond
	// nonVoterHeartbeatInterval replaces heartbeatInterval between two cores that do not vote.
	nonVoterHeartbeatInterval = 500 * time.Millisecond
	// secondSenderDelay is added to the heartbeat interval of the core with the higher address.
	secondSenderDelay = 70 * time.Millisecond
	// heartbeatCheckInterval is the time between two checks for peers to which a heartbeat is due.
	heartbeatCheckInterval = 30 * time.Millisecond
	// fullHeartbeatInterval is the time after which a peer is sent a full heartbeat even if this
	// core's state has not changed.
	fullHeartbeatInterval = 10 * time.Second
	// resendRequestInterval is the minimum time between two resend requests to the same peer.
	resendRequestInterval = 200 * time.Millisecond
	// forgetPeerAfter is the time after its last heartbeat at which a peer is removed. A known core
	// is removed when no peer has listed it for the same time.
	forgetPeerAfter = time.Minute
)

// heartbeatState tracks the heartbeats that a core has sent.
type heartbeatState struct {
	seq       uint64 // sequence number of the last heartbeat
	checkedAt monotime.Time
	// sent lists the heartbeats of the last receiptTimeout in ascending order of sequence number.
	sent []sentHeartbeat
	// unheardContactedAt is the time of the last heartbeat to cores from which no heartbeat was
	// received yet.
	unheardContactedAt monotime.Time
	// leaseResendTo lists the cores that requested the full list of leases.
	leaseResendTo []ident.Addr
}

// sentHeartbeat records when a heartbeat was sent.
type sentHeartbeat struct {
	seq    uint64
	sentAt monotime.Time
}

// recordSent records that heartbeat seq is sent now, and drops entries older than receiptTimeout.
func (s *heartbeatState) recordSent(now monotime.Time) {
	expired := 0
	for expired < len(s.sent) && now.Since(s.sent[expired].sentAt) > receiptTimeout {
		expired++
	}
	s.sent = append(s.sent[expired:], sentHeartbeat{s.seq, now})
}

// sentAt returns the time at which a heartbeat was sent, or 0 if the heartbeat is no longer listed.
func (s *heartbeatState) sentAt(seq uint64) monotime.Time {
	index, found := slices.BinarySearchFunc(s.sent, seq, func(h sentHeartbeat, seq uint64) int { return cmp.Compare(h.seq, seq) })
	if !found {
		return 0
	}
	return s.sent[index].sentAt
}

// sendDueHeartbeats sends a heartbeat to each core to which a heartbeat is due. If toEveryone is
// set, it sends a heartbeat to every known core.
func (n *Node) sendDueHeartbeats(now monotime.Time, toEveryone bool, fx *Effects) {
	n.forgetSilentPeers(now)
	contactUnheard := now.Since(n.heartbeats.unheardContactedAt) >= heartbeatInterval
	if contactUnheard {
		n.heartbeats.unheardContactedAt = now
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

// heartbeatIntervalTo returns the time between two heartbeats to a peer. Of two cores, the core
// with the lower address sends first and the core with the higher address replies with its own
// heartbeat. The core with the higher address sends unprompted only if no heartbeat arrived within
// the interval plus secondSenderDelay. Heartbeats between two non-voters do not affect the placement
// of keys, so non-voters send heartbeats to each other less often.
func (n *Node) heartbeatIntervalTo(a ident.Addr, p *peer) time.Duration {
	interval := heartbeatInterval
	if !n.membership.Current.IsCounted(n.Disk) && !n.membership.Current.IsCounted(p.heartbeat.Disk) {
		interval = nonVoterHeartbeatInterval
	}
	if n.config.Addr > a {
		interval += secondSenderDelay
	}
	return interval
}

// sendHeartbeats sends a heartbeat to each of the given cores. Cores that do not know this core's
// current state receive a full heartbeat, and the other cores receive a brief heartbeat.
func (n *Node) sendHeartbeats(now monotime.Time, to []ident.Addr, fx *Effects) {
	n.heartbeats.seq++
	n.heartbeats.recordSent(now)
	n.Leases.RecordHeartbeat(n.heartbeats.seq)
	brief := n.briefHeartbeat(now)
	full := n.fullHeartbeat(now, brief)
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
		fx.send(a, message.Message{Heartbeat: &h})
	}
}

// briefHeartbeat returns a heartbeat with only the fields that change frequently.
func (n *Node) briefHeartbeat(now monotime.Time) message.Heartbeat {
	h := message.Heartbeat{
		Run:                message.InstanceHash(n.config.InstanceID),
		Brief:              true,
		Seq:                n.heartbeats.seq,
		LeaseChecksum:      n.Leases.AnnouncedChecksum(),
		MembershipEpoch:    n.membership.Current.Epoch,
		ConfigRevision:     n.ConfigRevision,
		HoldsSingletonRole: n.singletonRole.held,
		RolloutActive:      n.singletonRole.held && n.RolloutActive(now),
	}
	if n.freshness.asOf != 0 {
		h.ConfigAgeMs = now.Since(n.freshness.asOf).Milliseconds() + 1
	}
	if n.RolloutActive(now) {
		h.CallOutcomes = n.Leases.LocalAttemptCounts()
	}
	return h
}

// fullHeartbeat returns a copy of a brief heartbeat with the fields that change rarely filled in.
func (n *Node) fullHeartbeat(now monotime.Time, brief message.Heartbeat) message.Heartbeat {
	full := brief
	full.Brief = false
	full.InstanceID = n.config.InstanceID
	full.Disk = n.Disk
	full.Zone = n.config.Zone
	full.Leaving = n.leaving
	full.DiskFailed = n.diskFailed
	full.Cores = n.ActiveCores(now)
	full.AcceptsPatches = true
	full.ReportsReceived = true
	if n.membership.Current.Epoch > 0 {
		current := n.membership.Current
		full.Membership = &current
	}
	return full
}

// onHeartbeat processes a peer's heartbeat. It replies with a heartbeat of its own if at least half
// of the interval to this peer has passed.
func (n *Node) onHeartbeat(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Heartbeat == nil {
		return false
	}
	received := *m.Heartbeat
	p := n.peerOfHeartbeat(now, m.From, received)
	if p == nil {
		fx.send(m.From, message.Message{ResendRequest: &message.ResendRequest{Heartbeat: true}})
		return true
	}
	p.lastHeard, p.unreachable = now, false
	if received.Seq < p.heartbeat.Seq {
		return true // a reordered, older heartbeat shows only that the peer is live
	}
	p.heartbeat = p.heartbeat.MergedWith(received)
	n.applyHeartbeat(now, m.From, p, received, fx)
	n.requestMissing(now, m.From, p, received, fx)
	n.learnRollout(now, m.From, p.heartbeat)
	n.learnConfigRevision(now, m.Heartbeat, fx)
	if now.Since(p.lastSent) >= n.heartbeatIntervalTo(m.From, p)/2 {
		n.sendLeaseUpdates(now, fx)
		n.sendHeartbeats(now, []ident.Addr{m.From}, fx)
	}
	return true
}

// peerOfHeartbeat returns the peer that sent a heartbeat, and resets the peer if the heartbeat
// comes from a new run. It returns nil for a brief heartbeat from a run whose full heartbeat has
// not arrived yet.
func (n *Node) peerOfHeartbeat(now monotime.Time, from ident.Addr, received message.Heartbeat) *peer {
	p := n.peers[from]
	if received.Brief && (p == nil || p.heartbeat.Run != received.Run) {
		return nil
	}
	if p == nil {
		p = &peer{firstHeard: now}
		n.peers[from] = p
	}
	if p.heartbeat.Run != received.Run {
		n.abandonAttempts(from, p.heartbeat.InstanceID)
		n.Leases.RemoveRegistrar(from)
		*p = peer{firstHeard: now}
	}
	return p
}

// applyHeartbeat applies the peer's state, its membership and its acknowledgements from a
// heartbeat.
func (n *Node) applyHeartbeat(now monotime.Time, from ident.Addr, p *peer, received message.Heartbeat, fx *Effects) {
	state := p.heartbeat
	n.proposer.SetPatchCapable(state.Disk, state.AcceptsPatches)
	// A disk has only one address, so any other address recorded for this disk is outdated.
	for _, a := range n.peerAddrs() {
		if a != from && n.peers[a].heartbeat.Disk == state.Disk {
			n.forgetPeer(a)
		}
	}
	if !received.Brief {
		n.AddKnownCores(now, state.Cores)
		if state.Membership != nil {
			n.adoptMembership(now, *state.Membership, fx)
		}
	}
	if state.AckInstance == message.InstanceHash(n.config.InstanceID) {
		p.ackedSeq = max(p.ackedSeq, state.AckSeq)
		p.lastReceivedSentAt = max(p.lastReceivedSentAt, n.heartbeats.sentAt(max(state.AckSeq, state.ReceivedSeq)))
	}
}

// requestMissing requests a full heartbeat if the peer has a newer membership, and the peer's list
// of leases if the checksum in the heartbeat shows that the list held here differs.
func (n *Node) requestMissing(now monotime.Time, from ident.Addr, p *peer, received message.Heartbeat, fx *Effects) {
	var missing message.ResendRequest
	missing.Heartbeat = received.Brief && received.MembershipEpoch > n.membership.Current.Epoch
	if n.Leases.ApplyHeartbeat(now, from, received.LeaseChecksum) {
		p.syncedSeq = max(p.syncedSeq, received.Seq)
	} else {
		missing.Leases = true
	}
	if missing.Heartbeat || missing.Leases {
		n.requestResend(now, from, p, missing, fx)
	}
}

// requestResend sends a resend request to a peer, unless the last request to the peer was sent less
// than resendRequestInterval ago.
func (n *Node) requestResend(now monotime.Time, to ident.Addr, p *peer, request message.ResendRequest, fx *Effects) {
	if now.Since(p.resendRequestedAt) < resendRequestInterval {
		return
	}
	p.resendRequestedAt = now
	fx.send(to, message.Message{ResendRequest: &request})
}

// learnRollout records a heartbeat's report of an active rollout and of call outcomes.
func (n *Node) learnRollout(now monotime.Time, from ident.Addr, h message.Heartbeat) {
	if h.RolloutActive {
		n.rollouts.seenAt = now
	}
	n.Leases.AddRemoteAttemptCounts(from, h.InstanceID, h.CallOutcomes)
}

// learnConfigRevision records the configuration revision in a heartbeat and the age of the sender's
// knowledge of the revision.
func (n *Node) learnConfigRevision(now monotime.Time, h *message.Heartbeat, fx *Effects) {
	if h.ConfigRevision > n.ConfigRevision {
		n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(h.ConfigRevision)}, fx)
	}
	if h.ConfigAgeMs > 0 {
		n.freshness.asOf = max(n.freshness.asOf, now.Add(-time.Duration(h.ConfigAgeMs)*time.Millisecond))
	}
}

// onResendRequest handles a peer's resend request: the next heartbeat to the peer is a full
// heartbeat, and the full list of leases is sent if the peer requested the list.
func (n *Node) onResendRequest(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.ResendRequest == nil {
		return false
	}
	if p := n.peers[m.From]; p != nil && m.ResendRequest.Heartbeat {
		p.lastFullState = ""
	}
	if m.ResendRequest.Leases && !slices.Contains(n.heartbeats.leaseResendTo, m.From) {
		n.heartbeats.leaseResendTo = append(n.heartbeats.leaseResendTo, m.From)
	}
	n.sendLeaseUpdates(now, fx)
	return true
}
