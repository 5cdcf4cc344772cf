package retrybudget

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

// serviceBudget is the budget of one service: a bucket for all its callers, and one for each. Callers
// are counted by half windows, so that the share is divided only among those that call.
type serviceBudget struct {
	bucket
	callers       map[string]*bucket
	currentHalf   int64
	activeCallers [2]int // callers in this half window and in the one before
	totals        [2]int64
	nestedCalls   float64 // calls of this machine's endpoint, decayed like runTracker.decayedCount
	hasNested     bool    // this machine's endpoint may have made some of its calls
}

// markActive counts a caller as active in this half window.
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

// singleCaller reports whether at most one caller was active in this half window and the one
// before.
func (s *serviceBudget) singleCaller() bool { return max(s.activeCallers[0], s.activeCallers[1]) <= 1 }

// callerShare is a caller's part of the share: by weight if the configuration names the caller; else
// up to half, and one at least; all of it if it is the only caller.
func callerShare(service *validation.Service, caller string, share float64, single bool) float64 {
	weight, named := service.CallerWeights[caller]
	if !named {
		if single {
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
