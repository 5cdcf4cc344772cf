// Package leasetable is a core's table of the sidecars' leases: which sidecar renews, at which
// core, and what it reports of its machine. The table is kept in memory only; the cores bring
// each other's up to date.
//
// A core is the registrar of the sidecars that renew at it. It sends the other cores what changes
// on its list, and with each heartbeat the list's checksum, by which they know that all sidecars
// on it are alive. A Table is a step function: it does no I/O and reads no clock.
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
	// LeaseTTL is how long a lease holds without renewal.
	LeaseTTL = 1500 * time.Millisecond
	// LapsedRetention is how long the records of a lapsed lease are still shown, as lapsed.
	LapsedRetention = 60 * time.Second
	// SilenceTimeout is how long a sidecar must be silent before its share of the retry budget may
	// be taken back.
	SilenceTimeout = 30 * time.Second
	// expiryCheckInterval is how often Tick looks for leases that lapsed.
	expiryCheckInterval = 50 * time.Millisecond
	// maxTrackedRenewals bounds, for each lease, the renewals that are tracked until a majority
	// knows of them.
	maxTrackedRenewals = 16
)

// trackedRenewal is a renewal at this core, and the number of the first heartbeat that announces it.
type trackedRenewal struct {
	number, heartbeat uint64
}

// entry is one sidecar. Invariants: lastRenewal is the last renewal at this core; lastHeard
// is the last recorded sign of life from another core; registrar is another core that lists the
// sidecar, nil if none is known to.
type entry struct {
	report        record.Report
	lastHeard     monotime.Time
	lastRenewal   monotime.Time
	registrar     *registrar
	lapsed        bool
	feedVersion   uint64 // of the change at which set was built
	set           record.Set
	renewals      []trackedRenewal
	attemptCounts map[ident.Service]reconcile.CallCounts
}

// renewedWithin reports whether the sidecar renewed at this core within a time span before now.
func (e *entry) renewedWithin(now monotime.Time, span time.Duration) bool {
	return e.lastRenewal != 0 && now.Since(e.lastRenewal) <= span
}

// hasVersion reports whether the report is that of a lease and a Seq.
func (e *entry) hasVersion(leaseEpoch ident.LeaseEpoch, seq uint64) bool {
	return e.report.LeaseEpoch == leaseEpoch && e.report.Seq == seq
}

// knowsNewer reports whether the report is newer than one of that lease and Seq.
func (e *entry) knowsNewer(leaseEpoch ident.LeaseEpoch, seq uint64) bool {
	return leaseEpoch < e.report.LeaseEpoch || leaseEpoch == e.report.LeaseEpoch && seq < e.report.Seq
}

// Table is the lease table of one core. Invariants: a report replaces only an older one of the
// same sidecar; feedVersion rises with every change of a record; order lists the entries by
// name.
type Table struct {
	entries map[ident.Node]*entry
	order   []ident.Node

	config          *validation.Config
	services        record.Set // built from the configuration
	servicesVersion uint64     // of the change at which services was built
	feedVersion     uint64

	lastCheck monotime.Time
	totals    attemptTotals

	local             *registrar          // the list of this core
	pendingUpdates    map[ident.Node]bool // changed on that list since the last PendingUpdate
	announcedChecksum uint64              // of that list at the last PendingUpdate
	lastHeartbeat     uint64              // the number of the last heartbeat that was sent
	registrars        map[ident.Addr]*registrar
}

// New makes an empty table.
func New() *Table {
	return &Table{
		entries:        map[ident.Node]*entry{},
		totals:         newAttemptTotals(),
		local:          newRegistrar(),
		pendingUpdates: map[ident.Node]bool{},
		registrars:     map[ident.Addr]*registrar{},
	}
}

// entry finds or makes the entry of a sidecar.
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
	// Changed says that the sidecar's records changed.
	Changed bool
	// ReportRequired says that the renewal had no effect, as it came without the report that this
	// core lacks.
	ReportRequired bool
}

// Renew applies a renewal. Conflict says that its lease is superseded by a newer one.
func (t *Table) Renew(now monotime.Time, renewal record.Renewal) (RenewalResult, *failure.Error) {
	e := t.entries[renewal.Node]
	switch {
	case e != nil && renewal.LeaseEpoch < e.report.LeaseEpoch:
		return RenewalResult{}, failure.New(failure.Conflict,
			"lease epoch %d of %s is superseded by %d", renewal.LeaseEpoch, renewal.Node, e.report.LeaseEpoch)
	case e != nil && e.knowsNewer(renewal.LeaseEpoch, renewal.Seq):
		return RenewalResult{}, nil // late: a renewal with a newer report was applied before
	case renewal.Report == nil && (e == nil || !e.hasVersion(renewal.LeaseEpoch, renewal.Seq)):
		return RenewalResult{ReportRequired: true}, nil
	}
	e = t.entry(renewal.Node)
	t.countAttempts(now, e, renewal)
	firstHeard := e.lastRenewal == 0 && e.lastHeard == 0
	changed := firstHeard || e.lapsed || !e.hasVersion(renewal.LeaseEpoch, renewal.Seq)
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
		t.rebuild(e)
	}
	return RenewalResult{Changed: changed}, nil
}

// track records a renewal, so that AcknowledgedRenewal can return it once a majority knows of it.
func (e *entry) track(renewal trackedRenewal) {
	e.renewals = append(e.renewals, renewal)
	if len(e.renewals) > maxTrackedRenewals {
		e.renewals = e.renewals[1:]
	}
}

// Tick lets leases lapse that were not renewed in time, and reports whether any record changed.
func (t *Table) Tick(now monotime.Time) (changed bool) {
	if now.Since(t.lastCheck) < expiryCheckInterval {
		return false
	}
	t.lastCheck = now
	for _, node := range t.order {
		e := t.entries[node]
		if t.local.has(node) && now.Since(e.lastRenewal) > LeaseTTL {
			t.unregister(node)
		}
		if holds := t.leaseHolds(now, node, e); holds == e.lapsed {
			e.lapsed, changed = !holds, true
			t.rebuild(e)
		}
		if e.lapsed && len(e.report.Workloads) > 0 && now.Since(e.lastHeard) > LapsedRetention {
			e.report.Workloads, changed = nil, true
			t.rebuild(e)
		}
	}
	return changed
}

// leaseHolds reports whether a lease holds: the sidecar renewed here, or another registrar keeps it
// alive.
func (t *Table) leaseHolds(now monotime.Time, node ident.Node, e *entry) bool {
	if e.renewedWithin(now, LeaseTTL) {
		return true
	}
	if e.registrar != nil && e.registrar.keepsAlive(now, node, e.report.LeaseEpoch) {
		return true
	}
	for _, peer := range t.registrars { // any one that keeps it alive suffices
		if peer.keepsAlive(now, node, e.report.LeaseEpoch) {
			e.registrar = peer
			return true
		}
	}
	e.lastHeard = t.lastSeen(node, e)
	return false
}

// lastSeen returns when a sidecar last showed a sign of life, here or at another core.
func (t *Table) lastSeen(node ident.Node, e *entry) monotime.Time {
	seen := max(e.lastHeard, e.lastRenewal)
	for _, peer := range t.registrars {
		if peer.has(node) {
			seen = max(seen, peer.lastHeard)
		}
	}
	return seen
}
