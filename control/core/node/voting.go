package node

import (
	"slices"

	"cottonarch.example/cottonarch/control/core/message"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/bootstrap"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/storage/ring"
)

func (n *Node) adopt(now monotime.Time, r quorum.Membership, fx *Effects) {
	_, was := n.membership.Current.Find(n.Disk)
	r.Need = n.boot.Need
	recs, newer := n.membership.Adopt(r)
	if !newer {
		return
	}
	fx.Records = append(fx.Records, recs...)
	n.reconfigurer.Adopted(r)
	n.copyingState, n.proof = false, nil
	n.missed = &catchUp{done: n.missed.done}
	n.away = &departure{began: n.away.began, silent: n.away.silent}
	for _, turn := range n.readRounds() {
		rd := n.reads[turn]
		delete(n.reads, turn)
		if rd.done == nil && rd.until.After(now) {
			n.quorumRead(now, &reading{ticket: rd.ticket, until: rd.until}, rd.Prefix, rd.Values, rd.Excluded, fx)
		}
	}
	n.applyProposer(now, n.proposer.SetMembership(now, r), fx)
	if _, is := r.Find(n.Disk); was && !is {
		n.wipe(now, fx)
	}
}

func (n *Node) readRounds() []uint64 {
	out := make([]uint64, 0, len(n.reads))
	for t := range n.reads {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// wipe makes this a new disk: its slot was taken while it was away.
func (n *Node) wipe(now monotime.Time, fx *Effects) {
	now2 := n.membership.Current
	for _, tag := range n.acceptor.Tags() {
		fx.Records = append(fx.Records, ring.Record{Tag: tag})
	}
	n.Disk = n.boot.NewDisk()
	n.acceptor, n.membership = acceptor.New(n.Disk), membership.New(n.Disk)
	n.membership.Current = now2
	fx.Records = append(fx.Records, ring.Record{Tag: diskTag, Data: []byte(n.Disk)}, n.membership.Record())
	n.reconfigurer = reconfiguration.New(n.Disk, n.boot.Mark)
	n.bootstrap = bootstrap.New(n.Disk, n.boot.Addr, nil)
	n.proposer = n.newProposer()
	n.proposer.SetMembership(now, now2)
	n.copiedAt = 0
}

func (n *Node) onRequest(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Request == nil {
		return false
	}
	if n.broken || n.away.silent {
		return true
	}
	if _, in := n.membership.Current.Find(n.Disk); !in {
		return true
	}
	r, recs, say := n.acceptor.Step(n.membership.Current.Epoch, *m.Request)
	fx.Records = append(fx.Records, recs...)
	if r.OK && (m.Request.Kind == quorum.Accept || m.Request.Kind == quorum.PatchAccept) {
		n.voted(now, m.Request.Key)
	}
	if say {
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
	if n.broken {
		return true
	}
	r, recs, say := n.membership.Step(*m.MembershipRequest, n.presumedAlive(now))
	fx.Records = append(fx.Records, recs...)
	if say {
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
			n.adopt(now, *next, fx)
			n.said = 0
		}
		return true
	}
	sends, next := n.reconfigurer.Step(now, *m.MembershipResponse)
	n.sendReconfiguration(sends, fx)
	if next != nil {
		n.adopt(now, *next, fx)
		n.said = 0
	}
	return true
}

func (n *Node) sendReconfiguration(sends []reconfiguration.Send, fx *Effects) {
	for _, s := range sends {
		ask := s.Request
		n.send(s.To, message.Message{MembershipRequest: &ask}, fx)
	}
}

func (n *Node) onHandover(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Handover == nil {
		return false
	}
	if !n.leaving && !n.broken && n.membership.Current.Counts(n.Disk) {
		for _, k := range m.Handover.Keys {
			n.applyProposer(now, n.proposer.Prepare(now, k), fx)
		}
	}
	return true
}
