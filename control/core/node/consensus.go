package node

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// onRequest handles a proposer's request. It ignores the request if this disk has failed, has no
// slot in the membership or has stopped voting.
func (n *Node) onRequest(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Request == nil {
		return false
	}
	if n.diskFailed || n.departure.votingStopped {
		return true
	}
	if _, in := n.membership.Current.Find(n.Disk); !in {
		return true
	}
	response, recs, answered := n.acceptor.Step(n.membership.Current.Epoch, *m.Request)
	fx.Records = append(fx.Records, recs...)
	if response.OK && (m.Request.Kind == quorum.Accept || m.Request.Kind == quorum.PatchAccept) {
		n.recordVote(now, m.Request.Key)
	}
	if answered {
		fx.send(m.From, message.Message{Response: &response})
	}
	return true
}

// onResponse passes an acceptor's response to the proposer.
func (n *Node) onResponse(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Response == nil {
		return false
	}
	n.applyProposer(now, n.proposer.Step(now, *m.Response), fx)
	return true
}

// onHandover prepares this core to become the proposer for the keys that a leaving core hands over.
func (n *Node) onHandover(now monotime.Time, m message.Message, fx *Effects) bool {
	if m.Handover == nil {
		return false
	}
	if !n.leaving && !n.diskFailed && n.membership.Current.IsCounted(n.Disk) {
		for _, k := range m.Handover.Keys {
			n.applyProposer(now, n.proposer.Prepare(now, k), fx)
		}
	}
	return true
}
