// Package ledger is the core's picture of the sidecars: who renews its claim, and
// what each says of its machine. It needs no disk.
package ledger

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	// Lapse is how long a claim holds without renewal.
	Lapse = 1500 * time.Millisecond
	// Forget is how long a lapsed node's records are still shown, as lapsed.
	Forget = 60 * time.Second
	// Quiet is how long a node must be silent before its share may be taken back.
	Quiet = 30 * time.Second
)

type seat struct {
	report record.Report
	heard  moment.Moment
	lapsed bool
	change uint64
	set    record.Set
}

// Ledger is the step function. Invariants: a report replaces only an older one of
// the same node; change rises with every change that a feed must tell.
type Ledger struct {
	seats    map[ident.Node]*seat
	manifest *check.Manifest
	services record.Set
	sealed   uint64 // the change at which the manifest's set was last built
	change   uint64
	ends     map[ident.Service]drive.Ends
}

// New makes an empty ledger.
func New() *Ledger {
	return &Ledger{seats: map[ident.Node]*seat{}, ends: map[ident.Service]drive.Ends{}}
}

// Renew takes a report. It says whether anything changed that a feed must tell.
func (l *Ledger) Renew(now moment.Moment, r record.Report) (bool, *defect.Defect) {
	s := l.seats[r.Node]
	if s == nil {
		s = &seat{}
		l.seats[r.Node] = s
	} else if r.Claim < s.report.Claim {
		return false, defect.New(defect.Conflict, "claim %d of %s is superseded by %d", r.Claim, r.Node, s.report.Claim)
	} else if r.Claim == s.report.Claim && r.Seq < s.report.Seq {
		return false, nil // late: says nothing new and renews nothing
	}
	l.count(s, r)
	fresh := s.heard == 0 || s.lapsed || r.Claim != s.report.Claim || r.Seq != s.report.Seq
	s.report, s.heard, s.lapsed = r, now, false
	if fresh {
		l.build(s)
	}
	return fresh, nil
}

// count adds what a node's sums grew by since its last report; a new claim begins at
// nought, and the first report that this core hears of a node only sets the mark.
func (l *Ledger) count(s *seat, r record.Report) {
	old := s.report.Ends
	if s.heard == 0 {
		return
	}
	if r.Claim != s.report.Claim {
		old = nil
	}
	for svc, n := range r.Ends {
		was := old[svc]
		if n.All < was.All || n.Bad < was.Bad {
			continue
		}
		e := l.ends[svc]
		l.ends[svc] = drive.Ends{All: e.All + n.All - was.All, Bad: e.Bad + n.Bad - was.Bad}
	}
}

// Ends sums how the tries at a service ended, over all nodes, since this core began.
func (l *Ledger) Ends(svc ident.Service) drive.Ends { return l.ends[svc] }

// InForce is the newest manifest that this core knows.
func (l *Ledger) InForce() *check.Manifest { return l.manifest }

func (l *Ledger) build(s *seat) {
	l.change++
	s.change = l.change
	var built ident.Epoch
	if l.manifest != nil {
		built = l.manifest.Epoch
	}
	s.set = record.Set{Built: built, Author: s.report.Node, Claim: s.report.Claim, Seq: s.report.Seq, Lapsed: s.lapsed, Records: record.Join(s.report, l.manifest)}
}

// Manifest puts a newer manifest under the records.
func (l *Ledger) Manifest(m *check.Manifest) bool {
	if l.manifest != nil && m.Epoch <= l.manifest.Epoch {
		return false
	}
	l.manifest = m
	l.change++
	l.sealed, l.services = l.change, record.Services(m)
	for _, node := range l.nodes() {
		l.build(l.seats[node])
	}
	return true
}

func (l *Ledger) nodes() []ident.Node {
	out := make([]ident.Node, 0, len(l.seats))
	for n := range l.seats {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Tick lets claims lapse; it says whether any did.
func (l *Ledger) Tick(now moment.Moment) (changed bool) {
	for _, n := range l.nodes() {
		s := l.seats[n]
		if !s.lapsed && now.Since(s.heard) > Lapse {
			s.lapsed, changed = true, true
			l.build(s)
		}
		if s.lapsed && len(s.report.Workloads) > 0 && now.Since(s.heard) > Forget {
			s.report.Workloads, changed = nil, true
			l.build(s)
		}
	}
	return changed
}

// Change is the newest change.
func (l *Ledger) Change() uint64 { return l.change }

// Feed gives every set that changed after a place of this ledger.
func (l *Ledger) Feed(after uint64) []record.Set {
	out := []record.Set{}
	if l.sealed > after {
		out = append(out, l.services)
	}
	for _, n := range l.nodes() {
		if s := l.seats[n]; s.change > after {
			out = append(out, s.set)
		}
	}
	return out
}

// Member is one sidecar as this core sees it.
type Member struct {
	Node     ident.Node     `json:"node"`
	Addr     ident.Addr     `json:"addr"`
	District ident.District `json:"district"`
	Claim    ident.Epoch    `json:"claim"`
	Manifest ident.Epoch    `json:"manifest"`
	Ready    bool           `json:"ready"`
	Lapsed   bool           `json:"lapsed"`
	Servers  int            `json:"servers"`
}

// Members lists the sidecars.
func (l *Ledger) Members() []Member {
	out := []Member{}
	for _, n := range l.nodes() {
		r := l.seats[n].report
		out = append(out, Member{n, r.Addr, r.District, r.Claim, r.Manifest, r.Ready, l.seats[n].lapsed, len(r.Workloads)})
	}
	return out
}

// Live counts the sidecars whose claim holds.
func (l *Ledger) Live() (n int) {
	for _, s := range l.seats {
		if !s.lapsed {
			n++
		}
	}
	return n
}

// Heard lists the nodes that renewed within Quiet.
func (l *Ledger) Heard(now moment.Moment) []ident.Node {
	var out []ident.Node
	for _, n := range l.nodes() {
		if now.Since(l.seats[n].heard) <= Quiet {
			out = append(out, n)
		}
	}
	return out
}
