package cluster

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// settleRounds is how many rounds of messages and time the end of a run has, and
	// settlePace how long each is: together longer than any round may be out.
	settleRounds = 16
	settlePace   = 200 * time.Millisecond
	// mendTries is how often a read is asked for whose term is lost to what was on its way.
	mendTries = 3
	// deliveries bounds the messages of one round.
	deliveries = 500
)

// Settle ends the run without further faults: all members start, all messages arrive, time
// passes. Then every key must be readable, and a read that is asked to mend must leave all
// copies alike.
func (c *Cluster) Settle() {
	if c.found != nil {
		return
	}
	c.heal()
	for _, m := range c.members {
		if m.leaving {
			c.crash(m)
		}
		if !m.up && m.run > 0 {
			c.start(m)
		}
	}
	c.rounds(func() bool { return c.quiet() })
	c.mendAll()
}

// rounds runs until done, or long enough.
func (c *Cluster) rounds(done func() bool) {
	for range settleRounds {
		c.drain()
		if c.found != nil || done() {
			return
		}
		c.gather()
		c.pass(settlePace)
	}
	c.drain()
}

// drain delivers all messages.
func (c *Cluster) drain() {
	for range deliveries {
		sent := false
		for _, m := range c.members {
			if m.up && len(m.gated) > 0 {
				c.sync(m)
			}
		}
		for _, e := range c.waiting() {
			if !c.deliverable(e) {
				continue
			}
			delete(c.net, e.id)
			c.exchange(e)
			c.flush()
			sent = true
			break
		}
		if !sent {
			return
		}
	}
}

// gather tells all of the newest roster in force, and has those that do not count join.
func (c *Cluster) gather() {
	for _, x := range c.rosterChoices() {
		if x.Kind == tell && c.members[x.Member-1].acc.Current.Epoch > c.members[x.Other-1].acc.Current.Epoch || x.Kind == join && c.at(x).make.Idle() {
			c.Apply(x)
		}
	}
}

// quiet tells whether nobody waits and every founder's slot counts.
func (c *Cluster) quiet() bool {
	for _, cl := range c.clients {
		if cl.open != nil {
			return false
		}
	}
	for _, m := range c.members {
		if m.up && (!m.acc.Current.Counts(m.disk) || m.acc.Current.Epoch < c.newest().Epoch) {
			return false
		}
	}
	return true
}

// mendAll reads every key, asking that copies be mended, and compares the copies.
func (c *Cluster) mendAll() {
	for _, k := range c.keys() {
		if c.found != nil || !c.mend(k) {
			return
		}
		c.alike(k)
	}
}

// mend asks the first member that counts; it tells whether that was answered.
func (c *Cluster) mend(k ident.Key) bool {
	at := c.server()
	if at == nil {
		c.stuck("no member counts")
		return false
	}
	for range mendTries {
		c.tags++
		tag := c.tags
		c.mending = tag
		c.owned(at, at.own.Submit(c.clock(at), proposer.Operation{Ticket: tag, Key: k, Kind: proposer.Repair}))
		c.flush()
		c.rounds(func() bool { return c.mending != tag })
		if c.mending != tag || c.found != nil {
			return c.found == nil
		}
	}
	c.stuck("%s can't be read after all faults have ended", k)
	return false
}

// stuck notes that the cluster does not serve though it should.
func (c *Cluster) stuck(form string, args ...any) {
	if !c.harsh {
		c.breach(RuleStuck, form, args...)
	}
}

// alike checks that all disks that count hold what the term of the mending read holds as
// chosen. A key that never was is left out: a change that a lost term left on a minority
// of a key without any chosen value stays there until the key's first write.
func (c *Cluster) alike(k ident.Key) {
	for range 3 { // a copy behind a stray promise is mended by the term above it
		c.drain()
		c.pass(settlePace)
	}
	at := c.server()
	if at == nil {
		return
	}
	sure, held := at.own.Peek(k)
	if !held || sure.Revision == 0 {
		return
	}
	for _, v := range at.acc.Current.Voters {
		m := c.holder(v.Disk)
		if !v.Counted || m == nil || !m.up || m.acc.Current.Epoch != at.acc.Current.Epoch {
			continue
		}
		if got := m.rep.Peek(k); !got.Same(sure) {
			c.breach(RuleMended, "m%d has %s at %s, what is chosen is %s", m.number, k, version(got), version(sure))
		}
	}
}

// server is a member that counts at the newest roster that any is at, nil if none does. A
// newer one may be chosen without anyone knowing.
func (c *Cluster) server() *member {
	var best *member
	for _, m := range c.members {
		if m.counted() && (best == nil || m.acc.Current.Epoch > best.acc.Current.Epoch) {
			best = m
		}
	}
	return best
}

func version(x quorum.Record) string {
	return fmt.Sprintf("ballot %d.%s revision %d", x.Accepted.Epoch, x.Accepted.Owner, x.Revision)
}
