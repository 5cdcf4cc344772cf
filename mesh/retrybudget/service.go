package retrybudget

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

// serviceBudget is the budget of one service: one bucket for the whole service and one bucket per
// caller. Active callers are counted per half window, so that the share is divided only among the
// callers that make calls.
type serviceBudget struct {
	bucket
	callers               map[string]*bucket
	currentHalf           int64
	activeCallers         [2]int // active callers in the current and in the previous half window
	requestAndRetryTotals [2]int64
	nestedCalls           float64 // calls of the local endpoint, decayed like runTracker.decayedRunCount
	hasNested             bool    // the local endpoint may have called this service
}

// markActive counts a caller as active in the current half window.
func (s *serviceBudget) markActive(budget *Budget, now monotime.Time, caller *bucket) {
	half := int64(now) / int64(budget.slotLength*slotsPerWindow/2)
	if half > s.currentHalf {
		s.activeCallers[1] = s.activeCallers[0]
		if half > s.currentHalf+1 {
			s.activeCallers[1] = 0
		}
		s.activeCallers[0], s.currentHalf = 0, half
	}
	if caller.activeHalf != half {
		caller.activeHalf = half
		s.activeCallers[0]++
	}
}

// singleCaller reports whether at most one caller was active in the current and in the previous
// half window.
func (s *serviceBudget) singleCaller() bool { return max(s.activeCallers[0], s.activeCallers[1]) <= 1 }

// callerShare returns the part of the share that a caller may spend. A caller named in the
// configuration gets a part by weight. An unnamed caller gets the whole share if it is the only
// caller, otherwise half of the share, but at least one.
func callerShare(service *validation.Service, caller string, share float64, singleCaller bool) float64 {
	weight, named := service.CallerWeights[caller]
	if !named {
		if singleCaller {
			return share
		}
		return min(share, max(1, share/2))
	}
	totalWeight := 0.0
	for _, w := range service.CallerWeights {
		totalWeight += w
	}
	if totalWeight == 0 {
		return 0
	}
	return share * weight / totalWeight
}
