package ledger

import (
	"fmt"
	"hash/fnv"
	"slices"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// mark is the newest that a keeper has of one sidecar.
type mark struct {
	claim ident.Epoch
	seq   uint64
}

// hash stands for one line of a keeper's list.
func (m mark) hash(n ident.Node) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%d\x00%d", n, m.claim, m.seq)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// keeper is one core as the keeper of the sidecars that renew at it. Invariants: sum is
// the lines' hashes joined; at is the last moment at which list was known to be right.
type keeper struct {
	list map[ident.Node]mark
	sum  uint64
	at   moment.Moment
}

func (k *keeper) put(n ident.Node, m mark) {
	k.drop(n)
	k.list[n] = m
	k.sum ^= m.hash(n)
}

func (k *keeper) drop(n ident.Node) {
	if m, ok := k.list[n]; ok {
		k.sum ^= m.hash(n)
		delete(k.list, n)
	}
}

// Kept is what a keeper tells other cores of its sidecars: all of them when Whole, else
// what changed since its list had the sum Base. Sum is that of the list after it.
type Kept struct {
	Whole   bool            `json:"whole,omitempty"`
	Base    uint64          `json:"base,omitempty"`
	Sum     uint64          `json:"sum"`
	Reports []record.Report `json:"reports,omitempty"`
	Gone    []ident.Node    `json:"gone,omitempty"`
}

func (l *Ledger) keep(n ident.Node, m mark) {
	if l.own.list[n] != m {
		l.own.put(n, m)
		l.owed[n] = true
	}
}

func (l *Ledger) unkeep(n ident.Node) {
	s := l.seats[n]
	s.heard = max(s.heard, s.direct)
	l.own.drop(n)
	l.owed[n] = true
}

// Changes gives what changed among the sidecars kept here since it was last asked.
func (l *Ledger) Changes() (Kept, bool) {
	if len(l.owed) == 0 {
		return Kept{}, false
	}
	k := Kept{Base: l.said, Sum: l.own.sum}
	for n := range l.owed {
		if _, here := l.own.list[n]; here {
			k.Reports = append(k.Reports, l.seats[n].report)
		} else {
			k.Gone = append(k.Gone, n)
		}
	}
	slices.SortFunc(k.Reports, byName)
	slices.Sort(k.Gone)
	clear(l.owed)
	l.said = l.own.sum
	return k, k.Base != k.Sum
}

// Whole gives the list as last told with Changes; what is owed comes behind it.
func (l *Ledger) Whole() (Kept, bool) {
	if len(l.owed) > 0 {
		return Kept{}, false // the sum that was told is no more: after the next Changes
	}
	k := Kept{Whole: true, Sum: l.own.sum}
	for _, n := range l.order {
		if _, here := l.own.list[n]; here {
			k.Reports = append(k.Reports, l.seats[n].report)
		}
	}
	return k, true
}

// Sum is the sum of the sidecars kept here, as last told with Changes.
func (l *Ledger) Sum() uint64 { return l.said }

// Stamp says that the hello of a number goes out now; it tells of all that was taken.
func (l *Ledger) Stamp(turn uint64) { l.turn = turn }

// Took is the newest renewal of a node that the hello of a number told of, 0 if none.
func (l *Ledger) Took(n ident.Node, turn uint64) uint64 {
	out := uint64(0)
	if s := l.seats[n]; s != nil {
		for _, b := range s.beats {
			if b.turn <= turn {
				out = max(out, b.n)
			}
		}
	}
	return out
}

// Hello takes a keeper's hello: all that it lists live. It is false when the list held
// here is not the one meant.
func (l *Ledger) Hello(now moment.Moment, from ident.Addr, sum uint64) bool {
	k := l.others[from]
	if k == nil {
		k = &keeper{list: map[ident.Node]mark{}}
		l.others[from] = k
	}
	if k.sum != sum {
		return false
	}
	k.at = now
	return true
}

// Take takes what a keeper tells of its sidecars. It says whether a feed must tell of it,
// and whether it fitted what is held here.
func (l *Ledger) Take(now moment.Moment, from ident.Addr, in Kept) (changed, fits bool) {
	k := l.others[from]
	switch {
	case k == nil && (in.Whole || in.Base == 0):
		k = &keeper{list: map[ident.Node]mark{}}
		l.others[from] = k
	case k == nil || !in.Whole && k.sum != in.Base:
		return false, k != nil && k.sum == in.Sum
	}
	for n := range k.list {
		if in.Whole || slices.Contains(in.Gone, n) {
			l.forget(k, n)
		}
	}
	for _, r := range in.Reports {
		k.put(r.Node, mark{r.Claim, r.Seq})
		s := l.seat(r.Node)
		if r.Claim < s.report.Claim || r.Claim == s.report.Claim && r.Seq < s.report.Seq {
			continue
		}
		fresh := s.report.Node == "" || s.lapsed || r.Claim != s.report.Claim || r.Seq != s.report.Seq
		if r.Claim != s.report.Claim {
			s.beats = nil
		}
		s.report, s.by, s.lapsed = r, k, false
		s.heard = max(s.heard, now)
		if fresh {
			l.build(s)
			changed = true
		}
	}
	k.at = now
	return changed, k.sum == in.Sum
}

// forget takes a node off a keeper's list; it was heard until the list was last right.
func (l *Ledger) forget(k *keeper, n ident.Node) {
	if s := l.seats[n]; s != nil {
		s.heard = max(s.heard, k.at)
		if s.by == k {
			s.by = nil
		}
	}
	k.drop(n)
}

// Gone forgets a keeper whose run is over: its next run keeps nobody yet.
func (l *Ledger) Gone(from ident.Addr) {
	if k := l.others[from]; k != nil {
		for n := range k.list {
			l.forget(k, n)
		}
		delete(l.others, from)
	}
}

// lists tells whether a keeper lists the node under the claim that is known here.
func (k *keeper) lists(n ident.Node, s *seat) bool {
	m, ok := k.list[n]
	return ok && m.claim == s.report.Claim
}

// alive tells whether the node's claim holds: it renewed here, or a keeper that is heard
// lists it.
func (l *Ledger) alive(now moment.Moment, n ident.Node, s *seat) bool {
	if s.direct != 0 && now.Since(s.direct) <= Lapse {
		return true
	}
	if s.by != nil && s.by.lists(n, s) && now.Since(s.by.at) <= Lapse {
		return true
	}
	for _, k := range l.others { // any will do
		if k.lists(n, s) && now.Since(k.at) <= Lapse {
			s.by = k
			return true
		}
	}
	s.heard = l.sign(n, s)
	return false
}

// sign is the last sign of the node, by any way.
func (l *Ledger) sign(n ident.Node, s *seat) moment.Moment {
	at := max(s.heard, s.direct)
	for _, k := range l.others {
		if _, ok := k.list[n]; ok {
			at = max(at, k.at)
		}
	}
	return at
}
