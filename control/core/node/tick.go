package node

import (
	"time"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// forwardAgain is how long a forwarded operation may be out before it is sent again.
const forwardAgain = 350 * time.Millisecond

// Tick is called many times a second.
func (n *Node) Tick(now monotime.Time) (fx Effects) {
	n.sendLeaseUpdates(now, &fx)
	if n.said == 0 || now.Since(n.said) >= helloLook {
		n.said = now
		n.hello(now, false, &fx)
	}
	n.proposer.SetNear(n.near(now))
	n.applyProposer(now, n.proposer.Tick(now), &fx)
	n.sendReconfiguration(n.reconfigurer.Tick(now), &fx)
	n.pendings(now, &fx)
	n.readings(now, &fx)
	if n.Leases.Tick(now) {
		fx.Changed = true
	}
	if !n.broken {
		n.seekMembership(now, &fx)
		n.catchUp(now, &fx)
		n.duties(now, &fx)
	}
	n.refreshNewest(now, &fx)
	n.admit(now, &fx)
	n.lag(now)
	if old := n.stale(now); old != n.wasStale {
		n.wasStale, fx.Changed = old, true
	}
	return fx
}

// pendings routes what waits and ends what is late. While this core is cut off it ends at
// once whatever has certainly changed nothing; a change that may have been begun stays until
// its time is over, as its fate may yet be learned.
func (n *Node) pendings(now monotime.Time, fx *Effects) {
	n.joined = n.joined || n.Majority(now)
	cut := n.cutOff(now)
	n.applyProposer(now, n.proposer.Withdraw(func(d proposer.Operation) bool {
		return cut || n.answersOver(now) || d.Deadline != 0 && now.After(d.Deadline)
	}), fx)
	list := n.wait
	n.wait = nil
	for _, p := range list {
		if now > p.until {
			n.late(now, p, fx)
			continue
		}
		n.dispatch(now, p, fx)
	}
	for _, out := range n.outs() {
		p, ok := n.pend[out]
		if !ok {
			continue
		}
		if now > p.until || cut && harmless[p.operation.Kind] {
			delete(n.pend, out)
			p.mayHaveTakenEffect = true
			n.late(now, p, fx)
			continue
		}
		if q := n.peers[p.at]; p.at != n.boot.Addr && (q == nil || !q.live(now)) {
			// The proposer is silent: give this copy up, it may still take effect.
			delete(n.pend, out)
			p.out, p.mayHaveTakenEffect = 0, true
			p.givenUp++
			n.wait = append(n.wait, p)
		} else if p.at != n.boot.Addr && now.Since(p.sent) > forwardAgain {
			n.forward(now, p, fx)
		}
	}
}

func (n *Node) late(now monotime.Time, p *pending, fx *Effects) {
	d := failure.New(failure.NoMajority, "no majority of the core answered in time").Later(1)
	if p.mayAct() {
		d = failure.Unsure(failure.UnknownOutcome, "the change was sent on and no return came in time")
	}
	n.finish(now, p, End{Failure: d}, fx)
}

func (n *Node) readings(now monotime.Time, fx *Effects) {
	for _, turn := range n.readRounds() {
		rd := n.reads[turn]
		if now > rd.until || rd.done == nil && n.cutOff(now) {
			delete(n.reads, turn)
			if rd.done != nil && rd.All && rd.Enough() {
				rd.done(now, rd.Reader, fx)
				continue
			}
			if rd.done == nil {
				fx.Ends = append(fx.Ends, End{Ticket: rd.ticket, Failure: failure.New(failure.NoMajority, "no majority of the core answered in time").Later(1)})
			} else {
				rd.done(now, nil, fx)
			}
			continue
		}
		n.scan(rd.Tick(now), fx)
	}
}
