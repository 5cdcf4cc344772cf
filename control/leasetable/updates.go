package leasetable

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

// Update carries a registrar's list to the other cores: the whole list if Full is set, otherwise
// the changes since the list had the checksum BaseChecksum. Checksum is the checksum of the list
// after the update.
type Update struct {
	Full         bool            `json:"whole,omitempty"`
	BaseChecksum uint64          `json:"base,omitempty"`
	Checksum     uint64          `json:"sum"`
	Reports      []record.Report `json:"reports,omitempty"`
	Removed      []ident.Node    `json:"gone,omitempty"`
}

// register adds a sidecar that renews at this core to the core's list.
func (t *Table) register(node ident.Node, version leaseVersion) {
	if t.local.leases[node] != version {
		t.local.add(node, version)
		t.pendingUpdates[node] = true
	}
}

// unregister removes a sidecar from this core's list.
func (t *Table) unregister(node ident.Node) {
	e := t.entries[node]
	e.lastHeard = max(e.lastHeard, e.lastRenewal)
	t.local.remove(node)
	t.pendingUpdates[node] = true
}

// PendingUpdate returns the changes of this core's list since the last call. It reports false if
// the list did not change.
func (t *Table) PendingUpdate() (Update, bool) {
	if len(t.pendingUpdates) == 0 {
		return Update{}, false
	}
	update := Update{BaseChecksum: t.announcedChecksum, Checksum: t.local.checksum}
	for node := range t.pendingUpdates {
		if t.local.contains(node) {
			update.Reports = append(update.Reports, t.entries[node].report)
		} else {
			update.Removed = append(update.Removed, node)
		}
	}
	slices.SortFunc(update.Reports, byNode)
	slices.Sort(update.Removed)
	clear(t.pendingUpdates)
	t.announcedChecksum = t.local.checksum
	return update, update.BaseChecksum != update.Checksum
}

// FullUpdate returns this core's whole list, as announced by the last PendingUpdate. It reports
// false while the list has changes that no PendingUpdate has announced.
func (t *Table) FullUpdate() (Update, bool) {
	if len(t.pendingUpdates) > 0 {
		return Update{}, false
	}
	update := Update{Full: true, Checksum: t.local.checksum}
	for _, node := range t.order {
		if t.local.contains(node) {
			update.Reports = append(update.Reports, t.entries[node].report)
		}
	}
	return update, true
}

// AnnouncedChecksum returns the checksum of this core's list at the last PendingUpdate.
func (t *Table) AnnouncedChecksum() uint64 { return t.announcedChecksum }

// RecordHeartbeat records that this core sends the heartbeat with the given sequence number, which
// announces every renewal so far.
func (t *Table) RecordHeartbeat(number uint64) { t.lastHeartbeat = number }

// AcknowledgedRenewal returns the number of a sidecar's newest renewal that the given heartbeat or
// an earlier heartbeat announced, or 0 if there is none.
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

// ApplyHeartbeat applies another registrar's heartbeat, which confirms that all sidecars on the
// registrar's list are alive. It reports false if this core's copy of the list has a different
// checksum.
func (t *Table) ApplyHeartbeat(now monotime.Time, from ident.Addr, checksum uint64) bool {
	peer := t.registrars[from]
	if peer == nil {
		peer = newRegistrar()
		t.registrars[from] = peer
	}
	if peer.checksum != checksum {
		return false
	}
	peer.lastHeard = now
	return true
}

// ApplyUpdate applies another registrar's update. It reports whether any record changed, and
// whether this core's copy of the list now has the checksum of the update.
func (t *Table) ApplyUpdate(now monotime.Time, from ident.Addr, update Update) (changed, inSync bool) {
	peer := t.registrars[from]
	switch {
	case peer == nil && (update.Full || update.BaseChecksum == 0):
		peer = newRegistrar()
		t.registrars[from] = peer
	case peer == nil || !update.Full && peer.checksum != update.BaseChecksum:
		return false, peer != nil && peer.checksum == update.Checksum
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
	return changed, peer.checksum == update.Checksum
}

// applyReport applies the report of a sidecar that renews at another registrar, unless a newer
// report is known, and reports whether the sidecar's records changed.
func (t *Table) applyReport(now monotime.Time, peer *registrar, report record.Report) (changed bool) {
	e := t.entry(report.Node)
	if e.isNewerThan(report.LeaseEpoch, report.Seq) {
		return false
	}
	changed = e.report.Node == "" || e.lapsed || !e.hasVersion(report.LeaseEpoch, report.Seq)
	if report.LeaseEpoch != e.report.LeaseEpoch {
		e.renewals = nil
	}
	e.report, e.registrar, e.lapsed = report, peer, false
	e.lastHeard = max(e.lastHeard, now)
	if changed {
		t.rebuildRecords(e)
	}
	return changed
}

// removeFrom removes a sidecar from another registrar's list. The sidecar counts as alive up to the
// time at which the list was last confirmed.
func (t *Table) removeFrom(peer *registrar, node ident.Node) {
	if e := t.entries[node]; e != nil {
		e.lastHeard = max(e.lastHeard, peer.lastHeard)
		if e.registrar == peer {
			e.registrar = nil
		}
	}
	peer.remove(node)
}

// RemoveRegistrar drops the list of a registrar that stopped or restarted: a restarted registrar
// starts with an empty list.
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
