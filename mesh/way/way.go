// Package way finds the way of a request: by Host, then by the longest pathStart.
package way

import (
	"slices"
	"strings"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/defect"
)

// Table holds the ways in force. Invariant: each host's ways stand longest
// pathStart first.
type Table struct{ hosts map[string][]check.Way }

// Build makes a table.
func Build(m *check.Manifest) *Table {
	t := &Table{hosts: map[string][]check.Way{}}
	if m == nil {
		return t
	}
	for _, w := range m.Ways {
		t.hosts[w.Host] = append(t.hosts[w.Host], w)
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b check.Way) int { return len(b.PathStart) - len(a.PathStart) })
	}
	return t
}

// Find finds the way; the host "*" serves hosts that have no fitting way.
func (t *Table) Find(host, path string) (check.Way, *defect.Defect) {
	host = check.Host(host)
	for _, h := range []string{host, "*"} {
		for _, w := range t.hosts[h] {
			if strings.HasPrefix(path, w.PathStart) {
				return w, nil
			}
		}
	}
	return check.Way{}, defect.New(defect.NoWay, "no way for host %q path %q", host, path)
}
