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
	// heartbeatInterval is the time between two heartbeats to one peer, and between two to
	// cores that were never heard.
	heartbeatInterval = 300 * time.Millisecond
	// nonVoterHeartbeatInterval is the same between two cores that do not vote.
	nonVoterHeartbeatInterval = 500 * time.Millisecond
	// secondSenderDelay is how much longer the second of two cores waits for the first.
	secondSenderDelay = 70 * time.Millisecond
	// heartbeatCheckInterval is the time between two looks for peers whose heartbeat is due.
	heartbeatCheckInterval = 30 * time.Millisecond
	// fullHeartbeatInterval is how often a heartbeat to a peer is full, changed or not.
	fullHeartbeatInterval = 10 * time.Second
	// resendRequestInterval is the least time between two resend requests to one peer.
	resendRequestInterval = 200 * time.Millisecond
	// forgetPeerAfter is how long after its last heartbeat a peer is forgotten, and how long
	// after its last mention by others a known core is.
	forgetPeerAfter = time.Minute
)

// heartbeatState is what a core remembers of the heartbeats that it sent.
type heartbeatState struct {
	seq       uint64 // of the last heartbeat sent
	checkedAt monotime.Time
	// sent holds when the latest ones were sent, by rising sequence number.
	sent []sentHeartbeat
	// unheardContactedAt is when a heartbeat was last sent to cores that were never heard.
	unheardContactedAt monotime.Time
	// leaseResendTo lists the cores that asked for a full list of leases.
	leaseResendTo []ident.Addr
}

// sentHeartbeat records when a heartbeat was sent.
type sentHeartbeat struct {
	seq    uint64
	sentAt monotime.Time
}

// recordSent notes that the heartbeat seq is sent now, and drops those older than receiptTimeout.
func (s *heartbeatState) recordSent(now monotime.Time) {
	expired := 0
	for expired < len(s.sent) && now.Since(s.sent[expired].sentAt) > receiptTimeout {
		expired++
	}
	s.sent = append(s.sent[expired:], sentHeartbeat{s.seq, now})
}

// sentAt returns when a heartbeat was sent, 0 if that is longer ago than receiptTimeout.
func (s *heartbeatState) sentAt(seq uint64) monotime.Time {
	index, found := slices.BinarySearchFunc(s.sent, seq, func(h sentHeartbeat, seq uint64) int { return cmp.Compare(h.seq, seq) })
	if !found {
		return 0
	}
	return s.sent[index].sentAt
}

// sendDueHeartbeats sends a heartbeat to every core whose next one is due, or to all of them.
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

// heartbeatIntervalTo returns the time between two heartbeats to a peer. Of two cores the one
// with the lower address sends first and the other replies with its own heartbeat; only when
// none came does the other begin. Two cores that do not vote affect no placement by their
// heartbeats and need fewer.
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

// sendHeartbeats sends a heartbeat to some cores: a full one to those that do not know this
// core's present state, a brief one to the others.
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

// briefHeartbeat returns the part of a heartbeat that changes from one to the next.
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

// fullHeartbeat completes a brief heartbeat by this core's state.
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

// onHeartbeat takes a peer's heartbeat, and replies with one of this core's own if that is
// due soon.
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
		return true // an older one, overtaken: it shows only that the peer is live
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

// peerOfHeartbeat returns the peer that sent a heartbeat, reset if this is a new run of it. It
// returns nil for a brief heartbeat of a run of which no full one has come.
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
		n.abandonCopies(from, p.heartbeat.InstanceID)
		n.Leases.RemoveRegistrar(from)
		*p = peer{firstHeard: now}
	}
	return p
}

// applyHeartbeat takes the peer's state, the membership and the acknowledgements from its
// heartbeat.
func (n *Node) applyHeartbeat(now monotime.Time, from ident.Addr, p *peer, received message.Heartbeat, fx *Effects) {
	state := p.heartbeat
	n.proposer.SetPatchCapable(state.Disk, state.AcceptsPatches)
	// One disk is at one address: an older address of the same disk is stale.
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

// requestMissing asks a peer for what its heartbeat shows to be missing here: its membership,
// or its list of leases.
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

// requestResend sends a resend request to a peer unless one was sent just before.
func (n *Node) requestResend(now monotime.Time, to ident.Addr, p *peer, request message.ResendRequest, fx *Effects) {
	if now.Since(p.resendRequestedAt) < resendRequestInterval {
		return
	}
	p.resendRequestedAt = now
	fx.send(to, message.Message{ResendRequest: &request})
}

// learnRollout takes what a heartbeat says of roll-outs.
func (n *Node) learnRollout(now monotime.Time, from ident.Addr, h message.Heartbeat) {
	if h.RolloutActive {
		n.rollouts.seenAt = now
	}
	n.Leases.AddRemoteAttemptCounts(from, h.InstanceID, h.CallOutcomes)
}

// learnConfigRevision takes what a heartbeat says of the configuration.
func (n *Node) learnConfigRevision(now monotime.Time, h *message.Heartbeat, fx *Effects) {
	if h.ConfigRevision > n.ConfigRevision {
		n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(h.ConfigRevision)}, fx)
	}
	if h.ConfigAgeMs > 0 {
		n.freshness.asOf = max(n.freshness.asOf, now.Add(-time.Duration(h.ConfigAgeMs)*time.Millisecond))
	}
}

// onResendRequest sends a peer what it asks for: a full heartbeat the next time, or the list
// of leases.
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
