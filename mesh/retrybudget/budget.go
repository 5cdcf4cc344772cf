// Package retrybudget bounds the retries of one sidecar: for each service, and within it for each
// caller. Retries are paid by the requests, a ratio of each, and by the sidecar's share of an extra
// budget that the whole mesh has; see Limits for the bound that all sidecars keep together. A run
// that is a repeat may make calls of its own: those count against the budgets of the services called.
package retrybudget

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

const (
	// ShareValidity is how long a share may be spent after a majority of cores last took a lease
	// renewal; it is far shorter than the time after which the cores give the share to others.
	ShareValidity = 5 * time.Second
	// maxCallers bounds the callers of a service that have a bucket of their own.
	maxCallers = 2000
)

// Budget is the retry budget of one sidecar. It reads no clock. Invariant: a retry is granted only when
// the service's bucket and the caller's bucket both have room, and is then spent from both.
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
	// Counters: retries granted and denied, and repeats that BeginRun rejected.
	Granted, Denied, RejectedRepeats uint64
}

// New makes a budget whose share may be spent only one window later, so that a restart never spends a
// share twice.
func New(now monotime.Time, limits Limits) *Budget {
	limits = limits.WithDefaults()
	budget := &Budget{
		limits:     limits,
		slotLength: max(1, limits.Window/slotsPerWindow),
		shareFrom:  now.Add(limits.Window + limits.Window/20),
		services:   map[ident.Service]*serviceBudget{},
	}
	budget.watch.Observe(now)
	return budget
}

// Tick must be called many times a second: time without calls does not count, since the clock may
// have jumped.
func (b *Budget) Tick(now monotime.Time) { b.watch.Observe(now) }

// SetShare sets this sidecar's share of the mesh's extra retries.
func (b *Budget) SetShare(share int) { b.share = share }

// ShareRenewed notes that a majority of the cores took a lease renewal that was sent at a time.
func (b *Budget) ShareRenewed(sentAt monotime.Time) { b.renewedAt = max(b.renewedAt, sentAt) }

// Share is what may be spent now beyond the ratio of the requests.
func (b *Budget) Share(now monotime.Time) int {
	if b.watch.Observe(now) < b.shareFrom || b.renewedAt == 0 || now.Since(b.renewedAt) > ShareValidity {
		return 0
	}
	return b.share
}

// ratio is what each request for a service saves up for retries.
func (b *Budget) ratio(service *validation.Service) float64 {
	return min(service.RetryRatio, b.limits.Ratio)
}

// buckets finds the buckets of a service and a caller. A new bucket begins with the reserve of the
// share, since nothing was spent from it; while the share may not be spent that is nothing, for an
// earlier run of this sidecar may have spent it.
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

// addCaller makes the bucket of a caller, and forgets idle callers if there are too many.
func (b *Budget) addCaller(now, watched monotime.Time, forService *serviceBudget, service *validation.Service, caller string) *bucket {
	if len(forService.callers) >= maxCallers {
		for name, other := range forService.callers {
			if other.advance(b.slotLength, now, watched); other.idle() {
				delete(forService.callers, name)
			}
		}
	}
	if len(forService.callers) >= maxCallers {
		caller = "" // too many to tell apart: the rest share one bucket
		if forCaller := forService.callers[caller]; forCaller != nil {
			return forCaller
		}
	}
	_, reserve := splitShare(callerShare(service, caller, float64(b.Share(now)), forService.singleCaller()))
	forCaller := &bucket{saved: reserve, activeHalf: -1}
	forService.callers[caller] = forCaller
	return forCaller
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now monotime.Time, service validation.Service, caller string) {
	forService, forCaller := b.buckets(now, &service, caller)
	b.countRequest(now, forService, forCaller, b.ratio(&service))
}

// countRequest counts a request that saves up a ratio.
func (b *Budget) countRequest(now monotime.Time, forService *serviceBudget, forCaller *bucket, ratio float64) {
	forService.markActive(b, now, forCaller)
	forService.totals[0]++
	forService.deposit(ratio)
	forCaller.deposit(ratio)
}

// AllowRetry asks for one retry, and counts it if it is granted.
func (b *Budget) AllowRetry(now monotime.Time, service validation.Service, caller string) bool {
	forService, forCaller := b.buckets(now, &service, caller)
	forService.markActive(b, now, forCaller)
	share, ratio := float64(b.Share(now)), b.ratio(&service)
	saved, shared := forService.available(ratio, share)
	// The caller's bucket only divides what the service has, so it may always hold one retry.
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

// Totals gives, for each service, its requests and retries since the start.
func (b *Budget) Totals() map[ident.Service][2]int64 {
	totals := make(map[ident.Service][2]int64, len(b.services))
	for service, forService := range b.services {
		totals[service] = forService.totals
	}
	return totals
}
