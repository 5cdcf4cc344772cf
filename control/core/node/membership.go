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
	// voterDeadAfter is the time without heartbeats after which a core presumes a voter dead, so
	// that the voter's slot may be taken. A core that has run for less time presumes no voter dead.
	voterDeadAfter = 3 * time.Second
	// addSlotAfter is the time that a core waits after its start before it requests an additional
	// slot.
	addSlotAfter = 6 * time.Second
)

// tickMembership performs the next step toward making this disk a counted voter. If this disk is
// already a counted voter, tickMembership maintains the voter's address and drops dead voters.
func (n *Node) tickMembership(now monotime.Time, fx *Effects) {
	current := n.membership.Current
	if current.Epoch == 0 {
		n.tickBootstrap(now, fx)
		return
	}
	self, in := current.Find(n.Disk)
	switch {
	case in && self.Counted && self.Addr != n.config.Addr:
		n.proposeMembership(now, reconfiguration.UpdateAddress(n.localVoter()), fx)
	case n.leaving:
	case in && self.Counted:
		n.dropDeadVoter(now, current, fx)
	case in && self.Joining && !n.mayBeCounted(now, current) && !n.isSuccessor(now, current):
		if n.mayTakeSlot(now, current) {
			n.proposeMembership(now, reconfiguration.TakeSlot(n.localVoter(), n.config.MaxVoters, false), fx)
		}
	case in && n.voterCopy.epoch == current.Epoch:
		n.proposeMembership(now, reconfiguration.PromoteVoter(n.Disk), fx)
	case in && n.voterCopy.due(now):
		n.beginCopy(now, current.Epoch, fx)
	case !in && n.isSuccessor(now, current):
		n.proposeMembership(now, reconfiguration.TakeSlot(n.localVoter(), len(current.Voters)+1, true), fx)
	case !in && n.mayTakeSlot(now, current):
		n.proposeMembership(now, reconfiguration.TakeSlot(n.localVoter(), n.config.MaxVoters, n.mayAddSlot(now, current)), fx)
	}
}

// tickBootstrap performs the next step toward the first membership, if this core is a founder.
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

// localVoter returns a voter entry with this disk and this core's address.
func (n *Node) localVoter() quorum.Voter {
	return quorum.Voter{Disk: n.Disk, Addr: n.config.Addr}
}

// proposeMembership begins a change to the current membership.
func (n *Node) proposeMembership(now monotime.Time, change reconfiguration.Change, fx *Effects) {
	n.sendReconfiguration(n.reconfigurer.Begin(now, n.membership.Current, change), fx)
}

func (n *Node) sendReconfiguration(sends []reconfiguration.Send, fx *Effects) {
	for _, s := range sends {
		request := s.Request
		n.sendToVoter(s.To, message.Message{MembershipRequest: &request}, fx)
	}
}

// mayBeCounted reports whether this joining disk may become a counted voter, which raises the
// number of slots by one. All voters with a slot must be healthy, and if the current number of
// slots is odd, another healthy disk must be joining too. An even number of slots tolerates no more
// failures than the next lower odd number, so a single joining disk waits for the next empty slot.
// If the disk were counted and the voter that it is meant to replace then failed permanently, the
// cluster would not tolerate any further failure.
func (n *Node) mayBeCounted(now monotime.Time, current quorum.Membership) bool {
	healthy := n.healthyDisks(now)
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

// mayTakeSlot reports whether a request for a slot by this disk may succeed. That is so if another
// disk's voter has this core's address, if this core received no heartbeat from a voter for
// voterDeadAfter, or if the membership has too few voters and this disk may add a slot. In all
// other cases the disk sends no request, because the request's higher ballot would preempt requests
// that could succeed. The acceptors of a majority decide whether a voter is presumed dead, so a
// core that has just started need not wait for voterDeadAfter itself.
func (n *Node) mayTakeSlot(now monotime.Time, current quorum.Membership) bool {
	if slices.ContainsFunc(current.Voters, func(v quorum.Voter) bool { return v.Addr == n.config.Addr && v.Disk != n.Disk }) {
		return true
	}
	if now.Since(n.startedAt) <= heartbeatTimeout {
		return false // heartbeats of live cores may not have arrived yet
	}
	heard := n.disksHeardWithin(now, voterDeadAfter)
	_, in := current.Find(n.Disk)
	return !in && n.mayAddSlot(now, current) && len(current.Voters) < n.config.MaxVoters ||
		slices.ContainsFunc(current.Voters, func(v quorum.Voter) bool { return !slices.Contains(heard, v.Disk) && (!in || !v.Joining) })
}

// mayAddSlot reports whether this disk may request an additional slot. During the first
// addSlotAfter of its run a core does not, so that a core that replaces another core takes the
// empty slot instead. If there are too few slots to tolerate ToleratedLosses failures, the core
// waits only for heartbeatTimeout, in which it receives the heartbeats of the other cores.
func (n *Node) mayAddSlot(now monotime.Time, current quorum.Membership) bool {
	uptime := now.Since(n.startedAt)
	return uptime > addSlotAfter || current.Size() < 2*n.config.ToleratedLosses+1 && uptime > heartbeatTimeout
}

// onMembershipRequest handles a core's proposal of a membership as an acceptor.
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

// onMembershipResponse processes an acceptor's response to this core's proposal of a membership,
// and adopts the membership once it is chosen.
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

// adoptChosen adopts a membership that was chosen by this core's proposal, and schedules a check
// for due heartbeats in the next tick.
func (n *Node) adoptChosen(now monotime.Time, next quorum.Membership, fx *Effects) {
	n.adoptMembership(now, next, fx)
	n.heartbeats.checkedAt = 0
}

// adoptMembership adopts a chosen membership if it is newer than the current membership. State that
// is valid only for one membership is reset: the copy for a new voter, comparisons of the copies,
// and quorum reads.
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

// becomeNewDisk deletes all records and assigns a new identifier to this disk, because the disk's
// slot was taken while the core was unreachable.
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
