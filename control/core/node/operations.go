package node

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// pending is one operation that this core has to answer. Invariants: at most one copy is
// out at a time, but for copies sent to processes that were then given up, which
// are counted in givenUp; mayHaveTakenEffect is set once any copy may have taken effect.
type pending struct {
	ticket             uint64
	operation          proposer.Operation
	until              monotime.Time
	pause              monotime.Time
	out                uint64 // the forward ticket or local tag, 0 when none
	sent               monotime.Time
	at                 ident.Addr
	instance           string
	givenUp            int
	mayHaveTakenEffect bool
	done               func(monotime.Time, End, *Effects)
}

// mayAct tells whether some copy of the operation may have changed something, or may yet.
func (p *pending) mayAct() bool {
	return (p.mayHaveTakenEffect || p.givenUp > 0) && !harmless[p.operation.Kind]
}

type guest struct {
	from   ident.Addr
	mark   string
	ticket uint64
	name   string
}

// replayMax is the largest response that is kept for a repeat.
const replayMax = 4 << 10

// harmless lists the operations that change nothing, so that running them twice is harmless.
var harmless = map[string]bool{"lock/read": true, "number/read": true, "key/read": true, "share/read": true, "manifest/read": true, "manifest/epoch": true, "rollout/read": true, "manifest/lines": true, "group/read": true, "group/since": true, proposer.Repair: true}

// Submit takes a local request; its End carries the ticket.
func (n *Node) Submit(now monotime.Time, ticket uint64, d proposer.Operation, budget time.Duration) (fx Effects) {
	n.begin(now, &pending{ticket: ticket, operation: d, until: n.timeUntil(now, budget)}, &fx)
	return fx
}

func (n *Node) begin(now monotime.Time, p *pending, fx *Effects) {
	if p.operation.Op == "" {
		p.operation.Op = ident.Op(fmt.Sprintf("%s.%s.%d", n.Disk, n.boot.Mark, n.next()-n.first))
	}
	if n.answersOver(now) {
		n.finish(now, p, End{Failure: errStopping()}, fx)
		return
	}
	if grows[p.operation.Kind] && n.boot.Full != nil && n.boot.Full() {
		n.finish(now, p, End{Failure: failure.New(failure.Full, "the disk has no room for more control state")}, fx)
		return
	}
	if len(n.pend)+len(n.wait) >= pendMax {
		n.finish(now, p, End{Failure: failure.New(failure.Busy, "too many deeds are in hand").Later(1)}, fx)
		return
	}
	n.dispatch(now, p, fx)
}

// pendMax bounds the operations in hand at one core.
const pendMax = 20000

// grows lists the operations that may need more room on the disks.
var grows = map[string]bool{"key/write": true, "manifest/offer": true, "lock/claim": true, "number/next": true, "rollout/begin": true, "group/put": true}

// dispatch sends the one copy of a pending operation to the key's proposer.
func (n *Node) dispatch(now monotime.Time, p *pending, fx *Effects) {
	if n.cutOff(now) && !p.mayAct() {
		n.late(now, p, fx)
		return
	}
	disks, at := n.live(now)
	first, _ := placement.Proposer(p.operation.Key, disks)
	if first == "" || p.pause.After(now) || !n.Majority(now) {
		n.wait = append(n.wait, p)
		return
	}
	p.out = n.next()
	n.pend[p.out] = p
	if first == n.Disk {
		p.at, p.instance = n.boot.Addr, n.boot.Mark
		d := p.operation
		d.Ticket, d.Deadline = p.out, p.until
		n.applyProposer(now, n.proposer.Submit(now, d), fx)
		return
	}
	p.at = at[first]
	p.instance = n.peers[p.at].hello.Mark
	n.forward(now, p, fx)
}

// forward sends the copy that is out, or sends it again: the receiver, which is one
// process named by its mark, takes repeats of one ticket as one.
func (n *Node) forward(now monotime.Time, p *pending, fx *Effects) {
	p.sent = now
	left := max(1, p.until.Since(now).Milliseconds())
	fx.Sends = append(fx.Sends, Send{p.at, message.Message{To: p.instance, Forward: &message.Forward{Ticket: p.out, Operation: p.operation, LeftMs: left}}})
}

func (n *Node) finish(now monotime.Time, p *pending, e End, fx *Effects) {
	e.Ticket = p.ticket
	if e.Failure != nil && p.mayAct() && e.Failure.Outcome == failure.NotExecuted {
		// Another copy may still take effect: a no would not be sure.
		d := *e.Failure
		d.Outcome = failure.OutcomeUnknown
		e.Failure = &d
	}
	if p.done != nil {
		p.done(now, e, fx)
		return
	}
	fx.Ends = append(fx.Ends, e)
}

// ended takes the end of the copy that is out.
func (n *Node) ended(now monotime.Time, p *pending, c message.Carried, fx *Effects) {
	delete(n.pend, p.out)
	p.out = 0
	if !c.Abandoned {
		n.finish(now, p, End{Body: c.Body, Failure: c.Failure, Revision: c.Revision, Ballot: c.Ballot}, fx)
		return
	}
	p.mayHaveTakenEffect = p.mayHaveTakenEffect || c.MayHaveTakenEffect
	p.pause = now.Add(40 * time.Millisecond)
	n.wait = append(n.wait, p)
}

// applyProposer carries out what the proposer wants.
func (n *Node) applyProposer(now monotime.Time, o proposer.Effects, fx *Effects) {
	for _, s := range o.Sends {
		ask := s.Request
		n.send(s.To, message.Message{Request: &ask}, fx)
	}
	for _, out := range o.Outcomes {
		c := message.Carried{Body: out.Body, Failure: out.Failure, Revision: out.Revision, Ballot: out.Ballot, Abandoned: out.Abandoned, MayHaveTakenEffect: out.MayHaveTakenEffect}
		if out.Changed && !out.Abandoned {
			l := message.Learned{Key: out.Operation.Key, Revision: out.Revision, Ballot: out.Ballot}
			n.learn(now, l, fx)
			for _, a := range n.peerAddrs() {
				fx.Sends = append(fx.Sends, Send{a, message.Message{Learned: &l}})
			}
		}
		if g, ok := n.guests[out.Operation.Ticket]; ok {
			delete(n.guests, out.Operation.Ticket)
			c.Ticket = g.ticket
			if _, kept := n.seen[g.name]; kept {
				n.seen[g.name] = &c
				if len(c.Body) > replayMax {
					// The key's record remembers it; this end only says so.
					n.seen[g.name] = &message.Carried{Ticket: g.ticket, Abandoned: true, MayHaveTakenEffect: true}
				}
			}
			fx.Sends = append(fx.Sends, Send{g.from, message.Message{To: g.mark, Carried: &c}})
			continue
		}
		if p, ok := n.pend[out.Operation.Ticket]; ok {
			n.ended(now, p, c, fx)
		}
	}
}

func (n *Node) learn(now monotime.Time, l message.Learned, fx *Effects) {
	fx.Learned = append(fx.Learned, l)
	if l.Key.Under(rollout.Prefix) {
		n.rolling = now
	}
	if l.Key == offer.Key {
		n.Epoch = max(n.Epoch, ident.Epoch(l.Revision))
		// The value itself lies here already when this disk took part in the round.
		if c := n.acceptor.Peek(l.Key); !l.Ballot.Zero() && c.Accepted == l.Ballot && c.Revision == l.Revision {
			fx.Confirmed = operation.State(c.Value)
		}
	}
}

// abandonCopies gives up the copies that are out at a process that is no more.
func (n *Node) abandonCopies(now monotime.Time, addr ident.Addr, mark string) {
	for _, out := range n.outs() {
		p := n.pend[out]
		if p.at == addr && p.instance == mark {
			delete(n.pend, out)
			p.out, p.mayHaveTakenEffect = 0, true
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

func (n *Node) onForward(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Forward == nil {
		return false
	}
	name := fmt.Sprintf("%s/%d/%s", m.From, m.Forward.Ticket, m.Forward.Operation.Op)
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
		away = &message.Carried{Ticket: m.Forward.Ticket, Abandoned: true}
	}
	if !harmless[m.Forward.Operation.Kind] {
		// What was rejected is remembered too: a copy of it that is still on its way must
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
	d := m.Forward.Operation
	d.Ticket = n.next()
	if m.Forward.LeftMs > 0 {
		d.Deadline = now.Add(time.Duration(m.Forward.LeftMs) * time.Millisecond)
	}
	n.guests[d.Ticket] = guest{m.From, mark, m.Forward.Ticket, name}
	n.applyProposer(now, n.proposer.Submit(now, d), fx)
	return true
}

func (n *Node) onCarried(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Carried == nil {
		return false
	}
	if p, ok := n.pend[m.Carried.Ticket]; ok && p.at == m.From {
		n.ended(now, p, *m.Carried, fx)
	}
	return true
}

func (n *Node) onLearned(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Learned == nil {
		return false
	}
	n.learn(now, *m.Learned, fx)
	return true
}
