package cluster

import (
	"cmp"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// envelope is a message in transit between two addresses. As in the daemon, the message goes to the
// process that has the address at the time of delivery. Invariant: id is the hash of the other
// fields, so an equal message that is sent while the first is in transit replaces the first.
type envelope struct {
	id       uint64
	from, to int
	msg      message.Message
}

func newEnvelope(from, to int, msg message.Message) envelope {
	e := stateFilter.Encoder()
	defer e.Release()
	e.Put(from)
	e.Put(to)
	e.Put(msg)
	return envelope{e.Hash(), from, to, msg}
}

// isResponse reports whether the message is a response, which needs no response itself.
func (e envelope) isResponse() bool {
	return e.msg.Response != nil || e.msg.MembershipResponse != nil || e.msg.ScanResponse != nil
}

// enqueue puts a message in transit. With Settings.ImmediateSelfDelivery, a message of a member to
// itself is queued for deliverSelfMessages instead.
func (c *Cluster) enqueue(from, to int, msg message.Message) {
	e := newEnvelope(from, to, msg)
	if from == to && c.settings.ImmediateSelfDelivery {
		c.selfMessages = append(c.selfMessages, e)
		return
	}
	c.inTransit[e.id] = e
}

// deliverSelfMessages delivers the queued messages of members to themselves.
func (c *Cluster) deliverSelfMessages() {
	for len(c.selfMessages) > 0 {
		e := c.selfMessages[0]
		c.selfMessages = c.selfMessages[1:]
		c.deliverAndSync(e)
	}
}

// messagesInTransit returns the messages in transit, sorted by hash.
func (c *Cluster) messagesInTransit() []envelope {
	return slices.SortedFunc(maps.Values(c.inTransit), func(a, b envelope) int { return cmp.Compare(a.id, b.id) })
}

// isCut reports whether the link from one member to another is cut.
func (c *Cluster) isCut(from, to int) bool { return c.cutLinks[[2]int{from, to}] }

// deliverable reports whether a message may be delivered now.
func (c *Cluster) deliverable(e envelope) bool {
	return c.members[e.to-1].running && !c.isCut(e.from, e.to)
}

// deliverAndSync delivers a message, syncs the resulting writes and delivers the responses immediately,
// except for responses over a cut link or to a stopped member, which stay in transit.
func (c *Cluster) deliverAndSync(e envelope) {
	m := c.members[e.to-1]
	responses := c.handle(m, e.from, e.msg)
	if !e.isResponse() {
		c.sync(m)
	}
	for _, msg := range responses {
		response := newEnvelope(e.to, e.from, msg)
		if !c.deliverable(response) {
			c.inTransit[response.id] = response
			continue
		}
		c.handle(c.members[e.from-1], e.to, msg)
	}
}

// deliverUnsynced delivers a message without syncing the resulting writes. The responses are sent by
// the next sync of the member.
func (c *Cluster) deliverUnsynced(e envelope) {
	m := c.members[e.to-1]
	for _, msg := range c.handle(m, e.from, e.msg) {
		m.unsyncedResponses = append(m.unsyncedResponses, newEnvelope(e.to, e.from, msg))
	}
}

// sync syncs a member's disk and sends the responses that waited for the sync.
func (c *Cluster) sync(m *member) {
	c.checkWrite(m, m.store.sync())
	for _, e := range m.unsyncedResponses {
		c.enqueue(e.from, e.to, e.msg)
	}
	m.unsyncedResponses = nil
}

// applyEffects applies the effects of a proposer: requests to send and outcomes of operations.
func (c *Cluster) applyEffects(m *member, effects proposer.Effects) {
	for _, s := range effects.Sends {
		request := s.Request
		if c.settings.Mutant == MutantReadRepair && request.Round == 0 {
			continue
		}
		c.sendToVoter(m, s.To, message.Message{Request: &request})
	}
	for _, out := range effects.Outcomes {
		c.handleOutcome(m, out)
	}
}

func (c *Cluster) sendMembershipRequests(m *member, sends []reconfiguration.Send) {
	for _, s := range sends {
		request := s.Request
		c.sendToVoter(m, s.To, message.Message{MembershipRequest: &request})
	}
}

func (c *Cluster) sendScans(m *member, sends []quorumread.Send) {
	for _, s := range sends {
		scan := s.Scan
		c.sendToVoter(m, s.To, message.Message{Scan: &scan})
	}
}

// sendToVoter sends a message to the address of a voter.
func (c *Cluster) sendToVoter(m *member, v quorum.Voter, msg message.Message) {
	for _, to := range c.members {
		if to.addr() == v.Addr {
			c.enqueue(m.number, to.number, msg)
		}
	}
}
