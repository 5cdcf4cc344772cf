// Package ledger is the core's picture of the sidecars: who renews its claim, and
// what each says of its machine. It needs no disk.
package ledger

import (
	"slices"
	"strings"
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
	// lookEvery is how often a tick looks for claims that lapsed.
	lookEvery = 50 * time.Millisecond
	// beatsMost bounds the renewals of one claim whose spread is followed.
	beatsMost = 16
)

// beat is one renewal taken here, and the first hello that tells of it.
type beat struct {
	n, turn uint64
}

// seat is one sidecar. Invariants: direct is the last renewal taken here, heard the last
// sign of it by any way that was written down; by is a keeper that lists it.
type seat struct {
	report record.Report
	heard  moment.Moment
	direct moment.Moment
	by     *keeper
	lapsed bool
	change uint64
	set    record.Set
	beats  []beat
	ends   map[ident.Service]drive.Ends
}

// Ledger is the step function. Invariants: a report replaces only an older one of
// the same node; change rises with every change that a feed must tell; order lists the
// seats by name.
type Ledger struct {
	seats    map[ident.Node]*seat
	order    []ident.Node
	manifest *check.Manifest
	services record.Set
	sealed   uint64 // the change at which the manifest's set was last built
	change   uint64
	looked   moment.Moment
	sums     sums
	own      keeper // the sidecars that renew here
	owed     map[ident.Node]bool
	said     uint64 // the sum as told with the last Changes
	turn     uint64
	others   map[ident.Addr]*keeper
}

// New makes an empty ledger.
func New() *Ledger {
	return &Ledger{seats: map[ident.Node]*seat{}, sums: newSums(), own: keeper{list: map[ident.Node]mark{}}, owed: map[ident.Node]bool{}, others: map[ident.Addr]*keeper{}}
}

func (l *Ledger) seat(n ident.Node) *seat {
	s := l.seats[n]
	if s == nil {
		s = &seat{}
		l.seats[n] = s
		at, _ := slices.BinarySearch(l.order, n)
		l.order = slices.Insert(l.order, at, n)
	}
	return s
}

// Taken is what became of a renewal: Fresh when a feed must tell of it, Want when the
// report is needed and was not there.
type Taken struct {
	Fresh, Want bool
}

// Renew takes a renewal.
func (l *Ledger) Renew(now moment.Moment, r record.Renewal) (Taken, *defect.Defect) {
	s := l.seats[r.Node]
	switch {
	case s != nil && r.Claim < s.report.Claim:
		return Taken{}, defect.New(defect.Conflict, "claim %d of %s is superseded by %d", r.Claim, r.Node, s.report.Claim)
	case s != nil && r.Claim == s.report.Claim && r.Seq < s.report.Seq:
		return Taken{}, nil // late: says nothing new and renews nothing
	case r.Report == nil && (s == nil || r.Claim != s.report.Claim || r.Seq != s.report.Seq):
		return Taken{Want: true}, nil
	}
	s = l.seat(r.Node)
	l.count(now, s, r)
	fresh := s.direct == 0 && s.heard == 0 || s.lapsed || r.Claim != s.report.Claim || r.Seq != s.report.Seq
	if r.Claim != s.report.Claim {
		s.beats = nil
	}
	if r.Report != nil {
		s.report = *r.Report
		s.report.Node, s.report.Claim, s.report.Seq = r.Node, r.Claim, r.Seq
	}
	s.report.Manifest = r.Manifest
	s.direct, s.lapsed = now, false
	if s.beats = append(s.beats, beat{r.Beat, l.turn + 1}); len(s.beats) > beatsMost {
		s.beats = s.beats[1:]
	}
	l.keep(r.Node, mark{r.Claim, r.Seq})
	if fresh {
		l.build(s)
	}
	return Taken{Fresh: fresh}, nil
}

// InForce is the newest manifest that this core knows.
func (l *Ledger) InForce() *check.Manifest { return l.manifest }

func (l *Ledger) built() ident.Epoch {
	if l.manifest == nil {
		return 0
	}
	return l.manifest.Epoch
}

func (l *Ledger) build(s *seat) {
	l.change++
	s.change = l.change
	s.set = record.Set{Built: l.built(), Author: s.report.Node, Claim: s.report.Claim, Seq: s.report.Seq, Lapsed: s.lapsed, Records: record.Join(s.report, l.manifest)}
}

// Manifest puts a newer manifest under the records. A set whose records stay as they are
// is no news; it is only built under the newer epoch from now on.
func (l *Ledger) Manifest(m *check.Manifest) bool {
	if l.manifest != nil && m.Epoch <= l.manifest.Epoch {
		return false
	}
	l.manifest = m
	l.change++
	l.sealed, l.services = l.change, record.Services(m)
	for _, node := range l.order {
		s := l.seats[node]
		if slices.EqualFunc(s.set.Records, record.Join(s.report, m), alike) {
			s.set.Built = m.Epoch
			continue
		}
		l.build(s)
	}
	return true
}

// alike tells whether two records joined from one report are the same.
func alike(a, b record.Address) bool {
	return a.Workload != nil && b.Workload != nil && a.Workload.UID == b.Workload.UID && a.Workload.Namespace == b.Workload.Namespace
}

// Tick lets claims lapse; it says whether any did.
func (l *Ledger) Tick(now moment.Moment) (changed bool) {
	if now.Since(l.looked) < lookEvery {
		return false
	}
	l.looked = now
	for _, n := range l.order {
		s := l.seats[n]
		if _, here := l.own.list[n]; here && now.Since(s.direct) > Lapse {
			l.unkeep(n)
		}
		alive := l.alive(now, n, s)
		if alive == s.lapsed {
			s.lapsed, changed = !alive, true
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
	if l.change <= after {
		return out
	}
	if l.sealed > after {
		out = append(out, l.services)
	}
	for _, n := range l.order {
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

// Members lists the sidecars. Manifest is what the sidecar said when it last renewed
// here, or what its keeper passed on with its last change.
func (l *Ledger) Members() []Member {
	out := []Member{}
	for _, n := range l.order {
		r := l.seats[n].report
		out = append(out, Member{n, r.Addr, r.District, r.Claim, r.Manifest, r.Ready, l.seats[n].lapsed, len(r.Workloads)})
	}
	return out
}

// Claim is the newest claim of a node that was heard of here, 0 if none.
func (l *Ledger) Claim(n ident.Node) ident.Epoch {
	if s := l.seats[n]; s != nil {
		return s.report.Claim
	}
	return 0
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

// Silent picks those of the nodes that were not heard within Quiet, by any way.
func (l *Ledger) Silent(now moment.Moment, nodes []ident.Node) []ident.Node {
	var out []ident.Node
	for _, n := range nodes {
		s := l.seats[n]
		if s == nil || now.Since(l.sign(n, s)) > Quiet {
			out = append(out, n)
		}
	}
	return out
}

func byName(a, b record.Report) int { return strings.Compare(string(a.Node), string(b.Node)) }
