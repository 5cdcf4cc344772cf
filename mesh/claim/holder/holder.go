// Package holder is the sidecar's side of its claim: at which core it is renewed, when,
// and what may be taken for granted.
package holder

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	// Every is how often a claim is renewed when there is nothing new to say, and Limit how
	// long one renewal may take. Invariant: both together, and one more renewal elsewhere,
	// stay inside ledger.Lapse.
	Every = 400 * time.Millisecond
	Limit = 600 * time.Millisecond
	// avoidLeast is how long a core that failed is avoided; each further failure doubles it
	// up to avoidMost.
	avoidLeast = 2 * time.Second
	avoidMost  = 16 * time.Second
	beatsMost  = 32
	// othersMost is how many more cores are tried at once after one that said nothing, and
	// while every one is avoided.
	othersMost = 2
)

// fault is what is held against a core; mute, that it said nothing at all.
type fault struct {
	until moment.Moment
	span  time.Duration
	mute  bool
}

type sent struct {
	beat uint64
	at   moment.Moment
}

// Holder renews at one core, the keeper, which tells the others. Invariants: no renewal
// follows before the last one has ended; the keeper is the first, in an order that is the
// sidecar's own, of the cores that are not avoided; while all are, one that answers is kept
// to. After one that said nothing, and while all are avoided, others are tried beside it:
// one of the own district, then those that were not tried for longest. Majority is a moment by which a renewal sent no
// earlier had been heard of by a majority of the voters.
type Holder struct {
	keeper   ident.Addr
	bad      bool // the keeper is avoided, like every other core
	soon     bool // the last renewal was not enough
	lost     bool // the last renewal came to nothing
	places   []record.Place
	view     string
	faults   map[ident.Addr]fault
	others   []ident.Addr
	tried    map[ident.Addr]moment.Moment
	out      int
	last     moment.Moment // when the last renewal was sent
	beat     uint64
	beats    []sent
	majority moment.Moment
	// What the keeper has: given says of whom it has the report, ends what it counted.
	given ident.Addr
	claim ident.Epoch
	seq   uint64
	was   record.Report
	ends  map[ident.Service]drive.Ends
}

// New makes one that was never renewed.
func New() *Holder {
	return &Holder{faults: map[ident.Addr]fault{}, tried: map[ident.Addr]moment.Moment{}}
}

// Keeper chooses the core to renew at and to follow, of those known; "" when there is
// none. Cores of the own district go first, then each sidecar has its own order.
func (h *Holder) Keeper(now moment.Moment, node ident.Node, home ident.District, cores []ident.Addr) ident.Addr {
	at := map[ident.Addr]ident.District{}
	for _, p := range h.places {
		at[p.Addr] = p.District
	}
	type rank struct {
		addr   ident.Addr
		bad    int // 1 when it is avoided, 2 when it is mute
		tried  moment.Moment
		class  int
		weight uint64
	}
	all := make([]rank, 0, len(cores))
	for _, a := range cores {
		r := rank{addr: a, weight: Weight(node, a)}
		switch d, told := at[a]; {
		case !told:
			r.class = 2 // no core tells of it: it may be gone, or be none
		case d != home:
			r.class = 1
		}
		if f := h.faults[a]; f.until.After(now) {
			r.bad = 1
			if f.mute {
				r.bad, r.tried = 2, h.tried[a]
			}
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.bad, b.bad), cmp.Compare(a.tried, b.tried), cmp.Compare(a.class, b.class), cmp.Compare(b.weight, a.weight))
	})
	h.keeper, h.bad, h.others = "", false, nil
	if len(all) == 0 {
		return ""
	}
	h.keeper, h.bad = all[0].addr, all[0].bad > 0
	if !h.bad && !h.lost {
		return h.keeper
	}
	rest := all[1:]
	slices.SortStableFunc(rest, func(a, b rank) int { return cmp.Compare(h.tried[a.addr], h.tried[b.addr]) })
	if at := slices.IndexFunc(rest, func(r rank) bool { return r.class == 0 }); at > 0 {
		near := rest[at] // a cut that parts districts leaves this one
		copy(rest[1:at+1], rest[:at])
		rest[0] = near
	}
	for _, r := range rest[:min(len(rest), othersMost)] {
		h.others = append(h.others, r.addr)
	}
	return h.keeper
}

// To lists the cores that the renewal which begins now goes to: the keeper, and others
// while it is in doubt.
func (h *Holder) To() []ident.Addr { return append([]ident.Addr{h.keeper}, h.others...) }

// Weight ranks a core for a node: each node has an order of the cores of its own.
func Weight(n ident.Node, a ident.Addr) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(a))
	_, _ = f.Write([]byte{0})
	_, _ = f.Write([]byte(n))
	w := f.Sum64()
	w ^= w >> 33
	w *= 0xff51afd7ed558ccd
	return w ^ w>>33
}

// News tells whether a report says anything that the last one did not.
func (h *Holder) News(claim ident.Epoch, r record.Report) bool {
	return claim != h.claim || !r.Same(h.was)
}

// Due tells whether a renewal is to be sent now.
func (h *Holder) Due(now moment.Moment, news bool) bool {
	return h.out == 0 && (news || h.last == 0 || now.Since(h.last) >= Every || h.soon && !h.bad)
}

// Wait is how long nothing is due unless there is news.
func (h *Holder) Wait(now moment.Moment) time.Duration { return max(0, Every-now.Since(h.last)) }

// Begin makes the renewal that is sent now to the keeper. r.Seq must have risen when
// there is news.
func (h *Holder) Begin(now moment.Moment, r record.Report, ends map[ident.Service]drive.Ends) record.Renewal {
	h.beat++
	h.out, h.soon, h.last = 1+len(h.others), false, now
	for _, a := range h.To() {
		h.tried[a] = now
	}
	if h.beats = append(h.beats, sent{h.beat, now}); len(h.beats) > beatsMost {
		h.beats = h.beats[1:]
	}
	out := record.Renewal{Node: r.Node, Claim: r.Claim, Seq: r.Seq, Beat: h.beat, Manifest: r.Manifest, View: h.view}
	if h.bad || h.given != h.keeper || r.Claim != h.claim || r.Seq != h.seq {
		c := r
		out.Report = &c
	}
	h.claim, h.seq, h.was = r.Claim, r.Seq, r
	if h.given != h.keeper || !same(ends, h.ends) {
		out.Ends, h.ends = ends, ends
	}
	h.given = h.keeper
	return out
}

func same(a, b map[ident.Service]drive.Ends) bool {
	if len(a) != len(b) {
		return false
	}
	for svc, n := range a {
		if b[svc] != n {
			return false
		}
	}
	return true
}

// Renewed takes a core's return to the renewal that is out.
func (h *Holder) Renewed(now moment.Moment, from ident.Addr, got record.Renewed) {
	h.out--
	h.Learn(got.View, got.Cores)
	for _, b := range h.beats {
		if b.beat == got.Took {
			h.majority = max(h.majority, b.at)
		}
	}
	if got.Want {
		h.given, h.soon = "", true
	}
	if got.Stale || got.Leaving {
		h.avoid(now, from, false)
		h.soon = true
		return
	}
	delete(h.faults, from)
	h.lost = false
}

// Learn takes the cores as one of them tells, if it does.
func (h *Holder) Learn(view string, cores []record.Place) {
	if view != "" && len(cores) > 0 {
		h.view, h.places = view, slices.Clone(cores)
	}
}

// Failed says that the renewal that is out came to nothing at a core.
func (h *Holder) Failed(now moment.Moment, from ident.Addr) {
	h.out--
	h.given, h.soon, h.lost = "", true, true
	h.avoid(now, from, true)
}

// Doubt says that the keeper may be gone: it is asked at once.
func (h *Holder) Doubt() { h.soon = true }

// Ended says that a core ended the claim.
func (h *Holder) Ended() {
	h.out--
	h.given = ""
}

func (h *Holder) avoid(now moment.Moment, a ident.Addr, mute bool) {
	f := h.faults[a]
	f.mute = mute
	f.span = min(max(2*f.span, avoidLeast), avoidMost)
	f.until = now.Add(f.span)
	h.faults[a] = f
}

// At is the keeper as last chosen.
func (h *Holder) At() ident.Addr { return h.keeper }

// Told lists the cores as the last one told.
func (h *Holder) Told() []ident.Addr {
	out := make([]ident.Addr, len(h.places))
	for i, p := range h.places {
		out[i] = p.Addr
	}
	return out
}

// Places lists the same with their districts.
func (h *Holder) Places() []record.Place { return slices.Clone(h.places) }

// Majority is the newest moment at which a renewal was sent that a majority of the voters
// has heard of, 0 if none.
func (h *Holder) Majority() moment.Moment { return h.majority }
