// Package proposer is the single proposer of a key: it takes the key by a prepare at a
// majority and then needs one accept round a change.
package proposer

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	resendAfter = 150 * time.Millisecond
	// askAllAfter is how long a round waits for the few that it asked before it asks all.
	askAllAfter  = 30 * time.Millisecond
	roundTimeout = 1200 * time.Millisecond
	maxQueue     = 1024
	maxBatch     = 256
	maxTries     = 6
)

// Repair is the kind of an operation that changes nothing and is submitted so that copies are
// repaired.
const Repair = "mend"

// Operation is one operation on one key. Invariant: Ticket is the process's own and never
// leaves it, and so is Deadline, after which the operation is no more begun (never, if zero); Op
// is the same for every copy of the operation.
type Operation struct {
	Ticket   uint64          `json:"-"`
	Deadline monotime.Time   `json:"-"`
	Op       ident.Op        `json:"op"`
	Key      ident.Key       `json:"key"`
	Kind     string          `json:"kind"`
	Args     json.RawMessage `json:"args,omitempty"`
	// Repeatable says that a second copy may act again as far as its client is concerned, so
	// nothing need be remembered of it: the page of a much used key stays small.
	Repeatable bool `json:"loose,omitempty"`
}

// Context is what a state machine may know beyond the value.
type Context struct {
	Now        monotime.Time
	TermBegan  monotime.Time            // when this term began
	Revision   ident.Revision           // of the value given
	TermMemory map[string]monotime.Time // of this term only
	Remember   func(instance string)    // set TermMemory[mark] when the round is over
	// Decoded is what the machine made, in this term, of the very value given: its decoded
	// form. It is nil in a new term; a machine that finds nil decodes the value and must
	// take what it has not seen in this term for young.
	Decoded any
}

// Result is what a state machine makes of an operation.
type Result struct {
	Value   json.RawMessage
	Changed bool
	Body    json.RawMessage
	Failure *failure.Error
	Decoded any // for the next Context, when it is not nil
}

// StateMachine turns a value and an operation into a new value. Invariant: it depends on its
// inputs alone.
type StateMachine interface {
	Apply(context Context, value json.RawMessage, operation Operation) Result
}

// Outcome is the end of one operation at this proposer. Invariant: Abandoned means that this
// proposer can say no more; with MayHaveTakenEffect the operation may have taken effect, or may yet.
type Outcome struct {
	Operation          Operation
	Body               json.RawMessage
	Failure            *failure.Error
	Revision           ident.Revision
	Changed            bool
	Value              json.RawMessage
	Abandoned          bool
	MayHaveTakenEffect bool
	Ballot             ident.Ballot
}

// Send is a Request for one voter.
type Send struct {
	To      quorum.Voter
	Request quorum.Request
}

// Effects is what a step wants done.
type Effects struct {
	Sends    []Send
	Outcomes []Outcome
}

type stage int

const (
	idle stage = iota
	preparing
	settling
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

// Owner runs all terms of one core process. Invariants: mark is unique to the
// process, so no ballot is ever used by two; turns begin at first, which is the process's
// own too, so no return to an earlier process's ask counts in a round of this one.
type Proposer struct {
	instance     string
	machine      StateMachine
	membership   quorum.Membership
	terms        map[ident.Key]*term
	active       map[ident.Key]*term
	nearReplicas []ident.Disk
	nearCount    int
	first        uint64
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
func New(instance string, machine StateMachine) *Proposer {
	first := ident.FirstNumber(instance)
	return &Proposer{instance: instance, machine: machine, first: first, round: first, terms: map[ident.Key]*term{}, active: map[ident.Key]*term{}, patchCapable: map[ident.Disk]bool{}}
}

// SetPatchCapable says whether the process that has the disk knows patches.
func (p *Proposer) SetPatchCapable(disk ident.Disk, patches bool) { p.patchCapable[disk] = patches }

// SetMembership moves to a newer membership; every hold begins anew under it.
func (p *Proposer) SetMembership(now monotime.Time, r quorum.Membership) (fx Effects) {
	if r.Epoch <= p.membership.Epoch {
		return fx
	}
	p.membership = r
	for _, key := range p.sortedKeys(p.terms) {
		p.abandon(p.terms[key], &fx)
	}
	return fx
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
func (p *Proposer) Submit(now monotime.Time, d Operation) (fx Effects) {
	t := p.term(d.Key)
	if len(t.waiting) >= maxQueue {
		fx.Outcomes = append(fx.Outcomes, Outcome{Operation: d, Failure: failure.New(failure.Busy, "too many deeds wait for %s", d.Key).Later(1)})
		return fx
	}
	t.waiting = append(t.waiting, d)
	p.advance(now, t, &fx)
	return fx
}

// Prepare prepares a key ahead of need, as the named successor does.
func (p *Proposer) Prepare(now monotime.Time, key ident.Key) (fx Effects) {
	if t := p.term(key); t.stage == idle {
		p.prepare(now, t, &fx)
	}
	return fx
}

// Withdraw takes back the operations that match, of those that wait and were not begun: each
// ends as lost, without risk, and this proposer will not begin it.
func (p *Proposer) Withdraw(match func(Operation) bool) (fx Effects) {
	for _, key := range p.sortedKeys(p.active) {
		t := p.active[key]
		t.waiting = slices.DeleteFunc(slices.Clone(t.waiting), func(d Operation) bool {
			if !match(d) {
				return false
			}
			fx.Outcomes = append(fx.Outcomes, Outcome{Operation: d, Abandoned: true})
			return true
		})
	}
	return fx
}

// Keys lists what is held.
func (p *Proposer) Keys() []ident.Key {
	return slices.DeleteFunc(p.sortedKeys(p.terms), func(k ident.Key) bool { return p.terms[k].stage == idle })
}

// Release lets every key go that no round is out for, and says whether all went.
func (p *Proposer) Release() (done bool, fx Effects) {
	done = true
	for _, key := range p.sortedKeys(p.terms) {
		t := p.terms[key]
		if t.stage == established && len(t.waiting) == 0 || t.stage == idle {
			p.abandon(t, &fx)
			continue
		}
		done = false
	}
	return done, fx
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
func (p *Proposer) advance(now monotime.Time, t *term, fx *Effects) {
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
			p.prepare(now, t, fx)
		}
	case established:
		p.apply(now, t, fx)
	}
}

func (p *Proposer) prepare(now monotime.Time, t *term, fx *Effects) {
	t.highestEpoch++
	t.ballot = ident.Ballot{Epoch: t.highestEpoch, Owner: p.instance}
	t.membership, t.stage = p.membership.Epoch, preparing
	t.memory, t.remembered, t.decoded, t.baseHolders = map[string]monotime.Time{}, nil, nil, map[ident.Disk]bool{}
	p.active[t.key] = t
	p.Prepares++
	a := quorum.Request{Kind: quorum.Prepare, Ballot: t.ballot}
	if p.Local != nil {
		t.local = p.Local(t.key)
		a.Held = &quorum.Held{Accepted: t.local.Accepted, Revision: t.local.Revision}
	}
	p.beginRound(now, t, a, fx)
	t.prepareRound = t.round
}

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

// SetNear names the disks whose processes are heard, this one's first, then the next nearCount of
// them, which are nearest. A round that only confirms asks no more of them than it needs,
// and the others when those do not answer soon; it is not sent at all to most disks.
func (p *Proposer) SetNear(disks []ident.Disk, nearCount int) {
	p.nearReplicas, p.nearCount = disks, min(nearCount, max(0, len(disks)-1))
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

// apply applies waiting operations and starts the round that makes their results sure.
func (p *Proposer) apply(now monotime.Time, t *term, fx *Effects) {
	n := min(len(t.waiting), maxBatch)
	value, revision := t.value, t.revision
	t.remembered, t.repairing = nil, false
	// What this round touches counts for the operations behind it in the same round already; if
	// the round is lost, so is the term with its memory.
	context := Context{Now: now, TermBegan: t.began, TermMemory: t.memory, Remember: func(m string) { t.remembered, t.memory[m] = append(t.remembered, m), now }}
	for _, d := range t.waiting[:n] {
		if d.Deadline != 0 && now.After(d.Deadline) {
			// Nobody waits for it any more: it is not begun, and this copy never will be.
			fx.Outcomes = append(fx.Outcomes, Outcome{Operation: d, Abandoned: true})
			continue
		}
		context.Revision, context.Decoded = revision, t.decoded
		t.repairing = t.repairing || d.Kind == Repair
		v := p.machine.Apply(context, value, d)
		if v.Changed {
			value = v.Value
			revision++
			t.decoded = nil
		}
		if v.Decoded != nil {
			t.decoded = v.Decoded
		}
		t.batch = append(t.batch, Outcome{Operation: d, Body: v.Body, Failure: v.Failure, Changed: v.Changed, Revision: revision, Value: value})
	}
	t.waiting = slices.Clone(t.waiting[n:])
	if len(t.batch) == 0 {
		p.proceed(now, t, fx)
		return
	}
	if revision == t.revision {
		t.stage = confirming
		p.beginRound(now, t, quorum.Request{Kind: quorum.Confirm, Ballot: t.ballot, Revision: t.revision}, fx)
		return
	}
	t.stage, t.proposed = writing, quorum.Record{Revision: revision, Value: value}
	p.accept(now, t, quorum.Record{Accepted: t.acceptedBallot, Revision: t.revision, Value: t.value}, revision, value, fx)
}

// abandon ends a term; whatever was out is answered as abandoned.
func (p *Proposer) abandon(t *term, fx *Effects) {
	for _, out := range t.batch {
		fx.Outcomes = append(fx.Outcomes, Outcome{Operation: out.Operation, Abandoned: true, MayHaveTakenEffect: out.Changed})
	}
	for _, d := range t.waiting {
		fx.Outcomes = append(fx.Outcomes, Outcome{Operation: d, Abandoned: true})
	}
	if t.stage != idle {
		p.AbandonedTerms++
	}
	t.batch, t.waiting, t.stage, t.tries, t.value, t.decoded = nil, nil, idle, 0, nil, nil
	delete(p.active, t.key)
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

func (p *Proposer) finish(now monotime.Time, t *term, fx *Effects) {
	for _, m := range t.remembered {
		t.memory[m] = now
	}
	for i := range t.batch {
		t.batch[i].Ballot = t.ballot
	}
	fx.Outcomes = append(fx.Outcomes, t.batch...)
	t.batch, t.stage = nil, established
	p.proceed(now, t, fx)
}

func (p *Proposer) proceed(now monotime.Time, t *term, fx *Effects) {
	delete(p.active, t.key)
	p.advance(now, t, fx)
}

// Tick sends again what is out and gives up what is out too long.
func (p *Proposer) Tick(now monotime.Time) (fx Effects) {
	for _, key := range p.sortedKeys(p.active) {
		t := p.active[key]
		switch {
		case t.stage == idle || t.stage == established:
			p.advance(now, t, &fx)
		case now.Since(t.roundBegan) > roundTimeout:
			p.abandon(t, &fx)
		case t.fewAsked && now.Since(t.lastSent) > askAllAfter:
			t.fewAsked, t.lastSent = false, now
			p.sendRound(t, &fx)
		case now.Since(t.lastSent) > resendAfter:
			t.lastSent = now
			// Who is silent may have lost what went before, or know no patches: it gets the
			// whole value from now on, until it answers.
			maps.DeleteFunc(t.baseHolders, func(d ident.Disk, _ bool) bool { _, ok := t.responses[d]; return !ok })
			p.sendRound(t, &fx)
		}
	}
	return fx
}

// Peek gives what this proposer holds of a key as chosen; it proves nothing.
func (p *Proposer) Peek(key ident.Key) (quorum.Record, bool) {
	t := p.terms[key]
	if t == nil || t.stage < established {
		return quorum.Record{}, false
	}
	return quorum.Record{Accepted: t.ballot, Revision: t.revision, Value: t.value}, true
}
