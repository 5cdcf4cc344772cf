package proposer

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

type stage int

const (
	idle stage = iota
	preparing
	reproposing
	established
	writing
	confirming
)

// term is this proposer's hold on one key. Invariants: at most one round is out;
// revision and value are chosen whenever stage is established or later; proposed is not, until its
// round ends.
type term struct {
	key            ident.Key
	stage          stage
	ballot         ident.Ballot
	membership     ident.Epoch
	round          uint64
	request        quorum.Request
	responses      map[ident.Disk]quorum.Response
	roundBegan     monotime.Time
	lastSent       monotime.Time
	began          monotime.Time
	pausedUntil    monotime.Time
	tries          int
	highestEpoch   ident.Epoch
	acceptedBallot ident.Ballot // under which revision and value were accepted
	revision       ident.Revision
	value          json.RawMessage
	decoded        any // of value, or of proposed while a round is out
	proposed       quorum.Record
	waiting        []Operation
	batch          []Outcome
	memory         map[string]monotime.Time
	remembered     []string
	// baseHolders lists the disks known, by a response in this term, to hold the base of what is
	// sent next, or to be about to: each was sent every round since. It is a guess that
	// only spares bytes: the acceptor looks for itself.
	baseHolders  map[ident.Disk]bool
	prepareRound uint64        // the round of this term's prepare
	local        quorum.Record // what Local gave then
	fewAsked     bool          // the round went to a few only, so far
	repairing    bool          // the last round was submitted so that copies are repaired
}

func (p *Proposer) term(key ident.Key) *term {
	t := p.terms[key]
	if t == nil {
		t = &term{key: key}
		p.terms[key] = t
	}
	return t
}

// advance moves a term on when no round is out.
func (p *Proposer) advance(now monotime.Time, t *term, effects *Effects) {
	if len(t.waiting) == 0 || p.membership.Epoch == 0 {
		if len(t.waiting) > 0 {
			p.active[t.key] = t
		}
		return
	}
	p.active[t.key] = t
	switch t.stage {
	case idle:
		if !t.pausedUntil.After(now) {
			p.prepare(now, t, effects)
		}
	case established:
		p.apply(now, t, effects)
	}
}

func (p *Proposer) prepare(now monotime.Time, t *term, effects *Effects) {
	t.highestEpoch++
	t.ballot = ident.Ballot{Epoch: t.highestEpoch, Proposer: p.instance}
	t.membership, t.stage = p.membership.Epoch, preparing
	t.memory, t.remembered, t.decoded, t.baseHolders = map[string]monotime.Time{}, nil, nil, map[ident.Disk]bool{}
	p.active[t.key] = t
	p.Prepares++
	request := quorum.Request{Kind: quorum.Prepare, Ballot: t.ballot}
	if p.Local != nil {
		t.local = p.Local(t.key)
		request.Held = &quorum.HeldState{Accepted: t.local.Accepted, Revision: t.local.Revision}
	}
	p.beginRound(now, t, request, effects)
	t.prepareRound = t.round
}

// abandon ends a term; whatever was out is answered as abandoned.
func (p *Proposer) abandon(t *term, effects *Effects) {
	for _, outcome := range t.batch {
		effects.Outcomes = append(effects.Outcomes, Outcome{Operation: outcome.Operation, Abandoned: true, MayHaveTakenEffect: outcome.Changed})
	}
	for _, operation := range t.waiting {
		effects.Outcomes = append(effects.Outcomes, Outcome{Operation: operation, Abandoned: true})
	}
	if t.stage != idle {
		p.AbandonedTerms++
	}
	t.batch, t.waiting, t.stage, t.tries, t.value, t.decoded = nil, nil, idle, 0, nil, nil
	delete(p.active, t.key)
}

func (p *Proposer) finish(now monotime.Time, t *term, effects *Effects) {
	for _, instance := range t.remembered {
		t.memory[instance] = now
	}
	for i := range t.batch {
		t.batch[i].Ballot = t.ballot
	}
	effects.Outcomes = append(effects.Outcomes, t.batch...)
	t.batch, t.stage = nil, established
	p.proceed(now, t, effects)
}

func (p *Proposer) proceed(now monotime.Time, t *term, effects *Effects) {
	delete(p.active, t.key)
	p.advance(now, t, effects)
}
