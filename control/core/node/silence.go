package node

import (
	"maps"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/leasetable"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// shareKey holds the shares of the further tries.
const shareKey = quota.Key

// silenceRound is the question, to all voters, which nodes they have long not heard.
type silenceRound struct {
	round       uint64
	leaseEpochs map[ident.Node]ident.Epoch
	confirmedBy map[ident.Node]map[ident.Disk]bool
}

// reclaimShares takes back the shares of nodes that a majority has long not heard. The voters
// are asked only of those that this core has not heard.
func (n *Node) reclaimShares(now monotime.Time, fx *Effects) {
	n.submitInternal(now, proposer.Operation{Key: shareKey, Kind: "share/read"}, fx, func(now monotime.Time, result Result, fx *Effects) {
		var shares quota.State
		if result.Failure != nil || operation.Decode(nil, result.Body, nil, &shares) != nil {
			return
		}
		silent := n.Leases.Silent(now, slices.Sorted(maps.Keys(shares.Nodes)))
		if len(silent) == 0 || now.Since(n.startedAt) <= leasetable.SilentAfter {
			return
		}
		n.silenceRound = silenceRound{round: n.nextNumber(), leaseEpochs: map[ident.Node]ident.Epoch{}, confirmedBy: map[ident.Node]map[ident.Disk]bool{}}
		for _, node := range silent {
			n.silenceRound.leaseEpochs[node], n.silenceRound.confirmedBy[node] = shares.Nodes[node].LeaseEpoch, map[ident.Disk]bool{}
		}
		for _, v := range n.membership.Current.Voters {
			n.sendToVoter(v, message.Message{SilenceCheck: &message.SilenceCheck{Round: n.silenceRound.round, Nodes: silent}}, fx)
		}
	})
}

// onSilenceCheck answers the question, or takes a voter's answer. Invariant: a core says that a
// node is silent only when it has itself been up for longer than table.SilentAfter; a share is
// taken back only when a majority of the voters said so.
func (n *Node) onSilenceCheck(now monotime.Time, m message.Message, fx *Effects) bool {
	check := m.SilenceCheck
	if check == nil {
		return false
	}
	if check.Responder == "" {
		if now.Since(n.startedAt) > leasetable.SilentAfter {
			fx.Sends = append(fx.Sends, Send{m.From, message.Message{SilenceCheck: &message.SilenceCheck{Round: check.Round, Responder: n.Disk, Nodes: n.Leases.Silent(now, check.Nodes)}}})
		}
		return true
	}
	if v, in := n.membership.Current.Find(check.Responder); !in || v.Joining || check.Round != n.silenceRound.round {
		return true
	}
	for _, node := range check.Nodes {
		voters := n.silenceRound.confirmedBy[node]
		if voters == nil || voters[check.Responder] {
			continue
		}
		voters[check.Responder] = true
		if len(voters) == n.membership.Current.Majority() {
			args := operation.Encode(quota.Args{Node: node, LeaseEpoch: n.silenceRound.leaseEpochs[node]})
			n.submitInternal(now, proposer.Operation{Key: shareKey, Kind: "share/free", Args: args}, fx, func(monotime.Time, Result, *Effects) {})
		}
	}
	return true
}
