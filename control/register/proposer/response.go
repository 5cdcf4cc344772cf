package proposer

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// updateBaseHolder records from a response, also a late one, whether the responding disk holds
// this term's base. A disk that rejected a patch is sent the whole value at once, within the same
// round if a round is in flight.
func (p *Proposer) updateBaseHolder(t *term, response quorum.Response, effects *Effects) {
	voter, isVoter := p.membership.Find(response.Disk)
	if !isVoter || response.Round <= t.prepareRound || !p.sameMembership(t, response) || t.stage < reproposing {
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

// Step handles one response and returns the requests to send and the outcomes to report.
func (p *Proposer) Step(now monotime.Time, response quorum.Response) (effects Effects) {
	t := p.terms[response.Key]
	if t == nil {
		return effects
	}
	p.updateBaseHolder(t, response, &effects)
	switch {
	case response.Round != t.round || t.stage == idle:
	case t.stage == established:
		p.handleLateResponse(now, t, response, &effects)
	case !response.OK && t.ballot.Less(response.Record.Promised):
		p.handleSuperseded(now, t, response.Record.Promised, &effects)
	case response.OK && p.sameMembership(t, response) && p.membership.IsCounted(response.Disk):
		t.responses[response.Disk] = response
		if len(t.responses) >= p.membership.Majority() {
			onMajority[t.stage](p, now, t, &effects)
		}
	}
	return effects
}

// sameMembership reports whether a response, its term and this proposer have the same membership
// epoch.
func (p *Proposer) sameMembership(t *term, response quorum.Response) bool {
	return response.Membership == t.membership && t.membership == p.membership.Epoch
}

// handleLateResponse handles a response to a round that is over. A late response to a confirming
// round still repairs an outdated copy.
func (p *Proposer) handleLateResponse(now monotime.Time, t *term, response quorum.Response, effects *Effects) {
	voter, isVoter := p.membership.Find(response.Disk)
	if isVoter && response.OK && t.request.Kind == quorum.Confirm && p.sameMembership(t, response) {
		p.repair(t, voter, response, effects)
	}
	if t.repairing && !response.OK && t.ballot.Less(response.Record.Promised) {
		// A promise to a proposer that never held the key blocks the repair of that copy:
		// prepare again with a ballot above that promise.
		t.highestEpoch = max(t.highestEpoch, response.Record.Promised.Epoch)
		p.prepare(now, t, effects)
	}
}

// handleSuperseded ends a term that a disk rejected because it promised a higher ballot. A
// rejected prepare is retried with a ballot above that promise, after a pause that differs
// between proposers.
func (p *Proposer) handleSuperseded(now monotime.Time, t *term, promised ident.Ballot, effects *Effects) {
	t.highestEpoch = max(t.highestEpoch, promised.Epoch)
	if t.stage == preparing && t.rejectedPrepares < maxRejectedPrepares {
		t.rejectedPrepares++
		t.stage = idle
		t.pausedUntil = now.Add(time.Duration(t.rejectedPrepares*10+int((p.round-p.firstRound)*7%23)) * time.Millisecond)
		return
	}
	p.abandon(t, effects)
}

// onMajority maps each stage to the method that completes its round once a majority has
// responded.
var onMajority map[stage]func(*Proposer, monotime.Time, *term, *Effects)

func init() {
	onMajority = map[stage]func(*Proposer, monotime.Time, *term, *Effects){
		preparing:   (*Proposer).completePrepare,
		reproposing: (*Proposer).completeReproposal,
		writing:     (*Proposer).completeWrite,
		confirming:  (*Proposer).completeConfirm,
	}
}

// completePrepare picks the newest accepted state among the responses to a prepare and begins to
// repropose it.
func (p *Proposer) completePrepare(now monotime.Time, t *term, effects *Effects) {
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
		best.Value = t.localRecord.Value
	}
	t.localRecord = quorum.Record{}
	t.acceptedBallot, t.revision, t.value = best.Accepted, best.Revision, best.Value
	// The value found is proposed again under this ballot even when all responses agree:
	// otherwise a change that an older proposer left on a minority could replace the value
	// that this term has returned to clients. Only a key without any value needs no round.
	if agreed && t.revision == 0 {
		p.completeReproposal(now, t, effects)
		return
	}
	// A disk that already holds the newest accepted state gets an empty patch.
	for disk, response := range t.responses {
		t.baseHolders[disk] = response.Record.SameState(best)
	}
	t.acceptedBallot = t.ballot
	t.stage = reproposing
	p.acceptRound(now, t, best, t.revision, t.value, effects)
}

// completeReproposal establishes the term: the value that the prepare found is chosen under this
// ballot, and waiting operations are applied to it.
func (p *Proposer) completeReproposal(now monotime.Time, t *term, effects *Effects) {
	t.stage, t.establishedAt, t.rejectedPrepares = established, now, 0
	p.proceed(now, t, effects)
}

// completeWrite makes the proposed value, which a majority accepted, the current value of the
// term.
func (p *Proposer) completeWrite(now monotime.Time, t *term, effects *Effects) {
	t.acceptedBallot, t.revision, t.value = t.ballot, t.proposed.Revision, t.proposed.Value
	p.finish(now, t, effects)
}

// completeConfirm repairs the outdated copies that a confirming round found.
func (p *Proposer) completeConfirm(now monotime.Time, t *term, effects *Effects) {
	for _, voter := range p.membership.Voters {
		if response, ok := t.responses[voter.Disk]; ok {
			p.repair(t, voter, response, effects)
		}
	}
	p.finish(now, t, effects)
}

// repair sends the chosen record to a disk if its copy is older.
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
