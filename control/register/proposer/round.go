package proposer

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// beginRound assigns the next round number to a request and sends the request. Responses to
// earlier rounds no longer count.
func (p *Proposer) beginRound(now monotime.Time, t *term, request quorum.Request, effects *Effects) {
	p.round++
	p.Rounds++
	request.Round, request.Membership, request.Key = p.round, t.membership, t.key
	t.round, t.request, t.responses = p.round, request, map[ident.Disk]quorum.Response{}
	t.roundStartedAt, t.lastSentAt = now, now
	t.sentToSubset = request.Kind == quorum.Confirm && !t.repairing && len(p.nearReplicas) >= p.membership.Majority()
	p.sendRound(t, effects)
}

// acceptRound begins the round that writes a value. base is the accepted state that the disks in
// baseHolders hold.
func (p *Proposer) acceptRound(
	now monotime.Time, t *term, base quorum.Record, revision ident.Revision, value json.RawMessage, effects *Effects,
) {
	request := quorum.Request{Kind: quorum.Accept, Ballot: t.ballot, Revision: revision, Value: value}
	if slices.ContainsFunc(p.membership.Voters, func(v quorum.Voter) bool { return p.canSendPatch(t, v.Disk) }) {
		request.Patch = quorum.Diff(base, t.ballot, value)
	}
	p.beginRound(now, t, request, effects)
}

// confirmTargets returns the disks that a confirming round asks first: the near ones, and as many
// of the others as a majority needs. The others rotate with the round number, so that every copy
// is checked over time.
func (p *Proposer) confirmTargets(round uint64) []ident.Disk {
	need := p.membership.Majority()
	asked := slices.Clone(p.nearReplicas[:min(need, 1+p.nearCount)])
	rest := p.nearReplicas[1+p.nearCount:]
	for i := 0; len(asked) < need; i++ {
		asked = append(asked, rest[(int(round%uint64(len(rest)))+i)%len(rest)])
	}
	return asked
}

// sendRound sends the round's request to the voters that have not responded: with the patch to
// disks that hold its base, with the whole value to all others. While sentToSubset is set, the
// request goes to confirmTargets only.
func (p *Proposer) sendRound(t *term, effects *Effects) {
	var asked []ident.Disk
	if t.sentToSubset {
		asked = p.confirmTargets(t.round - p.firstRound)
	}
	for _, voter := range p.membership.Voters {
		if _, ok := t.responses[voter.Disk]; ok || t.sentToSubset && !slices.Contains(asked, voter.Disk) {
			continue
		}
		request := withoutPatch(t.request)
		if t.request.Patch != nil && p.canSendPatch(t, voter.Disk) {
			request.Kind, request.Value, request.Patch = quorum.PatchAccept, nil, t.request.Patch
			p.PatchesSent++
		}
		effects.Sends = append(effects.Sends, Send{voter, request})
	}
}

// canSendPatch reports whether a disk probably holds the base of a patch and the process that
// serves the disk accepts patches.
func (p *Proposer) canSendPatch(t *term, disk ident.Disk) bool {
	return t.baseHolders[disk] && p.patchCapable[disk]
}

// withoutPatch returns the request without its patch.
func withoutPatch(request quorum.Request) quorum.Request { request.Patch = nil; return request }
