package proposer

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// stage is the phase of a term.
type stage int

const (
	idle        stage = iota // the key is not held
	preparing                // the prepare round is in flight
	reproposing              // the value that the prepare found is proposed again under this ballot
	established              // the key is held and no round is in flight
	writing                  // an accept round is in flight
	confirming               // a round that checks for higher promises is in flight; it writes nothing
)

// term is the state of this proposer's leadership of one key. Invariants: at most one round is in
// flight; revision and value are chosen from stage established on; proposed is not chosen until
// its round ends.
type term struct {
	key              ident.Key
	stage            stage
	ballot           ident.Ballot
	membership       ident.MembershipEpoch
	round            uint64
	request          quorum.Request
	responses        map[ident.Disk]quorum.Response
	roundStartedAt   monotime.Time
	lastSentAt       monotime.Time     // when the requests of the round were last sent
	establishedAt    monotime.Time     // when the term became established
	pausedUntil      monotime.Time     // no prepare before this time, after a rejected prepare
	rejectedPrepares int               // number of consecutive rejected prepares
	highestEpoch     ident.BallotEpoch // highest epoch of all ballots seen for the key
	acceptedBallot   ident.Ballot      // ballot under which revision and value were accepted
	revision         ident.Revision
	value            json.RawMessage
	decoded          any // decoded form of value, or of proposed while a round is in flight
	proposed         quorum.Record
	waiting          []Operation
	batch            []Outcome // outcomes of the operations in the round in flight
	eventTimes       map[string]monotime.Time
	roundEvents      []string // keys of eventTimes that the round in flight has set
	// baseHolders are the disks that probably hold the base of the next patch: each
	// responded in this term that it holds the base, or was sent every round since. The set only
	// serves to send fewer bytes: the acceptor checks the base itself.
	baseHolders  map[ident.Disk]bool
	prepareRound uint64        // round number of this term's prepare
	localRecord  quorum.Record // what LocalRecord returned at the prepare
	sentToSubset bool          // the round has only been sent to confirmTargets so far
	repairing    bool          // the last batch contains a Repair operation
}

// term returns the term of a key and creates an idle one if there is none.
func (p *Proposer) term(key ident.Key) *term {
	t := p.terms[key]
	if t == nil {
		t = &term{key: key}
		p.terms[key] = t
	}
	return t
}

// advance begins the next round of a term if operations wait and no round is in flight: a prepare
// when the key is not held, else the round for the waiting operations.
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

// prepare begins a new term of a key with a ballot above every ballot seen for the key.
func (p *Proposer) prepare(now monotime.Time, t *term, effects *Effects) {
	t.highestEpoch++
	t.ballot = ident.Ballot{Epoch: t.highestEpoch, Proposer: p.instance}
	t.membership, t.stage = p.membership.Epoch, preparing
	t.eventTimes, t.roundEvents, t.decoded, t.baseHolders = map[string]monotime.Time{}, nil, nil, map[ident.Disk]bool{}
	p.active[t.key] = t
	p.Prepares++
	request := quorum.Request{Kind: quorum.Prepare, Ballot: t.ballot}
	if p.LocalRecord != nil {
		t.localRecord = p.LocalRecord(t.key)
		request.Held = &quorum.HeldState{Accepted: t.localRecord.Accepted, Revision: t.localRecord.Revision}
	}
	p.beginRound(now, t, request, effects)
	t.prepareRound = t.round
}

// abandon ends a term and reports all its operations as abandoned.
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
	t.batch, t.waiting, t.stage, t.rejectedPrepares, t.value, t.decoded = nil, nil, idle, 0, nil, nil
	delete(p.active, t.key)
}

// finish ends the round in flight and reports the outcomes of its batch.
func (p *Proposer) finish(now monotime.Time, t *term, effects *Effects) {
	for _, event := range t.roundEvents {
		t.eventTimes[event] = now
	}
	for i := range t.batch {
		t.batch[i].Ballot = t.ballot
	}
	effects.Outcomes = append(effects.Outcomes, t.batch...)
	t.batch, t.stage = nil, established
	p.proceed(now, t, effects)
}

// proceed begins the next round if operations wait, else removes the term from the active ones.
func (p *Proposer) proceed(now monotime.Time, t *term, effects *Effects) {
	delete(p.active, t.key)
	p.advance(now, t, effects)
}
