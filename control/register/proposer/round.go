package proposer

import (
	"encoding/json"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

func (p *Proposer) beginRound(now monotime.Time, t *term, request quorum.Request, effects *Effects) {
	p.round++
	p.Rounds++
	request.Round, request.Membership, request.Key = p.round, t.membership, t.key
	t.round, t.request, t.responses = p.round, request, map[ident.Disk]quorum.Response{}
	t.roundBegan, t.lastSent = now, now
	t.fewAsked = request.Kind == quorum.Confirm && !t.repairing && len(p.nearReplicas) >= p.membership.Majority()
	p.sendRound(t, effects)
}

// acceptRound begins the round that writes a value; base is an accepted state that the disks in
// baseHolders hold.
func (p *Proposer) acceptRound(now monotime.Time, t *term, base quorum.Record, revision ident.Revision, value json.RawMessage, effects *Effects) {
	request := quorum.Request{Kind: quorum.Accept, Ballot: t.ballot, Revision: revision, Value: value}
	if slices.ContainsFunc(p.membership.Voters, func(v quorum.Voter) bool { return t.baseHolders[v.Disk] && p.patchCapable[v.Disk] }) {
		request.Patch = quorum.Diff(base, t.ballot, value)
	}
	p.beginRound(now, t, request, effects)
}

// firstAsked lists whom the confirming round of a number asks first. Those that are not near take turns, so that
// in time every copy is looked at.
func (p *Proposer) firstAsked(round uint64) []ident.Disk {
	need := p.membership.Majority()
	asked := slices.Clone(p.nearReplicas[:min(need, 1+p.nearCount)])
	rest := p.nearReplicas[1+p.nearCount:]
	for i := 0; len(asked) < need; i++ {
		asked = append(asked, rest[(int(round%uint64(len(rest)))+i)%len(rest)])
	}
	return asked
}

// sendRound sends the round to those who have not answered: the patch where the base is known,
// the whole value elsewhere.
func (p *Proposer) sendRound(t *term, effects *Effects) {
	var asked []ident.Disk
	if t.fewAsked {
		asked = p.firstAsked(t.round - p.firstRound)
	}
	for _, voter := range p.membership.Voters {
		if _, ok := t.responses[voter.Disk]; ok || t.fewAsked && !slices.Contains(asked, voter.Disk) {
			continue
		}
		request := withoutPatch(t.request)
		if t.request.Patch != nil && t.baseHolders[voter.Disk] && p.patchCapable[voter.Disk] {
			request.Kind, request.Value, request.Patch = quorum.PatchAccept, nil, t.request.Patch
			p.PatchesSent++
		}
		effects.Sends = append(effects.Sends, Send{voter, request})
	}
}

func withoutPatch(request quorum.Request) quorum.Request { request.Patch = nil; return request }

// noteBaseHolder notes from a response, also a late one, which disks hold this term's base; a disk
// that rejected a patch gets the whole value at once, within the same round if one is
// out.
func (p *Proposer) noteBaseHolder(t *term, response quorum.Response, effects *Effects) {
	voter, isVoter := p.membership.Find(response.Disk)
	if !isVoter || response.Round <= t.prepareRound || response.Membership != t.membership || t.membership != p.membership.Epoch || t.stage < reproposing {
		return
	}
	switch {
	case response.OK && (response.Kind == quorum.PatchAccept || response.Kind == quorum.Accept && response.Record.Accepted == t.ballot):
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

// Step takes one response in.
func (p *Proposer) Step(now monotime.Time, response quorum.Response) (effects Effects) {
	t := p.terms[response.Key]
	if t != nil {
		p.noteBaseHolder(t, response, &effects)
	}
	if t == nil || response.Round != t.round || t.stage == idle {
		return effects
	}
	if t.stage == established {
		// Late to a confirm that is over: good for read repair still.
		if voter, isVoter := p.membership.Find(response.Disk); isVoter && response.OK && t.request.Kind == quorum.Confirm && response.Membership == t.membership && t.membership == p.membership.Epoch {
			p.repair(t, voter, response, &effects)
		}
		if t.repairing && !response.OK && t.ballot.Less(response.Record.Promised) {
			// A stray promise keeps that copy from being repaired: go above it.
			t.highestEpoch = max(t.highestEpoch, response.Record.Promised.Epoch)
			p.prepare(now, t, &effects)
		}
		return effects
	}
	if t.ballot.Less(response.Record.Promised) && !response.OK {
		t.highestEpoch = max(t.highestEpoch, response.Record.Promised.Epoch)
		if t.stage == preparing && t.tries < maxPrepareTries {
			// Another term is above: come back higher, a little later.
			t.tries++
			t.stage = idle
			t.pausedUntil = now.Add(time.Duration(t.tries*10+int((p.round-p.firstRound)*7%23)) * time.Millisecond)
			return effects
		}
		p.abandon(t, &effects)
		return effects
	}
	if !response.OK || response.Membership != t.membership || !p.membership.Counts(response.Disk) || t.membership != p.membership.Epoch {
		return effects
	}
	t.responses[response.Disk] = response
	if len(t.responses) < p.membership.Majority() {
		return effects
	}
	roundEnds[t.stage](p, now, t, &effects)
	return effects
}

// roundEnds says how each round ends once a majority has answered.
var roundEnds map[stage]func(*Proposer, monotime.Time, *term, *Effects)

func init() {
	roundEnds = map[stage]func(*Proposer, monotime.Time, *term, *Effects){
		preparing: (*Proposer).prepared, reproposing: (*Proposer).reproposed, writing: (*Proposer).written, confirming: (*Proposer).confirmed,
	}
}

func (p *Proposer) prepared(now monotime.Time, t *term, effects *Effects) {
	var best quorum.Record
	first, agreed := true, true
	for _, response := range t.responses {
		if !first && !response.Record.Same(best) {
			agreed = false
		}
		if first || response.Record.Newer(best) {
			best = response.Record
		}
		first = false
	}
	if t.request.Held.Same(best) {
		best.Value = t.local.Value
	}
	t.local = quorum.Record{}
	t.acceptedBallot, t.revision, t.value = best.Accepted, best.Revision, best.Value
	// What was found is written again under this ballot even when all agree: else a
	// change that an older proposer left on a minority could come back over what this
	// term answers. Only a key that never was needs nothing.
	if agreed && t.revision == 0 {
		p.reproposed(now, t, effects)
		return
	}
	// Who was found to hold it already is only told to hold it under this ballot.
	for disk, response := range t.responses {
		t.baseHolders[disk] = response.Record.Same(best)
	}
	t.acceptedBallot = t.ballot
	t.stage = reproposing
	p.acceptRound(now, t, best, t.revision, t.value, effects)
}

func (p *Proposer) reproposed(now monotime.Time, t *term, effects *Effects) {
	t.stage, t.began, t.tries = established, now, 0
	p.proceed(now, t, effects)
}

func (p *Proposer) written(now monotime.Time, t *term, effects *Effects) {
	t.acceptedBallot, t.revision, t.value = t.ballot, t.proposed.Revision, t.proposed.Value
	p.finish(now, t, effects)
}

func (p *Proposer) confirmed(now monotime.Time, t *term, effects *Effects) {
	for _, voter := range p.membership.Voters {
		if response, ok := t.responses[voter.Disk]; ok {
			p.repair(t, voter, response, effects)
		}
	}
	p.finish(now, t, effects)
}

// repair sends a disk whose copy is old the chosen one.
func (p *Proposer) repair(t *term, voter quorum.Voter, response quorum.Response, effects *Effects) {
	if chosen := (quorum.Record{Accepted: t.acceptedBallot, Revision: t.revision}); chosen.Newer(response.Record) {
		p.Repaired++
		effects.Sends = append(effects.Sends, Send{voter, quorum.Request{Kind: quorum.Accept, Membership: t.membership, Key: t.key, Ballot: t.ballot, Revision: t.revision, Value: t.value}})
	}
}
