package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/bootstrap"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	// voterDeadAfter is how long a voter must not have been heard, by disks that have listened
	// for as long, before its slot may be taken.
	voterDeadAfter = 3 * time.Second
	// growAfter is how long after its start a core waits before it asks for a slot of its own.
	growAfter = 6 * time.Second
)

// seekMembership works towards this disk being a counted voter.
func (n *Node) seekMembership(now monotime.Time, fx *Effects) {
	current := n.membership.Current
	if current.Epoch == 0 {
		n.tickBootstrap(now, fx)
		return
	}
	self, in := current.Find(n.Disk)
	switch {
	case in && self.Counted && self.Addr != n.config.Addr:
		n.propose(now, reconfiguration.UpdateAddress(n.asVoter()), fx)
	case n.leaving:
	case in && self.Counted:
		n.dropDeadVoter(now, current, fx)
	case in && self.Joining && !n.canGrow(now, current) && !n.isSuccessor(now, current):
		if n.mayTakeSlot(now, current) {
			n.propose(now, reconfiguration.TakeSlot(n.asVoter(), n.config.MaxVoters, false), fx)
		}
	case in && n.voterCopy.epoch == current.Epoch:
		n.propose(now, reconfiguration.PromoteVoter(n.Disk), fx)
	case in && n.voterCopy.due(now):
		n.beginCopy(now, current.Epoch, fx)
	case !in && n.isSuccessor(now, current):
		n.propose(now, reconfiguration.TakeSlot(n.asVoter(), len(current.Voters)+1, true), fx)
	case !in && n.mayTakeSlot(now, current):
		n.propose(now, reconfiguration.TakeSlot(n.asVoter(), n.config.MaxVoters, n.mayGrow(now, current)), fx)
	}
}

// tickBootstrap works towards the first membership, if this core is one of its founders.
func (n *Node) tickBootstrap(now monotime.Time, fx *Effects) {
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
		fx.send(s.To, message.Message{MembershipRequest: &request})
	}
}

// asVoter returns this disk as a voter at this core's address.
func (n *Node) asVoter() quorum.Voter {
	return quorum.Voter{Disk: n.Disk, Addr: n.config.Addr}
}

// propose begins a change of the membership in force.
func (n *Node) propose(now monotime.Time, change reconfiguration.Change, fx *Effects) {
	n.sendReconfiguration(n.reconfigurer.Begin(now, n.membership.Current, change), fx)
}

func (n *Node) sendReconfiguration(sends []reconfiguration.Send, fx *Effects) {
	for _, s := range sends {
		request := s.Request
		n.sendToVoter(s.To, message.Message{MembershipRequest: &request}, fx)
	}
}

// canGrow reports whether this disk, which has joined, may be counted in and so raise the
// number of slots by one: all counted voters are healthy, and another joining disk can follow
// unless the number is even. An even number of slots tolerates no more failures than the odd
// one below it, so the last joining disk stands by and takes the next empty slot. Had it been
// counted in, and the voter that it was to replace then failed for good, every later failure
// would be one too many.
func (n *Node) canGrow(now monotime.Time, current quorum.Membership) bool {
	healthy := n.healthy(now)
	otherJoiners := 0
	for _, v := range current.Voters {
		switch isHealthy := slices.Contains(healthy, v.Disk); {
		case v.Joining && v.Disk != n.Disk && isHealthy:
			otherJoiners++
		case !v.Joining && !isHealthy:
			return false
		}
	}
	return current.Size()%2 == 0 || otherJoiners > 0
}

// mayTakeSlot reports whether this disk may find a slot: a voter is at this address, or one was
// not heard here for voterDeadAfter, or the membership has fewer voters than it should and this
// disk may raise it. Others do not ask, as each request outbids those that would succeed. What
// the disks of a majority have heard decides; a core that has just started need not itself wait
// for a voter's silence to last.
func (n *Node) mayTakeSlot(now monotime.Time, current quorum.Membership) bool {
	if slices.ContainsFunc(current.Voters, func(v quorum.Voter) bool { return v.Addr == n.config.Addr && v.Disk != n.Disk }) {
		return true
	}
	if now.Since(n.startedAt) <= heartbeatTimeout {
		return false // live cores may not have sent a heartbeat yet
	}
	heard := n.heardWithin(now, voterDeadAfter)
	_, in := current.Find(n.Disk)
	return !in && n.mayGrow(now, current) && len(current.Voters) < n.config.MaxVoters ||
		slices.ContainsFunc(current.Voters, func(v quorum.Voter) bool { return !slices.Contains(heard, v.Disk) && (!in || !v.Joining) })
}

// mayGrow reports whether this disk may ask for a slot of its own. A core that replaces another
// is given growAfter to find the empty slot first. Where there are too few slots to tolerate
// ToleratedLosses failures, it waits only until it has heard the others.
func (n *Node) mayGrow(now monotime.Time, current quorum.Membership) bool {
	uptime := now.Since(n.startedAt)
	return uptime > growAfter || current.Size() < 2*n.config.ToleratedLosses+1 && uptime > heartbeatTimeout
}

// onMembershipRequest answers another core's proposal of a membership.
func (n *Node) onMembershipRequest(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.MembershipRequest == nil {
		return false
	}
	if n.diskFailed {
		return true
	}
	response, recs, answered := n.membership.Step(*m.MembershipRequest, n.presumedAlive(now))
	fx.Records = append(fx.Records, recs...)
	if answered {
		fx.send(m.From, message.Message{MembershipResponse: &response})
	}
	return true
}

// onMembershipResponse takes an answer to this core's proposal, and adopts the membership once
// it is chosen.
func (n *Node) onMembershipResponse(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.MembershipResponse == nil {
		return false
	}
	if m.MembershipResponse.Kind == membership.Form {
		if next := n.bootstrap.Step(*m.MembershipResponse); next != nil && n.membership.Current.Epoch == 0 {
			n.adoptChosen(now, *next, fx)
		}
		return true
	}
	sends, next := n.reconfigurer.Step(now, *m.MembershipResponse)
	n.sendReconfiguration(sends, fx)
	if next != nil {
		n.adoptChosen(now, *next, fx)
	}
	return true
}

// adoptChosen adopts a membership that this core brought about, and has due heartbeats sent in
// the next tick.
func (n *Node) adoptChosen(now monotime.Time, next quorum.Membership, fx *Effects) {
	n.adoptMembership(now, next, fx)
	n.heartbeats.checkedAt = 0
}

// adoptMembership takes a chosen membership, if it is newer than the one in force. All that
// holds for one membership only is dropped: copies, comparisons, reads.
func (n *Node) adoptMembership(now monotime.Time, chosen quorum.Membership, fx *Effects) {
	_, hadSlot := n.membership.Current.Find(n.Disk)
	chosen.MajorityOverride = n.config.QuorumSize
	recs, newer := n.membership.Adopt(chosen)
	if !newer {
		return
	}
	fx.Records = append(fx.Records, recs...)
	n.reconfigurer.Adopted(chosen)
	n.voterCopy.inProgress, n.replication = false, nil
	n.catchUp = &catchUpState{done: n.catchUp.done}
	n.departure = &departure{startedAt: n.departure.startedAt, votingStopped: n.departure.votingStopped}
	n.restartReads(now, fx)
	n.applyProposer(now, n.proposer.SetMembership(now, chosen), fx)
	if _, hasSlot := chosen.Find(n.Disk); hadSlot && !hasSlot {
		n.becomeNewDisk(now, fx)
	}
}

// becomeNewDisk deletes all records and gives this disk a new identifier, as its slot was taken
// while it was away.
func (n *Node) becomeNewDisk(now monotime.Time, fx *Effects) {
	current := n.membership.Current
	for _, tag := range n.acceptor.RingKeys() {
		fx.Records = append(fx.Records, ring.Record{Key: tag})
	}
	n.Disk = n.config.NewDiskID()
	n.acceptor, n.membership = acceptor.New(n.Disk), membership.New(n.Disk)
	n.membership.Current = current
	fx.Records = append(fx.Records, ring.Record{Key: diskTag, Data: []byte(n.Disk)}, n.membership.Record())
	n.reconfigurer = reconfiguration.New(n.Disk, n.config.InstanceID)
	n.bootstrap = bootstrap.New(n.Disk, n.config.Addr, nil)
	n.proposer = n.newProposer()
	n.proposer.SetMembership(now, current)
	n.voterCopy.epoch = 0
}
