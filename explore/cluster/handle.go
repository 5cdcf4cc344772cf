package cluster

import (
	"cottonarch.example/cottonarch/control/core/message"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// handle passes a message to the state machine concerned and returns the responses.
func (c *Cluster) handle(m *member, from int, msg message.Message) []message.Message {
	now := c.clock(m)
	switch {
	case msg.Request != nil:
		return c.handleRequest(m, *msg.Request)
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
		c.handleMembershipResponse(m, *msg.MembershipResponse)
	case msg.ScanResponse != nil && from == m.number && msg.ScanResponse.Round == m.copySyncRound:
		m.handleCopySynced(*msg.ScanResponse)
	case msg.ScanResponse != nil && m.copyReader != nil && m.copySyncRound == 0:
		sends, done := m.copyReader.Step(now, *msg.ScanResponse)
		c.sendScans(m, sends)
		if done {
			c.mergeCopy(m)
		}
	}
	return nil
}

// handleRequest handles a request of a proposer.
func (c *Cluster) handleRequest(m *member, request quorum.Request) []message.Message {
	if _, in := m.membershipAcceptor.Current.Find(m.diskID); !in {
		return nil
	}
	response, records, respond := m.registerAcceptor.Step(m.membershipAcceptor.Current.Epoch, request)
	c.checkWrite(m, m.appendRecords(records))
	if !respond {
		return nil
	}
	return []message.Message{{Response: &response}}
}

// handleMembershipResponse passes a response to the reconfigurer.
func (c *Cluster) handleMembershipResponse(m *member, response membership.Response) {
	sends, chosen := m.reconfigurer.Step(c.clock(m), response)
	c.sendMembershipRequests(m, sends)
	if chosen != nil {
		c.recordChosenMembership(m, *chosen)
		c.adoptMembership(m, *chosen)
	}
}
