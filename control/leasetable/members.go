package leasetable

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// Member is one sidecar as this core sees it.
type Member struct {
	Node       ident.Node       `json:"node"`
	Addr       ident.Addr       `json:"addr"`
	Zone       ident.Zone       `json:"district"`
	LeaseEpoch ident.LeaseEpoch `json:"claim"`
	// ConfigRevision is that of the sidecar's last renewal here, or of the last update from its
	// registrar.
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	Ready          bool                 `json:"ready"`
	Lapsed         bool                 `json:"lapsed"`
	Servers        int                  `json:"servers"`
}

// Members lists the sidecars by name.
func (t *Table) Members() []Member {
	members := []Member{}
	for _, node := range t.order {
		e := t.entries[node]
		members = append(members, Member{
			Node:           node,
			Addr:           e.report.Addr,
			Zone:           e.report.Zone,
			LeaseEpoch:     e.report.LeaseEpoch,
			ConfigRevision: e.report.ConfigRevision,
			Ready:          e.report.Ready,
			Lapsed:         e.lapsed,
			Servers:        len(e.report.Workloads),
		})
	}
	return members
}

// LeaseEpoch returns the epoch of the newest lease of a sidecar that is known here, 0 if none.
func (t *Table) LeaseEpoch(node ident.Node) ident.LeaseEpoch {
	if e := t.entries[node]; e != nil {
		return e.report.LeaseEpoch
	}
	return 0
}

// LiveCount counts the sidecars whose lease holds.
func (t *Table) LiveCount() (count int) {
	for _, e := range t.entries {
		if !e.lapsed {
			count++
		}
	}
	return count
}

// SilentNodes returns those of the given sidecars that were not heard of within SilenceTimeout.
func (t *Table) SilentNodes(now monotime.Time, nodes []ident.Node) []ident.Node {
	var silent []ident.Node
	for _, node := range nodes {
		e := t.entries[node]
		if e == nil || now.Since(t.lastSeen(node, e)) > SilenceTimeout {
			silent = append(silent, node)
		}
	}
	return silent
}
