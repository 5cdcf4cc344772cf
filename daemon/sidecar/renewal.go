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
	// minRenewalPause is the minimum pause between two checks for a due renewal.
	minRenewalPause = 20 * time.Millisecond
	// lateResponseTimeout is how long the sidecar waits for the response to a renewal, including a
	// response too late for the renewal to count.
	lateResponseTimeout = 2 * time.Second
	// budgetRequestTimeout bounds a request for a change of the retry budget share.
	budgetRequestTimeout = 3500 * time.Millisecond
)

// renewer is the background loop that obtains a lease, renews it, and requests this sidecar's share
// of the retry budget.
type renewer struct {
	sidecar        *Sidecar
	wakeUp         chan struct{}
	budgetRequests int // number of requests sent so far; selects the cores in turn
}

func newRenewer(s *Sidecar) *renewer {
	return &renewer{sidecar: s, wakeUp: make(chan struct{}, 1)}
}

// wake makes the loop check at once whether a request is due.
func (r *renewer) wake() {
	select {
	case r.wakeUp <- struct{}{}:
	default:
	}
}

// run obtains and renews the lease until Close.
func (r *renewer) run() {
	s := r.sidecar
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.wakeUp:
		case <-s.done:
			return
		}
		if !s.leaseHeld.Load() && !s.leaseJoiner.tryJoin() {
			s.sleep(s.leaseJoiner.backoff())
			r.wake() // the next attempt may use another core
			continue
		}
		timer.Reset(max(r.sendDue(), minRenewalPause))
	}
}

// sendDue sends the requests that are due and returns the time until the next one, unless the loop
// is woken earlier.
func (r *renewer) sendDue() time.Duration {
	s := r.sidecar
	cores := s.usableCores()
	s.mu.Lock()
	now := s.clock()
	budgetRequest, budgetDue := s.budgetShare.NextRequest(s.stepLimitedClock(), s.Settings.Node, s.leaseEpoch)
	s.lease.ChooseRegistrar(now, s.Settings.Node, s.Settings.Zone, cores)
	targets, renewal := r.dueRenewal(now)
	untilNext := s.lease.UntilNextRenewal(now)
	s.mu.Unlock()
	if budgetDue {
		r.budgetRequests++
		go s.requestBudgetShare(cores[r.budgetRequests%len(cores)], budgetRequest)
	}
	for _, core := range targets {
		go s.renew(core, renewal)
	}
	return untilNext
}

// dueRenewal returns the renewal that is due and the cores to send it to; there are no cores if no
// renewal is due. The caller must hold Sidecar.mu.
func (r *renewer) dueRenewal(now monotime.Time) ([]ident.Addr, record.Renewal) {
	s := r.sidecar
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

// report returns this sidecar's report about its machine; the caller must hold mu.
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

// renewalResult is a core's response to a renewal, or the error of the request.
type renewalResult struct {
	response record.RenewalResponse
	err      error
}

// renew renews the lease at one core. A response after RenewTimeout no longer counts as a renewal,
// but its contents are used. The request is not canceled at RenewTimeout: canceling would close its
// connection, and over a saturated link a new connection takes longer than the response.
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
	s.handleRenewal(core, request, renewalResult{err: failure.NewUnknown(failure.LostResponse, "the core did not respond to the renewal in time")})
	if result := <-results; result.err == nil {
		s.handleLateRenewal(core, result.response)
	}
}

// handleRenewal handles the result of a renewal.
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

// handleFailedRenewal handles the failure of a renewal; the caller must hold mu.
func (s *Sidecar) handleFailedRenewal(core ident.Addr, request record.Renewal, err error) {
	s.count(counterRenewalsFailed)
	if isConflict(err) {
		s.lease.HandleLeaseSuperseded()
		s.endLease(request.LeaseEpoch, err)
		return
	}
	s.lease.HandleFailure(s.clock(), core)
	s.chooseRegistrar() // the poll in progress continues until another core responds
}

// handleLateRenewal applies the contents of a response that arrived too late to count as a renewal.
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

// chooseRegistrar selects the core at which to renew the lease; the caller must hold mu.
func (s *Sidecar) chooseRegistrar() {
	s.lease.ChooseRegistrar(s.clock(), s.Settings.Node, s.Settings.Zone, s.cores.usable())
}

// suspectRegistrar triggers the next renewal at once, to find out whether the registrar still
// responds.
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

// handleSuperseded gives up a lease after a core reported a newer one; this sidecar then joins
// again. The newer lease may come from a delayed join request of an earlier process on this
// machine.
func (s *Sidecar) handleSuperseded(leaseEpoch ident.LeaseEpoch, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endLease(leaseEpoch, err) {
		s.renewer.wake()
	}
}

// endLease gives up the lease if the lease still has the given epoch, and reports whether the lease was
// given up; the caller must hold mu.
func (s *Sidecar) endLease(leaseEpoch ident.LeaseEpoch, err error) bool {
	if leaseEpoch != s.leaseEpoch {
		return false
	}
	s.Log.Warn("lease superseded", zap.Uint64("leaseEpoch", uint64(leaseEpoch)), zap.Error(err))
	s.leaseHeld.Store(false)
	return true
}

// isConflict reports whether a core rejected a lease as superseded.
func isConflict(err error) bool {
	var fail *failure.Error
	return failure.As(err, &fail) && fail.Kind == failure.Conflict
}
