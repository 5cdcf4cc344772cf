package run

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	counterInterval = 500 * time.Millisecond
	counterTimeout  = 300 * time.Millisecond
)

// Limit of a service's retries over all nodes in each window: a fifth of the service's calls plus a
// fixed number. The counters are sampled, so a window may be up to a second longer than retryWindow;
// retrySlack allows for the retries of that second.
const (
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	retryBase   = 60
	retrySlack  = 6
)

// Names of counters in a sidecar's /counters response. The names of the counters of calls and of
// retries continue with a dot and the service.
const (
	revisionCounter = "manifest_epoch"
	callsCounter    = "calls"
	retriesCounter  = "further_tries"
)

// callTotals holds the number of a service's calls and retries over all nodes.
type callTotals struct{ calls, retries float64 }

// totalsSnapshot holds the totals of all services at one time.
type totalsSnapshot struct {
	at     time.Time
	totals map[ident.Service]callTotals
}

// counterTotals sums the counters of all sidecars across restarts. Only the goroutine that samples
// the counters uses the totals.
type counterTotals struct {
	fleet          *Fleet
	newestRevision map[string]ident.ConfigRevision // by sidecar
	lastCounters   map[string]map[string]int64     // by sidecar
	totals         map[ident.Service]callTotals
	history        []totalsSnapshot
}

func (f *Fleet) newCounterTotals() *counterTotals {
	return &counterTotals{
		fleet:          f,
		newestRevision: map[string]ident.ConfigRevision{},
		lastCounters:   map[string]map[string]int64{},
		totals:         map[ident.Service]callTotals{},
	}
}

// add adds one sidecar's counters to the totals, and checks that the sidecar's configuration revision
// does not decrease.
func (ct *counterTotals) add(sidecar string, counters map[string]int64) {
	ct.checkRevision(sidecar, ident.ConfigRevision(counters[revisionCounter]))
	for name, value := range counters {
		kind, service, ok := strings.Cut(name, ".")
		if !ok {
			continue
		}
		total := ct.totals[ident.Service(service)]
		increase := float64(ct.increase(sidecar, name, value))
		switch kind {
		case callsCounter:
			total.calls += increase
		case retriesCounter:
			total.retries += increase
		default:
			continue
		}
		ct.totals[ident.Service(service)] = total
	}
	ct.lastCounters[sidecar] = counters
}

// increase returns the increase of a counter since the last sample. A counter that has decreased was
// reset to zero by a restart of the sidecar.
func (ct *counterTotals) increase(sidecar, name string, value int64) int64 {
	last := ct.lastCounters[sidecar][name]
	if value < last {
		return value
	}
	return value - last
}

// checkRevision checks that the configuration revision that a sidecar applies does not decrease.
// Revision 0 means that the sidecar has applied no configuration.
func (ct *counterTotals) checkRevision(sidecar string, revision ident.ConfigRevision) {
	if revision == 0 {
		return
	}
	newest := ct.newestRevision[sidecar]
	ct.fleet.recordObservation(ruleConfigRegressed)
	if revision < newest {
		ct.fleet.recordViolation(ruleConfigRegressed, "%s applies configuration revision %d after revision %d", sidecar, revision, newest)
	}
	ct.newestRevision[sidecar] = max(newest, revision)
}

// checkRetries checks the retries in the shortest window that ends now and is at least retryWindow
// long.
func (ct *counterTotals) checkRetries(at time.Time) {
	now := totalsSnapshot{at, maps.Clone(ct.totals)}
	ct.history = append(ct.history, now)
	for i := len(ct.history) - 1; i >= 0; i-- {
		if now.at.Sub(ct.history[i].at) >= retryWindow {
			ct.checkWindow(ct.history[i], now)
			return
		}
	}
}

func (ct *counterTotals) checkWindow(from, to totalsSnapshot) {
	for service, total := range to.totals {
		retries, calls := total.retries-from.totals[service].retries, total.calls-from.totals[service].calls
		ct.fleet.recordObservation(ruleRetryBudget)
		if retries > retryShare*calls+retryBase+retrySlack {
			ct.fleet.recordViolation(ruleRetryBudget, "%.0f retries of %s for %.0f calls", retries, service, calls)
		}
	}
}

// sampleCounters reads and checks every sidecar's counters at an interval until ctx ends.
func (f *Fleet) sampleCounters(ctx context.Context) {
	totals := f.newCounterTotals()
	runPeriodically(ctx, counterInterval, func() {
		for _, sidecar := range f.Sidecars {
			var counters map[string]int64
			if _, err := sidecar.Request(counterTimeout, http.MethodGet, "/counters", nil, &counters); err == nil {
				totals.add(sidecar.Name, counters)
			}
		}
		totals.checkRetries(time.Now())
	})
}
