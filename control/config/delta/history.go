package delta

import (
	"slices"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	// maxHistorySnapshots and historyBytes bound the earlier versions that are kept; the one before
	// the newest is kept whatever its size.
	maxHistorySnapshots = 8
	maxHistoryBytes     = 2 << 20
)

// History holds the newest version and those shortly before it, for deltas to the newest.
// Invariants: versions stand in order of their revisions; made holds deltas to the newest
// only, also those found not to be worth sending.
type History struct {
	snapshots []Snapshot
	deltas    map[ident.Epoch]*Delta
}

// Add takes a newer version in.
func (h *History) Add(snapshot Snapshot) {
	if n := len(h.snapshots); n > 0 && h.snapshots[n-1].Revision >= snapshot.Revision {
		return
	}
	h.snapshots = append(h.snapshots, snapshot)
	h.deltas = map[ident.Epoch]*Delta{}
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

// Since gives the delta from a revision to the newest one, nil if there is none.
func (h *History) Since(from ident.Epoch) *Delta {
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
