package retrybudget

import (
	"math"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// slotsPerWindow is into how many slots a window is divided. What was spent is kept for a few
	// slots more, since the clocks of machines run apart.
	slotsPerWindow = 100
	retainedSlots  = slotsPerWindow + 4
	// recentSlots is for how many slots requests count for the one saved retry that a bucket may hold
	// without a share.
	recentSlots = 5
	// savedRatio is the part of a request's ratio that is saved: the rest covers what is counted a
	// little late, and the calls of repeated runs, which are found out only when they are made.
	savedRatio = 0.9
	// maxDebt bounds what nested calls of repeats owe to the requests that come after.
	maxDebt = 8
	// roundingError is what sums of spent retries may be off by.
	roundingError = 1e-3
)

// bucket is what a service or a caller may spend on retries. It has two sources. From the share, any
// window may spend one part. And each request saves up its ratio, of which no more is kept than the
// rest of the share, the reserve. So, however the traffic rises and falls, no more is spent within any
// window than the ratio of the requests of that very window and one share.
//
// Where the reserve is less than one retry, one is kept all the same, but only while the requests of
// the last recentSlots slots are worth it. What was spent grows old only by time that was watched (see
// Budget.Tick), requests by any time: a clock that jumps forward frees nothing. What had to be spent
// without room (overdraw) counts beyond the window's part, and takes from what is saved until it has
// grown old.
type bucket struct {
	recentCalls [recentSlots]int32
	recentTotal int32 // sum of recentCalls
	spent       [retainedSlots]float32
	spentTotal  float64 // sum of spent
	saved       float64
	callSlot    int64 // newest slot of recentCalls
	spentSlot   int64 // newest slot of spent
	activeHalf  int64 // the half window of its newest request, for counting callers
}

// advance moves the bucket on in time; watched is the time without jumps of the clock.
func (b *bucket) advance(slotLength time.Duration, now, watched monotime.Time) {
	b.advanceCalls(int64(now) / int64(slotLength))
	b.advanceSpent(int64(watched) / int64(slotLength))
}

// advanceCalls forgets the requests of slots that are no longer recent.
func (b *bucket) advanceCalls(slot int64) {
	for n := 0; b.callSlot < slot && n < recentSlots; n++ {
		b.callSlot++
		b.recentTotal -= b.recentCalls[b.callSlot%recentSlots]
		b.recentCalls[b.callSlot%recentSlots] = 0
	}
	if b.recentTotal == 0 || b.callSlot < slot { // all of them were cleared
		b.recentCalls, b.recentTotal = [recentSlots]int32{}, 0
	}
	b.callSlot = max(b.callSlot, slot)
}

// advanceSpent forgets what was spent in slots that are no longer retained.
func (b *bucket) advanceSpent(slot int64) {
	for n := 0; b.spentSlot < slot && n < retainedSlots; n++ {
		b.spentSlot++
		b.spentTotal -= float64(b.spent[b.spentSlot%retainedSlots])
		b.spent[b.spentSlot%retainedSlots] = 0
	}
	if b.spentTotal < roundingError {
		b.spentTotal = 0
	}
	b.spentSlot = max(b.spentSlot, slot)
}

// deposit saves up the ratio of one request.
func (b *bucket) deposit(ratio float64) {
	if ratio > 0 {
		b.recentCalls[b.callSlot%recentSlots]++
		b.recentTotal++
		b.saved += ratio * savedRatio
	}
}

// splitShare splits a share into what any window may spend of it and the reserve. A share of one is all
// reserve: requests give it back sooner than a window does.
func splitShare(share float64) (window, reserve float64) {
	if share <= 1 {
		return 0, max(0, share)
	}
	window = math.Ceil(share / 2)
	return window, share - window
}

// available tells what may be spent now, from what is saved and from a share. It drops what is saved
// beyond the reserve.
func (b *bucket) available(ratio, share float64) (saved, shared float64) {
	window, reserve := splitShare(share)
	b.saved = min(b.saved, max(reserve, min(1, ratio*savedRatio*float64(b.recentTotal))))
	overspent := max(0, b.spentTotal-window)
	return b.saved - overspent, window - b.spentTotal
}

// withdraw spends n from what is saved, or else from the share.
func (b *bucket) withdraw(n, saved float64) {
	if saved >= n {
		b.saved -= n
		return
	}
	b.spend(n)
}

// overdraw spends n whether there is room or not. Without room the next requests save it up; debts
// beyond maxDebt count as spent from the share.
func (b *bucket) overdraw(n, saved, shared float64) {
	if saved >= n || shared < n && b.saved > -maxDebt {
		b.saved -= n
		return
	}
	b.spend(n)
}

// spend counts n as spent from the share in this slot.
func (b *bucket) spend(n float64) {
	b.spent[b.spentSlot%retainedSlots] += float32(n)
	b.spentTotal += n
}

// idle reports whether there is nothing to remember of this window.
func (b *bucket) idle() bool { return b.spentTotal == 0 && b.recentTotal == 0 }
