package node

import (
	"slices"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/bootstrap"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/replica"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/storage/ring"
)

func (n *Node) adopt(now moment.Moment, r cell.Membership, fx *Effects) {
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
	for _, turn := range n.turns() {
		rd := n.reads[turn]
		delete(n.reads, turn)
		if rd.done == nil && rd.until.After(now) {
			n.survey(now, &reading{ticket: rd.ticket, until: rd.until}, rd.Prefix, rd.Values, rd.Skip, fx)
		}
	}
	n.owned(now, n.own.SetMembership(now, r), fx)
	if _, is := r.Find(n.Disk); was && !is {
		n.wipe(now, fx)
	}
}

func (n *Node) turns() []uint64 {
	out := make([]uint64, 0, len(n.reads))
	for t := range n.reads {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// wipe makes this a new disk: its slot was taken while it was away.
func (n *Node) wipe(now moment.Moment, fx *Effects) {
	now2 := n.membership.Current
	for _, tag := range n.rep.Tags() {
		fx.Records = append(fx.Records, ring.Record{Tag: tag})
	}
	n.Disk = n.boot.NewDisk()
	n.rep, n.membership = replica.New(n.Disk), acceptor.New(n.Disk)
	n.membership.Current = now2
	fx.Records = append(fx.Records, ring.Record{Tag: diskTag, Data: []byte(n.Disk)}, n.membership.Record())
	n.reconfigurer = reconfiguration.New(n.Disk, n.boot.Mark)
	n.bootstrap = bootstrap.New(n.Disk, n.boot.Addr, nil)
	n.own = n.owning()
	n.own.SetMembership(now, now2)
	n.copiedAt = 0
}

func (n *Node) onAsk(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Ask == nil {
		return false
	}
	if n.broken || n.away.silent {
		return true
	}
	if _, in := n.membership.Current.Find(n.Disk); !in {
		return true
	}
	r, recs, say := n.rep.Step(n.membership.Current.Epoch, *m.Ask)
	fx.Records = append(fx.Records, recs...)
	if r.OK && (m.Ask.Kind == cell.Accept || m.Ask.Kind == cell.PatchAccept) {
		n.voted(now, m.Ask.Key)
	}
	if say {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{Return: &r}})
	}
	return true
}

func (n *Node) onReturn(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Return == nil {
		return false
	}
	n.owned(now, n.own.Step(now, *m.Return), fx)
	return true
}

func (n *Node) onMembershipRequest(now moment.Moment, m message.Message, fx *Effects) bool {
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

func (n *Node) onMembershipResponse(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.MembershipResponse == nil {
		return false
	}
	if m.MembershipResponse.Kind == acceptor.Form {
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

func (n *Node) onHandover(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Handover == nil {
		return false
	}
	if !n.leaving && !n.broken && n.membership.Current.Counts(n.Disk) {
		for _, k := range m.Handover.Keys {
			n.owned(now, n.own.Take(now, k), fx)
		}
	}
	return true
}
