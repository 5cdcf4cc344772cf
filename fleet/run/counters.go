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

// Bound on retries over all nodes: a fifth of a service's calls and a fixed number besides,
// in each window. Windows are sampled, so one may be up to a second longer than retryWindow;
// retrySlack is for what that second may add.
const (
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	retryBase   = 60
	retrySlack  = 6
)

// Counters of a sidecar's /counters page. Those of calls and retries end with a dot and the
// service.
const (
	revisionCounter = "manifest_epoch"
	callsCounter    = "calls"
	retriesCounter  = "further_tries"
)

// callTotals are a service's calls and retries over all nodes.
type callTotals struct{ calls, retries float64 }

// totalsAt are all services' totals at an instant.
type totalsAt struct {
	at     time.Time
	totals map[ident.Service]callTotals
}

// counterTotals sums what the sidecars count, over all their incarnations. Only the sampling
// goroutine uses it.
type counterTotals struct {
	fleet          *Fleet
	newestRevision map[string]ident.ConfigRevision // by sidecar
	lastCounters   map[string]map[string]int64     // by sidecar
	totals         map[ident.Service]callTotals
	history        []totalsAt
}

func (f *Fleet) newCounterTotals() *counterTotals {
	return &counterTotals{
		fleet:          f,
		newestRevision: map[string]ident.ConfigRevision{},
		lastCounters:   map[string]map[string]int64{},
		totals:         map[ident.Service]callTotals{},
	}
}

// add takes one sidecar's counters: the revision in force must not go back.
func (ct *counterTotals) add(sidecar string, counters map[string]int64) {
	ct.judgeRevision(sidecar, ident.ConfigRevision(counters[revisionCounter]))
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

// increase is by how much a counter has risen since the last sample. One that has fallen
// belongs to a new incarnation of the sidecar and started from zero.
func (ct *counterTotals) increase(sidecar, name string, value int64) int64 {
	last := ct.lastCounters[sidecar][name]
	if value < last {
		return value
	}
	return value - last
}

// judgeRevision judges that the revision a sidecar has in force does not go back; 0 is none.
func (ct *counterTotals) judgeRevision(sidecar string, revision ident.ConfigRevision) {
	if revision == 0 {
		return
	}
	newest := ct.newestRevision[sidecar]
	ct.fleet.observe(ruleConfigBack)
	if revision < newest {
		ct.fleet.violate(ruleConfigBack, "%s shows revision %d after %d", sidecar, revision, newest)
	}
	ct.newestRevision[sidecar] = max(newest, revision)
}

// judge judges the retries of the shortest whole window that ends now.
func (ct *counterTotals) judge(at time.Time) {
	now := totalsAt{at, maps.Clone(ct.totals)}
	ct.history = append(ct.history, now)
	for i := len(ct.history) - 1; i >= 0; i-- {
		if now.at.Sub(ct.history[i].at) >= retryWindow {
			ct.judgeWindow(ct.history[i], now)
			return
		}
	}
}

func (ct *counterTotals) judgeWindow(from, to totalsAt) {
	for service, total := range to.totals {
		retries, calls := total.retries-from.totals[service].retries, total.calls-from.totals[service].calls
		ct.fleet.observe(ruleRetries)
		if retries > retryShare*calls+retryBase+retrySlack {
			ct.fleet.violate(ruleRetries, "%.0f retries at %s beside %.0f calls", retries, service, calls)
		}
	}
}

// sampleCounters reads every sidecar's counters at an interval until ctx ends.
func (f *Fleet) sampleCounters(ctx context.Context) {
	totals := f.newCounterTotals()
	every(ctx, counterInterval, func() {
		for _, sidecar := range f.Sidecars {
			var counters map[string]int64
			if _, err := sidecar.Request(counterTimeout, http.MethodGet, "/counters", nil, &counters); err == nil {
				totals.add(sidecar.Name, counters)
			}
		}
		totals.judge(time.Now())
	})
}
