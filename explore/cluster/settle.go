package cluster

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// settleRounds is how many rounds of messages and time the end of a run has, and
	// settleInterval how long each is: together longer than any round may be in flight.
	settleRounds   = 16
	settleInterval = 200 * time.Millisecond
	// repairAttempts is how often a read is sent whose term is lost to messages that were in
	// transit.
	repairAttempts = 3
	// maxDeliveries bounds the messages of one round.
	maxDeliveries = 500
)

// Settle ends the run without further faults: all members start, all messages arrive, time
// passes. Then every key must be readable, and a read with repair must leave all copies alike.
func (c *Cluster) Settle() {
	if c.violation != nil {
		return
	}
	c.healLinks()
	for _, m := range c.members {
		if m.leaving {
			c.crash(m)
		}
		if !m.running && m.generation > 0 {
			c.start(m)
		}
	}
	c.runRounds(func() bool { return c.quiescent() })
	c.repairAll()
}

// runRounds runs rounds until done says so, or as many as the end of a run has.
func (c *Cluster) runRounds(done func() bool) {
	for range settleRounds {
		c.deliverAll()
		if c.violation != nil || done() {
			return
		}
		c.spreadMembership()
		c.passTime(settleInterval)
	}
	c.deliverAll()
}

// deliverAll delivers all messages.
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
			c.exchange(e)
			c.deliverToSelf()
			sent = true
			break
		}
		if !sent {
			return
		}
	}
}

// spreadMembership announces the newest membership in force to all, and has those join that do
// not count.
func (c *Cluster) spreadMembership() {
	for _, choice := range c.membershipChoices() {
		if choice.Kind == announceKind && c.members[choice.Member-1].membershipAcceptor.Current.Epoch > c.members[choice.Other-1].membershipAcceptor.Current.Epoch || choice.Kind == joinKind && c.memberOf(choice).reconfigurer.Idle() {
			c.Apply(choice)
		}
	}
}

// quiescent tells whether no client waits and every running member counts in the newest
// membership.
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

// repairAll reads every key with repair and compares the copies.
func (c *Cluster) repairAll() {
	for _, k := range c.keys() {
		if c.violation != nil || !c.repair(k) {
			return
		}
		c.checkCopies(k)
	}
}

// repair sends a read with repair to the first member that counts; it tells whether that
// succeeded.
func (c *Cluster) repair(k ident.Key) bool {
	server := c.servingMember()
	if server == nil {
		c.notServing("no member counts")
		return false
	}
	for range repairAttempts {
		c.lastTag++
		tag := c.lastTag
		c.repairTag = tag
		c.applyEffects(server, server.proposer.Submit(c.clock(server), proposer.Operation{Ticket: tag, Key: k, Kind: proposer.Repair}))
		c.deliverToSelf()
		c.runRounds(func() bool { return c.repairTag != tag })
		if c.repairTag != tag || c.violation != nil {
			return c.violation == nil
		}
	}
	c.notServing("%s can't be read after all faults have ended", k)
	return false
}

// notServing notes that the cluster does not serve though it should.
func (c *Cluster) notServing(format string, args ...any) {
	if !c.majorityLost {
		c.violate(RuleUnavailable, format, args...)
	}
}

// checkCopies checks that all disks that count hold what the term of the repairing read holds as
// chosen. A key without a chosen value is left out: what an abandoned term left of it on a
// minority stays there until the key's first write.
func (c *Cluster) checkCopies(k ident.Key) {
	for range 3 { // a copy behind a stray promise is repaired by the term above it
		c.deliverAll()
		c.passTime(settleInterval)
	}
	server := c.servingMember()
	if server == nil {
		return
	}
	chosen, held := server.proposer.Peek(k)
	if !held || chosen.Revision == 0 {
		return
	}
	for _, v := range server.membershipAcceptor.Current.Voters {
		m := c.holderOf(v.Disk)
		if !v.Counted || m == nil || !m.running || m.membershipAcceptor.Current.Epoch != server.membershipAcceptor.Current.Epoch {
			continue
		}
		if got := m.registerAcceptor.Peek(k); !got.SameState(chosen) {
			c.violate(RuleNotRepaired, "m%d has %s at %s, what is chosen is %s", m.number, k, describeRecord(got), describeRecord(chosen))
		}
	}
}

// servingMember is a member that counts in the newest membership that any member is at, nil if
// none does. A newer one may be chosen without anyone knowing.
func (c *Cluster) servingMember() *member {
	var best *member
	for _, m := range c.members {
		if m.counted() && (best == nil || m.membershipAcceptor.Current.Epoch > best.membershipAcceptor.Current.Epoch) {
			best = m
		}
	}
	return best
}
