package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/quota"
)

var testService = validation.Service{Hostname: "s", RetryRatio: 0.2}

// Twelve sidecars with varying traffic never spend more retries together, within any ten seconds,
// than a fifth of the requests in that time plus sixty. Seeds 14 and 30 exposed a fault in which
// requests from before the window paid for retries within the window.
func TestLimitHoldsAcrossNodesWhileTrafficFalls(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var budgets []*Budget
		for range 12 {
			budget := New(0, Limits{})
			budget.SetShare(5)
			budgets = append(budgets, budget)
		}
		var requests, retries []monotime.Time
		rate := 300.0
		for now := monotime.Time(0); now < monotime.Time(60*time.Second); now = now.Add(5 * time.Millisecond) {
			if rng.IntN(400) == 0 {
				rate = []float64{1, 10, 100, 300, 900, 2300}[rng.IntN(6)]
			}
			for _, budget := range budgets {
				budget.ShareRenewed(now)
				budget.Tick(now)
				if rng.IntN(40) == 0 && budget.AllowRetry(now, testService, "c") { // a retry of a request from long ago
					retries = append(retries, now)
				}
				if rng.Float64() < rate/200/12 {
					budget.CountRequest(now, testService, "c")
					requests = append(requests, now)
					for range 3 { // all attempts fail
						if budget.AllowRetry(now, testService, "c") {
							retries = append(retries, now)
						}
					}
				}
			}
		}
		must.Greater(t, 200, len(retries))
		for i, end := range retries {
			from := end.Add(-DefaultWindow)
			retriesInWindow := 0
			for _, x := range retries[:i+1] {
				if x > from {
					retriesInWindow++
				}
			}
			requestsInWindow := 0
			for _, x := range requests {
				if x > from && x <= end {
					requestsInWindow++
				}
			}
			must.LessEq(t, 0.2*float64(requestsInWindow)+60, float64(retriesInWindow),
				must.Sprintf("seed %d: %d retries for %d requests in the window that ends at %v", seed, retriesInWindow, requestsInWindow, time.Duration(end)))
		}
	}
}

// tickUntil ticks a budget from one time to another and returns the end time.
func tickUntil(budget *Budget, from, to time.Duration) monotime.Time {
	for d := from; d <= to; d += 40 * time.Millisecond {
		budget.Tick(monotime.Time(d))
	}
	return monotime.Time(to)
}

// A clock that jumps forward does not restore the share: retries spent in a window stay spent
// until the budget has ticked through the window.
func TestClockJumpsDoNotRestoreShare(t *testing.T) {
	budget := New(monotime.Time(time.Second), Limits{})
	budget.SetShare(6)
	now := tickUntil(budget, time.Second, 14*time.Second)
	spend := func(now monotime.Time) (n int) {
		budget.ShareRenewed(now)
		for i := range 20 {
			if budget.AllowRetry(now, testService, fmt.Sprint(i)) {
				n++
			}
		}
		return n
	}
	must.Eq(t, 6, spend(now))
	for jump := time.Duration(0); jump < 5*time.Minute; jump += time.Minute {
		now = now.Add(time.Minute)
		must.Eq(t, 0, spend(now))
	}
	now = tickUntil(budget, time.Duration(now), time.Duration(now)+11*time.Second)
	must.Eq(t, 3, spend(now)) // requests restore the other half
}

// A sidecar spends no share in its first window, nor without a renewal by a majority.
func TestShareRequiresFirstWindowAndRenewal(t *testing.T) {
	count := func(budget *Budget, now monotime.Time) (n int) {
		for i := range 20 {
			if budget.AllowRetry(now, testService, fmt.Sprint(i)) {
				n++
			}
		}
		return
	}
	budget := New(monotime.Time(time.Millisecond), Limits{})
	budget.SetShare(5)
	budget.ShareRenewed(monotime.Time(time.Second))
	must.Eq(t, 0, count(budget, tickUntil(budget, 0, 2*time.Second)))
	budget.ShareRenewed(monotime.Time(11 * time.Second))
	must.Eq(t, 3, count(budget, tickUntil(budget, 2*time.Second, 12*time.Second))) // half of the share, which any window may spend
	must.Eq(t, 0, count(budget, monotime.Time(13*time.Second)))
	must.Eq(t, 0, count(budget, monotime.Time(40*time.Second)))
}

// With several callers, a single caller cannot spend the whole share, and a caller with a weight
// gets the part of its weight. The only caller of a service may spend the whole share.
func TestShareIsDividedAmongCallers(t *testing.T) {
	named := testService
	named.CallerWeights = map[string]float64{"big": 4, "small": 1}
	for caller, want := range map[string]int{"big": 4, "small": 1, "other": 2, "alone": 5} {
		budget := New(monotime.Time(time.Millisecond), Limits{})
		budget.SetShare(5)
		now := tickUntil(budget, 0, 12*time.Second)
		budget.ShareRenewed(now)
		if caller == "other" {
			budget.CountRequest(now, named, "small")
			budget.CountRequest(now, named, "other")
		}
		retries := 0
		for range 20 {
			if budget.AllowRetry(now, named, caller) {
				retries++
			}
		}
		must.Eq(t, want, retries, must.Sprint(caller))
	}
}

// After a burst, no requests arrive for ten seconds while all sidecars spend as many retries as
// they can. The sidecars spend at most sixty retries in total.
func TestRequestsOfAnEndedBurstPayForNoRetries(t *testing.T) {
	spent := 0
	for range 10 {
		budget := New(monotime.Time(time.Millisecond), Limits{})
		budget.SetShare(6)
		now := tickUntil(budget, 0, 20*time.Second)
		for range 400 {
			budget.CountRequest(now, testService, "c")
		}
		for end := now.Add(DefaultWindow); now < end; now = now.Add(40 * time.Millisecond) {
			budget.Tick(now)
			budget.ShareRenewed(now)
			for i := range 100 {
				if budget.AllowRetry(now.Add(1), testService, fmt.Sprint("c", i)) {
					spent++
				}
			}
		}
	}
	must.Between(t, 30, spent, 60)
}

// All sidecars of a mesh have restarted after having spent their shares: the sidecars spend only what
// their requests save, however many services and callers are new to the sidecars. Later, for a
// service that is new to all sidecars, the sidecars spend one share.
func TestRestartedNodesStayWithinExtraBudget(t *testing.T) {
	const nodes, extra = 84, 208
	for uptime, maxRetries := range map[time.Duration]int{time.Second: 0, 12 * time.Second: extra} {
		retries := 0
		for range nodes {
			budget := New(monotime.Time(time.Millisecond), Limits{Extra: extra})
			budget.SetShare(quota.FairShare(extra, nodes))
			now := tickUntil(budget, 0, uptime)
			budget.ShareRenewed(now)
			for i := range 100 {
				if budget.AllowRetry(now, testService, fmt.Sprint("c", i)) {
					retries++
				}
			}
		}
		must.Between(t, maxRetries*3/4, retries, maxRetries)
	}
}

// The limit on retries also holds for limits other than the defaults.
func TestLimitHoldsForOtherSettings(t *testing.T) {
	for _, limits := range []Limits{
		{Window: 4 * time.Second, Ratio: 0.1, Extra: 4},
		{Window: 20 * time.Second, Extra: 4},
		{Ratio: -1, Extra: 4},
		{Extra: -1},
	} {
		effective := limits.WithDefaults()
		budget := New(0, limits)
		budget.SetShare(quota.FairShare(effective.Extra, 1))
		var retries []monotime.Time
		for now := monotime.Time(0); now < monotime.Time(50*time.Second); now = now.Add(10 * time.Millisecond) {
			budget.Tick(now)
			budget.ShareRenewed(now)
			budget.CountRequest(now, testService, "c")
			if budget.AllowRetry(now, testService, "c") {
				retries = append(retries, now)
			}
		}
		maxRetries, minRetries := 0, effective.Ratio*savedPart*0.9*100*effective.Window.Seconds()
		for i, end := range retries {
			n := 0
			for _, x := range retries[:i+1] {
				if x > end.Add(-effective.Window) {
					n++
				}
			}
			maxRetries = max(maxRetries, n)
		}
		must.Between(t, int(minRetries), maxRetries, int(effective.Ratio*100*effective.Window.Seconds())+max(0, effective.Extra))
	}
}

// BenchmarkCountRequest measures the cost per request.
func BenchmarkCountRequest(b *testing.B) {
	budget := New(0, Limits{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		budget.CountRequest(monotime.Time(i*1000), testService, "10.0.0.1")
	}
}

// BenchmarkAllowRetry measures the cost per retry, granted or denied.
func BenchmarkAllowRetry(b *testing.B) {
	budget := New(0, Limits{})
	budget.SetShare(6)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		budget.AllowRetry(monotime.Time(i*1000), testService, "10.0.0.1")
	}
}
