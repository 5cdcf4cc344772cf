// Package way finds the way of a request: by Host, then by the longest pathStart.
package way

import (
	"slices"
	"sort"
	"strings"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/failure"
)

// Table holds the ways in force.
type Table struct{ hosts map[string]*host }

// host holds one host's ways. Invariants: ways stand in order of pathStart; over[i] is
// the place of the longest other pathStart that begins that of ways[i], -1 when there is
// none. So, of the ways up to a path in this order, the last one or one that it reaches
// over `over` is the longest that begins the path: whatever lies between a beginning of
// the path and the path begins the same.
type host struct {
	ways []*check.Way
	over []int32
}

// Build makes a table; it refers to the manifest's ways.
func Build(m *check.Manifest) *Table {
	t := &Table{hosts: map[string]*host{}}
	if m == nil {
		return t
	}
	for i := range m.Ways {
		w := &m.Ways[i]
		h := t.hosts[w.Host]
		if h == nil {
			h = &host{}
			t.hosts[w.Host] = h
		}
		h.ways = append(h.ways, w)
	}
	for _, h := range t.hosts {
		h.order()
	}
	return t
}

func (h *host) order() {
	slices.SortFunc(h.ways, func(a, b *check.Way) int { return strings.Compare(a.PathStart, b.PathStart) })
	h.over = make([]int32, len(h.ways))
	for i, w := range h.ways {
		at := int32(i - 1)
		for at >= 0 && !strings.HasPrefix(w.PathStart, h.ways[at].PathStart) {
			at = h.over[at]
		}
		h.over[i] = at
	}
}

func (h *host) find(path string) *check.Way {
	if h == nil {
		return nil
	}
	at := int32(sort.Search(len(h.ways), func(i int) bool { return h.ways[i].PathStart > path })) - 1
	for at >= 0 && !strings.HasPrefix(path, h.ways[at].PathStart) {
		at = h.over[at]
	}
	if at < 0 {
		return nil
	}
	return h.ways[at]
}

// Find finds the way; the host "*" serves hosts that have no fitting way.
func (t *Table) Find(host, path string) (check.Way, *failure.Error) {
	host = check.Host(host)
	for _, h := range [...]string{host, "*"} {
		if w := t.hosts[h].find(path); w != nil {
			return *w, nil
		}
	}
	return check.Way{}, failure.New(failure.NoRoute, "no way for host %q path %q", host, path)
}
