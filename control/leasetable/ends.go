package leasetable

import (
	"maps"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// attemptCounts counts how tries ended, by service.
type attemptCounts map[ident.Service]reconcile.CallCounts

// addGrowth adds what one count grew by over another.
func (counts attemptCounts) addGrowth(previous, current attemptCounts) {
	for service, count := range current {
		old := previous[service]
		if count.Total < old.Total || count.Failed < old.Failed {
			continue
		}
		sum := counts[service]
		counts[service] = reconcile.CallCounts{Total: sum.Total + count.Total - old.Total, Failed: sum.Failed + count.Failed - old.Failed}
	}
}

// attemptTotals are the ends of all nodes since this core began. Invariants: local is counted from
// renewals taken here, all from those and from the other cores' own; what a core says
// first in a run of it only sets the base.
type attemptTotals struct {
	local, all attemptCounts
	reported   map[ident.Addr]attemptCounts
	instances  map[ident.Addr]string
}

func newAttemptTotals() attemptTotals {
	return attemptTotals{local: attemptCounts{}, all: attemptCounts{}, reported: map[ident.Addr]attemptCounts{}, instances: map[ident.Addr]string{}}
}

// countAttempts adds what a node's sums grew by since its last renewal here; a new lease begins
// at nought, and the first that is heard of a node, or is heard again, only sets the base.
func (t *Table) countAttempts(now monotime.Time, e *entry, renewal record.Renewal) {
	if renewal.AttemptCounts == nil {
		return
	}
	old := attemptCounts(e.attemptCounts)
	known := e.lastRenewal != 0 && now.Since(e.lastRenewal) <= LeaseTTL
	if renewal.LeaseEpoch != e.report.LeaseEpoch {
		old = attemptCounts{}
	}
	if known && old != nil {
		t.totals.local.addGrowth(old, renewal.AttemptCounts)
		t.totals.all.addGrowth(old, renewal.AttemptCounts)
	}
	e.attemptCounts = renewal.AttemptCounts
}

// AttemptCounts sums how the tries at a service ended, over all nodes, since this core began.
func (t *Table) AttemptCounts(service ident.Service) reconcile.CallCounts {
	return t.totals.all[service]
}

// LocalAttemptCounts sums the same over the renewals taken here.
func (t *Table) LocalAttemptCounts() map[ident.Service]reconcile.CallCounts {
	return maps.Clone(t.totals.local)
}

// AddRemoteAttemptCounts takes another core's sums of the renewals taken there, in the run of it that is
// named.
func (t *Table) AddRemoteAttemptCounts(from ident.Addr, instance string, counts map[ident.Service]reconcile.CallCounts) {
	if counts == nil {
		return
	}
	if t.totals.instances[from] == instance {
		t.totals.all.addGrowth(t.totals.reported[from], counts)
	}
	t.totals.instances[from], t.totals.reported[from] = instance, counts
}
