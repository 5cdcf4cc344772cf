package node

import (
	"time"

	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
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
	n.applyProposer(now, n.proposer.Withdraw(func(d proposer.Operation) bool { return cut || d.Deadline != 0 && now.After(d.Deadline) }), fx)
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

// Leave begins a planned stop: no key is owned any more, successors are named. It is
// done once Left says so.
func (n *Node) Leave(now monotime.Time) (fx Effects) {
	if n.leaving {
		return fx
	}
	n.leaving, n.away = true, &departure{began: now}
	n.sendLeaseUpdates(now, &fx)
	n.hello(now, true, &fx)
	disks, at := n.live(now)
	if n.holds {
		if next, _ := placement.Proposer(dutyKey, disks); next != "" {
			args := operation.Encode(lock.Args{Holder: string(n.Disk), Fence: n.fence, To: string(next)})
			n.internal(now, proposer.Operation{Key: dutyKey, Kind: "lock/pass", Args: args}, &fx, func(monotime.Time, End, *Effects) {})
		}
		n.holds = false
	}
	keys := map[ident.Addr][]ident.Key{}
	for _, k := range n.proposer.Keys() {
		if next, _ := placement.Proposer(k, disks); next != "" {
			keys[at[next]] = append(keys[at[next]], k)
		}
	}
	for _, a := range n.peerAddrs() {
		if len(keys[a]) > 0 {
			fx.Sends = append(fx.Sends, Send{a, message.Message{Handover: &message.Handover{Keys: keys[a]}}})
		}
	}
	return fx
}

// Left lets go of what has no round out; it is true when nothing is in hand and all that
// was confirmed is on a majority of the voters that stay.
func (n *Node) Left(now monotime.Time) (bool, Effects) {
	var fx Effects
	done, o := n.proposer.Release()
	n.applyProposer(now, o, &fx)
	if !done || len(n.pend) > 0 || len(n.wait) > 0 {
		return false, fx
	}
	return n.handOver(now, &fx), fx
}
