package run

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/sim/invariant"
)

// outage is a time in which a machine was out. Invariant: to is zero while it lasts.
type outage struct {
	from, to time.Time
	cause    string
}

// The causes, and the name under which a missing majority of cores stands.
const (
	coreMajority        = "a majority of cores"
	causeKilled         = "its being killed"
	causeFrozen         = "its being frozen"
	causeCutOff         = "its being cut off from all"
	causeNoInformedPeer = "being cut off from all that know"
	causeStopped        = "its planned stop"
)

// beginOutage notes that a machine is out from now on, until the end is called.
func (f *Fleet) beginOutage(name, cause string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := &outage{from: time.Now(), cause: cause}
	f.processOutages[name] = append(f.processOutages[name], o)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if o.to.IsZero() {
			o.to = time.Now()
		}
	}
}

// boundStart gives from when on a bound runs for a machine: from at, or from the end of the
// last outage that began within the bound. live tells that the machine is out now.
func (f *Fleet) boundStart(name string, confirmedAt, now time.Time, bound time.Duration) (from time.Time, cause string, ongoing bool) {
	from = confirmedAt
	for again := true; again; {
		again = false
		for _, o := range append(slices.Clone(f.processOutages[name]), f.processOutages[coreMajority]...) {
			if o.from.After(from.Add(bound)) || o.from.After(now) {
				continue
			}
			if o.to.IsZero() {
				return now, o.cause, true
			}
			if o.to.After(from) {
				from, cause, again = o.to, o.cause, true
			}
		}
	}
	return from, cause, false
}

// outageCauses lists why a machine was out within a span.
func (f *Fleet) outageCauses(name string, from, to time.Time) map[string]bool {
	causes := map[string]bool{}
	for _, o := range f.processOutages[name] {
		if o.from.Before(to) && (o.to.IsZero() || o.to.After(from)) {
			causes[o.cause] = true
		}
	}
	return causes
}

// trackRevision follows an epoch to each sidecar. The bound runs from the confirmation, or from
// the end of what kept everybody from making that sidecar know it.
func (f *Fleet) trackRevision(ctx context.Context, revision ident.Epoch, confirmedAt time.Time) {
	for _, sidecar := range f.Sidecars {
		f.revisionWaits.Add(1)
		go func() {
			defer f.revisionWaits.Done()
			f.awaitRevision(ctx, sidecar, revision, confirmedAt)
		}()
	}
}

func (f *Fleet) awaitRevision(ctx context.Context, sidecar *process.Process, revision ident.Epoch, confirmedAt time.Time) {
	const rule = "manifest-late"
	ticker := time.NewTicker(15 * time.Millisecond)
	defer ticker.Stop()
	for {
		var status struct {
			Epoch ident.Epoch `json:"manifest"`
		}
		askedAt := time.Now()
		_, err := sidecar.Request(500*time.Millisecond, "GET", "/status", nil, &status)
		if done := f.judgeRevision(rule, sidecar, revision, confirmedAt, askedAt, status.Epoch, err == nil); done {
			return
		}
		select {
		case <-ctx.Done():
			f.mu.Lock()
			f.Checker.Excuse(rule, "the day ended")
			f.mu.Unlock()
			return
		case <-ticker.C:
		}
	}
}

// judgeRevision judges one look. A return without the epoch proves that it was missing still
// after the question was sent.
func (f *Fleet) judgeRevision(rule string, sidecar *process.Process, revision ident.Epoch, confirmedAt, askedAt time.Time, reported ident.Epoch, answered bool) (done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from, cause, ongoing := f.boundStart(sidecar.Name, confirmedAt, time.Now(), invariant.ConfigDeadline)
	late := !ongoing && askedAt.Sub(from) > invariant.ConfigDeadline
	if answered && reported >= revision {
		f.Checker.Observe(rule)
		if cause != "" {
			f.Checker.ObserveDelayed(rule, cause)
		} else {
			f.ApplyDelays = append(f.ApplyDelays, time.Since(confirmedAt))
		}
		return true
	}
	if late && answered {
		f.Checker.Observe(rule)
		f.Checker.Violate(f.sinceStart(askedAt), rule, "%s has epoch %d %v after %d was confirmed, waited for the end of %q", sidecar.Name, reported, askedAt.Sub(confirmedAt), revision, cause)
		return true
	}
	if late && askedAt.Sub(from) > 2*invariant.ConfigDeadline {
		f.Checker.Observe(rule)
		f.Checker.Violate(f.sinceStart(askedAt), rule, "%s does not say what is in force %v after %d was confirmed", sidecar.Name, askedAt.Sub(confirmedAt), revision)
		return true
	}
	return false
}

// callTotals are a service's calls and further tries over all nodes.
type callTotals struct{ calls, retries float64 }

// counterTotals sums what the sidecars count, over all their runs.
type counterTotals struct {
	fleet          *Fleet
	newestRevision map[string]ident.Epoch
	lastCounters   map[string]map[string]int64
	totals         map[string]callTotals
	history        []totalsAt
}

type totalsAt struct {
	at     time.Time
	totals map[string]callTotals
}

func (f *Fleet) newCounterTotals() *counterTotals {
	return &counterTotals{fleet: f, newestRevision: map[string]ident.Epoch{}, lastCounters: map[string]map[string]int64{}, totals: map[string]callTotals{}}
}

// add takes one sidecar's counters: the epoch in force must not fall back.
func (ct *counterTotals) add(name string, counters map[string]int64) {
	f := ct.fleet
	if revision := ident.Epoch(counters["manifest_epoch"]); revision > 0 {
		f.mu.Lock()
		f.Checker.Observe("manifest-back")
		if revision < ct.newestRevision[name] {
			f.Checker.Violate(f.now(), "manifest-back", "%s shows epoch %d after %d", name, revision, ct.newestRevision[name])
		}
		f.mu.Unlock()
		ct.newestRevision[name] = max(ct.newestRevision[name], revision)
	}
	for counter, n := range counters {
		kind, service, ok := strings.Cut(counter, ".")
		if !ok || kind != "calls" && kind != "further_tries" {
			continue
		}
		old := ct.lastCounters[name][counter]
		if n < old {
			old = 0 // a new run of the sidecar
		}
		total := ct.totals[service]
		if kind == "calls" {
			total.calls += float64(n - old)
		} else {
			total.retries += float64(n - old)
		}
		ct.totals[service] = total
	}
	ct.lastCounters[name] = counters
}

// judge looks at the window that ends now.
func (ct *counterTotals) judge(at time.Time) {
	f := ct.fleet
	now := totalsAt{at, maps.Clone(ct.totals)}
	ct.history = append(ct.history, now)
	for i := len(ct.history) - 1; i >= 0; i-- {
		if now.at.Sub(ct.history[i].at) < 10*time.Second {
			continue
		}
		for service, total := range now.totals {
			old := ct.history[i].totals[service]
			f.mu.Lock()
			f.Checker.Observe("further-tries")
			// The window seen is up to a second longer than ten.
			if retries, calls := total.retries-old.retries, total.calls-old.calls; retries > 0.2*calls+60+6 {
				f.Checker.Violate(f.now(), "further-tries", "%.0f further tries at %s beside %.0f calls", retries, service, calls)
			}
			f.mu.Unlock()
		}
		break
	}
}

// sampleCounters looks at every sidecar twice a second.
func (f *Fleet) sampleCounters(ctx context.Context) {
	ct := f.newCounterTotals()
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, sidecar := range f.Sidecars {
			var counters map[string]int64
			if _, err := sidecar.Request(300*time.Millisecond, "GET", "/counters", nil, &counters); err == nil {
				ct.add(sidecar.Name, counters)
			}
		}
		ct.judge(time.Now())
	}
}
