// Package leasetable implements the table of sidecar leases that each core keeps: which sidecars
// renew, at which core, and what each sidecar reports about its machine. The table is kept in
// memory only; each core replicates its part of the table to the other cores.
//
// A core is the registrar of the sidecars that renew their leases at this core. A registrar sends
// changes of its list to the other cores. Each heartbeat of the registrar carries the checksum of
// the list; a matching checksum confirms that all sidecars on the list are alive. A Table is a step
// function: it does no I/O and does not read the clock.
package leasetable

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

const (
	// LeaseTTL is the time after the last renewal at which a lease lapses.
	LeaseTTL = 1500 * time.Millisecond
	// LapsedRetention is how long after the last contact the records of a sidecar with a lapsed
	// lease are still returned, marked as lapsed.
	LapsedRetention = 60 * time.Second
	// SilenceTimeout is how long no core may have heard from a sidecar before the sidecar's share
	// of the retry budget may be reclaimed.
	SilenceTimeout = 30 * time.Second
	// expiryCheckInterval is the interval at which Tick checks for lapsed leases.
	expiryCheckInterval = 50 * time.Millisecond
	// maxTrackedRenewals bounds the renewals per lease that are tracked until a majority
	// acknowledges them.
	maxTrackedRenewals = 16
)

// trackedRenewal is the number of a renewal at this core together with the sequence number of the
// first heartbeat that announces the renewal.
type trackedRenewal struct {
	number, heartbeat uint64
}

// entry is the table's state of one sidecar. Invariants: lastRenewal is the time of the last
// renewal at this core; lastHeard is the latest recorded time at which the sidecar is known to
// have been alive; registrar is another core that lists the sidecar, nil if none is known.
type entry struct {
	report        record.Report
	lastHeard     monotime.Time
	lastRenewal   monotime.Time
	registrar     *registrar
	lapsed        bool
	feedVersion   uint64 // feed version at which set was built
	set           record.Set
	renewals      []trackedRenewal
	attemptCounts map[ident.Service]reconcile.CallCounts
}

// renewedWithin reports whether the sidecar renewed at this core within the given time before now.
func (e *entry) renewedWithin(now monotime.Time, span time.Duration) bool {
	return e.lastRenewal != 0 && now.Since(e.lastRenewal) <= span
}

// hasVersion reports whether the report has the given lease epoch and Seq.
func (e *entry) hasVersion(leaseEpoch ident.LeaseEpoch, seq uint64) bool {
	return e.report.LeaseEpoch == leaseEpoch && e.report.Seq == seq
}

// isNewerThan reports whether the report is newer than a report with the given lease epoch and Seq.
func (e *entry) isNewerThan(leaseEpoch ident.LeaseEpoch, seq uint64) bool {
	return leaseEpoch < e.report.LeaseEpoch || leaseEpoch == e.report.LeaseEpoch && seq < e.report.Seq
}

// Table is the lease table of one core. Invariants: a report replaces only an older report of the
// same sidecar; feedVersion increases with every change of a record; order holds the keys of
// entries, sorted.
type Table struct {
	entries map[ident.Node]*entry
	order   []ident.Node

	config          *validation.Config
	services        record.Set // built from the configuration
	servicesVersion uint64     // feed version at which services was built
	feedVersion     uint64

	lastCheck monotime.Time
	totals    attemptTotals

	local             *registrar          // list of this core
	pendingUpdates    map[ident.Node]bool // sidecars changed in local since the last PendingUpdate
	announcedChecksum uint64              // checksum of local at the last PendingUpdate
	lastHeartbeat     uint64              // sequence number of the last heartbeat sent
	registrars        map[ident.Addr]*registrar
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries:        map[ident.Node]*entry{},
		totals:         newAttemptTotals(),
		local:          newRegistrar(),
		pendingUpdates: map[ident.Node]bool{},
		registrars:     map[ident.Addr]*registrar{},
	}
}

// entry returns the entry of a sidecar, creating it if necessary.
func (t *Table) entry(node ident.Node) *entry {
	e := t.entries[node]
	if e == nil {
		e = &entry{}
		t.entries[node] = e
		index, _ := slices.BinarySearch(t.order, node)
		t.order = slices.Insert(t.order, index, node)
	}
	return e
}

// RenewalResult is the result of a renewal.
type RenewalResult struct {
	// Changed is true if the sidecar's records changed.
	Changed bool
	// ReportRequired is true if the renewal had no effect because it carried no report and this
	// core does not have the report.
	ReportRequired bool
}

// Renew applies a renewal. It fails with Conflict if a newer lease supersedes the renewed lease.
func (t *Table) Renew(now monotime.Time, renewal record.Renewal) (RenewalResult, *failure.Error) {
	e := t.entries[renewal.Node]
	switch {
	case e != nil && renewal.LeaseEpoch < e.report.LeaseEpoch:
		return RenewalResult{}, failure.New(failure.Conflict,
			"lease epoch %d of %s is superseded by %d", renewal.LeaseEpoch, renewal.Node, e.report.LeaseEpoch)
	case e != nil && e.isNewerThan(renewal.LeaseEpoch, renewal.Seq):
		return RenewalResult{}, nil // delayed: a renewal with a newer report was applied before
	case renewal.Report == nil && (e == nil || !e.hasVersion(renewal.LeaseEpoch, renewal.Seq)):
		return RenewalResult{ReportRequired: true}, nil
	}
	e = t.entry(renewal.Node)
	t.countAttempts(now, e, renewal)
	isNew := e.lastRenewal == 0 && e.lastHeard == 0
	changed := isNew || e.lapsed || !e.hasVersion(renewal.LeaseEpoch, renewal.Seq)
	if renewal.LeaseEpoch != e.report.LeaseEpoch {
		e.renewals = nil
	}
	if renewal.Report != nil {
		e.report = *renewal.Report
		e.report.Node, e.report.LeaseEpoch, e.report.Seq = renewal.Node, renewal.LeaseEpoch, renewal.Seq
	}
	e.report.ConfigRevision = renewal.ConfigRevision
	e.lastRenewal, e.lapsed = now, false
	e.track(trackedRenewal{number: renewal.Number, heartbeat: t.lastHeartbeat + 1})
	t.register(renewal.Node, leaseVersion{renewal.LeaseEpoch, renewal.Seq})
	if changed {
		t.rebuildRecords(e)
	}
	return RenewalResult{Changed: changed}, nil
}

// track records a renewal, so that AcknowledgedRenewal can return its number once a majority has
// acknowledged a heartbeat that announces the renewal.
func (e *entry) track(renewal trackedRenewal) {
	e.renewals = append(e.renewals, renewal)
	if len(e.renewals) > maxTrackedRenewals {
		e.renewals = e.renewals[1:]
	}
}

// Tick updates which leases have lapsed, and drops the workloads of lapsed sidecars that were not
// heard from for longer than LapsedRetention. Tick reports whether any record changed.
func (t *Table) Tick(now monotime.Time) (changed bool) {
	if now.Since(t.lastCheck) < expiryCheckInterval {
		return false
	}
	t.lastCheck = now
	for _, node := range t.order {
		e := t.entries[node]
		if t.local.contains(node) && now.Since(e.lastRenewal) > LeaseTTL {
			t.unregister(node)
		}
		if holds := t.leaseHolds(now, node, e); holds == e.lapsed {
			e.lapsed, changed = !holds, true
			t.rebuildRecords(e)
		}
		if e.lapsed && len(e.report.Workloads) > 0 && now.Since(e.lastHeard) > LapsedRetention {
			e.report.Workloads, changed = nil, true
			t.rebuildRecords(e)
		}
	}
	return changed
}

// leaseHolds reports whether a lease holds: the sidecar renewed at this core within LeaseTTL, or
// another registrar confirms the lease.
func (t *Table) leaseHolds(now monotime.Time, node ident.Node, e *entry) bool {
	if e.renewedWithin(now, LeaseTTL) {
		return true
	}
	if e.registrar != nil && e.registrar.keepsAlive(now, node, e.report.LeaseEpoch) {
		return true
	}
	for _, peer := range t.registrars { // one registrar that confirms the lease suffices
		if peer.keepsAlive(now, node, e.report.LeaseEpoch) {
			e.registrar = peer
			return true
		}
	}
	e.lastHeard = t.lastSeen(node, e)
	return false
}

// lastSeen returns the latest time at which the sidecar is known to have been alive, from renewals
// at this core and from the lists of the other registrars.
func (t *Table) lastSeen(node ident.Node, e *entry) monotime.Time {
	seen := max(e.lastHeard, e.lastRenewal)
	for _, peer := range t.registrars {
		if peer.contains(node) {
			seen = max(seen, peer.lastHeard)
		}
	}
	return seen
}
