package delta

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	// maxHistorySnapshots and maxHistoryBytes bound the retained snapshots; the newest one and
	// the one before it are retained whatever their size.
	maxHistorySnapshots = 8
	maxHistoryBytes     = 2 << 20
)

// History retains the newest snapshot and those shortly before it, and caches the deltas to
// the newest. Invariants: snapshots are in order of their revisions; deltas holds deltas to
// the newest snapshot only, with nil for those that are not worth sending.
type History struct {
	snapshots []Snapshot
	deltas    map[ident.ConfigRevision]*Delta
}

// Add appends a snapshot; one that is not newer than the newest is ignored.
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

// Since returns the delta from a revision to the newest one. It is nil if the revision is not
// retained, is the newest, or is too different.
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
