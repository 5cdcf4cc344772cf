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
	// answerMargin is the time before the end of a planned stop by which every request is answered,
	// so that the answers can still be sent.
	answerMargin = 300 * time.Millisecond
	// stoppingRetryAfterSeconds is the time after which a client may retry a request that a
	// stopping core rejected.
	stoppingRetryAfterSeconds = 0.1
)

// Leave begins a planned stop that may last for at most limit. This core stops proposing and hands
// its keys to their next proposers. ContinueLeave reports when the stop is complete. Every request
// that is in progress or arrives later is answered at least answerMargin before the limit.
func (n *Node) Leave(now monotime.Time, limit time.Duration) (fx Effects) {
	if n.leaving {
		return fx
	}
	n.leaving, n.departure = true, &departure{startedAt: now}
	n.answerDeadline = now.Add(limit - min(limit/2, answerMargin))
	n.capDeadlines()
	n.sendLeaseUpdates(now, &fx)
	n.sendDueHeartbeats(now, true, &fx)
	disks, addrOf := n.liveVoters(now)
	n.transferSingletonRole(now, disks, &fx)
	n.handOverKeys(disks, addrOf, &fx)
	return fx
}

// handOverKeys sends each key for which this core is the proposer to the key's next proposer.
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

// ContinueLeave performs the next step of a planned stop. It returns true once no request is in
// progress and the leave of this core's voter is complete, see continueDeparture.
func (n *Node) ContinueLeave(now monotime.Time) (bool, Effects) {
	var fx Effects
	done, effects := n.proposer.Release()
	n.applyProposer(now, effects, &fx)
	if !done || len(n.operations.inFlight) > 0 || len(n.operations.waiting) > 0 {
		return false, fx
	}
	return n.continueDeparture(now, &fx), fx
}

// capDeadlines limits the deadline of every request in progress to the answer deadline.
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

// deadlineFor returns the deadline of a request with the given budget. During a planned stop the
// deadline is at most the answer deadline.
func (n *Node) deadlineFor(now monotime.Time, budget time.Duration) monotime.Time {
	deadline := now.Add(budget)
	if n.leaving {
		deadline = min(deadline, n.answerDeadline)
	}
	return deadline
}

// pastAnswerDeadline reports whether the answer deadline of a planned stop has passed, after which
// no operation is started.
func (n *Node) pastAnswerDeadline(now monotime.Time) bool {
	return n.leaving && now >= n.answerDeadline
}

func errStopping() *failure.Error {
	return failure.New(failure.Stopping, "the core is stopping").WithRetryAfter(stoppingRetryAfterSeconds)
}
