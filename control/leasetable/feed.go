package leasetable

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Config returns the newest configuration that this core knows, nil if there is none.
func (t *Table) Config() *validation.Config { return t.config }

func (t *Table) configRevision() ident.ConfigRevision {
	if t.config == nil {
		return 0
	}
	return t.config.Revision
}

// SetConfig adopts a configuration, and reports whether it is newer than the present one. A set
// whose records do not change keeps its feed version; it only carries the newer revision from now on.
func (t *Table) SetConfig(config *validation.Config) bool {
	if t.config != nil && config.Revision <= t.config.Revision {
		return false
	}
	t.config = config
	t.feedVersion++
	t.servicesVersion, t.services = t.feedVersion, record.FromConfig(config)
	for _, node := range t.order {
		e := t.entries[node]
		if slices.EqualFunc(e.set.Records, record.FromReport(e.report, config), sameRecord) {
			e.set.ConfigRevision = config.Revision
			continue
		}
		t.rebuild(e)
	}
	return true
}

// sameRecord reports whether two records that were built from one report are the same.
func sameRecord(a, b record.Address) bool {
	return a.Workload != nil && b.Workload != nil && a.Workload.UID == b.Workload.UID && a.Workload.Namespace == b.Workload.Namespace
}

// rebuild builds the records of a sidecar again, under the next feed version.
func (t *Table) rebuild(e *entry) {
	t.feedVersion++
	e.feedVersion = t.feedVersion
	e.set = record.Set{
		Author:         e.report.Node,
		LeaseEpoch:     e.report.LeaseEpoch,
		Seq:            e.report.Seq,
		ConfigRevision: t.configRevision(),
		Lapsed:         e.lapsed,
		Records:        record.FromReport(e.report, t.config),
	}
}

// FeedVersion returns the version of the newest change.
func (t *Table) FeedVersion() uint64 { return t.feedVersion }

// ChangesSince returns the sets that changed after a feed version of this table.
func (t *Table) ChangesSince(version uint64) []record.Set {
	sets := []record.Set{}
	if t.feedVersion <= version {
		return sets
	}
	if t.servicesVersion > version {
		sets = append(sets, t.services)
	}
	for _, node := range t.order {
		if e := t.entries[node]; e.feedVersion > version {
			sets = append(sets, e.set)
		}
	}
	return sets
}
