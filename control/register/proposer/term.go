package proposer

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// stage is how far a term has come.
type stage int

const (
	idle        stage = iota // the key is not held
	preparing                // the prepare round is in flight
	reproposing              // the value that was found is accepted again under this ballot
	established              // the key is held and no round is in flight
	writing                  // an accept round is in flight
	confirming               // a round that only confirms is in flight
)

// term is this proposer's hold on one key. Invariants: at most one round is in flight; revision and
// value are chosen from stage established on; proposed is not chosen until its round ends.
type term struct {
	key            ident.Key
	stage          stage
	ballot         ident.Ballot
	membership     ident.MembershipEpoch
	round          uint64
	request        quorum.Request
	responses      map[ident.Disk]quorum.Response
	roundBegan     monotime.Time
	lastSent       monotime.Time     // when the round was sent last
	began          monotime.Time     // when the term became established
	pausedUntil    monotime.Time     // no prepare before, after one that was rejected
	tries          int               // prepares in a row that were rejected
	highestEpoch   ident.BallotEpoch // of all ballots that were seen
	acceptedBallot ident.Ballot      // under which revision and value were accepted
	revision       ident.Revision
	value          json.RawMessage
	decoded        any // of value, or of proposed while a round is in flight
	proposed       quorum.Record
	waiting        []Operation
	batch          []Outcome // of the round in flight
	memory         map[string]monotime.Time
	remembered     []string // keys of memory that the round in flight has set
	// baseHolders are the disks that responded in this term to hold the base of what is sent
	// next, or were sent every round since. It is a guess that only saves bytes: the acceptor
	// checks the base itself.
	baseHolders  map[ident.Disk]bool
	prepareRound uint64        // of this term's prepare
	local        quorum.Record // what Local gave then
	fewAsked     bool          // the round has been sent to firstAsked only, so far
	repairing    bool          // a Repair operation is in the last round
}

// term returns the term of a key, and makes it when it is new.
func (p *Proposer) term(key ident.Key) *term {
	t := p.terms[key]
	if t == nil {
		t = &term{key: key}
		p.terms[key] = t
	}
	return t
}

// advance begins what comes next for a term whose operations wait, when no round is in flight.
func (p *Proposer) advance(now monotime.Time, t *term, effects *Effects) {
	if len(t.waiting) == 0 {
		return
	}
	p.active[t.key] = t
	if p.membership.Epoch == 0 {
		return
	}
	switch t.stage {
	case idle:
		if !t.pausedUntil.After(now) {
			p.prepare(now, t, effects)
		}
	case established:
		p.apply(now, t, effects)
	}
}

// prepare begins a new term of a key, above every ballot that was seen.
func (p *Proposer) prepare(now monotime.Time, t *term, effects *Effects) {
	t.highestEpoch++
	t.ballot = ident.Ballot{Epoch: t.highestEpoch, Proposer: p.instance}
	t.membership, t.stage = p.membership.Epoch, preparing
	t.memory, t.remembered, t.decoded, t.baseHolders = map[string]monotime.Time{}, nil, nil, map[ident.Disk]bool{}
	p.active[t.key] = t
	p.Prepares++
	request := quorum.Request{Kind: quorum.Prepare, Ballot: t.ballot}
	if p.LocalRecord != nil {
		t.local = p.LocalRecord(t.key)
		request.Held = &quorum.HeldState{Accepted: t.local.Accepted, Revision: t.local.Revision}
	}
	p.beginRound(now, t, request, effects)
	t.prepareRound = t.round
}

// abandon ends a term; its operations end as abandoned.
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

// finish ends the round in flight: its operations have their outcomes.
func (p *Proposer) finish(now monotime.Time, t *term, effects *Effects) {
	for _, event := range t.remembered {
		t.memory[event] = now
	}
	for i := range t.batch {
		t.batch[i].Ballot = t.ballot
	}
	effects.Outcomes = append(effects.Outcomes, t.batch...)
	t.batch, t.stage = nil, established
	p.proceed(now, t, effects)
}

// proceed begins the next round if operations wait, else the term is no longer active.
func (p *Proposer) proceed(now monotime.Time, t *term, effects *Effects) {
	delete(p.active, t.key)
	p.advance(now, t, effects)
}
