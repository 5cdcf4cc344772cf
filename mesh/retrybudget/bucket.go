package retrybudget

import (
	"math"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// slotsPerWindow is the number of slots per window. Spent retries are retained for a few more
	// slots than a window has, because the clocks of machines drift apart.
	slotsPerWindow = 100
	retainedSlots  = slotsPerWindow + 4
	// recentSlots is the number of slots for which requests count towards the one saved retry that
	// a bucket may hold without a share.
	recentSlots = 5
	// savedPart is the fraction of the ratio that each request saves. The rest covers requests
	// that are counted slightly late, and the calls of repeated runs, which become known only when
	// they are made.
	savedPart = 0.9
	// maxDebt is the maximum debt that nested calls of repeats impose on later requests.
	maxDebt = 8
	// roundingError is the maximum rounding error of sums of spent retries.
	roundingError = 1e-3
)

// bucket holds what a service or a caller may spend on retries, from two sources: the share and
// the requests. splitShare divides the share into a part that may be spent within any window, and
// a reserve. Each request saves its ratio, and the saved amount is limited to the reserve. However
// the traffic varies, the bucket therefore never spends more within any window than the ratio of
// the requests of that same window plus one share.
//
// A bucket whose reserve is less than one retry may still save one retry, but only while the
// requests of the last recentSlots slots have paid for it. Spent retries expire only with
// step-limited time (see Budget.Tick), whereas requests expire with the time of the clock, so a
// clock that jumps forward restores nothing. Retries that had to be spent without room (overdraw)
// count beyond the part of the window and reduce the saved amount until they expire.
type bucket struct {
	recentCalls [recentSlots]int32
	recentTotal int32 // sum of recentCalls
	spent       [retainedSlots]float32
	spentTotal  float64 // sum of spent
	saved       float64
	callSlot    int64 // newest slot of recentCalls
	spentSlot   int64 // newest slot of spent
	activeHalf  int64 // half window of the newest request, to count active callers
}

// advance moves the bucket forward in time. limitedNow is the step-limited time, which excludes
// clock jumps.
func (b *bucket) advance(slotLength time.Duration, now, limitedNow monotime.Time) {
	b.advanceCalls(int64(now) / int64(slotLength))
	b.advanceSpent(int64(limitedNow) / int64(slotLength))
}

// advanceCalls discards the requests of slots that are no longer recent.
func (b *bucket) advanceCalls(slot int64) {
	for n := 0; b.callSlot < slot && n < recentSlots; n++ {
		b.callSlot++
		b.recentTotal -= b.recentCalls[b.callSlot%recentSlots]
		b.recentCalls[b.callSlot%recentSlots] = 0
	}
	if b.recentTotal == 0 || b.callSlot < slot { // all slots were cleared
		b.recentCalls, b.recentTotal = [recentSlots]int32{}, 0
	}
	b.callSlot = max(b.callSlot, slot)
}

// advanceSpent discards the spent retries of slots that are no longer retained.
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

// deposit saves the ratio of one request.
func (b *bucket) deposit(ratio float64) {
	if ratio > 0 {
		b.recentCalls[b.callSlot%recentSlots]++
		b.recentTotal++
		b.saved += ratio * savedPart
	}
}

// splitShare splits a share into the part that may be spent within any window and the reserve. A
// share of one is entirely reserve, because requests replenish the reserve sooner than a window
// expires.
func splitShare(share float64) (window, reserve float64) {
	if share <= 1 {
		return 0, max(0, share)
	}
	window = math.Ceil(share / 2)
	return window, share - window
}

// available returns what may be spent now from the saved amount and from the share. available
// discards the saved amount beyond the reserve.
func (b *bucket) available(ratio, share float64) (saved, shared float64) {
	window, reserve := splitShare(share)
	b.saved = min(b.saved, max(reserve, min(1, ratio*savedPart*float64(b.recentTotal))))
	overspent := max(0, b.spentTotal-window)
	return b.saved - overspent, window - b.spentTotal
}

// withdraw spends n from the saved amount if it suffices, otherwise from the share.
func (b *bucket) withdraw(n, saved float64) {
	if saved >= n {
		b.saved -= n
		return
	}
	b.spend(n)
}

// overdraw spends n whether or not there is room. Without room, the debt is repaid by the
// following requests; debts beyond maxDebt count as spent from the share.
func (b *bucket) overdraw(n, saved, shared float64) {
	if saved >= n || shared < n && b.saved > -maxDebt {
		b.saved -= n
		return
	}
	b.spend(n)
}

// spend records n as spent from the share in the current slot.
func (b *bucket) spend(n float64) {
	b.spent[b.spentSlot%retainedSlots] += float32(n)
	b.spentTotal += n
}

// idle reports whether the bucket holds neither spent retries nor recent requests.
func (b *bucket) idle() bool { return b.spentTotal == 0 && b.recentTotal == 0 }
