package node

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
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
	n.leaving, n.departure = true, &departure{startedAt: now}
	n.answerDeadline = now.Add(within - min(within/2, answerMargin))
	n.capDeadlines()
	n.sendLeaseUpdates(now, &fx)
	n.sendDueHeartbeats(now, true, &fx)
	disks, addrOf := n.liveVoters(now)
	if n.holdsDuty {
		if next, _ := placement.Proposer(dutyKey, disks); next != "" {
			args := operation.Encode(lock.Args{Holder: string(n.Disk), FencingToken: n.dutyFence, Successor: string(next)})
			n.submitInternal(now, proposer.Operation{Key: dutyKey, Kind: "lock/pass", Args: args}, &fx, func(monotime.Time, Result, *Effects) {})
		}
		n.holdsDuty = false
	}
	keys := map[ident.Addr][]ident.Key{}
	for _, k := range n.proposer.HeldKeys() {
		if next, _ := placement.Proposer(k, disks); next != "" {
			keys[addrOf[next]] = append(keys[addrOf[next]], k)
		}
	}
	for _, a := range n.peerAddrs() {
		if len(keys[a]) > 0 {
			fx.Sends = append(fx.Sends, Send{a, message.Message{Handover: &message.Handover{Keys: keys[a]}}})
		}
	}
	return fx
}

// ContinueLeave lets go of what has no round out; it is true when nothing is in hand and all that
// was confirmed is on a majority of the voters that stay.
func (n *Node) ContinueLeave(now monotime.Time) (bool, Effects) {
	var fx Effects
	done, effects := n.proposer.Release()
	n.applyProposer(now, effects, &fx)
	if !done || len(n.inFlight) > 0 || len(n.waiting) > 0 {
		return false, fx
	}
	return n.continueDeparture(now, &fx), fx
}

// capDeadlines has whatever is in hand answered before the process ends.
func (n *Node) capDeadlines() {
	for _, p := range n.waiting {
		p.deadline = min(p.deadline, n.answerDeadline)
	}
	for _, p := range n.inFlight {
		p.deadline = min(p.deadline, n.answerDeadline)
	}
	for _, r := range n.reads {
		r.deadline = min(r.deadline, n.answerDeadline)
	}
}

// deadlineFor gives the time by which a request of this budget is answered here: a planned
// stop ends it sooner.
func (n *Node) deadlineFor(now monotime.Time, budget time.Duration) monotime.Time {
	deadline := now.Add(budget)
	if n.leaving {
		deadline = min(deadline, n.answerDeadline)
	}
	return deadline
}

// pastAnswerDeadline tells whether a planned stop is so near its end that nothing is begun any more.
func (n *Node) pastAnswerDeadline(now monotime.Time) bool {
	return n.leaving && now >= n.answerDeadline
}

// errStopping is the answer to a request that comes when answersOver.
func errStopping() *failure.Error {
	return failure.New(failure.Stopping, "the core stops").WithRetryAfter(0.1)
}
