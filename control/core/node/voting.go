package node

import (
	"slices"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/bootstrap"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

func (n *Node) adoptMembership(now monotime.Time, r quorum.Membership, fx *Effects) {
	_, hadSlot := n.membership.Current.Find(n.Disk)
	r.MajorityOverride = n.config.QuorumSize
	recs, newer := n.membership.Adopt(r)
	if !newer {
		return
	}
	fx.Records = append(fx.Records, recs...)
	n.reconfigurer.Adopted(r)
	n.copyingState, n.replication = false, nil
	n.catchUpState = &catchUp{done: n.catchUpState.done}
	n.departure = &departure{startedAt: n.departure.startedAt, votingStopped: n.departure.votingStopped}
	for _, round := range n.readRounds() {
		read := n.reads[round]
		delete(n.reads, round)
		if read.onDone == nil && read.deadline.After(now) {
			n.startRead(now, &pendingRead{ticket: read.ticket, deadline: read.deadline}, read.Prefix, read.Values, read.Excluded, fx)
		}
	}
	n.applyProposer(now, n.proposer.SetMembership(now, r), fx)
	if _, hasSlot := r.Find(n.Disk); hadSlot && !hasSlot {
		n.becomeNewDisk(now, fx)
	}
}

func (n *Node) readRounds() []uint64 {
	rounds := make([]uint64, 0, len(n.reads))
	for round := range n.reads {
		rounds = append(rounds, round)
	}
	slices.Sort(rounds)
	return rounds
}

// becomeNewDisk makes this a new disk: its slot was taken while it was away.
func (n *Node) becomeNewDisk(now monotime.Time, fx *Effects) {
	current := n.membership.Current
	for _, tag := range n.acceptor.RingKeys() {
		fx.Records = append(fx.Records, ring.Record{Key: tag})
	}
	n.Disk = n.config.NewDisk()
	n.acceptor, n.membership = acceptor.New(n.Disk), membership.New(n.Disk)
	n.membership.Current = current
	fx.Records = append(fx.Records, ring.Record{Key: diskTag, Data: []byte(n.Disk)}, n.membership.Record())
	n.reconfigurer = reconfiguration.New(n.Disk, n.config.InstanceID)
	n.bootstrap = bootstrap.New(n.Disk, n.config.Addr, nil)
	n.proposer = n.newProposer()
	n.proposer.SetMembership(now, current)
	n.copiedEpoch = 0
}

func (n *Node) onRequest(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Request == nil {
		return false
	}
	if n.diskFailed || n.departure.votingStopped {
		return true
	}
	if _, in := n.membership.Current.Find(n.Disk); !in {
		return true
	}
	r, recs, answered := n.acceptor.Step(n.membership.Current.Epoch, *m.Request)
	fx.Records = append(fx.Records, recs...)
	if r.OK && (m.Request.Kind == quorum.Accept || m.Request.Kind == quorum.PatchAccept) {
		n.recordVote(now, m.Request.Key)
	}
	if answered {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{Response: &r}})
	}
	return true
}

func (n *Node) onResponse(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Response == nil {
		return false
	}
	n.applyProposer(now, n.proposer.Step(now, *m.Response), fx)
	return true
}

func (n *Node) onMembershipRequest(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.MembershipRequest == nil {
		return false
	}
	if n.diskFailed {
		return true
	}
	r, recs, answered := n.membership.Step(*m.MembershipRequest, n.presumedAlive(now))
	fx.Records = append(fx.Records, recs...)
	if answered {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{MembershipResponse: &r}})
	}
	return true
}

func (n *Node) onMembershipResponse(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.MembershipResponse == nil {
		return false
	}
	if m.MembershipResponse.Kind == membership.Form {
		if next := n.bootstrap.Step(*m.MembershipResponse); next != nil && n.membership.Current.Epoch == 0 {
			n.adoptMembership(now, *next, fx)
			n.lastHeartbeatCheck = 0
		}
		return true
	}
	sends, next := n.reconfigurer.Step(now, *m.MembershipResponse)
	n.sendReconfiguration(sends, fx)
	if next != nil {
		n.adoptMembership(now, *next, fx)
		n.lastHeartbeatCheck = 0
	}
	return true
}

func (n *Node) sendReconfiguration(sends []reconfiguration.Send, fx *Effects) {
	for _, s := range sends {
		request := s.Request
		n.sendToVoter(s.To, message.Message{MembershipRequest: &request}, fx)
	}
}

func (n *Node) onHandover(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Handover == nil {
		return false
	}
	if !n.leaving && !n.diskFailed && n.membership.Current.Counts(n.Disk) {
		for _, k := range m.Handover.Keys {
			n.applyProposer(now, n.proposer.Prepare(now, k), fx)
		}
	}
	return true
}
