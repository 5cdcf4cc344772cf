package leasetable

import (
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// Member describes one sidecar as known to this core.
type Member struct {
	Node       ident.Node       `json:"node"`
	Addr       ident.Addr       `json:"addr"`
	Zone       ident.Zone       `json:"district"`
	LeaseEpoch ident.LeaseEpoch `json:"claim"`
	// ConfigRevision is the configuration revision in the sidecar's last renewal at this core, or
	// in the last update from its registrar.
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	Ready          bool                 `json:"ready"`
	Lapsed         bool                 `json:"lapsed"`
	Servers        int                  `json:"servers"` // number of workloads of the sidecar
}

// Members returns all known sidecars in order of node name.
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

// LeaseEpoch returns the epoch of the newest known lease of a sidecar, or 0 if there is none.
func (t *Table) LeaseEpoch(node ident.Node) ident.LeaseEpoch {
	if e := t.entries[node]; e != nil {
		return e.report.LeaseEpoch
	}
	return 0
}

// LiveCount returns the number of sidecars whose lease has not lapsed.
func (t *Table) LiveCount() (count int) {
	for _, e := range t.entries {
		if !e.lapsed {
			count++
		}
	}
	return count
}

// SilentNodes returns the given sidecars that no core is known to have heard from within
// SilenceTimeout, including the sidecars that this table does not contain.
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
