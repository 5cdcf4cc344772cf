// Package maker raises the roster epoch: a newcomer takes a slot, copies, and then
// votes.
package maker

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/roster/acceptor"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

const (
	resend = 200 * time.Millisecond
	giveUp = 2 * time.Second
	rest   = 300 * time.Millisecond
	// retry is the pause after a voter had promised another proposal more: far less than
	// rest, or a proposer that has nothing to propose and asks each rest, with a higher
	// ballot each time, would for ever be ahead of one that has.
	retry = 20 * time.Millisecond
)

type stage int

const (
	idle stage = iota
	preparing
	accepting
)

// Plan works out the roster wanted after now, given the disks that the returns of a
// majority have heard; nil means that nothing may be changed.
type Plan func(now cell.Roster, alive map[ident.Disk]bool) *cell.Roster

// Maker runs one change at a time. Invariant: it says chosen only after a majority
// of the counted voters of one roster, all at its epoch, took one proposal.
type Maker struct {
	disk    ident.Disk
	mark    string
	stage   stage
	base    cell.Roster
	ballot  ident.Ballot
	turn    uint64
	ask     acceptor.Ask
	returns map[ident.Disk]acceptor.Return
	began   moment.Moment
	sent    moment.Moment
	pause   moment.Moment
	seen    ident.Epoch
	plan    Plan
}

// New makes an idle maker.
func New(disk ident.Disk, mark string) *Maker { return &Maker{disk: disk, mark: mark} }

// Send is one ask to one voter.
type Send struct {
	To  cell.Voter
	Ask acceptor.Ask
}

// Idle tells whether nothing is under way.
func (m *Maker) Idle() bool { return m.stage == idle }

// Begin starts a change from the roster in force.
func (m *Maker) Begin(now moment.Moment, base cell.Roster, plan Plan) []Send {
	if m.stage != idle || m.pause.After(now) {
		return nil
	}
	m.seen++
	m.base, m.plan, m.stage = base, plan, preparing
	m.ballot = ident.Ballot{Epoch: m.seen, Owner: m.mark}
	return m.round(now, acceptor.Ask{Kind: acceptor.Prepare})
}

func (m *Maker) round(now moment.Moment, q acceptor.Ask) []Send {
	m.turn++
	q.Turn, q.Base, q.Ballot, q.Disk = m.turn, m.base.Epoch, m.ballot, m.disk
	m.ask, m.returns, m.began, m.sent = q, map[ident.Disk]acceptor.Return{}, now, now
	return m.out()
}

func (m *Maker) out() []Send {
	var out []Send
	for _, v := range m.base.Voters {
		if _, ok := m.returns[v.Disk]; v.Counted && !ok {
			out = append(out, Send{v, m.ask})
		}
	}
	return out
}

func (m *Maker) stop(now moment.Moment) {
	m.stage, m.pause = idle, now.Add(rest+time.Duration(m.turn*37%100)*time.Millisecond)
}

// outbid pauses for a moment that differs between proposers and from one try to the next.
func (m *Maker) outbid(now moment.Moment) {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, m.disk, m.turn)
	m.stage, m.pause = idle, now.Add(retry+time.Duration(h.Sum32()%100)*time.Millisecond)
}

// Adopted drops a change that builds on an older roster.
func (m *Maker) Adopted(r cell.Roster) {
	if m.stage != idle && r.Epoch > m.base.Epoch {
		m.stage = idle
	}
	m.seen = 0
}

// Step takes one return; the roster is not nil once it is chosen.
func (m *Maker) Step(now moment.Moment, r acceptor.Return) ([]Send, *cell.Roster) {
	if m.stage == idle || r.Turn != m.turn || r.Base != m.base.Epoch || !m.base.Counts(r.Disk) {
		return nil, nil
	}
	if !r.OK {
		m.seen = max(m.seen, r.Promised.Epoch)
		m.outbid(now)
		return nil, nil
	}
	m.returns[r.Disk] = r
	if len(m.returns) < m.base.Majority() {
		return nil, nil
	}
	if m.stage == accepting {
		m.stage = idle // what comes next builds on it, and need not wait
		return nil, m.ask.Next
	}
	// What a voter has already taken goes first.
	var best acceptor.Return
	alive := map[ident.Disk]bool{}
	for _, v := range m.returns {
		if v.Next != nil && best.Taken.Less(v.Taken) {
			best = v
		}
		for _, d := range v.Alive {
			alive[d] = true
		}
	}
	next := best.Next
	if next == nil {
		next = m.plan(m.base, alive)
	}
	if next == nil {
		m.stop(now)
		return nil, nil
	}
	m.stage = accepting
	return m.round(now, acceptor.Ask{Kind: acceptor.Accept, Next: next}), nil
}

// Tick repeats or gives up.
func (m *Maker) Tick(now moment.Moment) []Send {
	if m.stage == idle {
		return nil
	}
	if now.Since(m.began) > giveUp {
		m.stop(now)
		return nil
	}
	if now.Since(m.sent) <= resend {
		return nil
	}
	m.sent = now
	return m.out()
}

// Take plans that disk me, at addr, takes a slot: that of an older disk at the same
// address, else that of the one voter nobody has heard, else, when all are well and
// there are fewer than most, a new one, in which it joins. Who has only joined may still
// take a slot that is empty, and leaves its own.
func Take(me cell.Voter, most int, grow bool) Plan {
	return func(now cell.Roster, alive map[ident.Disk]bool) *cell.Roster {
		was, in := now.Find(me.Disk)
		if in && !was.Joining {
			return nil
		}
		next := cell.Roster{Epoch: now.Epoch + 1, Voters: slices.DeleteFunc(slices.Clone(now.Voters), func(v cell.Voter) bool { return v.Disk == me.Disk })}
		slot := slices.IndexFunc(next.Voters, func(v cell.Voter) bool { return v.Addr == me.Addr })
		if slot < 0 && now.Size() <= most { // one too many is dropped and not filled
			slot = slices.IndexFunc(next.Voters, func(v cell.Voter) bool { return !alive[v.Disk] && (!in || !v.Joining) })
		}
		if slot < 0 && (in || !grow || len(next.Voters) >= most) {
			return nil
		}
		me.Counted, me.Joining = false, slot < 0 || next.Voters[slot].Joining
		if slot < 0 {
			next.Voters = append(next.Voters, me)
		} else {
			next.Voters[slot] = me
		}
		// The counted voters that stay must still make a majority.
		if n := counted(next); n < next.Majority() {
			return nil
		}
		return &next
	}
}

// Count plans that disk me votes from now on.
func Count(me ident.Disk) Plan {
	return func(now cell.Roster, _ map[ident.Disk]bool) *cell.Roster {
		next := cell.Roster{Epoch: now.Epoch + 1, Voters: slices.Clone(now.Voters)}
		slot := slices.IndexFunc(next.Voters, func(v cell.Voter) bool { return v.Disk == me && !v.Counted })
		if slot < 0 {
			return nil
		}
		next.Voters[slot].Counted, next.Voters[slot].Joining = true, false
		return &next
	}
}

// Move plans that a voter is found at another address from now on.
func Move(me cell.Voter) Plan {
	return func(now cell.Roster, _ map[ident.Disk]bool) *cell.Roster {
		next := cell.Roster{Epoch: now.Epoch + 1, Voters: slices.Clone(now.Voters)}
		slot := slices.IndexFunc(next.Voters, func(v cell.Voter) bool { return v.Disk == me.Disk && v.Addr != me.Addr })
		if slot < 0 {
			return nil
		}
		next.Voters[slot].Addr = me.Addr
		return &next
	}
}

// Drop plans that a voter has no slot from now on: one that leaves as planned, or one that
// nobody has heard. Only an even number of slots shrinks: the odd one below it bears as
// many losses, while with an even one a voter that is gone is a loss that is borne already.
func Drop(gone ident.Disk, leaves bool) Plan {
	return func(now cell.Roster, alive map[ident.Disk]bool) *cell.Roster {
		voter, in := now.Find(gone)
		if !in || voter.Joining || now.Size()%2 != 0 || !leaves && alive[gone] {
			return nil
		}
		next := cell.Roster{Epoch: now.Epoch + 1, Voters: slices.DeleteFunc(slices.Clone(now.Voters), func(v cell.Voter) bool { return v.Disk == gone })}
		if counted(next) < next.Majority() {
			return nil
		}
		return &next
	}
}

func counted(r cell.Roster) int {
	n := 0
	for _, v := range r.Voters {
		if v.Counted {
			n++
		}
	}
	return n
}
