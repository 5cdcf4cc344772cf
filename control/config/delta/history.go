package delta

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	// maxHistorySnapshots and maxHistoryBytes bound the number and the total size of the retained
	// snapshots. The newest two snapshots are retained whatever their size.
	maxHistorySnapshots = 8
	maxHistoryBytes     = 2 << 20
)

// History retains the newest snapshots and caches the deltas to the newest snapshot. Invariants:
// snapshots are in order of revision; deltas holds only deltas to the newest snapshot, keyed by the
// revision of the base, with nil for a base without a delta worth sending.
type History struct {
	snapshots []Snapshot
	deltas    map[ident.ConfigRevision]*Delta
}

// Add appends a snapshot. A snapshot that is not newer than the newest snapshot is ignored.
func (h *History) Add(snapshot Snapshot) {
	if n := len(h.snapshots); n > 0 && h.snapshots[n-1].Revision >= snapshot.Revision {
		return
	}
	h.snapshots = append(h.snapshots, snapshot)
	h.deltas = map[ident.ConfigRevision]*Delta{}
	for len(h.snapshots) > 2 && (len(h.snapshots) > maxHistorySnapshots || h.bytes() > maxHistoryBytes) {
		h.snapshots = slices.Delete(h.snapshots, 0, 1)
	}
}

func (h *History) bytes() int {
	total := 0
	for _, snapshot := range h.snapshots {
		total += len(snapshot.Raw)
	}
	return total
}

// Since returns the delta from a revision to the newest revision. Since returns nil if the revision
// is not retained, is the newest revision, or has no delta worth sending.
func (h *History) Since(from ident.ConfigRevision) *Delta {
	if d, known := h.deltas[from]; known {
		return d
	}
	index := slices.IndexFunc(h.snapshots, func(snapshot Snapshot) bool { return snapshot.Revision == from })
	if index < 0 || index == len(h.snapshots)-1 {
		return nil
	}
	var delta *Delta
	if d, ok := Between(h.snapshots[index], h.snapshots[len(h.snapshots)-1]); ok {
		delta = &d
	}
	h.deltas[from] = delta
	return delta
}
