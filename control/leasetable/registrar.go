package leasetable

import (
	"fmt"
	"hash/fnv"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

// leaseVersion is the newest that a registrar has of one sidecar.
type leaseVersion struct {
	epoch ident.Epoch
	seq   uint64
}

// hash stands for one line of a registrar's list.
func (v leaseVersion) hash(node ident.Node) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%d\x00%d", node, v.epoch, v.seq)
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

func (r *registrar) add(node ident.Node, version leaseVersion) {
	r.remove(node)
	r.leases[node] = version
	r.sum ^= version.hash(node)
}

func (r *registrar) remove(node ident.Node) {
	if version, ok := r.leases[node]; ok {
		r.sum ^= version.hash(node)
		delete(r.leases, node)
	}
}

// Update is what a registrar tells other cores of its sidecars: all of them when Whole, else
// what changed since its list had the sum Base. Sum is that of the list after it.
type Update struct {
	Full    bool            `json:"whole,omitempty"`
	BaseSum uint64          `json:"base,omitempty"`
	Sum     uint64          `json:"sum"`
	Reports []record.Report `json:"reports,omitempty"`
	Removed []ident.Node    `json:"gone,omitempty"`
}

func (t *Table) register(node ident.Node, version leaseVersion) {
	if t.local.leases[node] != version {
		t.local.add(node, version)
		t.pendingUpdates[node] = true
	}
}

func (t *Table) unregister(node ident.Node) {
	e := t.entries[node]
	e.lastHeard = max(e.lastHeard, e.lastRenewal)
	t.local.remove(node)
	t.pendingUpdates[node] = true
}

// PendingUpdate gives what changed among the sidecars kept here since it was last asked.
func (t *Table) PendingUpdate() (Update, bool) {
	if len(t.pendingUpdates) == 0 {
		return Update{}, false
	}
	update := Update{BaseSum: t.lastAnnouncedSum, Sum: t.local.sum}
	for node := range t.pendingUpdates {
		if _, local := t.local.leases[node]; local {
			update.Reports = append(update.Reports, t.entries[node].report)
		} else {
			update.Removed = append(update.Removed, node)
		}
	}
	slices.SortFunc(update.Reports, byName)
	slices.Sort(update.Removed)
	clear(t.pendingUpdates)
	t.lastAnnouncedSum = t.local.sum
	return update, update.BaseSum != update.Sum
}

// FullUpdate gives the list as last told with PendingUpdate; what is pending comes behind it.
func (t *Table) FullUpdate() (Update, bool) {
	if len(t.pendingUpdates) > 0 {
		return Update{}, false // the sum that was told is no more: after the next PendingUpdate
	}
	update := Update{Full: true, Sum: t.local.sum}
	for _, node := range t.order {
		if _, local := t.local.leases[node]; local {
			update.Reports = append(update.Reports, t.entries[node].report)
		}
	}
	return update, true
}

// AnnouncedSum is the sum of the sidecars kept here, as last told with PendingUpdate.
func (t *Table) AnnouncedSum() uint64 { return t.lastAnnouncedSum }

// StampHeartbeat says that the heartbeat of a number goes out now; it tells of all that was taken.
func (t *Table) StampHeartbeat(number uint64) { t.lastHeartbeat = number }

// AcknowledgedRenewal is the newest renewal of a node that the heartbeat of a number told of, 0 if none.
func (t *Table) AcknowledgedRenewal(node ident.Node, heartbeat uint64) uint64 {
	newest := uint64(0)
	if e := t.entries[node]; e != nil {
		for _, tracked := range e.renewals {
			if tracked.heartbeat <= heartbeat {
				newest = max(newest, tracked.number)
			}
		}
	}
	return newest
}

// Heartbeat takes a registrar's heartbeat: all that it lists live. It is false when the list held
// here is not the one meant.
func (t *Table) Heartbeat(now monotime.Time, from ident.Addr, sum uint64) bool {
	peer := t.registrars[from]
	if peer == nil {
		peer = &registrar{leases: map[ident.Node]leaseVersion{}}
		t.registrars[from] = peer
	}
	if peer.sum != sum {
		return false
	}
	peer.lastHeard = now
	return true
}

// ApplyUpdate takes what a registrar tells of its sidecars. It says whether a feed must tell of it,
// and whether it fitted what is held here.
func (t *Table) ApplyUpdate(now monotime.Time, from ident.Addr, update Update) (changed, fits bool) {
	peer := t.registrars[from]
	switch {
	case peer == nil && (update.Full || update.BaseSum == 0):
		peer = &registrar{leases: map[ident.Node]leaseVersion{}}
		t.registrars[from] = peer
	case peer == nil || !update.Full && peer.sum != update.BaseSum:
		return false, peer != nil && peer.sum == update.Sum
	}
	for node := range peer.leases {
		if update.Full || slices.Contains(update.Removed, node) {
			t.removeFrom(peer, node)
		}
	}
	for _, report := range update.Reports {
		peer.add(report.Node, leaseVersion{report.LeaseEpoch, report.Seq})
		e := t.entry(report.Node)
		if report.LeaseEpoch < e.report.LeaseEpoch || report.LeaseEpoch == e.report.LeaseEpoch && report.Seq < e.report.Seq {
			continue
		}
		isNew := e.report.Node == "" || e.lapsed || report.LeaseEpoch != e.report.LeaseEpoch || report.Seq != e.report.Seq
		if report.LeaseEpoch != e.report.LeaseEpoch {
			e.renewals = nil
		}
		e.report, e.registrar, e.lapsed = report, peer, false
		e.lastHeard = max(e.lastHeard, now)
		if isNew {
			t.rebuild(e)
			changed = true
		}
	}
	peer.lastHeard = now
	return changed, peer.sum == update.Sum
}

// removeFrom takes a node off a registrar's list; it was heard until the list was last right.
func (t *Table) removeFrom(peer *registrar, node ident.Node) {
	if e := t.entries[node]; e != nil {
		e.lastHeard = max(e.lastHeard, peer.lastHeard)
		if e.registrar == peer {
			e.registrar = nil
		}
	}
	peer.remove(node)
}

// RemoveRegistrar forgets a registrar whose run is over: its next run keeps nobody yet.
func (t *Table) RemoveRegistrar(from ident.Addr) {
	if peer := t.registrars[from]; peer != nil {
		for node := range peer.leases {
			t.removeFrom(peer, node)
		}
		delete(t.registrars, from)
	}
}

// lists tells whether a registrar lists the node under the lease that is known here.
func (r *registrar) lists(node ident.Node, e *entry) bool {
	version, ok := r.leases[node]
	return ok && version.epoch == e.report.LeaseEpoch
}

// leaseHolds tells whether the node's lease holds: it renewed here, or a registrar that is heard
// lists it.
func (t *Table) leaseHolds(now monotime.Time, node ident.Node, e *entry) bool {
	if e.lastRenewal != 0 && now.Since(e.lastRenewal) <= LeaseTTL {
		return true
	}
	if e.registrar != nil && e.registrar.lists(node, e) && now.Since(e.registrar.lastHeard) <= LeaseTTL {
		return true
	}
	for _, peer := range t.registrars { // any will do
		if peer.lists(node, e) && now.Since(peer.lastHeard) <= LeaseTTL {
			e.registrar = peer
			return true
		}
	}
	e.lastHeard = t.lastSeen(node, e)
	return false
}

// lastSeen is the last sign of the node, by any way.
func (t *Table) lastSeen(node ident.Node, e *entry) monotime.Time {
	seen := max(e.lastHeard, e.lastRenewal)
	for _, peer := range t.registrars {
		if _, ok := peer.leases[node]; ok {
			seen = max(seen, peer.lastHeard)
		}
	}
	return seen
}
