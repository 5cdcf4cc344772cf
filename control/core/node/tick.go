package node

import "cottonarch.example/cottonarch/base/monotime"

// Tick advances everything that depends on time. It is called many times a second.
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
		n.seekMembership(now, &fx)
		n.tickCatchUp(now, &fx)
		n.tickSingletonRole(now, &fx)
	}
	n.refreshConfigRevision(now, &fx)
	n.tickJoins(now, &fx)
	n.trackBehind(now)
	if stale := n.stale(now); stale != n.freshness.wasStale {
		n.freshness.wasStale, fx.SidecarViewChanged = stale, true
	}
	return fx
}
