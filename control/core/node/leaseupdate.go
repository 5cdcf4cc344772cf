package node

import (
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Renew renews a sidecar's lease at this core.
func (n *Node) Renew(now monotime.Time, r record.Renewal) (record.RenewalResponse, Effects, *failure.Error) {
	renewed, rejected := n.Leases.Renew(now, r)
	if rejected != nil {
		return record.RenewalResponse{}, Effects{}, rejected
	}
	response := record.RenewalResponse{
		ReportRequired:      renewed.ReportRequired,
		AcknowledgedRenewal: n.Leases.AcknowledgedRenewal(r.Node, n.MajorityAckedSeq()),
		Members:             n.Leases.LiveCount(),
		Leaving:             n.leaving,
		Stale:               n.stale(now),
	}
	return response, Effects{SidecarViewChanged: renewed.Changed}, nil
}

// sendLeaseUpdates sends the changes to the leases that are registered at this core to all live
// peers, and the full list of leases to the cores that requested the list.
func (n *Node) sendLeaseUpdates(now monotime.Time, fx *Effects) {
	if update, due := n.Leases.PendingUpdate(); due {
		for _, a := range n.peerAddrs() {
			if n.peers[a].live(now) {
				fx.send(a, message.Message{LeaseUpdate: &update})
			}
		}
	}
	if len(n.heartbeats.leaseResendTo) == 0 {
		return
	}
	if update, ok := n.Leases.FullUpdate(); ok {
		for _, a := range n.heartbeats.leaseResendTo {
			fx.send(a, message.Message{LeaseUpdate: &update})
		}
		n.heartbeats.leaseResendTo = nil
	}
}

// onLeaseUpdate applies the changes to a peer's leases. If the update does not follow on from the
// list held here, onLeaseUpdate requests the full list.
func (n *Node) onLeaseUpdate(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.LeaseUpdate == nil {
		return false
	}
	p := n.peers[m.From]
	if p == nil {
		return true // the lease list is requested after the peer's first heartbeat
	}
	changed, inSync := n.Leases.ApplyUpdate(now, m.From, *m.LeaseUpdate)
	fx.SidecarViewChanged = fx.SidecarViewChanged || changed
	if !inSync {
		n.requestResend(now, m.From, p, message.ResendRequest{Leases: true}, fx)
	}
	return true
}

// MajorityAckedSeq returns the sequence number of this core's newest heartbeat that a majority of
// the voters, including this core, has received together with the corresponding list of leases. The
// majority knows of every renewal that arrived at this core before that heartbeat was sent.
// MajorityAckedSeq returns 0 if there is no such heartbeat.
func (n *Node) MajorityAckedSeq() uint64 {
	var acked []uint64
	for _, v := range n.membership.Current.Voters {
		switch {
		case v.Joining:
		case v.Disk == n.Disk:
			acked = append(acked, n.heartbeats.seq+1) // this core knows all of its own renewals
		default:
			for _, a := range n.peerAddrs() {
				if p := n.peers[a]; p.heartbeat.Disk == v.Disk {
					acked = append(acked, p.ackedSeq)
				}
			}
		}
	}
	need := n.membership.Current.Majority()
	if n.membership.Current.Epoch == 0 || len(acked) < need {
		return 0
	}
	slices.Sort(acked)
	return acked[len(acked)-need]
}
