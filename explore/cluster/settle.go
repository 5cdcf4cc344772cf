package cluster

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// settleRounds is the maximum number of settling rounds and settleInterval the duration of each
	// settling round. Their product exceeds the time that a round of a proposer may be in flight.
	settleRounds   = 16
	settleInterval = 200 * time.Millisecond
	// repairAttempts is how often a read with repair is sent. A read fails if its proposer loses the
	// term to messages that were still in transit.
	repairAttempts = 3
	// maxDeliveries is the maximum number of messages delivered in a settling round.
	maxDeliveries = 500
)

// Settle ends the run without further faults: all members start, all messages are delivered, and the
// time advances. Then every key must be readable, and all copies must be equal after a read with
// repair.
func (c *Cluster) Settle() {
	if c.violation != nil {
		return
	}
	c.healLinks()
	for _, m := range c.members {
		if m.stopping {
			c.crash(m)
		}
		if !m.running && m.generation > 0 {
			c.start(m)
		}
	}
	c.runRounds(func() bool { return c.quiescent() })
	c.repairAll()
}

// runRounds runs settling rounds until done returns true, at most settleRounds.
func (c *Cluster) runRounds(done func() bool) {
	for range settleRounds {
		c.deliverAll()
		if c.violation != nil || done() {
			return
		}
		c.propagateMembership()
		c.advanceTime(settleInterval)
	}
	c.deliverAll()
}

// deliverAll delivers messages until none is deliverable, at most maxDeliveries.
func (c *Cluster) deliverAll() {
	for range maxDeliveries {
		sent := false
		for _, m := range c.members {
			if m.running && len(m.unsyncedResponses) > 0 {
				c.sync(m)
			}
		}
		for _, e := range c.messagesInTransit() {
			if !c.deliverable(e) {
				continue
			}
			delete(c.inTransit, e.id)
			c.deliverAndSync(e)
			c.deliverSelfMessages()
			sent = true
			break
		}
		if !sent {
			return
		}
	}
}

// propagateMembership announces newer memberships to the members that lack them, and makes the
// members that are not counted voters take their next join step.
func (c *Cluster) propagateMembership() {
	for _, choice := range c.membershipChoices() {
		if choice.Kind == announceKind && c.members[choice.Member-1].membershipAcceptor.Current.Epoch > c.members[choice.Other-1].membershipAcceptor.Current.Epoch || choice.Kind == joinKind && c.memberFor(choice).reconfigurer.Idle() {
			c.Apply(choice)
		}
	}
}

// quiescent reports whether no client waits for a response and every running member is a counted
// voter of the newest membership.
func (c *Cluster) quiescent() bool {
	for _, cl := range c.clients {
		if cl.pending != nil {
			return false
		}
	}
	for _, m := range c.members {
		if m.running && (!m.membershipAcceptor.Current.IsCounted(m.diskID) || m.membershipAcceptor.Current.Epoch < c.newestMembership().Epoch) {
			return false
		}
	}
	return true
}

// repairAll sends a read with repair for every key and compares the copies of the key.
func (c *Cluster) repairAll() {
	for _, k := range c.keys() {
		if c.violation != nil || !c.repair(k) {
			return
		}
		c.checkCopies(k)
	}
}

// repair sends a read with repair to the serving member and reports whether the read succeeded.
func (c *Cluster) repair(k ident.Key) bool {
	server := c.servingMember()
	if server == nil {
		c.reportUnavailable("no running member is a counted voter")
		return false
	}
	for range repairAttempts {
		c.lastTicket++
		ticket := c.lastTicket
		c.repairTicket = ticket
		c.applyEffects(server, server.proposer.Submit(c.clock(server), proposer.Operation{Ticket: ticket, Key: k, Kind: proposer.Repair}))
		c.deliverSelfMessages()
		c.runRounds(func() bool { return c.repairTicket != ticket })
		if c.repairTicket != ticket || c.violation != nil {
			return c.violation == nil
		}
	}
	c.reportUnavailable("%s cannot be read after all faults have ended", k)
	return false
}

// reportUnavailable records that the cluster is unavailable, unless the faults may have taken a
// majority.
func (c *Cluster) reportUnavailable(format string, args ...any) {
	if !c.majorityLost {
		c.recordViolation(RuleUnavailable, format, args...)
	}
}

// checkCopies checks that every counted disk holds the record that the term of the repairing read
// holds as chosen. A key without a chosen value is not checked: a record that an abandoned term left
// on a minority stays there until the first write of the key.
func (c *Cluster) checkCopies(k ident.Key) {
	// A disk that has promised a higher ballot rejects the repair. A term with a ballot above the
	// promised ballot then repairs the copy, which takes further rounds.
	for range 3 {
		c.deliverAll()
		c.advanceTime(settleInterval)
	}
	server := c.servingMember()
	if server == nil {
		return
	}
	chosen, ok := server.proposer.Peek(k)
	if !ok || chosen.Revision == 0 {
		return
	}
	for _, v := range server.membershipAcceptor.Current.Voters {
		m := c.memberWithDisk(v.Disk)
		if !v.Counted || m == nil || !m.running || m.membershipAcceptor.Current.Epoch != server.membershipAcceptor.Current.Epoch {
			continue
		}
		if held := m.registerAcceptor.Peek(k); !held.SameState(chosen) {
			c.recordViolation(RuleNotRepaired, "m%d has %s at %s, the chosen record is at %s", m.number, k, describeRecord(held), describeRecord(chosen))
		}
	}
}

// servingMember returns the first of the counted members with the newest membership, or nil if no
// member is counted. A newer membership may have been chosen without any member having learned so.
func (c *Cluster) servingMember() *member {
	var best *member
	for _, m := range c.members {
		if m.counted() && (best == nil || m.membershipAcceptor.Current.Epoch > best.membershipAcceptor.Current.Epoch) {
			best = m
		}
	}
	return best
}
