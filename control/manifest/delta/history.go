package delta

import (
	"slices"

	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// historyMost and historyBytes bound the earlier versions that are kept; the one before
	// the newest is kept whatever its size.
	historyMost  = 8
	historyBytes = 2 << 20
)

// History holds the newest version and those shortly before it, for deltas to the newest.
// Invariants: versions stand in order of their revisions; made holds deltas to the newest
// only, also those found not to be worth sending.
type History struct {
	versions []Version
	made     map[ident.Epoch]*Delta
}

// Add takes a newer version in.
func (h *History) Add(v Version) {
	if n := len(h.versions); n > 0 && h.versions[n-1].Epoch >= v.Epoch {
		return
	}
	h.versions = append(h.versions, v)
	h.made = map[ident.Epoch]*Delta{}
	for len(h.versions) > 2 && (len(h.versions) > historyMost || h.bytes() > historyBytes) {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
}

func (h *History) bytes() int {
	total := 0
	for _, v := range h.versions {
		total += len(v.Raw)
	}
	return total
}

// Since gives the delta from a revision to the newest one, nil if there is none.
func (h *History) Since(from ident.Epoch) *Delta {
	if d, known := h.made[from]; known {
		return d
	}
	at := slices.IndexFunc(h.versions, func(v Version) bool { return v.Epoch == from })
	if at < 0 || at == len(h.versions)-1 {
		return nil
	}
	var made *Delta
	if d, ok := Between(h.versions[at], h.versions[len(h.versions)-1]); ok {
		made = &d
	}
	h.made[from] = made
	return made
}
