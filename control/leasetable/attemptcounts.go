package leasetable

import (
	"maps"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// attemptCounts holds the number of completed and failed attempts per service.
type attemptCounts map[ident.Service]reconcile.CallCounts

// addIncrease adds the increase of each count from previous to current. A decreased count means
// that the reporting process restarted; such a service is skipped.
func (counts attemptCounts) addIncrease(previous, current attemptCounts) {
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
// computed from the renewals at this core, all from these renewals and the local totals of the
// other cores; the first totals that an instance of another core reports serve only as a baseline.
type attemptTotals struct {
	local, all attemptCounts
	reported   map[ident.Addr]attemptCounts // latest local totals reported by each other core
	instances  map[ident.Addr]string        // instance ID of each other core
}

func newAttemptTotals() attemptTotals {
	return attemptTotals{
		local:     attemptCounts{},
		all:       attemptCounts{},
		reported:  map[ident.Addr]attemptCounts{},
		instances: map[ident.Addr]string{},
	}
}

// countAttempts adds the increase of a sidecar's counts since its last renewal at this core. The
// counts of a new lease start at 0. If the last renewal at this core is older than LeaseTTL, the
// counts serve only as a baseline.
func (t *Table) countAttempts(now monotime.Time, e *entry, renewal record.Renewal) {
	if renewal.AttemptCounts == nil {
		return
	}
	old := attemptCounts(e.attemptCounts)
	if renewal.LeaseEpoch != e.report.LeaseEpoch {
		old = attemptCounts{}
	}
	if old != nil && e.renewedWithin(now, LeaseTTL) {
		t.totals.local.addIncrease(old, renewal.AttemptCounts)
		t.totals.all.addIncrease(old, renewal.AttemptCounts)
	}
	e.attemptCounts = renewal.AttemptCounts
}

// AttemptCounts returns the attempt counts of a service, summed over all sidecars since this core
// started.
func (t *Table) AttemptCounts(service ident.Service) reconcile.CallCounts {
	return t.totals.all[service]
}

// LocalAttemptCounts returns the attempt counts of all services, summed over the renewals at this
// core only. The heartbeats of this core carry these counts to the other cores.
func (t *Table) LocalAttemptCounts() map[ident.Service]reconcile.CallCounts {
	return maps.Clone(t.totals.local)
}

// AddRemoteAttemptCounts adds the increase of another core's LocalAttemptCounts. The instance ID
// changes when that core restarts.
func (t *Table) AddRemoteAttemptCounts(from ident.Addr, instance string, counts map[ident.Service]reconcile.CallCounts) {
	if counts == nil {
		return
	}
	if t.totals.instances[from] == instance {
		t.totals.all.addIncrease(t.totals.reported[from], counts)
	}
	t.totals.instances[from], t.totals.reported[from] = instance, counts
}
