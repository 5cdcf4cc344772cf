// Package holder is the sidecar's side of its lease: at which core it is renewed, when,
// and what may be taken for granted.
package holder

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

const (
	// RenewInterval is how often a lease is renewed when there is nothing new to say, and RenewTimeout how
	// long one renewal may take. Invariant: both together, and one more renewal elsewhere,
	// stay inside table.LeaseTTL.
	RenewInterval = 400 * time.Millisecond
	RenewTimeout  = 600 * time.Millisecond
	// minAvoidance is how long a core that failed is avoided; each further failure doubles it
	// up to maxAvoidance.
	minAvoidance    = 2 * time.Second
	maxAvoidance    = 16 * time.Second
	maxSentRenewals = 32
	// maxFallbacks is how many more cores are tried at once after one that said nothing, and
	// while every one is avoided.
	maxFallbacks = 2
)

// avoidance is what is held against a core; silent, that it said nothing at all.
type avoidance struct {
	until    monotime.Time
	duration time.Duration
	silent   bool
}

type sentRenewal struct {
	number uint64
	sentAt monotime.Time
}

// Holder renews at one core, the registrar, which tells the others. Invariants: no renewal
// follows before the last one has ended; the registrar is the first, in an order that is the
// sidecar's own, of the cores that are not avoided; while all are, one that answers is kept
// to. After one that said nothing, and while all are avoided, others are tried beside it:
// one of the own district, then those that were not tried for longest. majorityAsOf is a time by which a renewal sent no
// earlier had been heard of by a majority of the voters.
type Holder struct {
	registrar    ident.Addr
	answering    map[ident.Addr]bool // cores that answered since one last did not
	followed     ident.Addr          // see Followed
	avoided      bool                // the registrar is avoided, like every other core
	renewNow     bool                // the last renewal was not enough
	lastFailed   bool                // the last renewal came to nothing
	cores        []record.CoreLocation
	coresVersion string
	avoidances   map[ident.Addr]avoidance
	fallbacks    []ident.Addr
	lastTried    map[ident.Addr]monotime.Time
	outstanding  int
	lastSent     monotime.Time // when the last renewal was sent
	lastNumber   uint64
	sentRenewals []sentRenewal
	majorityAsOf monotime.Time
	// What the registrar has: reportHeldBy says of whom it has the report, ends what it counted.
	reportHeldBy  ident.Addr
	leaseEpoch    ident.Epoch
	reportSeq     uint64
	lastReport    record.Report
	attemptCounts map[ident.Service]reconcile.CallCounts
}

// New makes one that was never renewed.
func New() *Holder {
	return &Holder{answering: map[ident.Addr]bool{}, avoidances: map[ident.Addr]avoidance{}, lastTried: map[ident.Addr]monotime.Time{}}
}

// ChooseRegistrar chooses the core to renew at and to follow, of those known; "" when there is
// none. Cores of the own district go first, then each sidecar has its own order.
func (h *Holder) ChooseRegistrar(now monotime.Time, node ident.Node, ownZone ident.Zone, cores []ident.Addr) ident.Addr {
	index := map[ident.Addr]ident.Zone{}
	for _, location := range h.cores {
		index[location.Addr] = location.Zone
	}
	type rank struct {
		addr   ident.Addr
		bad    int // 1 when it is avoided, 2 when it is silent
		tried  monotime.Time
		class  int
		weight uint64
	}
	candidates := make([]rank, 0, len(cores))
	for _, a := range cores {
		r := rank{addr: a, weight: RendezvousWeight(node, a)}
		switch zone, known := index[a]; {
		case !known:
			r.class = 2 // no core tells of it: it may be gone, or be none
		case zone != ownZone:
			r.class = 1
		}
		if avoided := h.avoidances[a]; avoided.until.After(now) {
			r.bad = 1
			if avoided.silent {
				r.bad, r.tried = 2, h.lastTried[a]
			}
		}
		candidates = append(candidates, r)
	}
	slices.SortFunc(candidates, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.bad, b.bad), cmp.Compare(a.tried, b.tried), cmp.Compare(a.class, b.class), cmp.Compare(b.weight, a.weight))
	})
	h.registrar, h.avoided, h.fallbacks = "", false, nil
	if len(candidates) == 0 {
		return ""
	}
	h.registrar, h.avoided = candidates[0].addr, candidates[0].bad > 0
	if !h.avoided && !h.lastFailed {
		return h.registrar
	}
	others := candidates[1:]
	slices.SortStableFunc(others, func(a, b rank) int { return cmp.Compare(h.lastTried[a.addr], h.lastTried[b.addr]) })
	if index := slices.IndexFunc(others, func(r rank) bool { return r.class == 0 }); index > 0 {
		sameZone := others[index] // a cut that parts districts leaves this one
		copy(others[1:index+1], others[:index])
		others[0] = sameZone
	}
	for _, r := range others[:min(len(others), maxFallbacks)] {
		h.fallbacks = append(h.fallbacks, r.addr)
	}
	return h.registrar
}

// Followed is the core to poll for news, "" when there is none. Invariant: it is a registrar that
// answered in time, or the first that was chosen. A registrar chosen because the last one was
// late is not followed before it answers: over a full link all are late, and a poll that is
// broken off with each choice would never end.
func (h *Holder) Followed() ident.Addr {
	if h.followed == "" || h.answering[h.registrar] {
		h.followed = h.registrar
	}
	return h.followed
}

// LeaseGranted says that a lease was granted: no core is followed yet.
func (h *Holder) LeaseGranted() {
	clear(h.answering)
	h.followed = ""
}

// Targets lists the cores that the renewal which begins now goes to: the registrar, and others
// while it is in doubt.
func (h *Holder) Targets() []ident.Addr { return append([]ident.Addr{h.registrar}, h.fallbacks...) }

// RendezvousWeight ranks a core for a node: each node has an order of the cores of its own.
func RendezvousWeight(node ident.Node, core ident.Addr) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(core))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(node))
	weight := hash.Sum64()
	weight ^= weight >> 33
	weight *= 0xff51afd7ed558ccd
	return weight ^ weight>>33
}

// ReportChanged tells whether a report says anything that the last one did not.
func (h *Holder) ReportChanged(leaseEpoch ident.Epoch, report record.Report) bool {
	return leaseEpoch != h.leaseEpoch || !report.SameExceptLoad(h.lastReport)
}

// RenewalDue tells whether a renewal is to be sent now.
func (h *Holder) RenewalDue(now monotime.Time, reportChanged bool) bool {
	return h.outstanding == 0 && (reportChanged || h.lastSent == 0 || now.Since(h.lastSent) >= RenewInterval || h.renewNow && !h.avoided)
}

// UntilNextRenewal is how long nothing is due unless there is news.
func (h *Holder) UntilNextRenewal(now monotime.Time) time.Duration {
	return max(0, RenewInterval-now.Since(h.lastSent))
}

// BeginRenewal makes the renewal that is sent now to the registrar. r.Seq must have risen when
// there is news.
func (h *Holder) BeginRenewal(now monotime.Time, report record.Report, counts map[ident.Service]reconcile.CallCounts) record.Renewal {
	h.lastNumber++
	h.outstanding, h.renewNow, h.lastSent = 1+len(h.fallbacks), false, now
	for _, core := range h.Targets() {
		h.lastTried[core] = now
	}
	if h.sentRenewals = append(h.sentRenewals, sentRenewal{h.lastNumber, now}); len(h.sentRenewals) > maxSentRenewals {
		h.sentRenewals = h.sentRenewals[1:]
	}
	renewal := record.Renewal{Node: report.Node, LeaseEpoch: report.LeaseEpoch, Seq: report.Seq, Number: h.lastNumber, ConfigRevision: report.ConfigRevision, CoresVersion: h.coresVersion}
	if h.avoided || h.reportHeldBy != h.registrar || report.LeaseEpoch != h.leaseEpoch || report.Seq != h.reportSeq {
		full := report
		renewal.Report = &full
	}
	h.leaseEpoch, h.reportSeq, h.lastReport = report.LeaseEpoch, report.Seq, report
	if h.reportHeldBy != h.registrar || !sameCounts(counts, h.attemptCounts) {
		renewal.AttemptCounts, h.attemptCounts = counts, counts
	}
	h.reportHeldBy = h.registrar
	return renewal
}

func sameCounts(a, b map[ident.Service]reconcile.CallCounts) bool {
	if len(a) != len(b) {
		return false
	}
	for service, count := range a {
		if b[service] != count {
			return false
		}
	}
	return true
}

// HandleResponse takes a core's response to the renewal that is out.
func (h *Holder) HandleResponse(now monotime.Time, core ident.Addr, response record.RenewalResponse) {
	h.outstanding--
	h.SetCores(response.CoresVersion, response.Cores)
	h.acknowledged(response.AcknowledgedRenewal)
	if response.ReportWanted {
		h.reportHeldBy, h.renewNow = "", true
	}
	if response.Stale || response.Leaving {
		h.avoid(now, core, false)
		h.renewNow = true
		return
	}
	delete(h.avoidances, core)
	h.lastFailed, h.answering[core] = false, true
}

// SetCores takes the cores as one of them tells, if it does.
func (h *Holder) SetCores(version string, cores []record.CoreLocation) {
	if version != "" && len(cores) > 0 {
		h.coresVersion, h.cores = version, slices.Clone(cores)
	}
}

// HandleFailure says that the renewal that is out came to nothing at a core.
func (h *Holder) HandleFailure(now monotime.Time, core ident.Addr) {
	h.outstanding--
	h.reportHeldBy, h.renewNow, h.lastFailed = "", true, true
	h.avoid(now, core, true)
}

// HandleLateResponse takes an answer that came after its renewal had failed. The core is not one that says
// nothing, so while all cores are avoided it goes before those that are; the majority that
// it tells of has heard of the renewal all the same.
func (h *Holder) HandleLateResponse(core ident.Addr, response record.RenewalResponse) {
	h.SetCores(response.CoresVersion, response.Cores)
	h.acknowledged(response.AcknowledgedRenewal)
	if entry, avoided := h.avoidances[core]; avoided {
		entry.silent = false
		h.avoidances[core] = entry
	}
}

// acknowledged notes that a majority has heard of a renewal.
func (h *Holder) acknowledged(number uint64) {
	for _, sent := range h.sentRenewals {
		if sent.number == number {
			h.majorityAsOf = max(h.majorityAsOf, sent.sentAt)
		}
	}
}

// Suspect says that the registrar may be gone: it is asked at once.
func (h *Holder) Suspect() { h.renewNow = true }

// LeaseEnded says that a core ended the lease.
func (h *Holder) LeaseEnded() {
	h.outstanding--
	h.reportHeldBy = ""
}

func (h *Holder) avoid(now monotime.Time, core ident.Addr, silent bool) {
	clear(h.answering)
	entry := h.avoidances[core]
	entry.silent = silent
	entry.duration = min(max(2*entry.duration, minAvoidance), maxAvoidance)
	entry.until = now.Add(entry.duration)
	h.avoidances[core] = entry
}

// Registrar is the registrar as last chosen.
func (h *Holder) Registrar() ident.Addr { return h.registrar }

// CoreAddrs lists the cores as the last one told.
func (h *Holder) CoreAddrs() []ident.Addr {
	addrs := make([]ident.Addr, len(h.cores))
	for i, budget := range h.cores {
		addrs[i] = budget.Addr
	}
	return addrs
}

// CoreLocations lists the same with their districts.
func (h *Holder) CoreLocations() []record.CoreLocation { return slices.Clone(h.cores) }

// MajorityAsOf is the newest time at which a renewal was sent that a majority of the voters
// has heard of, 0 if none.
func (h *Holder) MajorityAsOf() monotime.Time { return h.majorityAsOf }
