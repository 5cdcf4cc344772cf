package ledger

import (
	"maps"

	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
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

// sums are the ends of all nodes since this core began. Invariants: here is counted from
// renewals taken here, all from those and from the other cores' own; what a core says
// first in a run of it only sets the mark.
type sums struct {
	here, all ends
	told      map[ident.Addr]ends
	marks     map[ident.Addr]string
}

func newSums() sums {
	return sums{here: ends{}, all: ends{}, told: map[ident.Addr]ends{}, marks: map[ident.Addr]string{}}
}

// count adds what a node's sums grew by since its last renewal here; a new claim begins
// at nought, and the first that is heard of a node, or is heard again, only sets the mark.
func (l *Ledger) count(now moment.Moment, s *seat, r record.Renewal) {
	if r.Ends == nil {
		return
	}
	old := ends(s.ends)
	known := s.direct != 0 && now.Since(s.direct) <= Lapse
	if r.Claim != s.report.Claim {
		old = ends{}
	}
	if known && old != nil {
		l.sums.here.add(old, r.Ends)
		l.sums.all.add(old, r.Ends)
	}
	s.ends = r.Ends
}

// Ends sums how the tries at a service ended, over all nodes, since this core began.
func (l *Ledger) Ends(svc ident.Service) drive.Ends { return l.sums.all[svc] }

// Here sums the same over the renewals taken here.
func (l *Ledger) Here() map[ident.Service]drive.Ends { return maps.Clone(l.sums.here) }

// Grown takes another core's sums of the renewals taken there, in the run of it that is
// named.
func (l *Ledger) Grown(from ident.Addr, run string, is map[ident.Service]drive.Ends) {
	if is == nil {
		return
	}
	if l.sums.marks[from] == run {
		l.sums.all.add(l.sums.told[from], is)
	}
	l.sums.marks[from], l.sums.told[from] = run, is
}
