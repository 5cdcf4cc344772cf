// Package table is the core's lease table: which sidecar renews its lease, and
// what each says of its machine. It needs no disk.
package table

import (
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	// LeaseTTL is how long a lease holds without renewal.
	LeaseTTL = 1500 * time.Millisecond
	// ForgetAfter is how long a lapsed node's records are still shown, as lapsed.
	ForgetAfter = 60 * time.Second
	// SilentAfter is how long a node must be silent before its share may be taken back.
	SilentAfter = 30 * time.Second
	// checkEvery is how often a tick looks for leases that lapsed.
	checkEvery = 50 * time.Millisecond
	// maxRenewals bounds the renewals of one lease whose spread is followed.
	maxRenewals = 16
)

// renewalSpread is one renewal taken here, and the first heartbeat that tells of it.
type renewalSpread struct {
	renewal, heartbeat uint64
}

// entry is one sidecar. Invariants: lastRenewal is the last renewal taken here, lastHeard the last
// sign of it by any way that was written down; registrar is a registrar that lists it.
type entry struct {
	report      record.Report
	lastHeard   monotime.Time
	lastRenewal monotime.Time
	registrar   *registrar
	lapsed      bool
	changedAt   uint64
	set         record.Set
	renewals    []renewalSpread
	ends        map[ident.Service]drive.Ends
}

// Table is the step function. Invariants: a report replaces only an older one of
// the same node; change rises with every change that a feed must tell; order lists the
// entries by name.
type Table struct {
	entries           map[ident.Node]*entry
	order             []ident.Node
	manifest          *check.Manifest
	services          record.Set
	servicesChangedAt uint64 // the change at which the manifest's set was last built
	change            uint64
	lastCheck         monotime.Time
	sums              sums
	local             registrar // the sidecars that renew here
	pendingUpdates    map[ident.Node]bool
	announcedSum      uint64 // the sum as told with the last PendingUpdate
	heartbeat         uint64
	registrars        map[ident.Addr]*registrar
}

// New makes an empty table.
func New() *Table {
	return &Table{entries: map[ident.Node]*entry{}, sums: newSums(), local: registrar{leases: map[ident.Node]leaseVersion{}}, pendingUpdates: map[ident.Node]bool{}, registrars: map[ident.Addr]*registrar{}}
}

func (t *Table) entry(n ident.Node) *entry {
	s := t.entries[n]
	if s == nil {
		s = &entry{}
		t.entries[n] = s
		at, _ := slices.BinarySearch(t.order, n)
		t.order = slices.Insert(t.order, at, n)
	}
	return s
}

// RenewalResult is what became of a renewal: Fresh when a feed must tell of it, Want when the
// report is needed and was not there.
type RenewalResult struct {
	Fresh, Want bool
}

// Renew takes a renewal.
func (t *Table) Renew(now monotime.Time, r record.Renewal) (RenewalResult, *failure.Error) {
	s := t.entries[r.Node]
	switch {
	case s != nil && r.LeaseEpoch < s.report.LeaseEpoch:
		return RenewalResult{}, failure.New(failure.Conflict, "claim %d of %s is superseded by %d", r.LeaseEpoch, r.Node, s.report.LeaseEpoch)
	case s != nil && r.LeaseEpoch == s.report.LeaseEpoch && r.Seq < s.report.Seq:
		return RenewalResult{}, nil // late: says nothing new and renews nothing
	case r.Report == nil && (s == nil || r.LeaseEpoch != s.report.LeaseEpoch || r.Seq != s.report.Seq):
		return RenewalResult{Want: true}, nil
	}
	s = t.entry(r.Node)
	t.count(now, s, r)
	fresh := s.lastRenewal == 0 && s.lastHeard == 0 || s.lapsed || r.LeaseEpoch != s.report.LeaseEpoch || r.Seq != s.report.Seq
	if r.LeaseEpoch != s.report.LeaseEpoch {
		s.renewals = nil
	}
	if r.Report != nil {
		s.report = *r.Report
		s.report.Node, s.report.LeaseEpoch, s.report.Seq = r.Node, r.LeaseEpoch, r.Seq
	}
	s.report.Manifest = r.Manifest
	s.lastRenewal, s.lapsed = now, false
	if s.renewals = append(s.renewals, renewalSpread{r.Beat, t.heartbeat + 1}); len(s.renewals) > maxRenewals {
		s.renewals = s.renewals[1:]
	}
	t.register(r.Node, leaseVersion{r.LeaseEpoch, r.Seq})
	if fresh {
		t.build(s)
	}
	return RenewalResult{Fresh: fresh}, nil
}

// InForce is the newest manifest that this core knows.
func (t *Table) InForce() *check.Manifest { return t.manifest }

func (t *Table) configurationEpoch() ident.Epoch {
	if t.manifest == nil {
		return 0
	}
	return t.manifest.Epoch
}

func (t *Table) build(s *entry) {
	t.change++
	s.changedAt = t.change
	s.set = record.Set{Built: t.configurationEpoch(), Author: s.report.Node, LeaseEpoch: s.report.LeaseEpoch, Seq: s.report.Seq, Lapsed: s.lapsed, Records: record.Join(s.report, t.manifest)}
}

// Manifest puts a newer manifest under the records. A set whose records stay as they are
// is no news; it is only built under the newer epoch from now on.
func (t *Table) Manifest(m *check.Manifest) bool {
	if t.manifest != nil && m.Epoch <= t.manifest.Epoch {
		return false
	}
	t.manifest = m
	t.change++
	t.servicesChangedAt, t.services = t.change, record.Services(m)
	for _, node := range t.order {
		s := t.entries[node]
		if slices.EqualFunc(s.set.Records, record.Join(s.report, m), alike) {
			s.set.Built = m.Epoch
			continue
		}
		t.build(s)
	}
	return true
}

// alike tells whether two records joined from one report are the same.
func alike(a, b record.Address) bool {
	return a.Workload != nil && b.Workload != nil && a.Workload.UID == b.Workload.UID && a.Workload.Namespace == b.Workload.Namespace
}

// Tick lets leases lapse; it says whether any did.
func (t *Table) Tick(now monotime.Time) (changed bool) {
	if now.Since(t.lastCheck) < checkEvery {
		return false
	}
	t.lastCheck = now
	for _, n := range t.order {
		s := t.entries[n]
		if _, here := t.local.leases[n]; here && now.Since(s.lastRenewal) > LeaseTTL {
			t.unregister(n)
		}
		alive := t.holds(now, n, s)
		if alive == s.lapsed {
			s.lapsed, changed = !alive, true
			t.build(s)
		}
		if s.lapsed && len(s.report.Workloads) > 0 && now.Since(s.lastHeard) > ForgetAfter {
			s.report.Workloads, changed = nil, true
			t.build(s)
		}
	}
	return changed
}

// Change is the newest change.
func (t *Table) Change() uint64 { return t.change }

// Feed gives every set that changed after a place of this table.
func (t *Table) Feed(after uint64) []record.Set {
	out := []record.Set{}
	if t.change <= after {
		return out
	}
	if t.servicesChangedAt > after {
		out = append(out, t.services)
	}
	for _, n := range t.order {
		if s := t.entries[n]; s.changedAt > after {
			out = append(out, s.set)
		}
	}
	return out
}

// Member is one sidecar as this core sees it.
type Member struct {
	Node       ident.Node     `json:"node"`
	Addr       ident.Addr     `json:"addr"`
	District   ident.District `json:"district"`
	LeaseEpoch ident.Epoch    `json:"claim"`
	Manifest   ident.Epoch    `json:"manifest"`
	Ready      bool           `json:"ready"`
	Lapsed     bool           `json:"lapsed"`
	Servers    int            `json:"servers"`
}

// Members lists the sidecars. Manifest is what the sidecar said when it last renewed
// here, or what its registrar passed on with its last change.
func (t *Table) Members() []Member {
	out := []Member{}
	for _, n := range t.order {
		r := t.entries[n].report
		out = append(out, Member{n, r.Addr, r.District, r.LeaseEpoch, r.Manifest, r.Ready, t.entries[n].lapsed, len(r.Workloads)})
	}
	return out
}

// Claim is the newest lease of a node that was heard of here, 0 if none.
func (t *Table) Claim(n ident.Node) ident.Epoch {
	if s := t.entries[n]; s != nil {
		return s.report.LeaseEpoch
	}
	return 0
}

// Live counts the sidecars whose lease holds.
func (t *Table) Live() (n int) {
	for _, s := range t.entries {
		if !s.lapsed {
			n++
		}
	}
	return n
}

// Silent picks those of the nodes that were not heard within Quiet, by any way.
func (t *Table) Silent(now monotime.Time, nodes []ident.Node) []ident.Node {
	var out []ident.Node
	for _, n := range nodes {
		s := t.entries[n]
		if s == nil || now.Since(t.lastSign(n, s)) > SilentAfter {
			out = append(out, n)
		}
	}
	return out
}

func byName(a, b record.Report) int { return strings.Compare(string(a.Node), string(b.Node)) }
