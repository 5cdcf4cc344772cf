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
	"cottonarch.example/cottonarch/base/ordered"
	"cottonarch.example/cottonarch/control/register/quorum"
)

const (
	// resendAfter is how long a request may stay unanswered before it is sent again.
	resendAfter = 150 * time.Millisecond
	// askAllAfter is how long a confirming round waits for the disks that it asked first before it
	// asks the others.
	askAllAfter = 30 * time.Millisecond
	// roundTimeout is how long a round may last before its term is abandoned.
	roundTimeout = 1200 * time.Millisecond
	// maxQueue bounds the operations that wait for one key.
	maxQueue = 1024
	// maxBatch bounds the operations that share one round.
	maxBatch = 256
	// maxPrepareTries bounds the rejected prepares in a row before a term is abandoned.
	maxPrepareTries = 6
	// queueFullRetrySeconds is when to retry an operation that found the queue of its key full.
	queueFullRetrySeconds = 1
)

// Proposer runs all terms of one core process. Invariants: instance is unique to the process,
// so no ballot is ever used by two; rounds are numbered from firstRound on, which is the
// process's own too, so no response to an earlier process counts in a round of this one.
type Proposer struct {
	instance     string
	stateMachine StateMachine
	membership   quorum.Membership
	terms        map[ident.Key]*term
	active       map[ident.Key]*term // those with a round in flight or operations that wait
	nearReplicas []ident.Disk        // see SetNearReplicas
	nearCount    int
	firstRound   uint64
	round        uint64
	patchCapable map[ident.Disk]bool
	// LocalRecord, when set, gives what the process's own disk holds of a key. It need not be
	// synced: only the value that belongs to a ballot and revision is taken from it.
	LocalRecord func(ident.Key) quorum.Record
	// Prepares, Rounds, Repaired, AbandonedTerms, PatchesSent and PatchesRejected are counters.
	// PatchesRejected counts patches whose base a disk did not have.
	Prepares, Rounds, Repaired, AbandonedTerms, PatchesSent, PatchesRejected uint64
}

// New makes a proposer. Its rounds are numbered apart from those of every other run: a response
// to a run that ended may still arrive at its address, and must not count in this one's rounds.
func New(instance string, stateMachine StateMachine) *Proposer {
	firstRound := ident.FirstRequestNumber(instance)
	return &Proposer{
		instance:     instance,
		stateMachine: stateMachine,
		firstRound:   firstRound,
		round:        firstRound,
		terms:        map[ident.Key]*term{},
		active:       map[ident.Key]*term{},
		patchCapable: map[ident.Disk]bool{},
	}
}

// SetPatchCapable sets whether the process that has the disk takes patches.
func (p *Proposer) SetPatchCapable(disk ident.Disk, capable bool) { p.patchCapable[disk] = capable }

// SetMembership adopts a newer membership. Every term is abandoned, so each key is prepared again
// under it.
func (p *Proposer) SetMembership(_ monotime.Time, membership quorum.Membership) (effects Effects) {
	if membership.Epoch <= p.membership.Epoch {
		return effects
	}
	p.membership = membership
	for _, key := range sortedKeys(p.terms) {
		p.abandon(p.terms[key], &effects)
	}
	return effects
}

func sortedKeys(terms map[ident.Key]*term) []ident.Key {
	return ordered.Keys(terms)
}

// Submit queues one operation; its Outcome comes with these effects or later ones. Busy is its
// failure when too many wait for the same key.
func (p *Proposer) Submit(now monotime.Time, operation Operation) (effects Effects) {
	t := p.term(operation.Key)
	if len(t.waiting) >= maxQueue {
		busy := failure.New(failure.Busy, "too many operations wait for %s", operation.Key)
		effects.Outcomes = append(effects.Outcomes, Outcome{Operation: operation, Failure: busy.WithRetryAfter(queueFullRetrySeconds)})
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

// AbandonQueued takes back the operations that match, of those that wait and were not begun: each
// ends as abandoned, and this proposer will not begin it.
func (p *Proposer) AbandonQueued(match func(Operation) bool) (effects Effects) {
	for _, key := range sortedKeys(p.active) {
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
	return slices.DeleteFunc(sortedKeys(p.terms), func(k ident.Key) bool { return p.terms[k].stage == idle })
}

// Release gives up every key without a round in flight; done reports whether none is left.
func (p *Proposer) Release() (done bool, effects Effects) {
	done = true
	for _, key := range sortedKeys(p.terms) {
		t := p.terms[key]
		if t.stage == established && len(t.waiting) == 0 || t.stage == idle {
			p.abandon(t, &effects)
			continue
		}
		done = false
	}
	return done, effects
}

// SetNearReplicas sets the disks of the live voters, this process's own first; the next nearCount
// are in the same zone, the rest are not. A confirming round asks no more disks than it needs, near ones first, and
// the others when those do not answer soon.
func (p *Proposer) SetNearReplicas(disks []ident.Disk, nearCount int) {
	p.nearReplicas, p.nearCount = disks, min(nearCount, max(0, len(disks)-1))
}

// Tick resends the rounds in flight, and abandons the terms whose round exceeds roundTimeout.
func (p *Proposer) Tick(now monotime.Time) (effects Effects) {
	for _, key := range sortedKeys(p.active) {
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
			maps.DeleteFunc(t.baseHolders, func(disk ident.Disk, _ bool) bool {
				_, responded := t.responses[disk]
				return !responded
			})
			p.sendRound(t, &effects)
		}
	}
	return effects
}

// Peek returns what this proposer holds as chosen of a key. It may be outdated: only an operation
// proves that it is not.
func (p *Proposer) Peek(key ident.Key) (quorum.Record, bool) {
	t := p.terms[key]
	if t == nil || t.stage < established {
		return quorum.Record{}, false
	}
	return quorum.Record{Accepted: t.ballot, Revision: t.revision, Value: t.value}, true
}
