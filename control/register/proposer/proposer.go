// Package proposer is the proposer's part of the replicated register, a Paxos with a stable
// leader for each key: it prepares a key at a majority once, and then needs one accept round a
// change. A read is a confirming round, which shows that no later term was promised.
package proposer

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

const (
	resendAfter = 150 * time.Millisecond
	// askAllAfter is how long a round waits for the few that it asked before it asks all.
	askAllAfter     = 30 * time.Millisecond
	roundTimeout    = 1200 * time.Millisecond
	maxQueue        = 1024
	maxBatch        = 256
	maxPrepareTries = 6
)

// Proposer runs all terms of one core process. Invariants: instance is unique to the process,
// so no ballot is ever used by two; rounds are numbered from firstRound on, which is the
// process's own too, so no response to an earlier process counts in a round of this one.
type Proposer struct {
	instance     string
	stateMachine StateMachine
	membership   quorum.Membership
	terms        map[ident.Key]*term
	active       map[ident.Key]*term
	nearReplicas []ident.Disk // those that are heard from: this process's own, then the others, nearest first
	nearCount    int          // how many after the first are near
	firstRound   uint64
	round        uint64
	patchCapable map[ident.Disk]bool
	// Local, when set, gives what the process's own disk holds of a key. It need not be
	// synced: only the value that belongs to a ballot and revision is taken from it.
	Local func(ident.Key) quorum.Record
	// Prepares, Rounds, Repaired, AbandonedTerms, PatchesSent and PatchesRejected are counters.
	// PatchesRejected counts patches whose base a disk did not have.
	Prepares, Rounds, Repaired, AbandonedTerms, PatchesSent, PatchesRejected uint64
}

// New makes a proposer. Its rounds are numbered apart from those of every other run: a response
// to a run that ended may still arrive at its address, and must not count in this one's rounds.
func New(instance string, stateMachine StateMachine) *Proposer {
	firstRound := ident.FirstRequestNumber(instance)
	return &Proposer{instance: instance, stateMachine: stateMachine, firstRound: firstRound, round: firstRound, terms: map[ident.Key]*term{}, active: map[ident.Key]*term{}, patchCapable: map[ident.Disk]bool{}}
}

// SetPatchCapable sets whether the process that has the disk takes patches.
func (p *Proposer) SetPatchCapable(disk ident.Disk, capable bool) { p.patchCapable[disk] = capable }

// SetMembership moves to a newer membership; every key is prepared anew under it.
func (p *Proposer) SetMembership(_ monotime.Time, membership quorum.Membership) (effects Effects) {
	if membership.Epoch <= p.membership.Epoch {
		return effects
	}
	p.membership = membership
	for _, key := range p.sortedKeys(p.terms) {
		p.abandon(p.terms[key], &effects)
	}
	return effects
}

func (p *Proposer) sortedKeys(m map[ident.Key]*term) []ident.Key {
	out := make([]ident.Key, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Submit queues one operation; its Outcome comes with these effects or later ones. Busy is its
// failure when too many wait for the same key.
func (p *Proposer) Submit(now monotime.Time, operation Operation) (effects Effects) {
	t := p.term(operation.Key)
	if len(t.waiting) >= maxQueue {
		effects.Outcomes = append(effects.Outcomes, Outcome{Operation: operation, Failure: failure.New(failure.Busy, "too many operations wait for %s", operation.Key).WithRetryAfter(1)})
		return effects
	}
	t.waiting = append(t.waiting, operation)
	p.advance(now, t, &effects)
	return effects
}

// Prepare prepares a key ahead of its first operation, as a named successor does.
func (p *Proposer) Prepare(now monotime.Time, key ident.Key) (effects Effects) {
	if t := p.term(key); t.stage == idle {
		p.prepare(now, t, &effects)
	}
	return effects
}

// Withdraw takes back the operations that match, of those that wait and were not begun: each
// ends as abandoned, and this proposer will not begin it.
func (p *Proposer) Withdraw(match func(Operation) bool) (effects Effects) {
	for _, key := range p.sortedKeys(p.active) {
		t := p.active[key]
		t.waiting = slices.DeleteFunc(slices.Clone(t.waiting), func(operation Operation) bool {
			if !match(operation) {
				return false
			}
			effects.Outcomes = append(effects.Outcomes, Outcome{Operation: operation, Abandoned: true})
			return true
		})
	}
	return effects
}

// HeldKeys lists the keys that this proposer holds or is about to hold.
func (p *Proposer) HeldKeys() []ident.Key {
	return slices.DeleteFunc(p.sortedKeys(p.terms), func(k ident.Key) bool { return p.terms[k].stage == idle })
}

// Release gives up every key that no round is out for; done tells whether that was all.
func (p *Proposer) Release() (done bool, effects Effects) {
	done = true
	for _, key := range p.sortedKeys(p.terms) {
		t := p.terms[key]
		if t.stage == established && len(t.waiting) == 0 || t.stage == idle {
			p.abandon(t, &effects)
			continue
		}
		done = false
	}
	return done, effects
}

// SetNearReplicas sets the disks that are heard from, this process's own first; the next
// nearCount are near. A confirming round asks no more disks than it needs, near ones first, and
// the others when those do not answer soon.
func (p *Proposer) SetNearReplicas(disks []ident.Disk, nearCount int) {
	p.nearReplicas, p.nearCount = disks, min(nearCount, max(0, len(disks)-1))
}

// Tick resends the rounds that are out, and abandons the terms whose round is out too long.
func (p *Proposer) Tick(now monotime.Time) (effects Effects) {
	for _, key := range p.sortedKeys(p.active) {
		t := p.active[key]
		switch {
		case t.stage == idle || t.stage == established:
			p.advance(now, t, &effects)
		case now.Since(t.roundBegan) > roundTimeout:
			p.abandon(t, &effects)
		case t.fewAsked && now.Since(t.lastSent) > askAllAfter:
			t.fewAsked, t.lastSent = false, now
			p.sendRound(t, &effects)
		case now.Since(t.lastSent) > resendAfter:
			t.lastSent = now
			// A silent disk may lack the base, or its process may take no patches: it gets
			// whole values until it answers.
			maps.DeleteFunc(t.baseHolders, func(disk ident.Disk, _ bool) bool { _, ok := t.responses[disk]; return !ok })
			p.sendRound(t, &effects)
		}
	}
	return effects
}

// Peek gives what this proposer holds as chosen of a key. It may be outdated: only an operation
// proves that it is not.
func (p *Proposer) Peek(key ident.Key) (quorum.Record, bool) {
	t := p.terms[key]
	if t == nil || t.stage < established {
		return quorum.Record{}, false
	}
	return quorum.Record{Accepted: t.ballot, Revision: t.revision, Value: t.value}, true
}
