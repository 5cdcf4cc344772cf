package allowance

import (
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// runsMost is after how many runs what was seen of them counts half.
const runsMost = 256

// runs are what this machine's endpoint has in hand. Which call belongs to which run
// can't be seen, so a call that the endpoint makes counts as a repeat by the part that
// repeats have in the runs in hand. Invariants: hand and heavy return to zero when nothing
// is in hand; below lists the services that the endpoint called, in the order of their
// first call.
type runs struct {
	hand  int
	heavy float64 // sum of the chances that a run in hand is a repeat
	began float64 // decayed count of runs
	below []*called
}

// called is a service that the endpoint calls.
type called struct {
	*branch
	part float64
}

// Begin takes a run of this machine's endpoint in hand; repeat is the chance, 0 to 1, that
// it is one, as the sender's Choice says it. It answers false when a repeat may not be run
// here, since the calls it would make find no room in the allowance of a service below:
// then it is turned away before it reaches the endpoint, and End must not be called.
func (t *Tree) Begin(now monotime.Time, repeat float64) bool {
	repeat = min(1, max(0, repeat))
	if repeat >= 1 && !t.Free && !t.bears(now) {
		t.Refused++
		return false
	}
	r := &t.runs
	if r.began++; r.began > runsMost {
		r.began /= 2
		for _, b := range r.below {
			b.fan /= 2
		}
	}
	r.hand++
	r.heavy += repeat
	return true
}

// bears tells whether the services below have room for what one repeat more and those in
// hand will call.
func (t *Tree) bears(now monotime.Time) bool {
	r := &t.runs
	seen, share := t.watch.Look(now), float64(t.Share(now))
	for _, b := range r.below {
		b.roll(t.slot, now, seen)
		saved, shared := b.room(b.part, share)
		if saved+max(0, shared) <= r.heavy*b.fan/max(1, r.began) {
			return false
		}
	}
	return true
}

// End takes a run out of hand, with the same repeat as its Begin.
func (t *Tree) End(repeat float64) {
	r := &t.runs
	r.hand--
	r.heavy = max(0, r.heavy-min(1, max(0, repeat)))
	if r.hand <= 0 {
		r.hand, r.heavy = 0, 0
	}
}

// Inner counts a first try that this machine's endpoint may have made, and gives the
// chance that it comes from a repeat, which is spent whether there is room or not.
func (t *Tree) Inner(now monotime.Time, svc check.Service, who string) (repeat float64) {
	r := &t.runs
	b, p := t.at(now, &svc, who)
	part := t.part(&svc)
	if r.hand > 0 {
		repeat = min(1, r.heavy/float64(r.hand))
	}
	if !b.inner {
		b.inner = true
		r.below = append(r.below, &called{b, part})
	}
	b.fan++
	own := 0.0
	if t.terms.Inner {
		own = part * (1 - repeat)
	}
	t.take(now, b, p, own)
	if repeat > 0 {
		saved, shared := b.room(part, float64(t.Share(now)))
		b.owe(repeat, saved, shared)
	}
	return repeat
}
