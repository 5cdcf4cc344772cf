package node

import (
	"slices"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/replica"
	"cottonarch.example/cottonarch/control/roster/acceptor"
	"cottonarch.example/cottonarch/control/roster/former"
	"cottonarch.example/cottonarch/control/roster/maker"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/storage/ring"
)

func (n *Node) adopt(now moment.Moment, r cell.Roster, fx *Effects) {
	_, was := n.acc.Now.Find(n.Disk)
	r.Need = n.boot.Need
	recs, newer := n.acc.Adopt(r)
	if !newer {
		return
	}
	fx.Records = append(fx.Records, recs...)
	n.make.Adopted(r)
	n.copying, n.proof = false, nil
	n.missed = &catchUp{done: n.missed.done}
	n.away = &departure{began: n.away.began, silent: n.away.silent}
	for _, turn := range n.turns() {
		rd := n.reads[turn]
		delete(n.reads, turn)
		if rd.done == nil && rd.until.After(now) {
			n.survey(now, &reading{ticket: rd.ticket, until: rd.until}, rd.Prefix, rd.Values, rd.Skip, fx)
		}
	}
	n.owned(now, n.own.Rostered(now, r), fx)
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
	now2 := n.acc.Now
	for _, tag := range n.rep.Tags() {
		fx.Records = append(fx.Records, ring.Record{Tag: tag})
	}
	n.Disk = n.boot.NewDisk()
	n.rep, n.acc = replica.New(n.Disk), acceptor.New(n.Disk)
	n.acc.Now = now2
	fx.Records = append(fx.Records, ring.Record{Tag: diskTag, Data: []byte(n.Disk)}, n.acc.Record())
	n.make = maker.New(n.Disk, n.boot.Mark)
	n.form = former.New(n.Disk, n.boot.Addr, nil)
	n.own = n.owning()
	n.own.Rostered(now, now2)
	n.copied = 0
}

func (n *Node) onAsk(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Ask == nil {
		return false
	}
	if n.broken || n.away.silent {
		return true
	}
	if _, in := n.acc.Now.Find(n.Disk); !in {
		return true
	}
	r, recs, say := n.rep.Step(n.acc.Now.Epoch, *m.Ask)
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

func (n *Node) onRosterAsk(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.RosterAsk == nil {
		return false
	}
	if n.broken {
		return true
	}
	r, recs, say := n.acc.Step(*m.RosterAsk, n.notDead(now))
	fx.Records = append(fx.Records, recs...)
	if say {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{RosterSays: &r}})
	}
	return true
}

func (n *Node) onRosterSays(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.RosterSays == nil {
		return false
	}
	if m.RosterSays.Kind == acceptor.Form {
		if next := n.form.Step(*m.RosterSays); next != nil && n.acc.Now.Epoch == 0 {
			n.adopt(now, *next, fx)
			n.said = 0
		}
		return true
	}
	sends, next := n.make.Step(now, *m.RosterSays)
	n.rosterSends(sends, fx)
	if next != nil {
		n.adopt(now, *next, fx)
		n.said = 0
	}
	return true
}

func (n *Node) rosterSends(sends []maker.Send, fx *Effects) {
	for _, s := range sends {
		ask := s.Ask
		n.send(s.To, message.Message{RosterAsk: &ask}, fx)
	}
}

func (n *Node) onHandover(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Handover == nil {
		return false
	}
	if !n.leaving && !n.broken && n.acc.Now.Counts(n.Disk) {
		for _, k := range m.Handover.Keys {
			n.owned(now, n.own.Take(now, k), fx)
		}
	}
	return true
}
