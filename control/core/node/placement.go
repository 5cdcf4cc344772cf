package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// copySyncTimeout is how long the word that a copy is synced is awaited before all is copied anew.
const copySyncTimeout = 2 * time.Second

// seekMembership works towards this disk being a counted voter.
func (n *Node) seekMembership(now monotime.Time, fx *Effects) {
	r := n.membership.Current
	if r.Epoch == 0 {
		if !slices.Contains(n.config.Founders, n.config.Addr) {
			return
		}
		emptyFounders := map[ident.Addr]ident.Disk{}
		for _, a := range n.peerAddrs() {
			if p := n.peers[a]; p.heartbeat.Membership == nil && now.Since(p.lastHeard) <= heartbeatTimeout {
				emptyFounders[a] = p.heartbeat.Disk
			}
		}
		for _, s := range n.bootstrap.Tick(now, emptyFounders) {
			request := s.Request
			fx.Sends = append(fx.Sends, Send{s.To, message.Message{MembershipRequest: &request}})
		}
		return
	}
	self, in := r.Find(n.Disk)
	switch {
	case in && self.Counted && self.Addr != n.config.Addr:
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.MoveVoter(quorum.Voter{Disk: n.Disk, Addr: n.config.Addr})), fx)
	case n.leaving:
	case in && self.Counted:
		n.dropDeadVoter(now, r, fx)
	case in && self.Joining && !n.canGrow(now, r) && !n.isSuccessor(now, r):
		if n.mayTakeSlot(now, r) {
			n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(quorum.Voter{Disk: n.Disk, Addr: n.config.Addr}, n.config.MaxVoters, false)), fx)
		}
	case in && n.copiedEpoch == r.Epoch:
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.CountIn(n.Disk)), fx)
	case in && (!n.copyingState || n.copySyncRound != 0 && now.Since(n.copySyncSentAt) > copySyncTimeout):
		n.copyingState = true
		n.startRead(now, &pendingRead{deadline: now.Add(time.Minute), onDone: n.storeCopies(r.Epoch)}, "", true, n.Disk, fx)
	case !in && n.isSuccessor(now, r):
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(quorum.Voter{Disk: n.Disk, Addr: n.config.Addr}, len(r.Voters)+1, true)), fx)
	case !in && n.mayTakeSlot(now, r):
		grow := n.mayGrow(now, r)
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(quorum.Voter{Disk: n.Disk, Addr: n.config.Addr}, n.config.MaxVoters, grow)), fx)
	}
}

// canGrow tells whether the slots that majorities are of may become one more by this disk,
// which has joined: all that count are healthy, and there is another to follow it unless the
// number is even. A core more than an odd number adds to no majority's strength; it stands
// by, and takes the next empty slot. Had it been counted in, and the voter whose successor
// it was to be then gone for good, every later loss would be one too many.
func (n *Node) canGrow(now monotime.Time, r quorum.Membership) bool {
	healthy := n.healthy(now)
	otherJoiners := 0
	for _, v := range r.Voters {
		switch isHealthy := slices.Contains(healthy, v.Disk); {
		case v.Joining && v.Disk != n.Disk && isHealthy:
			otherJoiners++
		case !v.Joining && !isHealthy:
			return false
		}
	}
	return r.Size()%2 == 0 || otherJoiners > 0
}

// healthy lists the disks that are heard, work and stay, this one included.
func (n *Node) healthy(now monotime.Time) []ident.Disk {
	disks := []ident.Disk{n.Disk}
	for _, a := range n.peerAddrs() {
		if p := n.peers[a]; p.live(now) && !p.heartbeat.Leaving && !p.heartbeat.DiskFailed {
			disks = append(disks, p.heartbeat.Disk)
		}
	}
	return disks
}

// mayTakeSlot tells whether this disk may find a slot: one voter is at this address, or one is
// not heard here, or it may grow the membership, which has fewer voters than there should be.
// Who can have none does not ask: each question outbids those that would be agreed to. Only then is a majority asked, and what its disks have heard decides; so a
// core that has just come need not itself wait for a voter's silence to be long.
func (n *Node) mayTakeSlot(now monotime.Time, r quorum.Membership) bool {
	if slices.ContainsFunc(r.Voters, func(v quorum.Voter) bool { return v.Addr == n.config.Addr && v.Disk != n.Disk }) {
		return true
	}
	uptime := now.Since(n.startedAt)
	if uptime <= heartbeatTimeout {
		return false // those that live may not have said so yet
	}
	heard := n.heardWithin(now, voterDeadAfter)
	_, in := r.Find(n.Disk)
	return !in && n.mayGrow(now, r) && len(r.Voters) < n.config.MaxVoters ||
		slices.ContainsFunc(r.Voters, func(v quorum.Voter) bool { return !slices.Contains(heard, v.Disk) && (!in || !v.Joining) })
}

// mayGrow tells whether this disk may ask for a slot of its own. A core that replaces
// another is given time to find the empty slot first; where there are too few slots to bear
// what may be lost at once, it waits no longer than it takes to hear the others.
func (n *Node) mayGrow(now monotime.Time, r quorum.Membership) bool {
	uptime := now.Since(n.startedAt)
	return uptime > growAfter || r.Size() < 2*n.config.CanLose+1 && uptime > heartbeatTimeout
}

// presumedAlive lists the disks that this one does not hold for dead: those heard lately and,
// as long as it has not listened for that long itself, all that vote.
func (n *Node) presumedAlive(now monotime.Time) []ident.Disk {
	disks := n.heardWithin(now, voterDeadAfter)
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

// storeCopies takes every key that a majority of the counted voters held at the epoch. The
// copy is done only once it is synced: the word of that waits at the gate behind its
// records. A disk that counted sooner and then lost power would count and know nothing.
func (n *Node) storeCopies(epoch ident.Epoch) func(monotime.Time, *quorumread.Reader, *Effects) {
	return func(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
		if reader == nil || n.membership.Current.Epoch != epoch {
			n.copyingState = false
			return
		}
		found := reader.Entries()
		for _, k := range sortedKeys(found) {
			fx.Records = append(fx.Records, n.acceptor.Merge(quorum.Row{Key: k, Record: found[k].Record})...)
		}
		n.copySyncRound, n.copySyncSentAt = n.nextNumber(), now
		synced := quorum.ScanResponse{Round: n.copySyncRound, Disk: n.Disk, Membership: epoch}
		fx.Sends = append(fx.Sends, Send{n.config.Addr, message.Message{ScanResponse: &synced}})
	}
}

// copySynced takes the word that the copy is synced.
func (n *Node) copySynced(r quorum.ScanResponse) bool {
	if r.Round != n.copySyncRound || r.Disk != n.Disk || n.copySyncRound == 0 {
		return false
	}
	n.copySyncRound = 0
	if r.Membership == n.membership.Current.Epoch {
		n.copyingState, n.copiedEpoch = false, r.Membership
	}
	return true
}

func sortedKeys(found map[ident.Key]quorumread.Entry) []ident.Key {
	keys := make([]ident.Key, 0, len(found))
	for k := range found {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
