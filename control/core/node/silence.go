package node

import (
	"maps"
	"slices"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/lease/table"
)

// shareKey holds the shares of the further tries.
const shareKey = share.Key

// silenceRound is the question, to all voters, which nodes they have long not heard.
type silenceRound struct {
	round     uint64
	claims    map[ident.Node]ident.Epoch
	confirmed map[ident.Node]map[ident.Disk]bool
}

// reclaimShares takes back the shares of nodes that a majority has long not heard. The voters
// are asked only of those that this core has not heard.
func (n *Node) reclaimShares(now monotime.Time, fx *Effects) {
	n.internal(now, proposer.Operation{Key: shareKey, Kind: "share/read"}, fx, func(now monotime.Time, e End, fx *Effects) {
		var s share.Shares
		if e.Failure != nil || operation.Decode(nil, e.Body, nil, &s) != nil {
			return
		}
		silent := n.Leases.Silent(now, slices.Sorted(maps.Keys(s.Nodes)))
		if len(silent) == 0 || now.Since(n.began) <= table.SilentAfter {
			return
		}
		n.silence = silenceRound{round: n.next(), claims: map[ident.Node]ident.Epoch{}, confirmed: map[ident.Node]map[ident.Disk]bool{}}
		for _, node := range silent {
			n.silence.claims[node], n.silence.confirmed[node] = s.Nodes[node].Claim, map[ident.Disk]bool{}
		}
		for _, v := range n.membership.Current.Voters {
			n.send(v, message.Message{Quiet: &message.Quiet{Round: n.silence.round, Nodes: silent}}, fx)
		}
	})
}

// onSilence answers the question, or takes a voter's answer. Invariant: a core says that a
// node is silent only when it has itself been up for longer than table.SilentAfter; a share is
// taken back only when a majority of the voters said so.
func (n *Node) onSilence(now monotime.Time, m message.Message, fx *Effects) bool {
	q := m.Quiet
	if q == nil {
		return false
	}
	if q.Says == "" {
		if now.Since(n.began) > table.SilentAfter {
			fx.Sends = append(fx.Sends, Send{m.From, message.Message{Quiet: &message.Quiet{Round: q.Round, Says: n.Disk, Nodes: n.Leases.Silent(now, q.Nodes)}}})
		}
		return true
	}
	if v, in := n.membership.Current.Find(q.Says); !in || v.Joining || q.Round != n.silence.round {
		return true
	}
	for _, node := range q.Nodes {
		says := n.silence.confirmed[node]
		if says == nil || says[q.Says] {
			continue
		}
		says[q.Says] = true
		if len(says) == n.membership.Current.Majority() {
			args := operation.Encode(share.Args{Node: node, Claim: n.silence.claims[node]})
			n.internal(now, proposer.Operation{Key: shareKey, Kind: "share/free", Args: args}, fx, func(monotime.Time, End, *Effects) {})
		}
	}
	return true
}
