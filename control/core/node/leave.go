package node

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/placement"
)

const (
	// answerMargin is how long before the end of a planned stop every request has its answer,
	// so that the answer can still be sent.
	answerMargin = 300 * time.Millisecond
	// stoppingRetryAfter is, in seconds, when a client may retry that met a stopping core.
	stoppingRetryAfter = 0.1
)

// Leave begins a planned stop that may last as long as within: this core proposes for no key
// any more and hands its keys to their next proposers. ContinueLeave reports when it is done.
// Every request that is in progress, or still comes, has its answer answerMargin before the
// end at the latest.
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
	n.passSingletonRole(now, disks, &fx)
	n.handOverKeys(disks, addrOf, &fx)
	return fx
}

// handOverKeys sends each key that this core proposes for to the next proposer of it.
func (n *Node) handOverKeys(disks []ident.Disk, addrOf map[ident.Disk]ident.Addr, fx *Effects) {
	keys := map[ident.Addr][]ident.Key{}
	for _, k := range n.proposer.HeldKeys() {
		if next, _ := placement.Proposer(k, disks); next != "" {
			keys[addrOf[next]] = append(keys[addrOf[next]], k)
		}
	}
	for _, a := range n.peerAddrs() {
		if len(keys[a]) > 0 {
			fx.send(a, message.Message{Handover: &message.Handover{Keys: keys[a]}})
		}
	}
}

// ContinueLeave carries on a planned stop. It returns true when no request is in progress and
// all that was confirmed is held by a majority of the voters that stay.
func (n *Node) ContinueLeave(now monotime.Time) (bool, Effects) {
	var fx Effects
	done, effects := n.proposer.Release()
	n.applyProposer(now, effects, &fx)
	if !done || len(n.operations.inFlight) > 0 || len(n.operations.waiting) > 0 {
		return false, fx
	}
	return n.continueDeparture(now, &fx), fx
}

// capDeadlines has every request in progress end by the answer deadline.
func (n *Node) capDeadlines() {
	for _, p := range n.operations.waiting {
		p.deadline = min(p.deadline, n.answerDeadline)
	}
	for _, p := range n.operations.inFlight {
		p.deadline = min(p.deadline, n.answerDeadline)
	}
	for _, r := range n.reads {
		r.deadline = min(r.deadline, n.answerDeadline)
	}
}

// deadlineFor returns the deadline of a request with a budget: a planned stop brings it forward.
func (n *Node) deadlineFor(now monotime.Time, budget time.Duration) monotime.Time {
	deadline := now.Add(budget)
	if n.leaving {
		deadline = min(deadline, n.answerDeadline)
	}
	return deadline
}

// pastAnswerDeadline reports whether a planned stop is so near its end that nothing is begun.
func (n *Node) pastAnswerDeadline(now monotime.Time) bool {
	return n.leaving && now >= n.answerDeadline
}

func errStopping() *failure.Error {
	return failure.New(failure.Stopping, "the core stops").WithRetryAfter(stoppingRetryAfter)
}
