package sidecar

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/mesh/lease/holder"
)

const (
	// minRenewalPause is the shortest pause between two looks whether a renewal is due.
	minRenewalPause = 20 * time.Millisecond
	// lateResponseTimeout is how long the response to a renewal is still taken that came too
	// late for the renewal to count.
	lateResponseTimeout = 2 * time.Second
	// budgetRequestTimeout bounds a request about the share of the retry budget.
	budgetRequestTimeout = 3500 * time.Millisecond
)

// renewer is the duty that obtains a lease, renews it, and asks for this sidecar's share of the
// retry budget.
type renewer struct {
	sidecar        *Sidecar
	wakeUp         chan struct{}
	budgetRequests int // sent so far; they go to the cores in turn
}

func newRenewer(s *Sidecar) *renewer {
	return &renewer{sidecar: s, wakeUp: make(chan struct{}, 1)}
}

// wake makes the duty look at once whether something is to be sent.
func (d *renewer) wake() {
	select {
	case d.wakeUp <- struct{}{}:
	default:
	}
}

// run is the duty's loop.
func (d *renewer) run() {
	s := d.sidecar
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-d.wakeUp:
		case <-s.done:
			return
		}
		if !s.leaseHeld.Load() && !s.leaseJoiner.try() {
			s.sleep(s.leaseJoiner.backoff())
			d.wake() // the next try may go to another core
			continue
		}
		timer.Reset(max(d.sendDue(), minRenewalPause))
	}
}

// sendDue sends what is due now, and tells how long nothing will be due unless it is woken.
func (d *renewer) sendDue() time.Duration {
	s := d.sidecar
	cores := s.usableCores()
	s.mu.Lock()
	now := s.clock()
	budgetRequest, budgetDue := s.budgetShare.NextRequest(s.stepLimitedClock(), s.Settings.Node, s.leaseEpoch)
	s.lease.ChooseRegistrar(now, s.Settings.Node, s.Settings.Zone, cores)
	targets, renewal := d.dueRenewal(now)
	untilNext := s.lease.UntilNextRenewal(now)
	s.mu.Unlock()
	if budgetDue {
		d.budgetRequests++
		go s.requestBudgetShare(cores[d.budgetRequests%len(cores)], budgetRequest)
	}
	for _, core := range targets {
		go s.renew(core, renewal)
	}
	return untilNext
}

// dueRenewal makes the renewal that is due now, with the cores to send it to; there are none
// when none is due. Sidecar.mu is held.
func (d *renewer) dueRenewal(now monotime.Time) ([]ident.Addr, record.Renewal) {
	s := d.sidecar
	report := s.report()
	s.reportChanged = s.lease.ReportChanged(s.leaseEpoch, report)
	if !s.lease.RenewalDue(now, s.reportChanged) {
		return nil, record.Renewal{}
	}
	if s.reportChanged {
		s.reportChanged = false
		s.reportSeq++
		report.Seq = s.reportSeq
	}
	return s.lease.Targets(), s.lease.BeginRenewal(now, report, s.planner.OutcomeCounts())
}

// report is what this sidecar says of its machine; mu is held.
func (s *Sidecar) report() record.Report {
	return record.Report{
		Node:           s.Settings.Node,
		Addr:           s.Settings.Addr,
		Zone:           s.Settings.Zone,
		LeaseEpoch:     s.leaseEpoch,
		Seq:            s.reportSeq,
		ConfigRevision: s.planner.Revision(),
		Ready:          s.Ready(),
		Leaving:        s.leaving.Load(),
		Workloads:      s.endpoints.Workloads(),
	}
}

// renewalResult is a core's answer to a renewal.
type renewalResult struct {
	response record.RenewalResponse
	err      error
}

// renew renews the lease at one core. A response that comes after RenewTimeout no longer counts
// as a renewal, but what it tells is used. The request is not broken off meanwhile: that would
// close its connection, and over a full link a new one takes longer than the response.
func (s *Sidecar) renew(core ident.Addr, request record.Renewal) {
	results := make(chan renewalResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lateResponseTimeout)
		defer cancel()
		var result renewalResult
		result.err = s.apiClient.Call(ctx, core, http.MethodPost, mesh.RenewPath, request, &result.response)
		results <- result
	}()
	timeout := time.NewTimer(holder.RenewTimeout)
	defer timeout.Stop()
	select {
	case result := <-results:
		s.handleRenewal(core, request, result)
		return
	case <-timeout.C:
	}
	s.handleRenewal(core, request, renewalResult{err: failure.NewUnknown(failure.LostResponse, "a renewal was not answered in time")})
	if result := <-results; result.err == nil {
		s.handleLateRenewal(core, result.response)
	}
}

// handleRenewal takes the result of a renewal.
func (s *Sidecar) handleRenewal(core ident.Addr, request record.Renewal, result renewalResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.renewer.wake() // the next renewal may be due at once
	if result.err != nil {
		s.handleFailedRenewal(core, request, result.err)
		return
	}
	s.lease.HandleResponse(s.clock(), core, result.response)
	s.cores.add(s.clock(), s.lease.CoreAddrs())
	s.lastCoreContact = s.clock()
	s.budgetShare.SetMemberCount(s.stepLimitedClock(), result.response.Members)
	s.planner.RetryBudget.SetShare(s.budgetShare.Usable())
	if majorityAsOf := s.lease.MajorityAsOf(); majorityAsOf != 0 {
		s.planner.RetryBudget.ShareRenewed(majorityAsOf)
	}
	s.config.cache.ObserveCore(s.clock(), result.response.ConfigRevision)
	s.chooseRegistrar()
	s.configWatch.followRegistrar(core, result.response.ConfigRevision)
}

// handleFailedRenewal takes the failure of a renewal; mu is held.
func (s *Sidecar) handleFailedRenewal(core ident.Addr, request record.Renewal, err error) {
	s.count(counterRenewalsFailed)
	if isConflict(err) {
		s.lease.HandleLeaseSuperseded()
		s.endLease(request.LeaseEpoch, err)
		return
	}
	s.lease.HandleFailure(s.clock(), core)
	s.chooseRegistrar() // the poll that is out goes on until another core answers
}

// handleLateRenewal takes what a response tells that came too late to count.
func (s *Sidecar) handleLateRenewal(core ident.Addr, response record.RenewalResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(counterRenewalsLate)
	s.lease.HandleLateResponse(core, response)
	s.cores.add(s.clock(), s.lease.CoreAddrs())
	if !response.Stale {
		s.lastCoreContact = s.clock()
	}
	s.config.cache.ObserveCore(s.clock(), response.ConfigRevision)
}

// chooseRegistrar chooses the core to renew at; mu is held.
func (s *Sidecar) chooseRegistrar() {
	s.lease.ChooseRegistrar(s.clock(), s.Settings.Node, s.Settings.Zone, s.cores.usable())
}

// suspectRegistrar makes the next renewal go out at once, to learn whether the registrar is
// still there.
func (s *Sidecar) suspectRegistrar() {
	s.mu.Lock()
	s.lease.ExpediteRenewal()
	s.mu.Unlock()
	s.renewer.wake()
}

// requestBudgetShare asks a core to lower or raise this sidecar's share of the retry budget.
func (s *Sidecar) requestBudgetShare(core ident.Addr, request quota.Args) {
	ctx, cancel := context.WithTimeout(context.Background(), budgetRequestTimeout)
	defer cancel()
	var grant quota.Share
	if err := s.apiClient.Call(ctx, core, http.MethodPost, mesh.BudgetSharePath, request, &grant); err != nil {
		s.count(counterBudgetRequestsFailed)
		if isConflict(err) {
			s.handleSuperseded(request.LeaseEpoch, err)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.LeaseEpoch == s.leaseEpoch {
		s.budgetShare.ApplyGrant(s.stepLimitedClock(), grant)
		s.planner.RetryBudget.SetShare(s.budgetShare.Usable())
	}
}

// handleSuperseded gives up a lease that a core knows a newer one than: this sidecar joins anew.
// The newer one may be that of a join of an earlier run that came late.
func (s *Sidecar) handleSuperseded(leaseEpoch ident.LeaseEpoch, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endLease(leaseEpoch, err) {
		s.renewer.wake()
	}
}

// endLease gives up the lease if it is still the one of that epoch; mu is held.
func (s *Sidecar) endLease(leaseEpoch ident.LeaseEpoch, err error) bool {
	if leaseEpoch != s.leaseEpoch {
		return false
	}
	s.Log.Warn("lease superseded", zap.Uint64("leaseEpoch", uint64(leaseEpoch)), zap.Error(err))
	s.leaseHeld.Store(false)
	return true
}

// isConflict reports whether a core refused a lease as superseded.
func isConflict(err error) bool {
	var fail *failure.Error
	return failure.As(err, &fail) && fail.Kind == failure.Conflict
}
