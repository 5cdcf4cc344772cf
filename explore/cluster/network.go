package cluster

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// envelope is one message on its way between two addresses. As in the daemon it goes to
// whichever process is at the address when it is delivered. Invariant: id is the hash of
// the rest, so an equal message that is sent again is the same one as long as the first is
// on its way.
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

// isResponse tells whether the message is a return, which is delivered without an answer.
func (e envelope) isResponse() bool {
	return e.msg.Response != nil || e.msg.MembershipResponse != nil || e.msg.ScanResponse != nil
}

// post puts a message on its way; to itself a member speaks at once when that is set.
func (c *Cluster) post(from, to int, msg message.Message) {
	e := seal(from, to, msg)
	if from == to && c.settings.Instant {
		c.selfMessages = append(c.selfMessages, e)
		return
	}
	c.inTransit[e.id] = e
}

// deliverToSelf delivers what members said to themselves.
func (c *Cluster) deliverToSelf() {
	for len(c.selfMessages) > 0 {
		e := c.selfMessages[0]
		c.selfMessages = c.selfMessages[1:]
		c.exchange(e)
	}
}

// messagesInTransit lists the messages on their way, in a fixed order.
func (c *Cluster) messagesInTransit() []envelope {
	return slices.SortedFunc(maps.Values(c.inTransit), func(a, b envelope) int { return cmp.Compare(a.id, b.id) })
}

func (c *Cluster) isCut(from, to int) bool { return c.cuts[[2]int{from, to}] }

// deliverable tells whether a message may arrive now.
func (c *Cluster) deliverable(e envelope) bool {
	return c.members[e.to-1].running && !c.isCut(e.from, e.to)
}

// exchange delivers a message, syncs what it wrote and delivers the return at once.
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

// deliverUnsynced delivers a message and leaves its writes and its return for later.
func (c *Cluster) deliverUnsynced(e envelope) {
	m := c.members[e.to-1]
	for _, msg := range c.handle(m, e.from, e.msg) {
		m.unsyncedResponses = append(m.unsyncedResponses, seal(e.to, e.from, msg))
	}
}

// sync syncs a member's disk and sends the returns that rested on it.
func (c *Cluster) sync(m *member) {
	c.checkWrite(m, m.store.sync())
	for _, e := range m.unsyncedResponses {
		c.post(e.from, e.to, e.msg)
	}
	m.unsyncedResponses = nil
}

// applyEffects carries out what an owner wants.
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

// sendTo sends to the address that a voter has.
func (c *Cluster) sendTo(m *member, v quorum.Voter, msg message.Message) {
	for _, to := range c.members {
		if to.addr() == v.Addr {
			c.post(m.number, to.number, msg)
		}
	}
}

// describeMessage tells a message in words.
func describeMessage(msg message.Message) string {
	switch {
	case msg.Request != nil:
		a := msg.Request
		return fmt.Sprintf("%s of %s, turn %d, ballot %d.%s, revision %d, roster %d", a.Kind, a.Key, a.Round, a.Ballot.Epoch, a.Ballot.Proposer, a.Revision, a.Membership)
	case msg.Response != nil:
		r := msg.Response
		return fmt.Sprintf("return of %s to %s of %s, turn %d, ok %v, promised %d.%s, accepted %d.%s revision %d", r.Disk, r.Kind, r.Key, r.Round, r.OK,
			r.Record.Promised.Epoch, r.Record.Promised.Proposer, r.Record.Accepted.Epoch, r.Record.Accepted.Proposer, r.Record.Revision)
	case msg.MembershipRequest != nil:
		a := msg.MembershipRequest
		return fmt.Sprintf("roster %s, turn %d, base %d, ballot %d.%s%s", a.Kind, a.Round, a.Base, a.Ballot.Epoch, a.Ballot.Proposer, describeProposal(a.Next))
	case msg.MembershipResponse != nil:
		r := msg.MembershipResponse
		return fmt.Sprintf("return of %s to roster %s, turn %d, base %d, ok %v%s", r.Disk, r.Kind, r.Round, r.Base, r.OK, describeProposal(r.Next))
	case msg.Scan != nil:
		return fmt.Sprintf("scan, turn %d, roster %d", msg.Scan.Round, msg.Scan.Membership)
	case msg.ScanResponse != nil:
		return fmt.Sprintf("page of %s, turn %d, %d cells", msg.ScanResponse.Disk, msg.ScanResponse.Round, len(msg.ScanResponse.Rows))
	}
	return "message"
}

func describeProposal(r *quorum.Membership) string {
	if r == nil {
		return ""
	}
	out := fmt.Sprintf(", roster %d of", r.Epoch)
	for _, v := range r.Voters {
		out += " " + string(v.Disk)
		if !v.Counted {
			out += " (not counted)"
		}
	}
	return out
}
