// Package retrybudget is one sidecar's tree of further tries: the service, and below
// it the caller.
package retrybudget

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

const (
	// ShareValidity is how long a share may be spent after a majority of cores last took a
	// renewal; it is far shorter than the time after which a share is taken back.
	ShareValidity = 5 * time.Second
	maxCallers    = 2000
)

// serviceBudget is one service. Callers are counted by half windows, so that a share is parted
// only among those that call.
type serviceBudget struct {
	bucket
	callers       map[string]*bucket
	currentHalf   int64
	activeCallers [2]int // callers in this half window and in the one before
	totals        [2]int64
	nestedCalls   float64 // calls of this machine's endpoint, decayed with runs.began
	hasNested     bool    // some of its calls were made by this machine's endpoint
}

// Budget is the tree. Invariant: a further try is granted only when the service's
// purse and the caller's purse both have room, and is then spent from both.
type Budget struct {
	limits     Limits
	slotLength time.Duration
	share      int
	shareFrom  monotime.Time // the share may not be spent before
	renewedAt  monotime.Time
	watch      monotime.StepLimiter
	services   map[ident.Service]*serviceBudget
	runs       runTracker
	// Unlimited grants everything; only tests of the checkers set it.
	Unlimited bool
	// Counters. Refused counts repeats that Begin turned away.
	Granted, Denied, RejectedRepeats uint64
}

// New makes a tree whose share may be spent only one window after it was made, so
// that a restart never spends a share twice.
func New(now monotime.Time, limits Limits) *Budget {
	limits = limits.WithDefaults()
	budget := &Budget{limits: limits, slotLength: max(1, limits.Window/slotsPerWindow), shareFrom: now.Add(limits.Window + limits.Window/20), services: map[ident.Service]*serviceBudget{}}
	budget.watch.Observe(now)
	return budget
}

// Tick must be called many times a second: time that nobody watched does not count.
func (b *Budget) Tick(now monotime.Time) { b.watch.Observe(now) }

// SetShare sets the share.
func (b *Budget) SetShare(share int) { b.share = share }

// ShareRenewed says that a majority of the cores has just taken a renewal that was sent
// at the given moment.
func (b *Budget) ShareRenewed(sentAt monotime.Time) { b.renewedAt = max(b.renewedAt, sentAt) }

// Share is what may be spent beyond the part of the calls now.
func (b *Budget) Share(now monotime.Time) int {
	if b.watch.Observe(now) < b.shareFrom || b.renewedAt == 0 || now.Since(b.renewedAt) > ShareValidity {
		return 0
	}
	return b.share
}

// ratio is what a service's calls save up each.
func (b *Budget) ratio(service *validation.Service) float64 {
	return min(service.RetryRatio, b.limits.Ratio)
}

// buckets finds the purses. A purse that this run has not had yet begins with what may be
// kept of the share, since nothing was spent from it; before the share may be spent
// that is nothing, for an earlier run may have spent it.
func (b *Budget) buckets(now monotime.Time, service *validation.Service, caller string) (*serviceBudget, *bucket) {
	forService := b.services[service.Hostname]
	if forService == nil {
		_, reserve := splitShare(float64(b.Share(now)))
		forService = &serviceBudget{bucket: bucket{saved: reserve}, callers: map[string]*bucket{}}
		b.services[service.Hostname] = forService
	}
	watched := b.watch.Observe(now)
	forService.advance(b.slotLength, now, watched)
	forCaller := forService.callers[caller]
	if forCaller == nil {
		forCaller = b.addCaller(now, watched, forService, service, caller)
	}
	forCaller.advance(b.slotLength, now, watched)
	return forService, forCaller
}

func (b *Budget) addCaller(now, watched monotime.Time, forService *serviceBudget, service *validation.Service, caller string) *bucket {
	if len(forService.callers) >= maxCallers {
		for name, other := range forService.callers {
			if other.advance(b.slotLength, now, watched); other.idle() {
				delete(forService.callers, name)
			}
		}
	}
	if len(forService.callers) >= maxCallers {
		caller = "" // too many to tell apart: they share one purse
		if forCaller := forService.callers[caller]; forCaller != nil {
			return forCaller
		}
	}
	_, reserve := splitShare(callerShare(service, caller, float64(b.Share(now)), forService.singleCaller()))
	forCaller := &bucket{saved: reserve, activeHalf: -1}
	forService.callers[caller] = forCaller
	return forCaller
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

// singleCaller tells whether at most one caller was active of late.
func (s *serviceBudget) singleCaller() bool { return max(s.activeCallers[0], s.activeCallers[1]) <= 1 }

// CountRequest counts a first try.
func (b *Budget) CountRequest(now monotime.Time, service validation.Service, caller string) {
	forService, forCaller := b.buckets(now, &service, caller)
	b.countRequest(now, forService, forCaller, b.ratio(&service))
}

func (b *Budget) countRequest(now monotime.Time, forService *serviceBudget, forCaller *bucket, ratio float64) {
	forService.markActive(b, now, forCaller)
	forService.totals[0]++
	forService.deposit(ratio)
	forCaller.deposit(ratio)
}

// AllowRetry asks for one further try and counts it when it is granted.
func (b *Budget) AllowRetry(now monotime.Time, service validation.Service, caller string) bool {
	forService, forCaller := b.buckets(now, &service, caller)
	forService.markActive(b, now, forCaller)
	share, ratio := float64(b.Share(now)), b.ratio(&service)
	saved, shared := forService.available(ratio, share)
	// The caller's purse parts what there is; it bounds nothing, so it may always keep one.
	callerSaved, callerShared := forCaller.available(1, max(1, callerShare(&service, caller, share, forService.singleCaller())))
	callerMay := callerSaved >= 1 || callerShared >= 1
	if _, named := service.CallerWeights[caller]; !named && forService.singleCaller() {
		callerMay = true
	}
	if !b.Unlimited && (saved < 1 && shared < 1 || !callerMay) {
		b.Denied++
		return false
	}
	b.Granted++
	forService.totals[1]++
	forService.withdraw(1, saved)
	forCaller.withdraw(1, callerSaved)
	return true
}

// callerShare is a caller's portion of the share: by weight when the manifest names it;
// else up to half, and one at least; all of it for who calls alone.
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

// Totals gives each service's calls and further tries since the start.
func (b *Budget) Totals() map[ident.Service][2]int64 {
	totals := make(map[ident.Service][2]int64, len(b.services))
	for service, forService := range b.services {
		totals[service] = forService.totals
	}
	return totals
}
