// Package owner is the one holder of a key: it takes the key by a prepare at a
// majority and then needs one accept round a change.
package owner

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

const (
	resend = 150 * time.Millisecond
	// soon is how long a round waits for the few that it asked before it asks all.
	soon     = 30 * time.Millisecond
	giveUp   = 1200 * time.Millisecond
	queueMax = 1024
	batchMax = 256
	tryMax   = 6
)

// Mend is the kind of a deed that changes nothing and is asked for so that copies are
// mended.
const Mend = "mend"

// Deed is one operation on one key. Invariant: Tag is the process's own and never
// leaves it, and so is Until, after which the deed is no more begun (never, if zero); Op
// is the same for every copy of the operation.
type Deed struct {
	Tag   uint64          `json:"-"`
	Until moment.Moment   `json:"-"`
	Op    ident.Op        `json:"op"`
	Key   ident.Key       `json:"key"`
	Kind  string          `json:"kind"`
	Args  json.RawMessage `json:"args,omitempty"`
	// Loose says that a second copy may act again as far as its asker is concerned, so
	// nothing need be remembered of it: the page of a much used key stays small.
	Loose bool `json:"loose,omitempty"`
}

// Turn is what a machine may know beyond the value.
type Turn struct {
	Now      moment.Moment
	Since    moment.Moment            // when this tenure began
	Revision ident.Revision           // of the value given
	Memory   map[string]moment.Moment // of this tenure only
	Touch    func(mark string)        // set Memory[mark] when the round is over
	// Kept is what the machine made, in this tenure, of the very value given: its decoded
	// form. It is nil in a new tenure; a machine that finds nil decodes the value and must
	// take what it has not seen in this tenure for young.
	Kept any
}

// Verdict is what a machine makes of a deed.
type Verdict struct {
	Value   json.RawMessage
	Changed bool
	Body    json.RawMessage
	Defect  *defect.Defect
	Kept    any // for the next Turn, when it is not nil
}

// Machine turns a value and a deed into a new value. Invariant: it depends on its
// inputs alone.
type Machine interface {
	Apply(turn Turn, value json.RawMessage, deed Deed) Verdict
}

// Outcome is the end of one deed at this owner. Invariant: Lost means that this
// owner can say no more; with Risk the deed may have taken effect, or may yet.
type Outcome struct {
	Deed     Deed
	Body     json.RawMessage
	Defect   *defect.Defect
	Revision ident.Revision
	Changed  bool
	Value    json.RawMessage
	Lost     bool
	Risk     bool
	Ballot   ident.Ballot
}

// Send is an Ask for one voter.
type Send struct {
	To  cell.Voter
	Ask cell.Ask
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
	held
	writing
	confirming
)

// tenure is this owner's hold on one key. Invariants: at most one round is out;
// rev and value are chosen whenever stage is held or later; next is not, until its
// round ends.
type tenure struct {
	key        ident.Key
	stage      stage
	ballot     ident.Ballot
	membership ident.Epoch
	turn       uint64
	ask        cell.Ask
	returns    map[ident.Disk]cell.Return
	began      moment.Moment
	sent       moment.Moment
	since      moment.Moment
	pause      moment.Moment
	tries      int
	seen       ident.Epoch
	from       ident.Ballot // under which rev and value were accepted
	rev        ident.Revision
	value      json.RawMessage
	kept       any // of value, or of next while a round is out
	next       cell.Cell
	waiting    []Deed
	batch      []Outcome
	memory     map[string]moment.Moment
	touched    []string
	// based lists the disks known, by a return in this tenure, to hold the base of what is
	// sent next, or to be about to: each was sent every round since. It is a guess that
	// only spares bytes: the replica looks for itself.
	based   map[ident.Disk]bool
	took    uint64    // the turn of this tenure's prepare
	near    cell.Cell // what Near gave then
	few     bool      // the round went to a few only, so far
	mending bool      // the last round was asked for so that copies are mended
}

// Owner runs all tenures of one core process. Invariants: mark is unique to the
// process, so no ballot is ever used by two; turns begin at first, which is the process's
// own too, so no return to an earlier process's ask counts in a round of this one.
type Owner struct {
	mark       string
	mach       Machine
	membership cell.Membership
	held       map[ident.Key]*tenure
	busy       map[ident.Key]*tenure
	close      []ident.Disk
	kin        int
	first      uint64
	turn       uint64
	able       map[ident.Disk]bool
	// Near, when set, gives what the process's own disk holds of a key. It need not be
	// synced: only the value that belongs to a ballot and revision is taken from it.
	Near func(ident.Key) cell.Cell
	// Counters. Refused counts patches whose base a disk did not have.
	Takes, Rounds, Mended, Losses, Patched, Refused uint64
}

// New makes an owner. Its turns begin where those of no other run do: a return to a run that
// ended may still arrive at its address, and must be no return to this one's rounds.
func New(mark string, mach Machine) *Owner {
	first := ident.FirstNumber(mark)
	return &Owner{mark: mark, mach: mach, first: first, turn: first, held: map[ident.Key]*tenure{}, busy: map[ident.Key]*tenure{}, able: map[ident.Disk]bool{}}
}

// Able says whether the process that has the disk knows patches.
func (o *Owner) Able(disk ident.Disk, patches bool) { o.able[disk] = patches }

// SetMembership moves to a newer membership; every hold begins anew under it.
func (o *Owner) SetMembership(now moment.Moment, r cell.Membership) (fx Effects) {
	if r.Epoch <= o.membership.Epoch {
		return fx
	}
	o.membership = r
	for _, key := range o.keys(o.held) {
		o.lose(o.held[key], &fx)
	}
	return fx
}

func (o *Owner) keys(m map[ident.Key]*tenure) []ident.Key {
	out := make([]ident.Key, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Submit takes one deed.
func (o *Owner) Submit(now moment.Moment, d Deed) (fx Effects) {
	t := o.tenure(d.Key)
	if len(t.waiting) >= queueMax {
		fx.Outcomes = append(fx.Outcomes, Outcome{Deed: d, Defect: defect.New(defect.Busy, "too many deeds wait for %s", d.Key).Later(1)})
		return fx
	}
	t.waiting = append(t.waiting, d)
	o.push(now, t, &fx)
	return fx
}

// Take prepares a key ahead of need, as the named successor does.
func (o *Owner) Take(now moment.Moment, key ident.Key) (fx Effects) {
	if t := o.tenure(key); t.stage == idle {
		o.prepare(now, t, &fx)
	}
	return fx
}

// Withdraw takes back the deeds that match, of those that wait and were not begun: each
// ends as lost, without risk, and this owner will not begin it.
func (o *Owner) Withdraw(match func(Deed) bool) (fx Effects) {
	for _, key := range o.keys(o.busy) {
		t := o.busy[key]
		t.waiting = slices.DeleteFunc(slices.Clone(t.waiting), func(d Deed) bool {
			if !match(d) {
				return false
			}
			fx.Outcomes = append(fx.Outcomes, Outcome{Deed: d, Lost: true})
			return true
		})
	}
	return fx
}

// Keys lists what is held.
func (o *Owner) Keys() []ident.Key {
	return slices.DeleteFunc(o.keys(o.held), func(k ident.Key) bool { return o.held[k].stage == idle })
}

// Release lets every key go that no round is out for, and says whether all went.
func (o *Owner) Release() (done bool, fx Effects) {
	done = true
	for _, key := range o.keys(o.held) {
		t := o.held[key]
		if t.stage == held && len(t.waiting) == 0 || t.stage == idle {
			o.lose(t, &fx)
			continue
		}
		done = false
	}
	return done, fx
}

func (o *Owner) tenure(key ident.Key) *tenure {
	t := o.held[key]
	if t == nil {
		t = &tenure{key: key}
		o.held[key] = t
	}
	return t
}

// push moves a tenure on when no round is out.
func (o *Owner) push(now moment.Moment, t *tenure, fx *Effects) {
	if len(t.waiting) == 0 || o.membership.Epoch == 0 {
		if len(t.waiting) > 0 {
			o.busy[t.key] = t
		}
		return
	}
	o.busy[t.key] = t
	switch t.stage {
	case idle:
		if !t.pause.After(now) {
			o.prepare(now, t, fx)
		}
	case held:
		o.serve(now, t, fx)
	}
}

func (o *Owner) prepare(now moment.Moment, t *tenure, fx *Effects) {
	t.seen++
	t.ballot = ident.Ballot{Epoch: t.seen, Owner: o.mark}
	t.membership, t.stage = o.membership.Epoch, preparing
	t.memory, t.touched, t.kept, t.based = map[string]moment.Moment{}, nil, nil, map[ident.Disk]bool{}
	o.busy[t.key] = t
	o.Takes++
	a := cell.Ask{Kind: cell.Prepare, Ballot: t.ballot}
	if o.Near != nil {
		t.near = o.Near(t.key)
		a.Have = &cell.Have{Accepted: t.near.Accepted, Revision: t.near.Revision}
	}
	o.round(now, t, a, fx)
	t.took = t.turn
}

func (o *Owner) round(now moment.Moment, t *tenure, a cell.Ask, fx *Effects) {
	o.turn++
	o.Rounds++
	a.Turn, a.Membership, a.Key = o.turn, t.membership, t.key
	t.turn, t.ask, t.returns = o.turn, a, map[ident.Disk]cell.Return{}
	t.began, t.sent = now, now
	t.few = a.Kind == cell.Confirm && !t.mending && len(o.close) >= o.membership.Majority()
	o.ask(t, fx)
}

// accept begins the round that writes a value; base is an accepted state that the disks in
// based hold.
func (o *Owner) accept(now moment.Moment, t *tenure, base cell.Cell, rev ident.Revision, value json.RawMessage, fx *Effects) {
	a := cell.Ask{Kind: cell.Accept, Ballot: t.ballot, Revision: rev, Value: value}
	if slices.ContainsFunc(o.membership.Voters, func(v cell.Voter) bool { return t.based[v.Disk] && o.able[v.Disk] }) {
		a.Patch = cell.Diff(base, t.ballot, value)
	}
	o.round(now, t, a, fx)
}

// Close names the disks whose processes are heard, this one's first, then the next kin of
// them, which are nearest. A round that only confirms asks no more of them than it needs,
// and the others when those do not answer soon; it is not sent at all to most disks.
func (o *Owner) Close(disks []ident.Disk, kin int) {
	o.close, o.kin = disks, min(kin, max(0, len(disks)-1))
}

// few lists whom the confirming round of a number asks first. Those that are no kin take turns, so that
// in time every copy is looked at.
func (o *Owner) few(round uint64) []ident.Disk {
	need := o.membership.Majority()
	out := slices.Clone(o.close[:min(need, 1+o.kin)])
	rest := o.close[1+o.kin:]
	for i := 0; len(out) < need; i++ {
		out = append(out, rest[(int(round%uint64(len(rest)))+i)%len(rest)])
	}
	return out
}

// ask sends the round to those who have not answered: the patch where the base is known,
// the whole value elsewhere.
func (o *Owner) ask(t *tenure, fx *Effects) {
	var few []ident.Disk
	if t.few {
		few = o.few(t.turn - o.first)
	}
	for _, v := range o.membership.Voters {
		if _, ok := t.returns[v.Disk]; ok || t.few && !slices.Contains(few, v.Disk) {
			continue
		}
		a := whole(t.ask)
		if t.ask.Patch != nil && t.based[v.Disk] && o.able[v.Disk] {
			a.Kind, a.Value, a.Patch = cell.PatchAccept, nil, t.ask.Patch
			o.Patched++
		}
		fx.Sends = append(fx.Sends, Send{v, a})
	}
}

func whole(a cell.Ask) cell.Ask { a.Patch = nil; return a }

// learn notes from a return, also a late one, which disks hold this tenure's base; a disk
// that turned a patch away gets the whole value at once, within the same round if one is
// out.
func (o *Owner) learn(t *tenure, r cell.Return, fx *Effects) {
	v, in := o.membership.Find(r.Disk)
	if !in || r.Turn <= t.took || r.Membership != t.membership || t.membership != o.membership.Epoch || t.stage < settling {
		return
	}
	switch {
	case r.OK && (r.Kind == cell.PatchAccept || r.Kind == cell.Accept && r.Cell.Accepted == t.ballot):
		t.based[r.Disk] = true
	case !r.OK && r.Kind == cell.PatchAccept && t.based[r.Disk] && !t.ballot.Less(r.Cell.Promised):
		delete(t.based, r.Disk)
		o.Refused++
		if t.stage == held || t.stage == confirming {
			o.mend(t, v, r, fx)
			return
		}
		fx.Sends = append(fx.Sends, Send{v, whole(t.ask)})
	}
}

// serve applies waiting deeds and starts the round that makes their results sure.
func (o *Owner) serve(now moment.Moment, t *tenure, fx *Effects) {
	n := min(len(t.waiting), batchMax)
	value, rev := t.value, t.rev
	t.touched, t.mending = nil, false
	// What this round touches counts for the deeds behind it in the same round already; if
	// the round is lost, so is the tenure with its memory.
	turn := Turn{Now: now, Since: t.since, Memory: t.memory, Touch: func(m string) { t.touched, t.memory[m] = append(t.touched, m), now }}
	for _, d := range t.waiting[:n] {
		if d.Until != 0 && now.After(d.Until) {
			// Nobody waits for it any more: it is not begun, and this copy never will be.
			fx.Outcomes = append(fx.Outcomes, Outcome{Deed: d, Lost: true})
			continue
		}
		turn.Revision, turn.Kept = rev, t.kept
		t.mending = t.mending || d.Kind == Mend
		v := o.mach.Apply(turn, value, d)
		if v.Changed {
			value = v.Value
			rev++
			t.kept = nil
		}
		if v.Kept != nil {
			t.kept = v.Kept
		}
		t.batch = append(t.batch, Outcome{Deed: d, Body: v.Body, Defect: v.Defect, Changed: v.Changed, Revision: rev, Value: value})
	}
	t.waiting = slices.Clone(t.waiting[n:])
	if len(t.batch) == 0 {
		o.rest(now, t, fx)
		return
	}
	if rev == t.rev {
		t.stage = confirming
		o.round(now, t, cell.Ask{Kind: cell.Confirm, Ballot: t.ballot, Revision: t.rev}, fx)
		return
	}
	t.stage, t.next = writing, cell.Cell{Revision: rev, Value: value}
	o.accept(now, t, cell.Cell{Accepted: t.from, Revision: t.rev, Value: t.value}, rev, value, fx)
}

// lose lets a tenure go; whatever was out is answered as lost.
func (o *Owner) lose(t *tenure, fx *Effects) {
	for _, out := range t.batch {
		fx.Outcomes = append(fx.Outcomes, Outcome{Deed: out.Deed, Lost: true, Risk: out.Changed})
	}
	for _, d := range t.waiting {
		fx.Outcomes = append(fx.Outcomes, Outcome{Deed: d, Lost: true})
	}
	if t.stage != idle {
		o.Losses++
	}
	t.batch, t.waiting, t.stage, t.tries, t.value, t.kept = nil, nil, idle, 0, nil, nil
	delete(o.busy, t.key)
}

// Step takes one return in.
func (o *Owner) Step(now moment.Moment, r cell.Return) (fx Effects) {
	t := o.held[r.Key]
	if t != nil {
		o.learn(t, r, &fx)
	}
	if t == nil || r.Turn != t.turn || t.stage == idle {
		return fx
	}
	if t.stage == held {
		// Late to a confirm that is over: good for mending still.
		if v, in := o.membership.Find(r.Disk); in && r.OK && t.ask.Kind == cell.Confirm && r.Membership == t.membership && t.membership == o.membership.Epoch {
			o.mend(t, v, r, &fx)
		}
		if t.mending && !r.OK && t.ballot.Less(r.Cell.Promised) {
			// A stray promise keeps that copy from being mended: go above it.
			t.seen = max(t.seen, r.Cell.Promised.Epoch)
			o.prepare(now, t, &fx)
		}
		return fx
	}
	if t.ballot.Less(r.Cell.Promised) && !r.OK {
		t.seen = max(t.seen, r.Cell.Promised.Epoch)
		if t.stage == preparing && t.tries < tryMax {
			// Another tenure is above: come back higher, a little later.
			t.tries++
			t.stage = idle
			t.pause = now.Add(time.Duration(t.tries*10+int((o.turn-o.first)*7%23)) * time.Millisecond)
			return fx
		}
		o.lose(t, &fx)
		return fx
	}
	if !r.OK || r.Membership != t.membership || !o.membership.Counts(r.Disk) || t.membership != o.membership.Epoch {
		return fx
	}
	t.returns[r.Disk] = r
	if len(t.returns) < o.membership.Majority() {
		return fx
	}
	ends[t.stage](o, now, t, &fx)
	return fx
}

// ends says how each round ends once a majority has answered.
var ends map[stage]func(*Owner, moment.Moment, *tenure, *Effects)

func init() {
	ends = map[stage]func(*Owner, moment.Moment, *tenure, *Effects){
		preparing: (*Owner).prepared, settling: (*Owner).settled, writing: (*Owner).written, confirming: (*Owner).confirmed,
	}
}

func (o *Owner) prepared(now moment.Moment, t *tenure, fx *Effects) {
	var best cell.Cell
	first, agreed := true, true
	for _, r := range t.returns {
		if !first && !r.Cell.Same(best) {
			agreed = false
		}
		if first || r.Cell.Newer(best) {
			best = r.Cell
		}
		first = false
	}
	if t.ask.Have.Same(best) {
		best.Value = t.near.Value
	}
	t.near = cell.Cell{}
	t.from, t.rev, t.value = best.Accepted, best.Revision, best.Value
	// What was found is written again under this ballot even when all agree: else a
	// change that an older owner left on a minority could come back over what this
	// tenure answers. Only a key that never was needs nothing.
	if agreed && t.rev == 0 {
		o.settled(now, t, fx)
		return
	}
	// Who was found to hold it already is only told to hold it under this ballot.
	for d, r := range t.returns {
		t.based[d] = r.Cell.Same(best)
	}
	t.from = t.ballot
	t.stage = settling
	o.accept(now, t, best, t.rev, t.value, fx)
}

func (o *Owner) settled(now moment.Moment, t *tenure, fx *Effects) {
	t.stage, t.since, t.tries = held, now, 0
	o.rest(now, t, fx)
}

func (o *Owner) written(now moment.Moment, t *tenure, fx *Effects) {
	t.from, t.rev, t.value = t.ballot, t.next.Revision, t.next.Value
	o.finish(now, t, fx)
}

func (o *Owner) confirmed(now moment.Moment, t *tenure, fx *Effects) {
	for _, v := range o.membership.Voters {
		if r, ok := t.returns[v.Disk]; ok {
			o.mend(t, v, r, fx)
		}
	}
	o.finish(now, t, fx)
}

// mend sends a disk whose copy is old the chosen one.
func (o *Owner) mend(t *tenure, v cell.Voter, r cell.Return, fx *Effects) {
	if sure := (cell.Cell{Accepted: t.from, Revision: t.rev}); sure.Newer(r.Cell) {
		o.Mended++
		fx.Sends = append(fx.Sends, Send{v, cell.Ask{Kind: cell.Accept, Membership: t.membership, Key: t.key, Ballot: t.ballot, Revision: t.rev, Value: t.value}})
	}
}

func (o *Owner) finish(now moment.Moment, t *tenure, fx *Effects) {
	for _, m := range t.touched {
		t.memory[m] = now
	}
	for i := range t.batch {
		t.batch[i].Ballot = t.ballot
	}
	fx.Outcomes = append(fx.Outcomes, t.batch...)
	t.batch, t.stage = nil, held
	o.rest(now, t, fx)
}

func (o *Owner) rest(now moment.Moment, t *tenure, fx *Effects) {
	delete(o.busy, t.key)
	o.push(now, t, fx)
}

// Tick sends again what is out and gives up what is out too long.
func (o *Owner) Tick(now moment.Moment) (fx Effects) {
	for _, key := range o.keys(o.busy) {
		t := o.busy[key]
		switch {
		case t.stage == idle || t.stage == held:
			o.push(now, t, &fx)
		case now.Since(t.began) > giveUp:
			o.lose(t, &fx)
		case t.few && now.Since(t.sent) > soon:
			t.few, t.sent = false, now
			o.ask(t, &fx)
		case now.Since(t.sent) > resend:
			t.sent = now
			// Who is silent may have lost what went before, or know no patches: it gets the
			// whole value from now on, until it answers.
			maps.DeleteFunc(t.based, func(d ident.Disk, _ bool) bool { _, ok := t.returns[d]; return !ok })
			o.ask(t, &fx)
		}
	}
	return fx
}

// Peek gives what this owner holds of a key as chosen; it proves nothing.
func (o *Owner) Peek(key ident.Key) (cell.Cell, bool) {
	t := o.held[key]
	if t == nil || t.stage < held {
		return cell.Cell{}, false
	}
	return cell.Cell{Accepted: t.ballot, Revision: t.rev, Value: t.value}, true
}
