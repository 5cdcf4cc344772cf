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

// silenceRound asks all voters which of some nodes they have not heard for
// leasetable.SilenceTimeout, before the retry budget shares of these nodes are reclaimed.
type silenceRound struct {
	round uint64
	// leaseEpochs are those of the shares when the round began.
	leaseEpochs map[ident.Node]ident.LeaseEpoch
	// confirmedBy holds, for each node, the voters that have not heard it either.
	confirmedBy map[ident.Node]map[ident.Disk]bool
}

// reclaimShares reclaims the retry budget shares of nodes that a majority has not heard for
// leasetable.SilenceTimeout. The voters are asked only about nodes that this core has not heard.
func (n *Node) reclaimShares(now monotime.Time, fx *Effects) {
	n.submitInternal(now, proposer.Operation{Key: quota.Key, Kind: quota.ReadKind}, fx, func(now monotime.Time, result Result, fx *Effects) {
		var shares quota.State
		if result.Failure != nil || operation.Decode(nil, result.Body, nil, &shares) != nil {
			return
		}
		silent := n.Leases.SilentNodes(now, slices.Sorted(maps.Keys(shares.Nodes)))
		if len(silent) > 0 && now.Since(n.startedAt) > leasetable.SilenceTimeout {
			n.beginSilenceRound(shares, silent, fx)
		}
	})
}

// beginSilenceRound asks all voters which of some nodes they have not heard.
func (n *Node) beginSilenceRound(shares quota.State, silent []ident.Node, fx *Effects) {
	round := silenceRound{
		round:       n.nextNumber(),
		leaseEpochs: map[ident.Node]ident.LeaseEpoch{},
		confirmedBy: map[ident.Node]map[ident.Disk]bool{},
	}
	for _, node := range silent {
		round.leaseEpochs[node] = shares.Nodes[node].LeaseEpoch
		round.confirmedBy[node] = map[ident.Disk]bool{}
	}
	n.silence = round
	for _, v := range n.membership.Current.Voters {
		n.sendToVoter(v, message.Message{SilenceCheck: &message.SilenceCheck{Round: round.round, Nodes: silent}}, fx)
	}
}

// onSilenceCheck answers the question of a silence round, or takes a voter's answer. Invariants:
// a core says that a node is silent only if it has itself run for longer than
// leasetable.SilenceTimeout; a share is reclaimed only if a majority of the voters said so.
func (n *Node) onSilenceCheck(now monotime.Time, m message.Message, fx *Effects) bool {
	check := m.SilenceCheck
	if check == nil {
		return false
	}
	if check.Responder == "" {
		n.answerSilenceCheck(now, m.From, check, fx)
		return true
	}
	if v, in := n.membership.Current.Find(check.Responder); !in || v.Joining || check.Round != n.silence.round {
		return true
	}
	for _, node := range check.Nodes {
		voters := n.silence.confirmedBy[node]
		if voters == nil || voters[check.Responder] {
			continue
		}
		voters[check.Responder] = true
		if len(voters) == n.membership.Current.Majority() {
			args := operation.Encode(quota.Args{Node: node, LeaseEpoch: n.silence.leaseEpochs[node]})
			n.submitInternal(now, proposer.Operation{Key: quota.Key, Kind: quota.ReleaseKind, Args: args}, fx, ignoreResult)
		}
	}
	return true
}

// answerSilenceCheck says which of the nodes this core has not heard.
func (n *Node) answerSilenceCheck(now monotime.Time, to ident.Addr, check *message.SilenceCheck, fx *Effects) {
	if now.Since(n.startedAt) <= leasetable.SilenceTimeout {
		return
	}
	answer := message.SilenceCheck{Round: check.Round, Responder: n.Disk, Nodes: n.Leases.SilentNodes(now, check.Nodes)}
	fx.send(to, message.Message{SilenceCheck: &answer})
}
