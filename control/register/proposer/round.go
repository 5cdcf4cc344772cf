package proposer

import (
	"encoding/json"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

func (p *Proposer) beginRound(now monotime.Time, t *term, a quorum.Request, fx *Effects) {
	p.round++
	p.Rounds++
	a.Round, a.Membership, a.Key = p.round, t.membership, t.key
	t.round, t.request, t.responses = p.round, a, map[ident.Disk]quorum.Response{}
	t.roundBegan, t.lastSent = now, now
	t.fewAsked = a.Kind == quorum.Confirm && !t.repairing && len(p.nearReplicas) >= p.membership.Majority()
	p.sendRound(t, fx)
}

// accept begins the round that writes a value; base is an accepted state that the disks in
// baseHolders hold.
func (p *Proposer) accept(now monotime.Time, t *term, base quorum.Record, revision ident.Revision, value json.RawMessage, fx *Effects) {
	a := quorum.Request{Kind: quorum.Accept, Ballot: t.ballot, Revision: revision, Value: value}
	if slices.ContainsFunc(p.membership.Voters, func(v quorum.Voter) bool { return t.baseHolders[v.Disk] && p.patchCapable[v.Disk] }) {
		a.Patch = quorum.Diff(base, t.ballot, value)
	}
	p.beginRound(now, t, a, fx)
}

// firstAsked lists whom the confirming round of a number asks first. Those that are not near take turns, so that
// in time every copy is looked at.
func (p *Proposer) firstAsked(round uint64) []ident.Disk {
	need := p.membership.Majority()
	out := slices.Clone(p.nearReplicas[:min(need, 1+p.nearCount)])
	rest := p.nearReplicas[1+p.nearCount:]
	for i := 0; len(out) < need; i++ {
		out = append(out, rest[(int(round%uint64(len(rest)))+i)%len(rest)])
	}
	return out
}

// sendRound sends the round to those who have not answered: the patch where the base is known,
// the whole value elsewhere.
func (p *Proposer) sendRound(t *term, fx *Effects) {
	var first []ident.Disk
	if t.fewAsked {
		first = p.firstAsked(t.round - p.first)
	}
	for _, v := range p.membership.Voters {
		if _, ok := t.responses[v.Disk]; ok || t.fewAsked && !slices.Contains(first, v.Disk) {
			continue
		}
		a := whole(t.request)
		if t.request.Patch != nil && t.baseHolders[v.Disk] && p.patchCapable[v.Disk] {
			a.Kind, a.Value, a.Patch = quorum.PatchAccept, nil, t.request.Patch
			p.PatchesSent++
		}
		fx.Sends = append(fx.Sends, Send{v, a})
	}
}

func whole(a quorum.Request) quorum.Request { a.Patch = nil; return a }

// learnBase notes from a response, also a late one, which disks hold this term's base; a disk
// that rejected a patch gets the whole value at once, within the same round if one is
// out.
func (p *Proposer) learnBase(t *term, r quorum.Response, fx *Effects) {
	v, in := p.membership.Find(r.Disk)
	if !in || r.Round <= t.prepareRound || r.Membership != t.membership || t.membership != p.membership.Epoch || t.stage < settling {
		return
	}
	switch {
	case r.OK && (r.Kind == quorum.PatchAccept || r.Kind == quorum.Accept && r.Record.Accepted == t.ballot):
		t.baseHolders[r.Disk] = true
	case !r.OK && r.Kind == quorum.PatchAccept && t.baseHolders[r.Disk] && !t.ballot.Less(r.Record.Promised):
		delete(t.baseHolders, r.Disk)
		p.PatchesRejected++
		if t.stage == established || t.stage == confirming {
			p.repair(t, v, r, fx)
			return
		}
		fx.Sends = append(fx.Sends, Send{v, whole(t.request)})
	}
}

// Step takes one response in.
func (p *Proposer) Step(now monotime.Time, r quorum.Response) (fx Effects) {
	t := p.terms[r.Key]
	if t != nil {
		p.learnBase(t, r, &fx)
	}
	if t == nil || r.Round != t.round || t.stage == idle {
		return fx
	}
	if t.stage == established {
		// Late to a confirm that is over: good for read repair still.
		if v, in := p.membership.Find(r.Disk); in && r.OK && t.request.Kind == quorum.Confirm && r.Membership == t.membership && t.membership == p.membership.Epoch {
			p.repair(t, v, r, &fx)
		}
		if t.repairing && !r.OK && t.ballot.Less(r.Record.Promised) {
			// A stray promise keeps that copy from being repaired: go above it.
			t.highestEpoch = max(t.highestEpoch, r.Record.Promised.Epoch)
			p.prepare(now, t, &fx)
		}
		return fx
	}
	if t.ballot.Less(r.Record.Promised) && !r.OK {
		t.highestEpoch = max(t.highestEpoch, r.Record.Promised.Epoch)
		if t.stage == preparing && t.tries < maxTries {
			// Another term is above: come back higher, a little later.
			t.tries++
			t.stage = idle
			t.pausedUntil = now.Add(time.Duration(t.tries*10+int((p.round-p.first)*7%23)) * time.Millisecond)
			return fx
		}
		p.abandon(t, &fx)
		return fx
	}
	if !r.OK || r.Membership != t.membership || !p.membership.Counts(r.Disk) || t.membership != p.membership.Epoch {
		return fx
	}
	t.responses[r.Disk] = r
	if len(t.responses) < p.membership.Majority() {
		return fx
	}
	roundEnds[t.stage](p, now, t, &fx)
	return fx
}

// roundEnds says how each round ends once a majority has answered.
var roundEnds map[stage]func(*Proposer, monotime.Time, *term, *Effects)

func init() {
	roundEnds = map[stage]func(*Proposer, monotime.Time, *term, *Effects){
		preparing: (*Proposer).prepared, settling: (*Proposer).settled, writing: (*Proposer).written, confirming: (*Proposer).confirmed,
	}
}

func (p *Proposer) prepared(now monotime.Time, t *term, fx *Effects) {
	var best quorum.Record
	first, agreed := true, true
	for _, r := range t.responses {
		if !first && !r.Record.Same(best) {
			agreed = false
		}
		if first || r.Record.Newer(best) {
			best = r.Record
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
		p.settled(now, t, fx)
		return
	}
	// Who was found to hold it already is only told to hold it under this ballot.
	for d, r := range t.responses {
		t.baseHolders[d] = r.Record.Same(best)
	}
	t.acceptedBallot = t.ballot
	t.stage = settling
	p.accept(now, t, best, t.revision, t.value, fx)
}

func (p *Proposer) settled(now monotime.Time, t *term, fx *Effects) {
	t.stage, t.began, t.tries = established, now, 0
	p.proceed(now, t, fx)
}

func (p *Proposer) written(now monotime.Time, t *term, fx *Effects) {
	t.acceptedBallot, t.revision, t.value = t.ballot, t.proposed.Revision, t.proposed.Value
	p.finish(now, t, fx)
}

func (p *Proposer) confirmed(now monotime.Time, t *term, fx *Effects) {
	for _, v := range p.membership.Voters {
		if r, ok := t.responses[v.Disk]; ok {
			p.repair(t, v, r, fx)
		}
	}
	p.finish(now, t, fx)
}

// repair sends a disk whose copy is old the chosen one.
func (p *Proposer) repair(t *term, v quorum.Voter, r quorum.Response, fx *Effects) {
	if chosen := (quorum.Record{Accepted: t.acceptedBallot, Revision: t.revision}); chosen.Newer(r.Record) {
		p.Repaired++
		fx.Sends = append(fx.Sends, Send{v, quorum.Request{Kind: quorum.Accept, Membership: t.membership, Key: t.key, Ballot: t.ballot, Revision: t.revision, Value: t.value}})
	}
}
