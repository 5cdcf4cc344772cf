package retrybudget

import (
	"math"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// slotsPerWindow of a window are its slots; a few more are late, since clocks run apart.
	slotsPerWindow = 100
	retainedSlots  = slotsPerWindow + 4
	// recentSlots is how many slots back calls may lie that one saved token rests on where
	// there is no share.
	recentSlots = 5
	// savedRatio is what is spent of the part: the rest is for what is counted a little late,
	// and for the calls of repeated runs that are found out only when they are made.
	savedRatio = 0.9
	// maxDebt bounds what calls of repeats owe to the calls that come after.
	maxDebt = 8
)

// bucket is what may be spent at one place of the tree: from the share, a part of it within
// any window; and from what calls save up by their part, of which no more is kept than
// the rest of the share. Invariant: so within any window no more is spent than the
// part of the calls of that very window and one share, however the traffic rises and
// falls. Where the share leaves less than one to keep, one is kept, and only while the
// calls of the last fresh slots are worth it. What was spent grows old only by time that
// was watched, calls by any: a clock that jumps forward frees nothing. What must be
// spent without room (charge) lies over the window's part, and until it has grown old
// takes from what is saved.
type bucket struct {
	recentCalls [recentSlots]int32
	recentTotal int32 // sum of calls
	spent       [retainedSlots]float32
	spentTotal  float64 // sum of spent
	saved       float64
	callSlot    int64 // slot of calls
	spentSlot   int64 // slot of spent
	activeHalf  int64 // the half window in which it last called, for counting callers
}

func (b *bucket) advance(slotLength time.Duration, now, watched monotime.Time) {
	callSlot, spentSlot := int64(now)/int64(slotLength), int64(watched)/int64(slotLength)
	for n := 0; b.callSlot < callSlot && n < recentSlots; n++ {
		b.callSlot++
		b.recentTotal -= b.recentCalls[b.callSlot%recentSlots]
		b.recentCalls[b.callSlot%recentSlots] = 0
	}
	if b.recentTotal == 0 || b.callSlot < callSlot { // all of them were cleared
		b.recentCalls, b.recentTotal = [recentSlots]int32{}, 0
	}
	if callSlot > b.callSlot {
		b.callSlot = callSlot
	}
	for n := 0; b.spentSlot < spentSlot && n < retainedSlots; n++ {
		b.spentSlot++
		b.spentTotal -= float64(b.spent[b.spentSlot%retainedSlots])
		b.spent[b.spentSlot%retainedSlots] = 0
	}
	if b.spentTotal < 1e-3 { // nothing but what rounding left
		b.spentTotal = 0
	}
	b.spentSlot = max(b.spentSlot, spentSlot)
}

// deposit saves up the part of one call.
func (b *bucket) deposit(ratio float64) {
	if ratio > 0 {
		b.recentCalls[b.callSlot%recentSlots]++
		b.recentTotal++
		b.saved += ratio * savedRatio
	}
}

// splitShare splits a share into what any window may spend of it and what may be kept. The
// only one of a share is kept: calls give it back sooner than a window does.
func splitShare(share float64) (window, reserve float64) {
	if share <= 1 {
		return 0, max(0, share)
	}
	window = math.Ceil(share / 2)
	return window, share - window
}

// available tells what may be spent: from what is saved, and from a share.
func (b *bucket) available(ratio, share float64) (saved, shared float64) {
	window, reserve := splitShare(share)
	b.saved = min(b.saved, max(reserve, min(1, ratio*savedRatio*float64(b.recentTotal))))
	overspent := max(0, b.spentTotal-window)
	return b.saved - overspent, window - b.spentTotal
}

// withdraw spends n: from what is saved, else from the share.
func (b *bucket) withdraw(n, saved float64) {
	if saved >= n {
		b.saved -= n
		return
	}
	b.spent[b.spentSlot%retainedSlots] += float32(n)
	b.spentTotal += n
}

// overdraw spends n whether there is room or not: where there is none, the next calls save it
// up, and what goes deeper than debtMost lies over the window's part.
func (b *bucket) overdraw(n, saved, shared float64) {
	if saved >= n || shared < n && b.saved > -maxDebt {
		b.saved -= n
		return
	}
	b.spent[b.spentSlot%retainedSlots] += float32(n)
	b.spentTotal += n
}

func (b *bucket) idle() bool { return b.spentTotal == 0 && b.recentTotal == 0 }
