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

// silenceRound is a query to all voters about which sidecar nodes, out of a list, have been silent
// for leasetable.SilenceTimeout: no core has heard from a silent node. A node's retry budget share
// is reclaimed only after a majority of the voters has confirmed in one round that the node is
// silent.
type silenceRound struct {
	round uint64
	// leaseEpochs maps each node to the lease epoch of its share at the start of the round.
	leaseEpochs map[ident.Node]ident.LeaseEpoch
	// confirmations maps each node to the voters that confirmed that the node is silent.
	confirmations map[ident.Node]map[ident.Disk]bool
}

// reclaimShares reclaims the retry budget shares of nodes that have been silent at a majority of
// the voters for leasetable.SilenceTimeout. It queries the voters only about nodes that are also
// silent at this core.
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

// beginSilenceRound queries all voters about which of the given nodes are silent.
func (n *Node) beginSilenceRound(shares quota.State, silent []ident.Node, fx *Effects) {
	round := silenceRound{
		round:         n.nextNumber(),
		leaseEpochs:   map[ident.Node]ident.LeaseEpoch{},
		confirmations: map[ident.Node]map[ident.Disk]bool{},
	}
	for _, node := range silent {
		round.leaseEpochs[node] = shares.Nodes[node].LeaseEpoch
		round.confirmations[node] = map[ident.Disk]bool{}
	}
	n.silence = round
	for _, v := range n.membership.Current.Voters {
		n.sendToVoter(v, message.Message{SilenceCheck: &message.SilenceCheck{Round: round.round, Nodes: silent}}, fx)
	}
}

// onSilenceCheck handles the query of a silence round or a voter's answer to the query. Invariants:
// a core reports a node as silent only if the core has run for longer than leasetable.SilenceTimeout;
// a share is reclaimed only if a majority of the voters reported the share's node as silent.
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
		voters := n.silence.confirmations[node]
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

// answerSilenceCheck answers the query of a silence round with the nodes that are silent at this
// core.
func (n *Node) answerSilenceCheck(now monotime.Time, to ident.Addr, check *message.SilenceCheck, fx *Effects) {
	if now.Since(n.startedAt) <= leasetable.SilenceTimeout {
		return
	}
	answer := message.SilenceCheck{Round: check.Round, Responder: n.Disk, Nodes: n.Leases.SilentNodes(now, check.Nodes)}
	fx.send(to, message.Message{SilenceCheck: &answer})
}
