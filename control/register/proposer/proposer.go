// Package proposer is the single proposer of a key: it takes the key by a prepare at a
// majority and then needs one accept round a change.
package proposer

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	resendAfter = 150 * time.Millisecond
	// askAllAfter is how long a round waits for the few that it asked before it asks all.
	askAllAfter  = 30 * time.Millisecond
	roundTimeout = 1200 * time.Millisecond
	maxQueue     = 1024
	maxBatch     = 256
	maxTries     = 6
)

// Owner runs all terms of one core process. Invariants: mark is unique to the
// process, so no ballot is ever used by two; turns begin at first, which is the process's
// own too, so no return to an earlier process's ask counts in a round of this one.
type Proposer struct {
	instance     string
	machine      StateMachine
	membership   quorum.Membership
	terms        map[ident.Key]*term
	active       map[ident.Key]*term
	nearReplicas []ident.Disk
	nearCount    int
	first        uint64
	round        uint64
	patchCapable map[ident.Disk]bool
	// Local, when set, gives what the process's own disk holds of a key. It need not be
	// synced: only the value that belongs to a ballot and revision is taken from it.
	Local func(ident.Key) quorum.Record
	// Counters. PatchesRejected counts patches whose base a disk did not have.
	Prepares, Rounds, Repaired, AbandonedTerms, PatchesSent, PatchesRejected uint64
}

// New makes a proposer. Its turns begin where those of no other run do: a response to a run that
// ended may still arrive at its address, and must be no return to this one's rounds.
func New(instance string, machine StateMachine) *Proposer {
	first := ident.FirstNumber(instance)
	return &Proposer{instance: instance, machine: machine, first: first, round: first, terms: map[ident.Key]*term{}, active: map[ident.Key]*term{}, patchCapable: map[ident.Disk]bool{}}
}

// SetPatchCapable says whether the process that has the disk knows patches.
func (p *Proposer) SetPatchCapable(disk ident.Disk, patches bool) { p.patchCapable[disk] = patches }

// SetMembership moves to a newer membership; every hold begins anew under it.
func (p *Proposer) SetMembership(now monotime.Time, r quorum.Membership) (fx Effects) {
	if r.Epoch <= p.membership.Epoch {
		return fx
	}
	p.membership = r
	for _, key := range p.sortedKeys(p.terms) {
		p.abandon(p.terms[key], &fx)
	}
	return fx
}

func (p *Proposer) sortedKeys(m map[ident.Key]*term) []ident.Key {
	out := make([]ident.Key, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Submit takes one operation.
func (p *Proposer) Submit(now monotime.Time, d Operation) (fx Effects) {
	t := p.term(d.Key)
	if len(t.waiting) >= maxQueue {
		fx.Outcomes = append(fx.Outcomes, Outcome{Operation: d, Failure: failure.New(failure.Busy, "too many deeds wait for %s", d.Key).Later(1)})
		return fx
	}
	t.waiting = append(t.waiting, d)
	p.advance(now, t, &fx)
	return fx
}

// Prepare prepares a key ahead of need, as the named successor does.
func (p *Proposer) Prepare(now monotime.Time, key ident.Key) (fx Effects) {
	if t := p.term(key); t.stage == idle {
		p.prepare(now, t, &fx)
	}
	return fx
}

// Withdraw takes back the operations that match, of those that wait and were not begun: each
// ends as lost, without risk, and this proposer will not begin it.
func (p *Proposer) Withdraw(match func(Operation) bool) (fx Effects) {
	for _, key := range p.sortedKeys(p.active) {
		t := p.active[key]
		t.waiting = slices.DeleteFunc(slices.Clone(t.waiting), func(d Operation) bool {
			if !match(d) {
				return false
			}
			fx.Outcomes = append(fx.Outcomes, Outcome{Operation: d, Abandoned: true})
			return true
		})
	}
	return fx
}

// Keys lists what is held.
func (p *Proposer) Keys() []ident.Key {
	return slices.DeleteFunc(p.sortedKeys(p.terms), func(k ident.Key) bool { return p.terms[k].stage == idle })
}

// Release lets every key go that no round is out for, and says whether all went.
func (p *Proposer) Release() (done bool, fx Effects) {
	done = true
	for _, key := range p.sortedKeys(p.terms) {
		t := p.terms[key]
		if t.stage == established && len(t.waiting) == 0 || t.stage == idle {
			p.abandon(t, &fx)
			continue
		}
		done = false
	}
	return done, fx
}

// SetNear names the disks whose processes are heard, this one's first, then the next nearCount of
// them, which are nearest. A round that only confirms asks no more of them than it needs,
// and the others when those do not answer soon; it is not sent at all to most disks.
func (p *Proposer) SetNear(disks []ident.Disk, nearCount int) {
	p.nearReplicas, p.nearCount = disks, min(nearCount, max(0, len(disks)-1))
}

// apply applies waiting operations and starts the round that makes their results sure.
func (p *Proposer) apply(now monotime.Time, t *term, fx *Effects) {
	n := min(len(t.waiting), maxBatch)
	value, revision := t.value, t.revision
	t.remembered, t.repairing = nil, false
	// What this round touches counts for the operations behind it in the same round already; if
	// the round is lost, so is the term with its memory.
	context := Context{Now: now, TermBegan: t.began, TermMemory: t.memory, Remember: func(m string) { t.remembered, t.memory[m] = append(t.remembered, m), now }}
	for _, d := range t.waiting[:n] {
		if d.Deadline != 0 && now.After(d.Deadline) {
			// Nobody waits for it any more: it is not begun, and this copy never will be.
			fx.Outcomes = append(fx.Outcomes, Outcome{Operation: d, Abandoned: true})
			continue
		}
		context.Revision, context.Decoded = revision, t.decoded
		t.repairing = t.repairing || d.Kind == Repair
		v := p.machine.Apply(context, value, d)
		if v.Changed {
			value = v.Value
			revision++
			t.decoded = nil
		}
		if v.Decoded != nil {
			t.decoded = v.Decoded
		}
		t.batch = append(t.batch, Outcome{Operation: d, Body: v.Body, Failure: v.Failure, Changed: v.Changed, Revision: revision, Value: value})
	}
	t.waiting = slices.Clone(t.waiting[n:])
	if len(t.batch) == 0 {
		p.proceed(now, t, fx)
		return
	}
	if revision == t.revision {
		t.stage = confirming
		p.beginRound(now, t, quorum.Request{Kind: quorum.Confirm, Ballot: t.ballot, Revision: t.revision}, fx)
		return
	}
	t.stage, t.proposed = writing, quorum.Record{Revision: revision, Value: value}
	p.accept(now, t, quorum.Record{Accepted: t.acceptedBallot, Revision: t.revision, Value: t.value}, revision, value, fx)
}

// Tick sends again what is out and gives up what is out too long.
func (p *Proposer) Tick(now monotime.Time) (fx Effects) {
	for _, key := range p.sortedKeys(p.active) {
		t := p.active[key]
		switch {
		case t.stage == idle || t.stage == established:
			p.advance(now, t, &fx)
		case now.Since(t.roundBegan) > roundTimeout:
			p.abandon(t, &fx)
		case t.fewAsked && now.Since(t.lastSent) > askAllAfter:
			t.fewAsked, t.lastSent = false, now
			p.sendRound(t, &fx)
		case now.Since(t.lastSent) > resendAfter:
			t.lastSent = now
			// Who is silent may have lost what went before, or know no patches: it gets the
			// whole value from now on, until it answers.
			maps.DeleteFunc(t.baseHolders, func(d ident.Disk, _ bool) bool { _, ok := t.responses[d]; return !ok })
			p.sendRound(t, &fx)
		}
	}
	return fx
}

// Peek gives what this proposer holds of a key as chosen; it proves nothing.
func (p *Proposer) Peek(key ident.Key) (quorum.Record, bool) {
	t := p.terms[key]
	if t == nil || t.stage < established {
		return quorum.Record{}, false
	}
	return quorum.Record{Accepted: t.ballot, Revision: t.revision, Value: t.value}, true
}
