// Package holder is the sidecar's side of its lease: at which core it is renewed and when, which
// core is followed, and how much of the retry budget may be spent.
//
// A sidecar renews at one core, its registrar, which tells the other cores. A Holder is a step
// function: it does no I/O and reads no clock, its callers pass the time in.
package holder

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
)

// The timing of renewals. Invariant: RenewInterval, RenewTimeout and one more renewal at another
// core together take less than leasetable.LeaseTTL.
const (
	// RenewInterval is how often a lease is renewed while nothing changes.
	RenewInterval = 400 * time.Millisecond
	// RenewTimeout bounds one renewal.
	RenewTimeout = 600 * time.Millisecond
)

// maxSentRenewals bounds the renewals that are remembered until a majority has heard of them.
const maxSentRenewals = 32

// sentRenewal is a renewal, and when it was sent.
type sentRenewal struct {
	number uint64
	sentAt monotime.Time
}

// Holder holds a sidecar's lease. Invariants: a renewal is sent only when the one before has
// ended at every core that it went to; any renewal sent at or before majorityAsOf, or one sent
// later, is known to a majority of the voters.
type Holder struct {
	choice

	pollTarget ident.Addr          // see PollTarget
	answering  map[ident.Addr]bool // cores that answered a renewal since one last failed to

	renewNow     bool // the last renewal failed, or did not suffice
	outstanding  int  // cores that have not answered the last renewal yet
	lastSent     monotime.Time
	lastNumber   uint64
	sentRenewals []sentRenewal
	majorityAsOf monotime.Time

	coresVersion string // of the cores that were listed last

	// What was sent last; reportHeldBy is the core that has it, "" if none is known to.
	reportHeldBy  ident.Addr
	leaseEpoch    ident.LeaseEpoch
	reportSeq     uint64
	lastReport    record.Report
	attemptCounts map[ident.Service]reconcile.CallCounts
}

// New makes a holder that has renewed nothing yet.
func New() *Holder {
	return &Holder{choice: newChoice(), answering: map[ident.Addr]bool{}}
}

// PollTarget is the core to poll for changes, "" when there is none. Invariant: it is a registrar
// that answered in time, or the first that was chosen. A registrar that was chosen because the
// last one was late is not followed before it answers: over a full link all of them are late,
// and a poll that is broken off with each choice would never end.
func (h *Holder) PollTarget() ident.Addr {
	if h.pollTarget == "" || h.answering[h.registrar] {
		h.pollTarget = h.registrar
	}
	return h.pollTarget
}

// HandleLeaseGranted takes a new lease: no core is followed yet.
func (h *Holder) HandleLeaseGranted() {
	clear(h.answering)
	h.pollTarget = ""
}

// HandleLeaseSuperseded takes the answer of a core that knows a newer lease of this node.
func (h *Holder) HandleLeaseSuperseded() {
	h.outstanding--
	h.reportHeldBy = ""
}

// ExpediteRenewal makes the next renewal due at once: the registrar may be gone.
func (h *Holder) ExpediteRenewal() { h.renewNow = true }

// ReportChanged reports whether a report differs from the one that was sent last.
func (h *Holder) ReportChanged(leaseEpoch ident.LeaseEpoch, report record.Report) bool {
	return leaseEpoch != h.leaseEpoch || !report.EqualExceptLoad(h.lastReport)
}

// RenewalDue reports whether a renewal is to be sent now.
func (h *Holder) RenewalDue(now monotime.Time, reportChanged bool) bool {
	if h.outstanding != 0 {
		return false
	}
	intervalOver := h.lastSent == 0 || now.Since(h.lastSent) >= RenewInterval
	return reportChanged || intervalOver || h.renewNow && !h.allAvoided
}

// UntilNextRenewal is how long no renewal will be due unless something changes.
func (h *Holder) UntilNextRenewal(now monotime.Time) time.Duration {
	return max(0, RenewInterval-now.Since(h.lastSent))
}

// BeginRenewal makes the renewal that is sent now to Targets. The report's Seq must have risen
// if it has changed. The report and the counts are left out for a registrar that has them.
func (h *Holder) BeginRenewal(now monotime.Time, report record.Report, counts map[ident.Service]reconcile.CallCounts) record.Renewal {
	h.lastNumber++
	h.outstanding, h.renewNow, h.lastSent = len(h.Targets()), false, now
	h.noteTried(now)
	h.remember(sentRenewal{h.lastNumber, now})
	renewal := record.Renewal{
		Node:           report.Node,
		LeaseEpoch:     report.LeaseEpoch,
		Seq:            report.Seq,
		Number:         h.lastNumber,
		ConfigRevision: report.ConfigRevision,
		CoresVersion:   h.coresVersion,
	}
	sameRegistrar := h.reportHeldBy == h.registrar
	if h.allAvoided || !sameRegistrar || report.LeaseEpoch != h.leaseEpoch || report.Seq != h.reportSeq {
		renewal.Report = &report
	}
	h.leaseEpoch, h.reportSeq, h.lastReport = report.LeaseEpoch, report.Seq, report
	if !sameRegistrar || !maps.Equal(counts, h.attemptCounts) {
		renewal.AttemptCounts, h.attemptCounts = counts, counts
	}
	h.reportHeldBy = h.registrar
	return renewal
}

// remember keeps a renewal until a majority has heard of it.
func (h *Holder) remember(sent sentRenewal) {
	h.sentRenewals = append(h.sentRenewals, sent)
	if len(h.sentRenewals) > maxSentRenewals {
		h.sentRenewals = h.sentRenewals[1:]
	}
}

// HandleResponse takes a core's response to the renewal that is out.
func (h *Holder) HandleResponse(now monotime.Time, core ident.Addr, response record.RenewalResponse) {
	h.outstanding--
	h.SetCores(response.CoresVersion, response.Cores)
	h.acknowledged(response.AcknowledgedRenewal)
	if response.ReportRequired {
		h.reportHeldBy, h.renewNow = "", true
	}
	if response.Stale || response.Leaving {
		clear(h.answering)
		h.avoid(now, core, false)
		h.renewNow = true
		return
	}
	h.trust(core)
	h.answering[core] = true
}

// HandleFailure takes the failure of the renewal that is out at a core.
func (h *Holder) HandleFailure(now monotime.Time, core ident.Addr) {
	h.outstanding--
	h.reportHeldBy, h.renewNow = "", true
	clear(h.answering)
	h.avoid(now, core, true)
	h.lastFailed = true
}

// HandleLateResponse takes a response that came after its renewal had timed out. The core is not
// silent, so while all cores are avoided it is preferred to those that are. The renewal that the
// response says a majority has heard of counts all the same.
func (h *Holder) HandleLateResponse(core ident.Addr, response record.RenewalResponse) {
	h.SetCores(response.CoresVersion, response.Cores)
	h.acknowledged(response.AcknowledgedRenewal)
	h.notSilent(core)
}

// acknowledged notes that a majority has heard of a renewal.
func (h *Holder) acknowledged(number uint64) {
	for _, sent := range h.sentRenewals {
		if sent.number == number {
			h.majorityAsOf = max(h.majorityAsOf, sent.sentAt)
		}
	}
}

// MajorityAsOf is when the newest renewal was sent that a majority of the voters has heard of, 0
// if there is none.
func (h *Holder) MajorityAsOf() monotime.Time { return h.majorityAsOf }

// SetCores takes the list of the cores, if a core's response has it.
func (h *Holder) SetCores(version string, cores []record.CoreLocation) {
	if version != "" && len(cores) > 0 {
		h.coresVersion, h.cores = version, slices.Clone(cores)
	}
}

// CoreAddrs lists the addresses of the cores that were listed last.
func (h *Holder) CoreAddrs() []ident.Addr {
	addrs := make([]ident.Addr, len(h.cores))
	for i, core := range h.cores {
		addrs[i] = core.Addr
	}
	return addrs
}

// CoreLocations lists the cores that were listed last.
func (h *Holder) CoreLocations() []record.CoreLocation { return slices.Clone(h.cores) }
