package allowance

import (
	"math"
	"time"

	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	// parts of a window are its slots; a few more are late, since clocks run apart.
	parts = 100
	slots = parts + 4
	// fresh is how many slots back calls may lie that one saved token rests on where
	// there is no share.
	fresh = 5
	// keep is what is spent of the part: the rest is for what is counted a little late,
	// and for the calls of repeated runs that are found out only when they are made.
	keep = 0.9
	// debtMost bounds what calls of repeats owe to the calls that come after.
	debtMost = 8
)

// purse is what may be spent at one place of the tree: from the share, a part of it within
// any window; and from what calls save up by their part, of which no more is kept than
// the rest of the share. Invariant: so within any window no more is spent than the
// part of the calls of that very window and one share, however the traffic rises and
// falls. Where the share leaves less than one to keep, one is kept, and only while the
// calls of the last fresh slots are worth it. What was spent grows old only by time that
// was watched, calls by any: a clock that jumps forward frees nothing. What must be
// spent without room (charge) lies over the window's part, and until it has grown old
// takes from what is saved.
type purse struct {
	calls [fresh]int32
	near  int32 // sum of calls
	spent [slots]float32
	gone  float64 // sum of spent
	saved float64
	at    int64 // slot of calls
	slow  int64 // slot of spent
	epoch int64 // the half window in which it last called, for counting callers
}

func (p *purse) roll(slot time.Duration, now, seen monotime.Time) {
	at, slow := int64(now)/int64(slot), int64(seen)/int64(slot)
	for n := 0; p.at < at && n < fresh; n++ {
		p.at++
		p.near -= p.calls[p.at%fresh]
		p.calls[p.at%fresh] = 0
	}
	if p.near == 0 || p.at < at { // all of them were cleared
		p.calls, p.near = [fresh]int32{}, 0
	}
	if at > p.at {
		p.at = at
	}
	for n := 0; p.slow < slow && n < slots; n++ {
		p.slow++
		p.gone -= float64(p.spent[p.slow%slots])
		p.spent[p.slow%slots] = 0
	}
	if p.gone < 1e-3 { // nothing but what rounding left
		p.gone = 0
	}
	p.slow = max(p.slow, slow)
}

// call saves up the part of one call.
func (p *purse) call(part float64) {
	if part > 0 {
		p.calls[p.at%fresh]++
		p.near++
		p.saved += part * keep
	}
}

// halves splits a share into what any window may spend of it and what may be kept. The
// only one of a share is kept: calls give it back sooner than a window does.
func halves(share float64) (window, kept float64) {
	if share <= 1 {
		return 0, max(0, share)
	}
	window = math.Ceil(share / 2)
	return window, share - window
}

// room tells what may be spent: from what is saved, and from a share.
func (p *purse) room(part, share float64) (saved, shared float64) {
	window, kept := halves(share)
	p.saved = min(p.saved, max(kept, min(1, part*keep*float64(p.near))))
	over := max(0, p.gone-window)
	return p.saved - over, window - p.gone
}

// charge spends n: from what is saved, else from the share.
func (p *purse) charge(n, saved float64) {
	if saved >= n {
		p.saved -= n
		return
	}
	p.spent[p.slow%slots] += float32(n)
	p.gone += n
}

// owe spends n whether there is room or not: where there is none, the next calls save it
// up, and what goes deeper than debtMost lies over the window's part.
func (p *purse) owe(n, saved, shared float64) {
	if saved >= n || shared < n && p.saved > -debtMost {
		p.saved -= n
		return
	}
	p.spent[p.slow%slots] += float32(n)
	p.gone += n
}

func (p *purse) idle() bool { return p.gone == 0 && p.near == 0 }
