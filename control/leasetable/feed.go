package leasetable

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Config returns the newest configuration that this core knows, or nil if it knows none.
func (t *Table) Config() *validation.Config { return t.config }

func (t *Table) configRevision() ident.ConfigRevision {
	if t.config == nil {
		return 0
	}
	return t.config.Revision
}

// SetConfig applies a configuration if its revision is above the current revision, and reports
// whether the configuration was applied. A sidecar's set whose records do not change keeps its feed
// version; only the set's ConfigRevision is updated.
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
		t.rebuildRecords(e)
	}
	return true
}

// sameRecord reports whether two records built from the same report are equal. A configuration can
// only change which workloads have records and the namespace of a record.
func sameRecord(a, b record.Address) bool {
	return a.Workload != nil && b.Workload != nil && a.Workload.UID == b.Workload.UID && a.Workload.Namespace == b.Workload.Namespace
}

// rebuildRecords rebuilds the records of a sidecar and assigns the next feed version to its set.
func (t *Table) rebuildRecords(e *entry) {
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

// FeedVersion returns the feed version of the newest change to any set. The feed is the sequence of
// changes to the record sets, which sidecars follow by polling; feed versions number the changes.
func (t *Table) FeedVersion() uint64 { return t.feedVersion }

// ChangesSince returns the sets that changed after the given feed version of this table.
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
