// Package proposer implements the proposer of the replicated register, which runs Paxos with a
// stable leader for each key: a key is prepared at a majority once, and each change then needs one
// accept round. A read needs a confirming round, which shows that no later term was promised.
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
	// resendAfter is the time after which an unanswered request is sent again.
	resendAfter = 150 * time.Millisecond
	// askAllAfter is the time after which a confirming round that was sent to a subset of the
	// voters is sent to all of them.
	askAllAfter = 30 * time.Millisecond
	// roundTimeout is the time after which a term whose round has not ended is abandoned.
	roundTimeout = 1200 * time.Millisecond
	// maxQueue bounds the operations that wait for one key.
	maxQueue = 1024
	// maxBatch bounds the operations that share one round.
	maxBatch = 256
	// maxRejectedPrepares bounds the consecutive rejected prepares of a term that are retried; the
	// next rejection abandons the term.
	maxRejectedPrepares = 6
	// queueFullRetrySeconds is the retry delay for an operation rejected because the queue of its
	// key is full.
	queueFullRetrySeconds = 1
)

// Proposer runs all terms of one core process. Invariants: instance is unique to the process, so
// no two processes ever use the same ballot; rounds are numbered from firstRound on, which also
// differs between processes, so a response to an earlier process never counts in a round of this
// process.
type Proposer struct {
	instance     string
	stateMachine StateMachine
	membership   quorum.Membership
	terms        map[ident.Key]*term
	active       map[ident.Key]*term // terms with a round in flight or waiting operations
	nearReplicas []ident.Disk        // as set by SetNearReplicas
	nearCount    int                 // as set by SetNearReplicas
	firstRound   uint64
	round        uint64
	patchCapable map[ident.Disk]bool
	// LocalRecord, when set, returns the record of a key on the process's own disk. The record
	// need not be synced: only the value that belongs to a ballot and revision is taken from it.
	LocalRecord func(ident.Key) quorum.Record
	// Prepares, Rounds, Repaired, AbandonedTerms, PatchesSent and PatchesRejected are counters.
	// PatchesRejected counts patches whose base a disk did not have.
	Prepares, Rounds, Repaired, AbandonedTerms, PatchesSent, PatchesRejected uint64
}

// New returns a proposer. Its round numbers differ from those of every other run of the process: a
// response to an earlier run may still arrive at the same address and must not count in a round
// of this run.
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

// SetPatchCapable sets whether the process that serves the disk accepts patches.
func (p *Proposer) SetPatchCapable(disk ident.Disk, capable bool) { p.patchCapable[disk] = capable }

// SetMembership adopts a newer membership. Every term is abandoned, so that each key is prepared
// again under the new membership.
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

// sortedKeys returns the keys of terms in ascending order.
func sortedKeys(terms map[ident.Key]*term) []ident.Key {
	return ordered.Keys(terms)
}

// Submit queues one operation. Its Outcome is among the returned effects or those of a later call.
// The operation fails with failure.Busy if maxQueue operations already wait for its key.
func (p *Proposer) Submit(now monotime.Time, operation Operation) (effects Effects) {
	t := p.term(operation.Key)
	if len(t.waiting) >= maxQueue {
		busy := failure.New(failure.Busy, "too many operations wait for key %s", operation.Key)
		effects.Outcomes = append(effects.Outcomes, Outcome{Operation: operation, Failure: busy.WithRetryAfter(queueFullRetrySeconds)})
		return effects
	}
	t.waiting = append(t.waiting, operation)
	p.advance(now, t, &effects)
	return effects
}

// Prepare prepares a key ahead of its first operation, as the receiver of a handover does.
func (p *Proposer) Prepare(now monotime.Time, key ident.Key) (effects Effects) {
	if t := p.term(key); t.stage == idle {
		p.prepare(now, t, &effects)
	}
	return effects
}

// AbandonQueued removes the matching operations that wait and have not begun. Each of them ends as
// abandoned, and this proposer will not begin it.
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

// HeldKeys returns the keys whose term this proposer has established or is establishing.
func (p *Proposer) HeldKeys() []ident.Key {
	return slices.DeleteFunc(sortedKeys(p.terms), func(k ident.Key) bool { return p.terms[k].stage == idle })
}

// Release ends the term of every key that has no round in flight. done reports whether no term is
// left.
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

// SetNearReplicas sets the disks of the live voters: this process's own disk first, then nearCount
// disks in the same zone, then all others. A confirming round first asks only as many disks as a
// majority needs, preferring near ones, and asks all others if no majority responds within
// askAllAfter.
func (p *Proposer) SetNearReplicas(disks []ident.Disk, nearCount int) {
	p.nearReplicas, p.nearCount = disks, min(nearCount, max(0, len(disks)-1))
}

// Tick resends unanswered requests, begins rounds for waiting operations whose pause is over, and
// abandons the terms whose round exceeds roundTimeout.
func (p *Proposer) Tick(now monotime.Time) (effects Effects) {
	for _, key := range sortedKeys(p.active) {
		t := p.active[key]
		switch {
		case t.stage == idle || t.stage == established:
			p.advance(now, t, &effects)
		case now.Since(t.roundStartedAt) > roundTimeout:
			p.abandon(t, &effects)
		case t.sentToSubset && now.Since(t.lastSentAt) > askAllAfter:
			t.sentToSubset, t.lastSentAt = false, now
			p.sendRound(t, &effects)
		case now.Since(t.lastSentAt) > resendAfter:
			t.lastSentAt = now
			// A disk that did not respond may lack the base, or its process may not accept
			// patches: send it whole values until it responds.
			maps.DeleteFunc(t.baseHolders, func(disk ident.Disk, _ bool) bool {
				_, responded := t.responses[disk]
				return !responded
			})
			p.sendRound(t, &effects)
		}
	}
	return effects
}

// Peek returns the record of a key that this proposer knows to be chosen. The record may be
// outdated: only an operation proves that it is current.
func (p *Proposer) Peek(key ident.Key) (quorum.Record, bool) {
	t := p.terms[key]
	if t == nil || t.stage < established {
		return quorum.Record{}, false
	}
	return quorum.Record{Accepted: t.ballot, Revision: t.revision, Value: t.value}, true
}
