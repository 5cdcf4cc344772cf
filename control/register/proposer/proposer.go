// Package proposer is the single proposer of a key: it takes the key by a prepare at a
// majority and then needs one accept round a change.
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

// Owner runs all terms of one core process. Invariants: mark is unique to the
// process, so no ballot is ever used by two; turns begin at first, which is the process's
// own too, so no return to an earlier process's ask counts in a round of this one.
type Proposer struct {
	instance     string
	stateMachine StateMachine
	membership   quorum.Membership
	terms        map[ident.Key]*term
	active       map[ident.Key]*term
	nearReplicas []ident.Disk
	nearCount    int
	firstRound   uint64
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
func New(instance string, stateMachine StateMachine) *Proposer {
	firstRound := ident.FirstRequestNumber(instance)
	return &Proposer{instance: instance, stateMachine: stateMachine, firstRound: firstRound, round: firstRound, terms: map[ident.Key]*term{}, active: map[ident.Key]*term{}, patchCapable: map[ident.Disk]bool{}}
}

// SetPatchCapable says whether the process that has the disk knows patches.
func (p *Proposer) SetPatchCapable(disk ident.Disk, capable bool) { p.patchCapable[disk] = capable }

// SetMembership moves to a newer membership; every hold begins anew under it.
func (p *Proposer) SetMembership(now monotime.Time, membership quorum.Membership) (effects Effects) {
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

// Submit takes one operation.
func (p *Proposer) Submit(now monotime.Time, operation Operation) (effects Effects) {
	t := p.term(operation.Key)
	if len(t.waiting) >= maxQueue {
		effects.Outcomes = append(effects.Outcomes, Outcome{Operation: operation, Failure: failure.New(failure.Busy, "too many deeds wait for %s", operation.Key).WithRetryAfter(1)})
		return effects
	}
	t.waiting = append(t.waiting, operation)
	p.advance(now, t, &effects)
	return effects
}

// Prepare prepares a key ahead of need, as the named successor does.
func (p *Proposer) Prepare(now monotime.Time, key ident.Key) (effects Effects) {
	if t := p.term(key); t.stage == idle {
		p.prepare(now, t, &effects)
	}
	return effects
}

// Withdraw takes back the operations that match, of those that wait and were not begun: each
// ends as lost, without risk, and this proposer will not begin it.
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

// HeldKeys lists what is held.
func (p *Proposer) HeldKeys() []ident.Key {
	return slices.DeleteFunc(p.sortedKeys(p.terms), func(k ident.Key) bool { return p.terms[k].stage == idle })
}

// Release lets every key go that no round is out for, and says whether all went.
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

// SetNearReplicas names the disks whose processes are heard, this one's first, then the next nearCount of
// them, which are nearest. A round that only confirms asks no more of them than it needs,
// and the others when those do not answer soon; it is not sent at all to most disks.
func (p *Proposer) SetNearReplicas(disks []ident.Disk, nearCount int) {
	p.nearReplicas, p.nearCount = disks, min(nearCount, max(0, len(disks)-1))
}

// apply applies waiting operations and starts the round that makes their results sure.
func (p *Proposer) apply(now monotime.Time, t *term, effects *Effects) {
	count := min(len(t.waiting), maxBatch)
	value, revision := t.value, t.revision
	t.remembered, t.repairing = nil, false
	// What this round touches counts for the operations behind it in the same round already; if
	// the round is lost, so is the term with its memory.
	context := Context{Now: now, TermBegan: t.began, TermMemory: t.memory, Remember: func(instance string) { t.remembered, t.memory[instance] = append(t.remembered, instance), now }}
	for _, operation := range t.waiting[:count] {
		if operation.Deadline != 0 && now.After(operation.Deadline) {
			// Nobody waits for it any more: it is not begun, and this copy never will be.
			effects.Outcomes = append(effects.Outcomes, Outcome{Operation: operation, Abandoned: true})
			continue
		}
		context.Revision, context.Decoded = revision, t.decoded
		t.repairing = t.repairing || operation.Kind == Repair
		result := p.stateMachine.Apply(context, value, operation)
		if result.Changed {
			value = result.Value
			revision++
			t.decoded = nil
		}
		if result.Decoded != nil {
			t.decoded = result.Decoded
		}
		t.batch = append(t.batch, Outcome{Operation: operation, Body: result.Body, Failure: result.Failure, Changed: result.Changed, Revision: revision, Value: value})
	}
	t.waiting = slices.Clone(t.waiting[count:])
	if len(t.batch) == 0 {
		p.proceed(now, t, effects)
		return
	}
	if revision == t.revision {
		t.stage = confirming
		p.beginRound(now, t, quorum.Request{Kind: quorum.Confirm, Ballot: t.ballot, Revision: t.revision}, effects)
		return
	}
	t.stage, t.proposed = writing, quorum.Record{Revision: revision, Value: value}
	p.acceptRound(now, t, quorum.Record{Accepted: t.acceptedBallot, Revision: t.revision, Value: t.value}, revision, value, effects)
}

// Tick sends again what is out and gives up what is out too long.
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
			// Who is silent may have lost what went before, or know no patches: it gets the
			// whole value from now on, until it answers.
			maps.DeleteFunc(t.baseHolders, func(disk ident.Disk, _ bool) bool { _, ok := t.responses[disk]; return !ok })
			p.sendRound(t, &effects)
		}
	}
	return effects
}

// Peek gives what this proposer holds of a key as chosen; it proves nothing.
func (p *Proposer) Peek(key ident.Key) (quorum.Record, bool) {
	t := p.terms[key]
	if t == nil || t.stage < established {
		return quorum.Record{}, false
	}
	return quorum.Record{Accepted: t.ballot, Revision: t.revision, Value: t.value}, true
}
