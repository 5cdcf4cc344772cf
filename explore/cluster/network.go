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

// envelope is one message in transit between two addresses. As in the daemon it goes to whichever
// process is at the address when it is delivered. Invariant: id is the hash of the rest, so an
// equal message that is sent again is the same one while the first is in transit.
type envelope struct {
	id       uint64
	from, to int
	msg      message.Message
}

func seal(from, to int, msg message.Message) envelope {
	e := stateFilter.Encoder()
	defer e.Release()
	e.Put(from)
	e.Put(to)
	e.Put(msg)
	return envelope{e.Hash(), from, to, msg}
}

// isResponse tells whether the message is a response, which is delivered without an answer.
func (e envelope) isResponse() bool {
	return e.msg.Response != nil || e.msg.MembershipResponse != nil || e.msg.ScanResponse != nil
}

// post puts a message in transit. A message of a member to itself is delivered at once if the
// settings say so.
func (c *Cluster) post(from, to int, msg message.Message) {
	e := seal(from, to, msg)
	if from == to && c.settings.ImmediateSelfDelivery {
		c.selfMessages = append(c.selfMessages, e)
		return
	}
	c.inTransit[e.id] = e
}

// deliverToSelf delivers what members sent to themselves.
func (c *Cluster) deliverToSelf() {
	for len(c.selfMessages) > 0 {
		e := c.selfMessages[0]
		c.selfMessages = c.selfMessages[1:]
		c.exchange(e)
	}
}

// messagesInTransit lists the messages in transit, in a fixed order.
func (c *Cluster) messagesInTransit() []envelope {
	return slices.SortedFunc(maps.Values(c.inTransit), func(a, b envelope) int { return cmp.Compare(a.id, b.id) })
}

// isCut tells whether the link from one member to another is cut.
func (c *Cluster) isCut(from, to int) bool { return c.cuts[[2]int{from, to}] }

// deliverable tells whether a message may arrive now.
func (c *Cluster) deliverable(e envelope) bool {
	return c.members[e.to-1].running && !c.isCut(e.from, e.to)
}

// exchange delivers a message, syncs what it wrote and delivers the responses at once.
func (c *Cluster) exchange(e envelope) {
	m := c.members[e.to-1]
	responses := c.handle(m, e.from, e.msg)
	if !e.isResponse() {
		c.sync(m)
	}
	for _, msg := range responses {
		response := seal(e.to, e.from, msg)
		if !c.deliverable(response) {
			c.inTransit[response.id] = response
			continue
		}
		c.handle(c.members[e.from-1], e.to, msg)
	}
}

// deliverUnsynced delivers a message and leaves the sync and the responses for later.
func (c *Cluster) deliverUnsynced(e envelope) {
	m := c.members[e.to-1]
	for _, msg := range c.handle(m, e.from, e.msg) {
		m.unsyncedResponses = append(m.unsyncedResponses, seal(e.to, e.from, msg))
	}
}

// sync syncs a member's disk and sends the responses that waited for it.
func (c *Cluster) sync(m *member) {
	c.checkWrite(m, m.store.sync())
	for _, e := range m.unsyncedResponses {
		c.post(e.from, e.to, e.msg)
	}
	m.unsyncedResponses = nil
}

// applyEffects carries out the effects of a proposer.
func (c *Cluster) applyEffects(m *member, effects proposer.Effects) {
	for _, s := range effects.Sends {
		request := s.Request
		if c.settings.Mutant == MutantReadRepair && request.Round == 0 {
			continue
		}
		c.sendTo(m, s.To, message.Message{Request: &request})
	}
	for _, out := range effects.Outcomes {
		c.operationEnded(m, out)
	}
}

func (c *Cluster) sendMembershipRequests(m *member, sends []reconfiguration.Send) {
	for _, s := range sends {
		request := s.Request
		c.sendTo(m, s.To, message.Message{MembershipRequest: &request})
	}
}

func (c *Cluster) sendScans(m *member, sends []quorumread.Send) {
	for _, s := range sends {
		scan := s.Scan
		c.sendTo(m, s.To, message.Message{Scan: &scan})
	}
}

// sendTo sends a message to the address of a voter.
func (c *Cluster) sendTo(m *member, v quorum.Voter, msg message.Message) {
	for _, to := range c.members {
		if to.addr() == v.Addr {
			c.post(m.number, to.number, msg)
		}
	}
}
