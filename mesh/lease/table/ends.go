package table

import (
	"maps"

	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// ends counts how tries ended, by service.
type ends map[ident.Service]drive.Ends

// add adds what one count grew by over another.
func (e ends) add(was, is ends) {
	for svc, n := range is {
		old := was[svc]
		if n.All < old.All || n.Bad < old.Bad {
			continue
		}
		sum := e[svc]
		e[svc] = drive.Ends{All: sum.All + n.All - old.All, Bad: sum.Bad + n.Bad - old.Bad}
	}
}

// sums are the ends of all nodes since this core began. Invariants: local is counted from
// renewals taken here, all from those and from the other cores' own; what a core says
// first in a run of it only sets the base.
type sums struct {
	local, all ends
	reported   map[ident.Addr]ends
	runs       map[ident.Addr]string
}

func newSums() sums {
	return sums{local: ends{}, all: ends{}, reported: map[ident.Addr]ends{}, runs: map[ident.Addr]string{}}
}

// count adds what a node's sums grew by since its last renewal here; a new lease begins
// at nought, and the first that is heard of a node, or is heard again, only sets the base.
func (t *Table) count(now monotime.Time, s *entry, r record.Renewal) {
	if r.Ends == nil {
		return
	}
	old := ends(s.ends)
	known := s.lastRenewal != 0 && now.Since(s.lastRenewal) <= LeaseTTL
	if r.LeaseEpoch != s.report.LeaseEpoch {
		old = ends{}
	}
	if known && old != nil {
		t.sums.local.add(old, r.Ends)
		t.sums.all.add(old, r.Ends)
	}
	s.ends = r.Ends
}

// Ends sums how the tries at a service ended, over all nodes, since this core began.
func (t *Table) Ends(svc ident.Service) drive.Ends { return t.sums.all[svc] }

// LocalEnds sums the same over the renewals taken here.
func (t *Table) LocalEnds() map[ident.Service]drive.Ends { return maps.Clone(t.sums.local) }

// AddRemoteEnds takes another core's sums of the renewals taken there, in the run of it that is
// named.
func (t *Table) AddRemoteEnds(from ident.Addr, run string, is map[ident.Service]drive.Ends) {
	if is == nil {
		return
	}
	if t.sums.runs[from] == run {
		t.sums.all.add(t.sums.reported[from], is)
	}
	t.sums.runs[from], t.sums.reported[from] = run, is
}
