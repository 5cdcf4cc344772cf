// Package retrybudget limits the retries of one sidecar, per service and, within a service, per
// caller. Retries are paid for by the requests, each with a ratio, and by the share that the
// sidecar has of a mesh-wide extra budget; see Limits for the limit that all sidecars keep
// together. A repeated run may make calls of its own: those calls are charged to the budgets of
// the called services.
package retrybudget

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

const (
	// ShareValidity is how long a share may be spent after a majority of cores last accepted a
	// lease renewal. ShareValidity is far shorter than the time after which the cores give the
	// share to other sidecars.
	ShareValidity = 5 * time.Second
	// maxCallers is the maximum number of callers of a service that have a bucket of their own.
	maxCallers = 2000
)

// Budget is the retry budget of one sidecar. Budget reads no clock. Invariant: a retry is granted
// only if both the bucket of the service and the bucket of the caller have room, and the retry is
// then spent from both.
type Budget struct {
	limits          Limits
	slotLength      time.Duration
	share           int
	shareUsableFrom monotime.Time // the share may not be spent earlier
	shareRenewedAt  monotime.Time
	stepLimiter     monotime.StepLimiter
	services        map[ident.Service]*serviceBudget
	runs            runTracker
	// Unlimited grants all retries. Only tests set Unlimited, to verify that the checkers detect
	// the violation.
	Unlimited bool
	// Counters of granted and denied retries, and of repeats that BeginRun rejected.
	Granted, Denied, RejectedRepeats uint64
}

// New returns a budget whose share may be spent only after slightly more than one window, so that
// a restart never spends a share twice.
func New(now monotime.Time, limits Limits) *Budget {
	limits = limits.WithDefaults()
	budget := &Budget{
		limits:          limits,
		slotLength:      max(1, limits.Window/slotsPerWindow),
		shareUsableFrom: now.Add(limits.Window + limits.Window/20),
		services:        map[ident.Service]*serviceBudget{},
	}
	budget.stepLimiter.Observe(now)
	return budget
}

// Tick must be called many times per second: between readings of the clock, the step-limited time
// advances by at most monotime.MaxStep, because the clock may have jumped.
func (b *Budget) Tick(now monotime.Time) { b.stepLimiter.Observe(now) }

// SetShare sets the share of this sidecar of the extra retries of the mesh.
func (b *Budget) SetShare(share int) { b.share = share }

// ShareRenewed records that a majority of the cores accepted a lease renewal that was sent at
// sentAt.
func (b *Budget) ShareRenewed(sentAt monotime.Time) { b.shareRenewedAt = max(b.shareRenewedAt, sentAt) }

// Share returns the retries that may currently be spent beyond the ratio of the requests.
func (b *Budget) Share(now monotime.Time) int {
	if b.stepLimiter.Observe(now) < b.shareUsableFrom || b.shareRenewedAt == 0 || now.Since(b.shareRenewedAt) > ShareValidity {
		return 0
	}
	return b.share
}

// ratio returns what each request for a service saves for retries.
func (b *Budget) ratio(service *validation.Service) float64 {
	return min(service.RetryRatio, b.limits.Ratio)
}

// buckets returns the buckets of a service and a caller and creates missing buckets. A new bucket
// starts with the reserve of the share, because nothing has been spent from the bucket. While the
// share may not be spent, a new bucket starts empty, because an earlier process of this sidecar
// may have spent the reserve.
func (b *Budget) buckets(now monotime.Time, service *validation.Service, caller string) (*serviceBudget, *bucket) {
	forService := b.services[service.Hostname]
	if forService == nil {
		_, reserve := splitShare(float64(b.Share(now)))
		forService = &serviceBudget{bucket: bucket{saved: reserve}, callers: map[string]*bucket{}}
		b.services[service.Hostname] = forService
	}
	limitedNow := b.stepLimiter.Observe(now)
	forService.advance(b.slotLength, now, limitedNow)
	forCaller := forService.callers[caller]
	if forCaller == nil {
		forCaller = b.addCaller(now, limitedNow, forService, service, caller)
	}
	forCaller.advance(b.slotLength, now, limitedNow)
	return forService, forCaller
}

// addCaller creates the bucket of a caller, and discards idle callers if there are too many.
func (b *Budget) addCaller(now, limitedNow monotime.Time, forService *serviceBudget, service *validation.Service, caller string) *bucket {
	if len(forService.callers) >= maxCallers {
		for name, other := range forService.callers {
			if other.advance(b.slotLength, now, limitedNow); other.idle() {
				delete(forService.callers, name)
			}
		}
	}
	if len(forService.callers) >= maxCallers {
		caller = "" // too many callers: the remaining ones share one bucket
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

// countRequest counts a request that saves the given ratio.
func (b *Budget) countRequest(now monotime.Time, forService *serviceBudget, forCaller *bucket, ratio float64) {
	forService.markActive(b, now, forCaller)
	forService.requestAndRetryTotals[0]++
	forService.deposit(ratio)
	forCaller.deposit(ratio)
}

// AllowRetry requests one retry, and counts the retry if it is granted.
func (b *Budget) AllowRetry(now monotime.Time, service validation.Service, caller string) bool {
	forService, forCaller := b.buckets(now, &service, caller)
	forService.markActive(b, now, forCaller)
	share, ratio := float64(b.Share(now)), b.ratio(&service)
	saved, shared := forService.available(ratio, share)
	// The bucket of the caller only divides what the service has, so the caller may always hold
	// one retry.
	callerSaved, callerShared := forCaller.available(1, max(1, callerShare(&service, caller, share, forService.singleCaller())))
	callerHasRoom := callerSaved >= 1 || callerShared >= 1
	if _, named := service.CallerWeights[caller]; !named && forService.singleCaller() {
		callerHasRoom = true
	}
	if !b.Unlimited && (saved < 1 && shared < 1 || !callerHasRoom) {
		b.Denied++
		return false
	}
	b.Granted++
	forService.requestAndRetryTotals[1]++
	forService.withdraw(1, saved)
	forCaller.withdraw(1, callerSaved)
	return true
}

// Totals returns, per service, the numbers of requests and of retries since the budget was
// created.
func (b *Budget) Totals() map[ident.Service][2]int64 {
	totals := make(map[ident.Service][2]int64, len(b.services))
	for service, forService := range b.services {
		totals[service] = forService.requestAndRetryTotals
	}
	return totals
}
