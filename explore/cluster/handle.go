package cluster

import (
	"cottonarch.example/cottonarch/control/core/message"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// handle serves a message; it returns the responses.
func (c *Cluster) handle(m *member, from int, msg message.Message) []message.Message {
	now := c.clock(m)
	switch {
	case msg.Request != nil:
		return c.onRequest(m, *msg.Request)
	case msg.MembershipRequest != nil:
		response, records, respond := m.membershipAcceptor.Step(*msg.MembershipRequest, c.aliveDisks(m))
		c.checkWrite(m, m.appendRecords(records))
		if respond {
			return []message.Message{{MembershipResponse: &response}}
		}
	case msg.Scan != nil && m.counted():
		if page, ok := m.registerAcceptor.Scan(m.membershipAcceptor.Current.Epoch, *msg.Scan); ok {
			return []message.Message{{ScanResponse: &page}}
		}
	case msg.Response != nil:
		c.applyEffects(m, m.proposer.Step(now, *msg.Response))
	case msg.MembershipResponse != nil:
		c.onMembershipResponse(m, *msg.MembershipResponse)
	case msg.ScanResponse != nil && from == m.number && msg.ScanResponse.Round == m.awaitedRound:
		m.copySynced(*msg.ScanResponse)
	case msg.ScanResponse != nil && m.copyReader != nil && m.awaitedRound == 0:
		sends, done := m.copyReader.Step(now, *msg.ScanResponse)
		c.sendScans(m, sends)
		if done {
			c.learnCopy(m)
		}
	}
	return nil
}

// onRequest serves a request of a proposer.
func (c *Cluster) onRequest(m *member, a quorum.Request) []message.Message {
	if _, in := m.membershipAcceptor.Current.Find(m.diskID); !in {
		return nil
	}
	r, records, respond := m.registerAcceptor.Step(m.membershipAcceptor.Current.Epoch, a)
	c.checkWrite(m, m.appendRecords(records))
	if !respond {
		return nil
	}
	return []message.Message{{Response: &r}}
}

// onMembershipResponse takes a response to the reconfigurer.
func (c *Cluster) onMembershipResponse(m *member, r membership.Response) {
	sends, next := m.reconfigurer.Step(c.clock(m), r)
	c.sendMembershipRequests(m, sends)
	if next != nil {
		c.membershipChosen(m, *next)
		c.adoptMembership(m, *next)
	}
}
