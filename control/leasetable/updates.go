package leasetable

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Update is what a registrar sends the other cores of its list: all of it when Full, else what
// changed since the list had the sum BaseSum. Sum is that of the list after it.
type Update struct {
	Full    bool            `json:"whole,omitempty"`
	BaseSum uint64          `json:"base,omitempty"`
	Sum     uint64          `json:"sum"`
	Reports []record.Report `json:"reports,omitempty"`
	Removed []ident.Node    `json:"gone,omitempty"`
}

// register puts a sidecar that renews here on this core's list.
func (t *Table) register(node ident.Node, version leaseVersion) {
	if t.local.leases[node] != version {
		t.local.add(node, version)
		t.pendingUpdates[node] = true
	}
}

// unregister takes a sidecar off this core's list.
func (t *Table) unregister(node ident.Node) {
	e := t.entries[node]
	e.lastHeard = max(e.lastHeard, e.lastRenewal)
	t.local.remove(node)
	t.pendingUpdates[node] = true
}

// PendingUpdate gives what changed on this core's list since the last call; it is false when
// nothing did.
func (t *Table) PendingUpdate() (Update, bool) {
	if len(t.pendingUpdates) == 0 {
		return Update{}, false
	}
	update := Update{BaseSum: t.announcedSum, Sum: t.local.sum}
	for node := range t.pendingUpdates {
		if t.local.has(node) {
			update.Reports = append(update.Reports, t.entries[node].report)
		} else {
			update.Removed = append(update.Removed, node)
		}
	}
	slices.SortFunc(update.Reports, byNode)
	slices.Sort(update.Removed)
	clear(t.pendingUpdates)
	t.announcedSum = t.local.sum
	return update, update.BaseSum != update.Sum
}

// FullUpdate gives the list as the last PendingUpdate left it. It is false while there is a newer
// change: the list that was announced is no more, and is given again after the next PendingUpdate.
func (t *Table) FullUpdate() (Update, bool) {
	if len(t.pendingUpdates) > 0 {
		return Update{}, false
	}
	update := Update{Full: true, Sum: t.local.sum}
	for _, node := range t.order {
		if t.local.has(node) {
			update.Reports = append(update.Reports, t.entries[node].report)
		}
	}
	return update, true
}

// AnnouncedSum is the sum of this core's list as the last PendingUpdate left it.
func (t *Table) AnnouncedSum() uint64 { return t.announcedSum }

// StampHeartbeat notes that the heartbeat of that number goes out now: it tells of every renewal
// taken so far.
func (t *Table) StampHeartbeat(number uint64) { t.lastHeartbeat = number }

// AcknowledgedRenewal is the newest renewal of a sidecar that the heartbeat of that number told
// of, 0 if none.
func (t *Table) AcknowledgedRenewal(node ident.Node, heartbeat uint64) uint64 {
	e := t.entries[node]
	if e == nil {
		return 0
	}
	newest := uint64(0)
	for _, tracked := range e.renewals {
		if tracked.heartbeat <= heartbeat {
			newest = max(newest, tracked.number)
		}
	}
	return newest
}

// Heartbeat takes another registrar's heartbeat: all sidecars on its list are alive. It is false
// when the list that is held here does not have that sum.
func (t *Table) Heartbeat(now monotime.Time, from ident.Addr, sum uint64) bool {
	peer := t.registrars[from]
	if peer == nil {
		peer = newRegistrar()
		t.registrars[from] = peer
	}
	if peer.sum != sum {
		return false
	}
	peer.lastHeard = now
	return true
}

// ApplyUpdate applies another registrar's update. It tells whether a feed must tell of it, and
// whether the list has the registrar's sum now.
func (t *Table) ApplyUpdate(now monotime.Time, from ident.Addr, update Update) (changed, fits bool) {
	peer := t.registrars[from]
	switch {
	case peer == nil && (update.Full || update.BaseSum == 0):
		peer = newRegistrar()
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
		if t.applyReport(now, peer, report) {
			changed = true
		}
	}
	peer.lastHeard = now
	return changed, peer.sum == update.Sum
}

// applyReport takes the report of a sidecar that renews at another registrar, unless a newer one
// is known, and tells whether a feed must tell of it.
func (t *Table) applyReport(now monotime.Time, peer *registrar, report record.Report) (changed bool) {
	e := t.entry(report.Node)
	if e.knowsNewer(report.LeaseEpoch, report.Seq) {
		return false
	}
	changed = e.report.Node == "" || e.lapsed || !e.hasVersion(report.LeaseEpoch, report.Seq)
	if report.LeaseEpoch != e.report.LeaseEpoch {
		e.renewals = nil
	}
	e.report, e.registrar, e.lapsed = report, peer, false
	e.lastHeard = max(e.lastHeard, now)
	if changed {
		t.rebuild(e)
	}
	return changed
}

// removeFrom takes a sidecar off another registrar's list. It was alive until the list was last
// known to be right.
func (t *Table) removeFrom(peer *registrar, node ident.Node) {
	if e := t.entries[node]; e != nil {
		e.lastHeard = max(e.lastHeard, peer.lastHeard)
		if e.registrar == peer {
			e.registrar = nil
		}
	}
	peer.remove(node)
}

// RemoveRegistrar drops the list of a registrar whose run is over: its next run begins with an
// empty one.
func (t *Table) RemoveRegistrar(from ident.Addr) {
	peer := t.registrars[from]
	if peer == nil {
		return
	}
	for node := range peer.leases {
		t.removeFrom(peer, node)
	}
	delete(t.registrars, from)
}

func byNode(a, b record.Report) int { return strings.Compare(string(a.Node), string(b.Node)) }
