// Package holder implements the sidecar's part of its lease: when the lease is renewed and at which core,
// which core the sidecar polls for changes, and how much of the retry budget the sidecar may spend.
//
// A sidecar renews its lease at one core, its registrar, which informs the other cores. A Holder is
// a step function: a Holder does no I/O and reads no clock; callers pass the time in.
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

// The timing of renewals. Invariant: RenewInterval, RenewTimeout and the duration of one more
// renewal at another core add up to less than leasetable.LeaseTTL.
const (
	// RenewInterval is the interval between renewals while nothing changes.
	RenewInterval = 400 * time.Millisecond
	// RenewTimeout is the timeout of one renewal.
	RenewTimeout = 600 * time.Millisecond
)

// maxSentRenewals bounds how many renewals are kept until a majority of the voters knows them.
const maxSentRenewals = 32

// sentRenewal is the number of a renewal and the time at which the renewal was sent.
type sentRenewal struct {
	number uint64
	sentAt monotime.Time
}

// Holder holds a sidecar's lease. Invariants: a renewal is sent only after the previous renewal has
// completed at every core to which that renewal was sent; for every renewal sent at or before
// majorityAsOf, a majority of the voters knows that renewal or a later renewal.
type Holder struct {
	registrarSelector

	pollTarget      ident.Addr          // see PollTarget
	respondingCores map[ident.Addr]bool // cores that accepted a renewal since the last failure of any core

	renewNow     bool // renew before RenewInterval is over: the last renewal failed or was not sufficient
	outstanding  int  // cores that have not responded to the last renewal yet
	lastSent     monotime.Time
	lastNumber   uint64
	sentRenewals []sentRenewal
	majorityAsOf monotime.Time

	coresVersion string // version of the newest list of cores

	// The state that was sent last; reportHeldBy is the core that has this state, "" if no core is
	// known to have it.
	reportHeldBy  ident.Addr
	leaseEpoch    ident.LeaseEpoch
	reportSeq     uint64
	lastReport    record.Report
	attemptCounts map[ident.Service]reconcile.CallCounts
}

// New returns a holder that has sent no renewal yet.
func New() *Holder {
	return &Holder{registrarSelector: newRegistrarSelector(), respondingCores: map[ident.Addr]bool{}}
}

// PollTarget returns the core to poll for changes, "" if there is none. Invariant: the poll target
// is a registrar that responded within RenewTimeout, or the first registrar that was chosen. A
// registrar that was chosen because the previous registrar was late becomes the poll target only
// after responding. On a saturated link all cores are late, and a poll that is aborted at each new
// choice of a registrar would never finish.
func (h *Holder) PollTarget() ident.Addr {
	if h.pollTarget == "" || h.respondingCores[h.registrar] {
		h.pollTarget = h.registrar
	}
	return h.pollTarget
}

// HandleLeaseGranted resets the state for a new lease: there is no poll target yet.
func (h *Holder) HandleLeaseGranted() {
	clear(h.respondingCores)
	h.pollTarget = ""
}

// HandleLeaseSuperseded processes the response of a core that knows a newer lease of this node.
func (h *Holder) HandleLeaseSuperseded() {
	h.outstanding--
	h.reportHeldBy = ""
}

// ExpediteRenewal makes the next renewal due immediately, because the registrar may be unavailable.
func (h *Holder) ExpediteRenewal() { h.renewNow = true }

// ReportChanged reports whether a report differs from the report that was sent last.
func (h *Holder) ReportChanged(leaseEpoch ident.LeaseEpoch, report record.Report) bool {
	return leaseEpoch != h.leaseEpoch || !report.EqualExceptLoad(h.lastReport)
}

// RenewalDue reports whether a renewal has to be sent now.
func (h *Holder) RenewalDue(now monotime.Time, reportChanged bool) bool {
	if h.outstanding != 0 {
		return false
	}
	intervalOver := h.lastSent == 0 || now.Since(h.lastSent) >= RenewInterval
	return reportChanged || intervalOver || h.renewNow && !h.allAvoided
}

// UntilNextRenewal returns the time until the next renewal is due if nothing changes.
func (h *Holder) UntilNextRenewal(now monotime.Time) time.Duration {
	return max(0, RenewInterval-now.Since(h.lastSent))
}

// BeginRenewal returns the renewal to send to Targets now. If the report has changed, its Seq must
// have increased. The report and the counts are omitted if the registrar already has them.
func (h *Holder) BeginRenewal(now monotime.Time, report record.Report, counts map[ident.Service]reconcile.CallCounts) record.Renewal {
	h.lastNumber++
	h.outstanding, h.renewNow, h.lastSent = len(h.Targets()), false, now
	h.recordAttempt(now)
	h.recordSent(sentRenewal{h.lastNumber, now})
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

// recordSent records when a renewal was sent, for recordMajority.
func (h *Holder) recordSent(sent sentRenewal) {
	h.sentRenewals = append(h.sentRenewals, sent)
	if len(h.sentRenewals) > maxSentRenewals {
		h.sentRenewals = h.sentRenewals[1:]
	}
}

// HandleResponse processes a core's response to the outstanding renewal.
func (h *Holder) HandleResponse(now monotime.Time, core ident.Addr, response record.RenewalResponse) {
	h.outstanding--
	h.SetCores(response.CoresVersion, response.Cores)
	h.recordMajority(response.AcknowledgedRenewal)
	if response.ReportRequired {
		h.reportHeldBy, h.renewNow = "", true
	}
	if response.Stale || response.Leaving {
		clear(h.respondingCores)
		h.avoid(now, core, false)
		h.renewNow = true
		return
	}
	h.clearAvoidance(core)
	h.respondingCores[core] = true
}

// HandleFailure processes the failure of the outstanding renewal at a core.
func (h *Holder) HandleFailure(now monotime.Time, core ident.Addr) {
	h.outstanding--
	h.reportHeldBy, h.renewNow = "", true
	clear(h.respondingCores)
	h.avoid(now, core, true)
	h.lastFailed = true
}

// HandleLateResponse processes a response that arrived after its renewal had timed out. The core is
// no longer silent, so that while all cores are avoided, this core is preferred to silent cores. The
// acknowledged renewal in a late response counts like the acknowledged renewal in a timely response.
func (h *Holder) HandleLateResponse(core ident.Addr, response record.RenewalResponse) {
	h.SetCores(response.CoresVersion, response.Cores)
	h.recordMajority(response.AcknowledgedRenewal)
	h.markResponsive(core)
}

// recordMajority records that a majority of the voters knows the renewal with the given number.
func (h *Holder) recordMajority(number uint64) {
	for _, sent := range h.sentRenewals {
		if sent.number == number {
			h.majorityAsOf = max(h.majorityAsOf, sent.sentAt)
		}
	}
}

// MajorityAsOf returns the time at which the newest renewal that a majority of the voters knows was
// sent, 0 if there is none.
func (h *Holder) MajorityAsOf() monotime.Time { return h.majorityAsOf }

// SetCores replaces the list of cores, if a core's response contains a list with a version.
func (h *Holder) SetCores(version string, cores []record.CoreLocation) {
	if version != "" && len(cores) > 0 {
		h.coresVersion, h.cores = version, slices.Clone(cores)
	}
}

// CoreAddrs returns the addresses of the cores in the newest list.
func (h *Holder) CoreAddrs() []ident.Addr {
	addrs := make([]ident.Addr, len(h.cores))
	for i, core := range h.cores {
		addrs[i] = core.Addr
	}
	return addrs
}

// CoreLocations returns a copy of the newest list of cores.
func (h *Holder) CoreLocations() []record.CoreLocation { return slices.Clone(h.cores) }
