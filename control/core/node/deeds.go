package node

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/control/register/place"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

// pending is one deed that this core has to answer. Invariants: at most one copy is
// out at a time, but for copies sent to processes that were then given up, which
// are counted in open; risk is set once any copy may have taken effect.
type pending struct {
	ticket uint64
	deed   owner.Deed
	until  moment.Moment
	pause  moment.Moment
	out    uint64 // the forward ticket or local tag, 0 when none
	sent   moment.Moment
	at     ident.Addr
	mark   string
	open   int
	risk   bool
	done   func(moment.Moment, End, *Effects)
}

// mayAct tells whether some copy of the deed may have changed something, or may yet.
func (p *pending) mayAct() bool { return (p.risk || p.open > 0) && !harmless[p.deed.Kind] }

type guest struct {
	from   ident.Addr
	mark   string
	ticket uint64
	name   string
}

// replayMax is the largest return that is kept for a repeat.
const replayMax = 4 << 10

// harmless lists the deeds that change nothing, so that running them twice is harmless.
var harmless = map[string]bool{"lock/read": true, "number/read": true, "key/read": true, "share/read": true, "manifest/read": true, "manifest/epoch": true, "rollout/read": true, "manifest/lines": true, "group/read": true, "group/since": true, owner.Mend: true}

// Deed takes a local request; its End carries the ticket.
func (n *Node) Deed(now moment.Moment, ticket uint64, d owner.Deed, budget time.Duration) (fx Effects) {
	n.begindeed(now, &pending{ticket: ticket, deed: d, until: now.Add(budget)}, &fx)
	return fx
}

func (n *Node) begindeed(now moment.Moment, p *pending, fx *Effects) {
	if p.deed.Op == "" {
		p.deed.Op = ident.Op(fmt.Sprintf("%s.%s.%d", n.Disk, n.boot.Mark, n.next()-n.first))
	}
	if grows[p.deed.Kind] && n.boot.Full != nil && n.boot.Full() {
		n.finish(now, p, End{Defect: defect.New(defect.Full, "the disk has no room for more control state")}, fx)
		return
	}
	if len(n.pend)+len(n.wait) >= pendMax {
		n.finish(now, p, End{Defect: defect.New(defect.Busy, "too many deeds are in hand").Later(1)}, fx)
		return
	}
	n.steer(now, p, fx)
}

// pendMax bounds the deeds in hand at one core.
const pendMax = 20000

// grows lists the deeds that may need more room on the disks.
var grows = map[string]bool{"key/write": true, "manifest/offer": true, "lock/claim": true, "number/next": true, "rollout/begin": true, "group/put": true}

// steer sends the one copy of a pending deed to the key's owner.
func (n *Node) steer(now moment.Moment, p *pending, fx *Effects) {
	if n.cutOff(now) && !p.mayAct() {
		n.late(now, p, fx)
		return
	}
	disks, at := n.live(now)
	first, _ := place.Owner(p.deed.Key, disks)
	if first == "" || p.pause.After(now) || !n.Majority(now) {
		n.wait = append(n.wait, p)
		return
	}
	p.out = n.next()
	n.pend[p.out] = p
	if first == n.Disk {
		p.at, p.mark = n.boot.Addr, n.boot.Mark
		d := p.deed
		d.Tag, d.Until = p.out, p.until
		n.owned(now, n.own.Submit(now, d), fx)
		return
	}
	p.at = at[first]
	p.mark = n.peers[p.at].hello.Mark
	n.forward(now, p, fx)
}

// forward sends the copy that is out, or sends it again: the receiver, which is one
// process named by its mark, takes repeats of one ticket as one.
func (n *Node) forward(now moment.Moment, p *pending, fx *Effects) {
	p.sent = now
	left := max(1, p.until.Since(now).Milliseconds())
	fx.Sends = append(fx.Sends, Send{p.at, message.Message{To: p.mark, Forward: &message.Forward{Ticket: p.out, Deed: p.deed, LeftMs: left}}})
}

func (n *Node) finish(now moment.Moment, p *pending, e End, fx *Effects) {
	e.Ticket = p.ticket
	if e.Defect != nil && p.mayAct() && e.Defect.Fate == defect.FateNo {
		// Another copy may still take effect: a no would not be sure.
		d := *e.Defect
		d.Fate = defect.FateUnknown
		e.Defect = &d
	}
	if p.done != nil {
		p.done(now, e, fx)
		return
	}
	fx.Ends = append(fx.Ends, e)
}

// ended takes the end of the copy that is out.
func (n *Node) ended(now moment.Moment, p *pending, c message.Carried, fx *Effects) {
	delete(n.pend, p.out)
	p.out = 0
	if !c.Lost {
		n.finish(now, p, End{Body: c.Body, Defect: c.Defect, Revision: c.Revision}, fx)
		return
	}
	p.risk = p.risk || c.Risk
	p.pause = now.Add(40 * time.Millisecond)
	n.wait = append(n.wait, p)
}

// owned carries out what the owner wants.
func (n *Node) owned(now moment.Moment, o owner.Effects, fx *Effects) {
	for _, s := range o.Sends {
		ask := s.Ask
		n.send(s.To, message.Message{Ask: &ask}, fx)
	}
	for _, out := range o.Outcomes {
		c := message.Carried{Body: out.Body, Defect: out.Defect, Revision: out.Revision, Lost: out.Lost, Risk: out.Risk}
		if out.Changed && !out.Lost {
			l := message.Learned{Key: out.Deed.Key, Revision: out.Revision, Ballot: out.Ballot}
			n.learn(now, l, fx)
			for _, a := range n.peerAddrs() {
				fx.Sends = append(fx.Sends, Send{a, message.Message{Learned: &l}})
			}
		}
		if g, ok := n.guests[out.Deed.Tag]; ok {
			delete(n.guests, out.Deed.Tag)
			c.Ticket = g.ticket
			if _, kept := n.seen[g.name]; kept {
				n.seen[g.name] = &c
				if len(c.Body) > replayMax {
					// The book of the key remembers it; this end only says so.
					n.seen[g.name] = &message.Carried{Ticket: g.ticket, Lost: true, Risk: true}
				}
			}
			fx.Sends = append(fx.Sends, Send{g.from, message.Message{To: g.mark, Carried: &c}})
			continue
		}
		if p, ok := n.pend[out.Deed.Tag]; ok {
			n.ended(now, p, c, fx)
		}
	}
}

func (n *Node) learn(now moment.Moment, l message.Learned, fx *Effects) {
	fx.Learned = append(fx.Learned, l)
	if l.Key.Under(rollout.Prefix) {
		n.rolling = now
	}
	if l.Key == offer.Key {
		n.Epoch = max(n.Epoch, ident.Epoch(l.Revision))
		// The value itself lies here already when this disk took part in the round.
		if c := n.rep.Peek(l.Key); !l.Ballot.Zero() && c.Accepted == l.Ballot && c.Revision == l.Revision {
			fx.Confirmed = book.State(c.Value)
		}
	}
}

// gone gives up the copies that are out at a process that is no more.
func (n *Node) gone(now moment.Moment, addr ident.Addr, mark string) {
	for _, out := range n.outs() {
		p := n.pend[out]
		if p.at == addr && p.mark == mark {
			delete(n.pend, out)
			p.out, p.risk = 0, true
			n.wait = append(n.wait, p)
		}
	}
}

func (n *Node) outs() []uint64 {
	out := make([]uint64, 0, len(n.pend))
	for k := range n.pend {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (n *Node) onForward(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Forward == nil {
		return false
	}
	name := fmt.Sprintf("%s/%d/%s", m.From, m.Forward.Ticket, m.Forward.Deed.Op)
	mark := ""
	if p := n.peers[m.From]; p != nil {
		mark = p.hello.Mark
	}
	if c, again := n.seen[name]; again {
		if c != nil {
			fx.Sends = append(fx.Sends, Send{m.From, message.Message{To: mark, Carried: c}})
		}
		return true
	}
	var away *message.Carried
	if n.leaving || n.broken || !n.membership.Current.Counts(n.Disk) {
		away = &message.Carried{Ticket: m.Forward.Ticket, Lost: true}
	}
	if !harmless[m.Forward.Deed.Kind] {
		// What was turned away is remembered too: a copy of it that is still on its way must
		// not be begun here after its sender was told that it was not.
		n.seen[name] = away
		n.seenList = append(n.seenList, name)
		if len(n.seenList) > seenMax {
			delete(n.seen, n.seenList[0])
			n.seenList = n.seenList[1:]
		}
	}
	if away != nil {
		fx.Sends = append(fx.Sends, Send{m.From, message.Message{To: mark, Carried: away}})
		return true
	}
	d := m.Forward.Deed
	d.Tag = n.next()
	if m.Forward.LeftMs > 0 {
		d.Until = now.Add(time.Duration(m.Forward.LeftMs) * time.Millisecond)
	}
	n.guests[d.Tag] = guest{m.From, mark, m.Forward.Ticket, name}
	n.owned(now, n.own.Submit(now, d), fx)
	return true
}

func (n *Node) onCarried(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Carried == nil {
		return false
	}
	if p, ok := n.pend[m.Carried.Ticket]; ok && p.at == m.From {
		n.ended(now, p, *m.Carried, fx)
	}
	return true
}

func (n *Node) onLearned(now moment.Moment, m message.Message, fx *Effects) bool {
	if m.Learned == nil {
		return false
	}
	n.learn(now, *m.Learned, fx)
	return true
}
