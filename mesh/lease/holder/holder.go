// Package holder is the sidecar's side of its lease: at which core it is renewed, when,
// and what may be taken for granted.
package holder

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/rollout/drive"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	// RenewEvery is how often a lease is renewed when there is nothing new to say, and RenewTimeout how
	// long one renewal may take. Invariant: both together, and one more renewal elsewhere,
	// stay inside table.LeaseTTL.
	RenewEvery   = 400 * time.Millisecond
	RenewTimeout = 600 * time.Millisecond
	// minAvoidance is how long a core that failed is avoided; each further failure doubles it
	// up to maxAvoidance.
	minAvoidance = 2 * time.Second
	maxAvoidance = 16 * time.Second
	maxRenewals  = 32
	// maxOthers is how many more cores are tried at once after one that said nothing, and
	// while every one is avoided.
	maxOthers = 2
)

// avoidance is what is held against a core; silent, that it said nothing at all.
type avoidance struct {
	until  monotime.Time
	span   time.Duration
	silent bool
}

type sentRenewal struct {
	renewal uint64
	at      monotime.Time
}

// Holder renews at one core, the registrar, which tells the others. Invariants: no renewal
// follows before the last one has ended; the registrar is the first, in an order that is the
// sidecar's own, of the cores that are not avoided; while all are, one that answers is kept
// to. After one that said nothing, and while all are avoided, others are tried beside it:
// one of the own district, then those that were not tried for longest. majorityAsOf is a time by which a renewal sent no
// earlier had been heard of by a majority of the voters.
type Holder struct {
	registrar    ident.Addr
	answers      map[ident.Addr]bool // cores that answered since one last did not
	followed     ident.Addr          // see Followed
	avoided      bool                // the registrar is avoided, like every other core
	renewNow     bool                // the last renewal was not enough
	lastFailed   bool                // the last renewal came to nothing
	places       []record.Place
	view         string
	avoidances   map[ident.Addr]avoidance
	others       []ident.Addr
	tried        map[ident.Addr]monotime.Time
	outstanding  int
	lastSent     monotime.Time // when the last renewal was sent
	renewals     uint64
	sent         []sentRenewal
	majorityAsOf monotime.Time
	// What the registrar has: reportHeldBy says of whom it has the report, ends what it counted.
	reportHeldBy ident.Addr
	leaseEpoch   ident.Epoch
	seq          uint64
	lastReport   record.Report
	ends         map[ident.Service]drive.Ends
}

// New makes one that was never renewed.
func New() *Holder {
	return &Holder{answers: map[ident.Addr]bool{}, avoidances: map[ident.Addr]avoidance{}, tried: map[ident.Addr]monotime.Time{}}
}

// ChooseRegistrar chooses the core to renew at and to follow, of those known; "" when there is
// none. Cores of the own district go first, then each sidecar has its own order.
func (h *Holder) ChooseRegistrar(now monotime.Time, node ident.Node, home ident.District, cores []ident.Addr) ident.Addr {
	at := map[ident.Addr]ident.District{}
	for _, p := range h.places {
		at[p.Addr] = p.District
	}
	type rank struct {
		addr   ident.Addr
		bad    int // 1 when it is avoided, 2 when it is silent
		tried  monotime.Time
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
		if f := h.avoidances[a]; f.until.After(now) {
			r.bad = 1
			if f.silent {
				r.bad, r.tried = 2, h.tried[a]
			}
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.bad, b.bad), cmp.Compare(a.tried, b.tried), cmp.Compare(a.class, b.class), cmp.Compare(b.weight, a.weight))
	})
	h.registrar, h.avoided, h.others = "", false, nil
	if len(all) == 0 {
		return ""
	}
	h.registrar, h.avoided = all[0].addr, all[0].bad > 0
	if !h.avoided && !h.lastFailed {
		return h.registrar
	}
	rest := all[1:]
	slices.SortStableFunc(rest, func(a, b rank) int { return cmp.Compare(h.tried[a.addr], h.tried[b.addr]) })
	if at := slices.IndexFunc(rest, func(r rank) bool { return r.class == 0 }); at > 0 {
		near := rest[at] // a cut that parts districts leaves this one
		copy(rest[1:at+1], rest[:at])
		rest[0] = near
	}
	for _, r := range rest[:min(len(rest), maxOthers)] {
		h.others = append(h.others, r.addr)
	}
	return h.registrar
}

// Followed is the core to poll for news, "" when there is none. Invariant: it is a registrar that
// answered in time, or the first that was chosen. A registrar chosen because the last one was
// late is not followed before it answers: over a full link all are late, and a poll that is
// broken off with each choice would never end.
func (h *Holder) Followed() ident.Addr {
	if h.followed == "" || h.answers[h.registrar] {
		h.followed = h.registrar
	}
	return h.followed
}

// Joined says that a lease was granted: no core is followed yet.
func (h *Holder) Joined() {
	clear(h.answers)
	h.followed = ""
}

// Targets lists the cores that the renewal which begins now goes to: the registrar, and others
// while it is in doubt.
func (h *Holder) Targets() []ident.Addr { return append([]ident.Addr{h.registrar}, h.others...) }

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

// Changed tells whether a report says anything that the last one did not.
func (h *Holder) Changed(leaseEpoch ident.Epoch, r record.Report) bool {
	return leaseEpoch != h.leaseEpoch || !r.Same(h.lastReport)
}

// Due tells whether a renewal is to be sent now.
func (h *Holder) Due(now monotime.Time, news bool) bool {
	return h.outstanding == 0 && (news || h.lastSent == 0 || now.Since(h.lastSent) >= RenewEvery || h.renewNow && !h.avoided)
}

// Wait is how long nothing is due unless there is news.
func (h *Holder) Wait(now monotime.Time) time.Duration {
	return max(0, RenewEvery-now.Since(h.lastSent))
}

// Begin makes the renewal that is sent now to the registrar. r.Seq must have risen when
// there is news.
func (h *Holder) Begin(now monotime.Time, r record.Report, ends map[ident.Service]drive.Ends) record.Renewal {
	h.renewals++
	h.outstanding, h.renewNow, h.lastSent = 1+len(h.others), false, now
	for _, a := range h.Targets() {
		h.tried[a] = now
	}
	if h.sent = append(h.sent, sentRenewal{h.renewals, now}); len(h.sent) > maxRenewals {
		h.sent = h.sent[1:]
	}
	out := record.Renewal{Node: r.Node, LeaseEpoch: r.LeaseEpoch, Seq: r.Seq, Beat: h.renewals, Manifest: r.Manifest, View: h.view}
	if h.avoided || h.reportHeldBy != h.registrar || r.LeaseEpoch != h.leaseEpoch || r.Seq != h.seq {
		c := r
		out.Report = &c
	}
	h.leaseEpoch, h.seq, h.lastReport = r.LeaseEpoch, r.Seq, r
	if h.reportHeldBy != h.registrar || !same(ends, h.ends) {
		out.Ends, h.ends = ends, ends
	}
	h.reportHeldBy = h.registrar
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

// Renewed takes a core's response to the renewal that is out.
func (h *Holder) Renewed(now monotime.Time, from ident.Addr, got record.Renewed) {
	h.outstanding--
	h.LearnCores(got.View, got.Cores)
	h.acknowledged(got.Took)
	if got.Want {
		h.reportHeldBy, h.renewNow = "", true
	}
	if got.Stale || got.Leaving {
		h.avoid(now, from, false)
		h.renewNow = true
		return
	}
	delete(h.avoidances, from)
	h.lastFailed, h.answers[from] = false, true
}

// LearnCores takes the cores as one of them tells, if it does.
func (h *Holder) LearnCores(view string, cores []record.Place) {
	if view != "" && len(cores) > 0 {
		h.view, h.places = view, slices.Clone(cores)
	}
}

// Failed says that the renewal that is out came to nothing at a core.
func (h *Holder) Failed(now monotime.Time, from ident.Addr) {
	h.outstanding--
	h.reportHeldBy, h.renewNow, h.lastFailed = "", true, true
	h.avoid(now, from, true)
}

// Late takes an answer that came after its renewal had failed. The core is not one that says
// nothing, so while all cores are avoided it goes before those that are; the majority that
// it tells of has heard of the renewal all the same.
func (h *Holder) Late(from ident.Addr, got record.Renewed) {
	h.LearnCores(got.View, got.Cores)
	h.acknowledged(got.Took)
	if a, avoided := h.avoidances[from]; avoided {
		a.silent = false
		h.avoidances[from] = a
	}
}

// acknowledged notes that a majority has heard of a renewal.
func (h *Holder) acknowledged(renewal uint64) {
	for _, b := range h.sent {
		if b.renewal == renewal {
			h.majorityAsOf = max(h.majorityAsOf, b.at)
		}
	}
}

// Suspect says that the registrar may be gone: it is asked at once.
func (h *Holder) Suspect() { h.renewNow = true }

// Ended says that a core ended the lease.
func (h *Holder) Ended() {
	h.outstanding--
	h.reportHeldBy = ""
}

func (h *Holder) avoid(now monotime.Time, a ident.Addr, mute bool) {
	clear(h.answers)
	f := h.avoidances[a]
	f.silent = mute
	f.span = min(max(2*f.span, minAvoidance), maxAvoidance)
	f.until = now.Add(f.span)
	h.avoidances[a] = f
}

// Registrar is the registrar as last chosen.
func (h *Holder) Registrar() ident.Addr { return h.registrar }

// KnownCores lists the cores as the last one told.
func (h *Holder) KnownCores() []ident.Addr {
	out := make([]ident.Addr, len(h.places))
	for i, p := range h.places {
		out[i] = p.Addr
	}
	return out
}

// Places lists the same with their districts.
func (h *Holder) Places() []record.Place { return slices.Clone(h.places) }

// MajorityAsOf is the newest time at which a renewal was sent that a majority of the voters
// has heard of, 0 if none.
func (h *Holder) MajorityAsOf() monotime.Time { return h.majorityAsOf }
