package table

import (
	"fmt"
	"hash/fnv"
	"slices"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// leaseVersion is the newest that a registrar has of one sidecar.
type leaseVersion struct {
	epoch ident.Epoch
	seq   uint64
}

// hash stands for one line of a registrar's list.
func (m leaseVersion) hash(n ident.Node) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%d\x00%d", n, m.epoch, m.seq)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// registrar is one core as the registrar of the sidecars that renew at it. Invariants: sum is
// the lines' hashes joined; lastHeard is the last time at which leases was known to be right.
type registrar struct {
	leases    map[ident.Node]leaseVersion
	sum       uint64
	lastHeard monotime.Time
}

func (r *registrar) add(n ident.Node, m leaseVersion) {
	r.remove(n)
	r.leases[n] = m
	r.sum ^= m.hash(n)
}

func (r *registrar) remove(n ident.Node) {
	if m, ok := r.leases[n]; ok {
		r.sum ^= m.hash(n)
		delete(r.leases, n)
	}
}

// Update is what a registrar tells other cores of its sidecars: all of them when Whole, else
// what changed since its list had the sum Base. Sum is that of the list after it.
type Update struct {
	Whole   bool            `json:"whole,omitempty"`
	Base    uint64          `json:"base,omitempty"`
	Sum     uint64          `json:"sum"`
	Reports []record.Report `json:"reports,omitempty"`
	Gone    []ident.Node    `json:"gone,omitempty"`
}

func (t *Table) register(n ident.Node, m leaseVersion) {
	if t.local.leases[n] != m {
		t.local.add(n, m)
		t.pendingUpdates[n] = true
	}
}

func (t *Table) unregister(n ident.Node) {
	s := t.entries[n]
	s.lastHeard = max(s.lastHeard, s.lastRenewal)
	t.local.remove(n)
	t.pendingUpdates[n] = true
}

// PendingUpdate gives what changed among the sidecars kept here since it was last asked.
func (t *Table) PendingUpdate() (Update, bool) {
	if len(t.pendingUpdates) == 0 {
		return Update{}, false
	}
	k := Update{Base: t.announcedSum, Sum: t.local.sum}
	for n := range t.pendingUpdates {
		if _, here := t.local.leases[n]; here {
			k.Reports = append(k.Reports, t.entries[n].report)
		} else {
			k.Gone = append(k.Gone, n)
		}
	}
	slices.SortFunc(k.Reports, byName)
	slices.Sort(k.Gone)
	clear(t.pendingUpdates)
	t.announcedSum = t.local.sum
	return k, k.Base != k.Sum
}

// FullUpdate gives the list as last told with PendingUpdate; what is pending comes behind it.
func (t *Table) FullUpdate() (Update, bool) {
	if len(t.pendingUpdates) > 0 {
		return Update{}, false // the sum that was told is no more: after the next PendingUpdate
	}
	k := Update{Whole: true, Sum: t.local.sum}
	for _, n := range t.order {
		if _, here := t.local.leases[n]; here {
			k.Reports = append(k.Reports, t.entries[n].report)
		}
	}
	return k, true
}

// Sum is the sum of the sidecars kept here, as last told with PendingUpdate.
func (t *Table) Sum() uint64 { return t.announcedSum }

// StampHeartbeat says that the heartbeat of a number goes out now; it tells of all that was taken.
func (t *Table) StampHeartbeat(turn uint64) { t.heartbeat = turn }

// AcknowledgedRenewal is the newest renewal of a node that the heartbeat of a number told of, 0 if none.
func (t *Table) AcknowledgedRenewal(n ident.Node, turn uint64) uint64 {
	out := uint64(0)
	if s := t.entries[n]; s != nil {
		for _, b := range s.renewals {
			if b.heartbeat <= turn {
				out = max(out, b.renewal)
			}
		}
	}
	return out
}

// Heartbeat takes a registrar's heartbeat: all that it lists live. It is false when the list held
// here is not the one meant.
func (t *Table) Heartbeat(now monotime.Time, from ident.Addr, sum uint64) bool {
	k := t.registrars[from]
	if k == nil {
		k = &registrar{leases: map[ident.Node]leaseVersion{}}
		t.registrars[from] = k
	}
	if k.sum != sum {
		return false
	}
	k.lastHeard = now
	return true
}

// ApplyUpdate takes what a registrar tells of its sidecars. It says whether a feed must tell of it,
// and whether it fitted what is held here.
func (t *Table) ApplyUpdate(now monotime.Time, from ident.Addr, in Update) (changed, fits bool) {
	k := t.registrars[from]
	switch {
	case k == nil && (in.Whole || in.Base == 0):
		k = &registrar{leases: map[ident.Node]leaseVersion{}}
		t.registrars[from] = k
	case k == nil || !in.Whole && k.sum != in.Base:
		return false, k != nil && k.sum == in.Sum
	}
	for n := range k.leases {
		if in.Whole || slices.Contains(in.Gone, n) {
			t.dropFrom(k, n)
		}
	}
	for _, r := range in.Reports {
		k.add(r.Node, leaseVersion{r.LeaseEpoch, r.Seq})
		s := t.entry(r.Node)
		if r.LeaseEpoch < s.report.LeaseEpoch || r.LeaseEpoch == s.report.LeaseEpoch && r.Seq < s.report.Seq {
			continue
		}
		fresh := s.report.Node == "" || s.lapsed || r.LeaseEpoch != s.report.LeaseEpoch || r.Seq != s.report.Seq
		if r.LeaseEpoch != s.report.LeaseEpoch {
			s.renewals = nil
		}
		s.report, s.registrar, s.lapsed = r, k, false
		s.lastHeard = max(s.lastHeard, now)
		if fresh {
			t.build(s)
			changed = true
		}
	}
	k.lastHeard = now
	return changed, k.sum == in.Sum
}

// dropFrom takes a node off a registrar's list; it was heard until the list was last right.
func (t *Table) dropFrom(k *registrar, n ident.Node) {
	if s := t.entries[n]; s != nil {
		s.lastHeard = max(s.lastHeard, k.lastHeard)
		if s.registrar == k {
			s.registrar = nil
		}
	}
	k.remove(n)
}

// RemoveRegistrar forgets a registrar whose run is over: its next run keeps nobody yet.
func (t *Table) RemoveRegistrar(from ident.Addr) {
	if k := t.registrars[from]; k != nil {
		for n := range k.leases {
			t.dropFrom(k, n)
		}
		delete(t.registrars, from)
	}
}

// lists tells whether a registrar lists the node under the lease that is known here.
func (r *registrar) lists(n ident.Node, s *entry) bool {
	m, ok := r.leases[n]
	return ok && m.epoch == s.report.LeaseEpoch
}

// holds tells whether the node's lease holds: it renewed here, or a registrar that is heard
// lists it.
func (t *Table) holds(now monotime.Time, n ident.Node, s *entry) bool {
	if s.lastRenewal != 0 && now.Since(s.lastRenewal) <= LeaseTTL {
		return true
	}
	if s.registrar != nil && s.registrar.lists(n, s) && now.Since(s.registrar.lastHeard) <= LeaseTTL {
		return true
	}
	for _, k := range t.registrars { // any will do
		if k.lists(n, s) && now.Since(k.lastHeard) <= LeaseTTL {
			s.registrar = k
			return true
		}
	}
	s.lastHeard = t.lastSign(n, s)
	return false
}

// lastSign is the last sign of the node, by any way.
func (t *Table) lastSign(n ident.Node, s *entry) monotime.Time {
	at := max(s.lastHeard, s.lastRenewal)
	for _, k := range t.registrars {
		if _, ok := k.leases[n]; ok {
			at = max(at, k.lastHeard)
		}
	}
	return at
}
