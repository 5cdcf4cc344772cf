package node

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// forwardResendAfter is how long a forwarded operation may be out before it is sent again.
const forwardResendAfter = 350 * time.Millisecond

// Tick is called many times a second.
func (n *Node) Tick(now monotime.Time) (fx Effects) {
	n.sendLeaseUpdates(now, &fx)
	if n.lastHeartbeatCheck == 0 || now.Since(n.lastHeartbeatCheck) >= heartbeatCheckInterval {
		n.lastHeartbeatCheck = now
		n.sendDueHeartbeats(now, false, &fx)
	}
	n.proposer.SetNearReplicas(n.votersByDistance(now))
	n.applyProposer(now, n.proposer.Tick(now), &fx)
	n.sendReconfiguration(n.reconfigurer.Tick(now), &fx)
	n.tickPending(now, &fx)
	n.tickReads(now, &fx)
	if n.Leases.Tick(now) {
		fx.SidecarViewChanged = true
	}
	if !n.diskFailed {
		n.seekMembership(now, &fx)
		n.catchUp(now, &fx)
		n.runDuties(now, &fx)
	}
	n.refreshConfigRevision(now, &fx)
	n.processJoins(now, &fx)
	n.trackBehind(now)
	if stale := n.stale(now); stale != n.wasStale {
		n.wasStale, fx.SidecarViewChanged = stale, true
	}
	return fx
}

// tickPending routes what waits and ends what is late. While this core is cut off it ends at
// once whatever has certainly changed nothing; a change that may have been begun stays until
// its time is over, as its fate may yet be learned.
func (n *Node) tickPending(now monotime.Time, fx *Effects) {
	n.hasSeenMajority = n.hasSeenMajority || n.HasMajority(now)
	lostMajority := n.lostMajority(now)
	n.applyProposer(now, n.proposer.Withdraw(func(op proposer.Operation) bool {
		return lostMajority || n.pastAnswerDeadline(now) || op.Deadline != 0 && now.After(op.Deadline)
	}), fx)
	waiting := n.waiting
	n.waiting = nil
	for _, p := range waiting {
		if now > p.deadline {
			n.timeOut(now, p, fx)
			continue
		}
		n.dispatch(now, p, fx)
	}
	for _, ticket := range n.inFlightTickets() {
		p, ok := n.inFlight[ticket]
		if !ok {
			continue
		}
		if now > p.deadline || lostMajority && readOnly[p.operation.Kind] {
			delete(n.inFlight, ticket)
			p.mayHaveTakenEffect = true
			n.timeOut(now, p, fx)
			continue
		}
		if target := n.peers[p.target]; p.target != n.config.Addr && (target == nil || !target.live(now)) {
			// The proposer is silent: give this copy up, it may still take effect.
			delete(n.inFlight, ticket)
			p.copyTicket, p.mayHaveTakenEffect = 0, true
			p.abandonedCopies++
			n.waiting = append(n.waiting, p)
		} else if p.target != n.config.Addr && now.Since(p.sentAt) > forwardResendAfter {
			n.forward(now, p, fx)
		}
	}
}

func (n *Node) timeOut(now monotime.Time, p *pending, fx *Effects) {
	timedOut := failure.New(failure.NoMajority, "no majority of the core answered in time").WithRetryAfter(1)
	if p.mayTakeEffect() {
		timedOut = failure.NewUnknown(failure.UnknownOutcome, "the change was sent on and no return came in time")
	}
	n.finish(now, p, Result{Failure: timedOut}, fx)
}

func (n *Node) tickReads(now monotime.Time, fx *Effects) {
	for _, round := range n.readRounds() {
		read := n.reads[round]
		if now > read.deadline || read.onDone == nil && n.lostMajority(now) {
			delete(n.reads, round)
			if read.onDone != nil && read.WaitForAll && read.HasMajority() {
				read.onDone(now, read.Reader, fx)
				continue
			}
			if read.onDone == nil {
				fx.Results = append(fx.Results, Result{Ticket: read.ticket, Failure: failure.New(failure.NoMajority, "no majority of the core answered in time").WithRetryAfter(1)})
			} else {
				read.onDone(now, nil, fx)
			}
			continue
		}
		n.sendScans(read.Tick(now), fx)
	}
}
