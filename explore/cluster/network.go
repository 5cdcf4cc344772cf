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
	e := plan.Encoder()
	defer e.Free()
	e.Put(from)
	e.Put(to)
	e.Put(msg)
	return envelope{e.Hash(), from, to, msg}
}

// says tells whether the message is a return, which is delivered without an answer.
func (e envelope) says() bool {
	return e.msg.Response != nil || e.msg.MembershipResponse != nil || e.msg.ScanResponse != nil
}

// post puts a message on its way; to itself a member speaks at once when that is set.
func (c *Cluster) post(from, to int, msg message.Message) {
	e := seal(from, to, msg)
	if from == to && c.set.Instant {
		c.local = append(c.local, e)
		return
	}
	c.net[e.id] = e
}

// flush delivers what members said to themselves.
func (c *Cluster) flush() {
	for len(c.local) > 0 {
		e := c.local[0]
		c.local = c.local[1:]
		c.exchange(e)
	}
}

// waiting lists the messages on their way, in a fixed order.
func (c *Cluster) waiting() []envelope {
	return slices.SortedFunc(maps.Values(c.net), func(a, b envelope) int { return cmp.Compare(a.id, b.id) })
}

func (c *Cluster) cut(from, to int) bool { return c.cuts[[2]int{from, to}] }

// deliverable tells whether a message may arrive now.
func (c *Cluster) deliverable(e envelope) bool {
	return c.members[e.to-1].up && !c.cut(e.from, e.to)
}

// exchange delivers a message, syncs what it wrote and delivers the return at once.
func (c *Cluster) exchange(e envelope) {
	m := c.members[e.to-1]
	says := c.handle(m, e.from, e.msg)
	if !e.says() {
		c.sync(m)
	}
	for _, msg := range says {
		back := seal(e.to, e.from, msg)
		if !c.deliverable(back) {
			c.net[back.id] = back
			continue
		}
		c.handle(c.members[e.from-1], e.to, msg)
	}
}

// hold delivers a message and leaves its writes and its return for later.
func (c *Cluster) hold(e envelope) {
	m := c.members[e.to-1]
	for _, msg := range c.handle(m, e.from, e.msg) {
		m.gated = append(m.gated, seal(e.to, e.from, msg))
	}
}

// sync syncs a member's disk and sends the returns that rested on it.
func (c *Cluster) sync(m *member) {
	c.must(m, m.store.sync())
	for _, e := range m.gated {
		c.post(e.from, e.to, e.msg)
	}
	m.gated = nil
}

// owned carries out what an owner wants.
func (c *Cluster) owned(m *member, fx proposer.Effects) {
	for _, s := range fx.Sends {
		ask := s.Request
		if c.set.Break == BreakMend && ask.Round == 0 {
			continue
		}
		c.sendTo(m, s.To, message.Message{Request: &ask})
	}
	for _, out := range fx.Outcomes {
		c.ended(m, out)
	}
}

func (c *Cluster) rosterSends(m *member, sends []reconfiguration.Send) {
	for _, s := range sends {
		ask := s.Request
		c.sendTo(m, s.To, message.Message{MembershipRequest: &ask})
	}
}

func (c *Cluster) scans(m *member, sends []quorumread.Send) {
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

// describe tells a message in words.
func describe(msg message.Message) string {
	switch {
	case msg.Request != nil:
		a := msg.Request
		return fmt.Sprintf("%s of %s, turn %d, ballot %d.%s, revision %d, roster %d", a.Kind, a.Key, a.Round, a.Ballot.Epoch, a.Ballot.Owner, a.Revision, a.Membership)
	case msg.Response != nil:
		r := msg.Response
		return fmt.Sprintf("return of %s to %s of %s, turn %d, ok %v, promised %d.%s, accepted %d.%s revision %d", r.Disk, r.Kind, r.Key, r.Round, r.OK,
			r.Record.Promised.Epoch, r.Record.Promised.Owner, r.Record.Accepted.Epoch, r.Record.Accepted.Owner, r.Record.Revision)
	case msg.MembershipRequest != nil:
		a := msg.MembershipRequest
		return fmt.Sprintf("roster %s, turn %d, base %d, ballot %d.%s%s", a.Kind, a.Round, a.Base, a.Ballot.Epoch, a.Ballot.Owner, proposal(a.Next))
	case msg.MembershipResponse != nil:
		r := msg.MembershipResponse
		return fmt.Sprintf("return of %s to roster %s, turn %d, base %d, ok %v%s", r.Disk, r.Kind, r.Round, r.Base, r.OK, proposal(r.Next))
	case msg.Scan != nil:
		return fmt.Sprintf("scan, turn %d, roster %d", msg.Scan.Round, msg.Scan.Membership)
	case msg.ScanResponse != nil:
		return fmt.Sprintf("page of %s, turn %d, %d cells", msg.ScanResponse.Disk, msg.ScanResponse.Round, len(msg.ScanResponse.Rows))
	}
	return "message"
}

func proposal(r *quorum.Membership) string {
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
