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

// answerMargin is how long before the end of a planned stop everything in hand has its
// answer, so that the answer can still be sent.
const answerMargin = 300 * time.Millisecond

// Leave begins a planned stop that may last as long as within: no key is owned any more,
// successors are named. It is done once Left says so. What is in hand, and what still comes,
// has its answer answerMargin before the end at the latest.
func (n *Node) Leave(now monotime.Time, within time.Duration) (fx Effects) {
	if n.leaving {
		return fx
	}
	n.leaving, n.away = true, &departure{began: now}
	n.answerBy = now.Add(within - min(within/2, answerMargin))
	n.shortenTimes()
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

// shortenTimes has whatever is in hand answered before the process ends.
func (n *Node) shortenTimes() {
	for _, p := range n.wait {
		p.until = min(p.until, n.answerBy)
	}
	for _, p := range n.pend {
		p.until = min(p.until, n.answerBy)
	}
	for _, r := range n.reads {
		r.until = min(r.until, n.answerBy)
	}
}

// timeUntil gives the time by which a request of this budget is answered here: a planned
// stop ends it sooner.
func (n *Node) timeUntil(now monotime.Time, budget time.Duration) monotime.Time {
	until := now.Add(budget)
	if n.leaving {
		until = min(until, n.answerBy)
	}
	return until
}

// answersOver tells whether a planned stop is so near its end that nothing is begun any more.
func (n *Node) answersOver(now monotime.Time) bool { return n.leaving && now >= n.answerBy }

// errStopping is the answer to a request that comes when answersOver.
func errStopping() *failure.Error { return failure.New(failure.Stopping, "the core stops").Later(0.1) }
