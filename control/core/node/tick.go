package node

import "cottonarch.example/cottonarch/base/monotime"

// Tick performs the work that depends on time: it sends due messages, expires requests and retries
// operations. The caller invokes Tick many times per second.
func (n *Node) Tick(now monotime.Time) (fx Effects) {
	n.sendLeaseUpdates(now, &fx)
	if n.heartbeats.checkedAt == 0 || now.Since(n.heartbeats.checkedAt) >= heartbeatCheckInterval {
		n.heartbeats.checkedAt = now
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
		n.tickMembership(now, &fx)
		n.tickCatchUp(now, &fx)
		n.tickSingletonRole(now, &fx)
	}
	n.refreshConfigRevision(now, &fx)
	n.tickJoins(now, &fx)
	n.updateBehindSince(now)
	if stale := n.stale(now); stale != n.freshness.wasStale {
		n.freshness.wasStale, fx.SidecarViewChanged = stale, true
	}
	return fx
}
