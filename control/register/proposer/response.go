package proposer

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// noteBaseHolder learns from a response, also a late one, whether its disk holds this term's
// base. A disk that rejected a patch gets the whole value at once, within the same round if one
// is in flight.
func (p *Proposer) noteBaseHolder(t *term, response quorum.Response, effects *Effects) {
	voter, isVoter := p.membership.Find(response.Disk)
	if !isVoter || response.Round <= t.prepareRound || !p.current(t, response) || t.stage < reproposing {
		return
	}
	switch {
	case response.OK && response.Kind == quorum.PatchAccept,
		response.OK && response.Kind == quorum.Accept && response.Record.Accepted == t.ballot:
		t.baseHolders[response.Disk] = true
	case !response.OK && response.Kind == quorum.PatchAccept && t.baseHolders[response.Disk] && !t.ballot.Less(response.Record.Promised):
		delete(t.baseHolders, response.Disk)
		p.PatchesRejected++
		if t.stage == established || t.stage == confirming {
			p.repair(t, voter, response, effects)
			return
		}
		effects.Sends = append(effects.Sends, Send{voter, withoutPatch(t.request)})
	}
}

// Step handles one response.
func (p *Proposer) Step(now monotime.Time, response quorum.Response) (effects Effects) {
	t := p.terms[response.Key]
	if t == nil {
		return effects
	}
	p.noteBaseHolder(t, response, &effects)
	switch {
	case response.Round != t.round || t.stage == idle:
	case t.stage == established:
		p.stepLate(now, t, response, &effects)
	case !response.OK && t.ballot.Less(response.Record.Promised):
		p.stepSuperseded(now, t, response.Record.Promised, &effects)
	case response.OK && p.current(t, response) && p.membership.IsCounted(response.Disk):
		t.responses[response.Disk] = response
		if len(t.responses) >= p.membership.Majority() {
			roundEnds[t.stage](p, now, t, &effects)
		}
	}
	return effects
}

// current reports whether a response, its term and this proposer are of the same membership.
func (p *Proposer) current(t *term, response quorum.Response) bool {
	return response.Membership == t.membership && t.membership == p.membership.Epoch
}

// stepLate handles a response to a round that is over.
func (p *Proposer) stepLate(now monotime.Time, t *term, response quorum.Response, effects *Effects) {
	voter, isVoter := p.membership.Find(response.Disk)
	if isVoter && response.OK && t.request.Kind == quorum.Confirm && p.current(t, response) {
		p.repair(t, voter, response, effects)
	}
	if t.repairing && !response.OK && t.ballot.Less(response.Record.Promised) {
		// A promise to a proposer that never held the key keeps that copy from being
		// repaired: go above it.
		t.highestEpoch = max(t.highestEpoch, response.Record.Promised.Epoch)
		p.prepare(now, t, effects)
	}
}

// stepSuperseded ends a term that a disk rejected for a higher promise. A prepare is tried again
// above it, after a pause that differs between proposers.
func (p *Proposer) stepSuperseded(now monotime.Time, t *term, promised ident.Ballot, effects *Effects) {
	t.highestEpoch = max(t.highestEpoch, promised.Epoch)
	if t.stage == preparing && t.tries < maxPrepareTries {
		t.tries++
		t.stage = idle
		t.pausedUntil = now.Add(time.Duration(t.tries*10+int((p.round-p.firstRound)*7%23)) * time.Millisecond)
		return
	}
	p.abandon(t, effects)
}

// roundEnds ends the round of each stage once a majority has responded.
var roundEnds map[stage]func(*Proposer, monotime.Time, *term, *Effects)

func init() {
	roundEnds = map[stage]func(*Proposer, monotime.Time, *term, *Effects){
		preparing:   (*Proposer).prepared,
		reproposing: (*Proposer).reproposed,
		writing:     (*Proposer).written,
		confirming:  (*Proposer).confirmed,
	}
}

// prepared chooses the newest accepted state of the responses to a prepare.
func (p *Proposer) prepared(now monotime.Time, t *term, effects *Effects) {
	var best quorum.Record
	first, agreed := true, true
	for _, response := range t.responses {
		if !first && !response.Record.SameState(best) {
			agreed = false
		}
		if first || response.Record.NewerThan(best) {
			best = response.Record
		}
		first = false
	}
	if t.request.Held.Matches(best) {
		best.Value = t.local.Value
	}
	t.local = quorum.Record{}
	t.acceptedBallot, t.revision, t.value = best.Accepted, best.Revision, best.Value
	// The value found is accepted again under this ballot even when all responses agree:
	// otherwise a change that an older proposer left on a minority could replace what this
	// term answers. Only a key without any value needs no round.
	if agreed && t.revision == 0 {
		p.reproposed(now, t, effects)
		return
	}
	// A disk that holds that state already gets an empty patch.
	for disk, response := range t.responses {
		t.baseHolders[disk] = response.Record.SameState(best)
	}
	t.acceptedBallot = t.ballot
	t.stage = reproposing
	p.acceptRound(now, t, best, t.revision, t.value, effects)
}

// reproposed begins to serve the key: the value that was found is chosen under this ballot.
func (p *Proposer) reproposed(now monotime.Time, t *term, effects *Effects) {
	t.stage, t.began, t.tries = established, now, 0
	p.proceed(now, t, effects)
}

// written takes over the value that a majority accepted.
func (p *Proposer) written(now monotime.Time, t *term, effects *Effects) {
	t.acceptedBallot, t.revision, t.value = t.ballot, t.proposed.Revision, t.proposed.Value
	p.finish(now, t, effects)
}

// confirmed repairs the old copies that a confirming round found.
func (p *Proposer) confirmed(now monotime.Time, t *term, effects *Effects) {
	for _, voter := range p.membership.Voters {
		if response, ok := t.responses[voter.Disk]; ok {
			p.repair(t, voter, response, effects)
		}
	}
	p.finish(now, t, effects)
}

// repair sends the chosen record to a disk whose copy is older.
func (p *Proposer) repair(t *term, voter quorum.Voter, response quorum.Response, effects *Effects) {
	if chosen := (quorum.Record{Accepted: t.acceptedBallot, Revision: t.revision}); chosen.NewerThan(response.Record) {
		p.Repaired++
		effects.Sends = append(effects.Sends, Send{voter, quorum.Request{
			Kind:       quorum.Accept,
			Membership: t.membership,
			Key:        t.key,
			Ballot:     t.ballot,
			Revision:   t.revision,
			Value:      t.value,
		}})
	}
}
