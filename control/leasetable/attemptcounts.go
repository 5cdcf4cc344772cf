package leasetable

import (
	"maps"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// attemptCounts counts by service how attempts ended.
type attemptCounts map[ident.Service]reconcile.CallCounts

// addGrowth adds the increase of each count from previous to current. A count that fell comes from
// a process that was restarted, and adds nothing.
func (counts attemptCounts) addGrowth(previous, current attemptCounts) {
	for service, count := range current {
		old := previous[service]
		if count.Total < old.Total || count.Failed < old.Failed {
			continue
		}
		sum := counts[service]
		counts[service] = reconcile.CallCounts{
			Total:  sum.Total + count.Total - old.Total,
			Failed: sum.Failed + count.Failed - old.Failed,
		}
	}
}

// attemptTotals sums the attempts of all sidecars since this core started. Invariants: local is
// counted from the renewals at this core, all from these and from the other cores' local totals;
// the first totals of another core's run are only a baseline.
type attemptTotals struct {
	local, all attemptCounts
	reported   map[ident.Addr]attemptCounts // the local totals that other cores last reported
	instances  map[ident.Addr]string        // the instance IDs of those cores
}

func newAttemptTotals() attemptTotals {
	return attemptTotals{
		local:     attemptCounts{},
		all:       attemptCounts{},
		reported:  map[ident.Addr]attemptCounts{},
		instances: map[ident.Addr]string{},
	}
}

// countAttempts adds the increase of a sidecar's counts since its last renewal here. A new lease
// begins at 0; the counts of a sidecar that has not renewed here lately are only a baseline.
func (t *Table) countAttempts(now monotime.Time, e *entry, renewal record.Renewal) {
	if renewal.AttemptCounts == nil {
		return
	}
	old := attemptCounts(e.attemptCounts)
	if renewal.LeaseEpoch != e.report.LeaseEpoch {
		old = attemptCounts{}
	}
	if old != nil && e.renewedWithin(now, LeaseTTL) {
		t.totals.local.addGrowth(old, renewal.AttemptCounts)
		t.totals.all.addGrowth(old, renewal.AttemptCounts)
	}
	e.attemptCounts = renewal.AttemptCounts
}

// AttemptCounts sums how the attempts at a service ended, over all sidecars, since this core
// started.
func (t *Table) AttemptCounts(service ident.Service) reconcile.CallCounts {
	return t.totals.all[service]
}

// LocalAttemptCounts returns the same for all services over the renewals at this core only, which
// its heartbeats carry to the other cores.
func (t *Table) LocalAttemptCounts() map[ident.Service]reconcile.CallCounts {
	return maps.Clone(t.totals.local)
}

// AddRemoteAttemptCounts takes the LocalAttemptCounts of another core; instance names its run.
func (t *Table) AddRemoteAttemptCounts(from ident.Addr, instance string, counts map[ident.Service]reconcile.CallCounts) {
	if counts == nil {
		return
	}
	if t.totals.instances[from] == instance {
		t.totals.all.addGrowth(t.totals.reported[from], counts)
	}
	t.totals.instances[from], t.totals.reported[from] = instance, counts
}
