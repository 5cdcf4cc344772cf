// Package leasetable is the core's lease table: which sidecar renews its lease, and
// what each says of its machine. It needs no disk.
package leasetable

import (
	"slices"
	"strings"
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
	// ForgetAfter is how long a lapsed node's records are still shown, as lapsed.
	ForgetAfter = 60 * time.Second
	// SilentAfter is how long a node must be silent before its share may be taken back.
	SilentAfter = 30 * time.Second
	// expiryCheckInterval is how often a tick looks for leases that lapsed.
	expiryCheckInterval = 50 * time.Millisecond
	// maxTrackedRenewals bounds the renewals of one lease whose spread is followed.
	maxTrackedRenewals = 16
)

// trackedRenewal is one renewal taken here, and the first heartbeat that tells of it.
type trackedRenewal struct {
	number, heartbeat uint64
}

// entry is one sidecar. Invariants: lastRenewal is the last renewal taken here, lastHeard the last
// sign of it by any way that was written down; registrar is a registrar that lists it.
type entry struct {
	report        record.Report
	lastHeard     monotime.Time
	lastRenewal   monotime.Time
	registrar     *registrar
	lapsed        bool
	feedVersion   uint64
	set           record.Set
	renewals      []trackedRenewal
	attemptCounts map[ident.Service]reconcile.CallCounts
}

// Table is the step function. Invariants: a report replaces only an older one of
// the same node; change rises with every change that a feed must tell; order lists the
// entries by name.
type Table struct {
	entries          map[ident.Node]*entry
	order            []ident.Node
	config           *validation.Config
	services         record.Set
	servicesVersion  uint64 // the change at which the manifest's set was last built
	feedVersion      uint64
	lastCheck        monotime.Time
	totals           attemptTotals
	local            registrar // the sidecars that renew here
	pendingUpdates   map[ident.Node]bool
	lastAnnouncedSum uint64 // the sum as told with the last PendingUpdate
	lastHeartbeat    uint64
	registrars       map[ident.Addr]*registrar
}

// New makes an empty table.
func New() *Table {
	return &Table{entries: map[ident.Node]*entry{}, totals: newAttemptTotals(), local: registrar{leases: map[ident.Node]leaseVersion{}}, pendingUpdates: map[ident.Node]bool{}, registrars: map[ident.Addr]*registrar{}}
}

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

// RenewalResult is what became of a renewal: Fresh when a feed must tell of it, Want when the
// report is needed and was not there.
type RenewalResult struct {
	Changed, ReportWanted bool
}

// Renew takes a renewal.
func (t *Table) Renew(now monotime.Time, renewal record.Renewal) (RenewalResult, *failure.Error) {
	e := t.entries[renewal.Node]
	switch {
	case e != nil && renewal.LeaseEpoch < e.report.LeaseEpoch:
		return RenewalResult{}, failure.New(failure.Conflict, "claim %d of %s is superseded by %d", renewal.LeaseEpoch, renewal.Node, e.report.LeaseEpoch)
	case e != nil && renewal.LeaseEpoch == e.report.LeaseEpoch && renewal.Seq < e.report.Seq:
		return RenewalResult{}, nil // late: says nothing new and renews nothing
	case renewal.Report == nil && (e == nil || renewal.LeaseEpoch != e.report.LeaseEpoch || renewal.Seq != e.report.Seq):
		return RenewalResult{ReportWanted: true}, nil
	}
	e = t.entry(renewal.Node)
	t.countAttempts(now, e, renewal)
	changed := e.lastRenewal == 0 && e.lastHeard == 0 || e.lapsed || renewal.LeaseEpoch != e.report.LeaseEpoch || renewal.Seq != e.report.Seq
	if renewal.LeaseEpoch != e.report.LeaseEpoch {
		e.renewals = nil
	}
	if renewal.Report != nil {
		e.report = *renewal.Report
		e.report.Node, e.report.LeaseEpoch, e.report.Seq = renewal.Node, renewal.LeaseEpoch, renewal.Seq
	}
	e.report.ConfigRevision = renewal.ConfigRevision
	e.lastRenewal, e.lapsed = now, false
	if e.renewals = append(e.renewals, trackedRenewal{renewal.Number, t.lastHeartbeat + 1}); len(e.renewals) > maxTrackedRenewals {
		e.renewals = e.renewals[1:]
	}
	t.register(renewal.Node, leaseVersion{renewal.LeaseEpoch, renewal.Seq})
	if changed {
		t.rebuild(e)
	}
	return RenewalResult{Changed: changed}, nil
}

// Config is the newest manifest that this core knows.
func (t *Table) Config() *validation.Config { return t.config }

func (t *Table) configRevision() ident.Epoch {
	if t.config == nil {
		return 0
	}
	return t.config.Revision
}

func (t *Table) rebuild(e *entry) {
	t.feedVersion++
	e.feedVersion = t.feedVersion
	e.set = record.Set{ConfigRevision: t.configRevision(), Author: e.report.Node, LeaseEpoch: e.report.LeaseEpoch, Seq: e.report.Seq, Lapsed: e.lapsed, Records: record.FromReport(e.report, t.config)}
}

// SetConfig puts a newer manifest under the records. A set whose records stay as they are
// is no news; it is only built under the newer epoch from now on.
func (t *Table) SetConfig(cfg *validation.Config) bool {
	if t.config != nil && cfg.Revision <= t.config.Revision {
		return false
	}
	t.config = cfg
	t.feedVersion++
	t.servicesVersion, t.services = t.feedVersion, record.FromConfig(cfg)
	for _, node := range t.order {
		e := t.entries[node]
		if slices.EqualFunc(e.set.Records, record.FromReport(e.report, cfg), sameRecord) {
			e.set.ConfigRevision = cfg.Revision
			continue
		}
		t.rebuild(e)
	}
	return true
}

// sameRecord tells whether two records joined from one report are the same.
func sameRecord(a, b record.Address) bool {
	return a.Workload != nil && b.Workload != nil && a.Workload.UID == b.Workload.UID && a.Workload.Namespace == b.Workload.Namespace
}

// Tick lets leases lapse; it says whether any did.
func (t *Table) Tick(now monotime.Time) (changed bool) {
	if now.Since(t.lastCheck) < expiryCheckInterval {
		return false
	}
	t.lastCheck = now
	for _, node := range t.order {
		e := t.entries[node]
		if _, local := t.local.leases[node]; local && now.Since(e.lastRenewal) > LeaseTTL {
			t.unregister(node)
		}
		holds := t.leaseHolds(now, node, e)
		if holds == e.lapsed {
			e.lapsed, changed = !holds, true
			t.rebuild(e)
		}
		if e.lapsed && len(e.report.Workloads) > 0 && now.Since(e.lastHeard) > ForgetAfter {
			e.report.Workloads, changed = nil, true
			t.rebuild(e)
		}
	}
	return changed
}

// FeedVersion is the newest change.
func (t *Table) FeedVersion() uint64 { return t.feedVersion }

// ChangesSince gives every set that changed after a place of this table.
func (t *Table) ChangesSince(after uint64) []record.Set {
	out := []record.Set{}
	if t.feedVersion <= after {
		return out
	}
	if t.servicesVersion > after {
		out = append(out, t.services)
	}
	for _, node := range t.order {
		if e := t.entries[node]; e.feedVersion > after {
			out = append(out, e.set)
		}
	}
	return out
}

// Member is one sidecar as this core sees it.
type Member struct {
	Node           ident.Node  `json:"node"`
	Addr           ident.Addr  `json:"addr"`
	Zone           ident.Zone  `json:"district"`
	LeaseEpoch     ident.Epoch `json:"claim"`
	ConfigRevision ident.Epoch `json:"manifest"`
	Ready          bool        `json:"ready"`
	Lapsed         bool        `json:"lapsed"`
	Servers        int         `json:"servers"`
}

// Members lists the sidecars. Manifest is what the sidecar said when it last renewed
// here, or what its registrar passed on with its last change.
func (t *Table) Members() []Member {
	out := []Member{}
	for _, node := range t.order {
		report := t.entries[node].report
		out = append(out, Member{node, report.Addr, report.Zone, report.LeaseEpoch, report.ConfigRevision, report.Ready, t.entries[node].lapsed, len(report.Workloads)})
	}
	return out
}

// LeaseEpoch is the newest lease of a node that was heard of here, 0 if none.
func (t *Table) LeaseEpoch(node ident.Node) ident.Epoch {
	if e := t.entries[node]; e != nil {
		return e.report.LeaseEpoch
	}
	return 0
}

// LiveCount counts the sidecars whose lease holds.
func (t *Table) LiveCount() (count int) {
	for _, e := range t.entries {
		if !e.lapsed {
			count++
		}
	}
	return count
}

// Silent picks those of the nodes that were not heard within Quiet, by any way.
func (t *Table) Silent(now monotime.Time, nodes []ident.Node) []ident.Node {
	var out []ident.Node
	for _, node := range nodes {
		e := t.entries[node]
		if e == nil || now.Since(t.lastSeen(node, e)) > SilentAfter {
			out = append(out, node)
		}
	}
	return out
}

func byName(a, b record.Report) int { return strings.Compare(string(a.Node), string(b.Node)) }
