package sidecar

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/mesh/lease/holder"
)

// usableCores lists the cores; seeds that turned out to be sidecars only while there is
// nothing better.
func (s *Sidecar) usableCores() []ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usableCoresLocked()
}

// usableCoresLocked is cored for those who hold mu.
func (s *Sidecar) usableCoresLocked() []ident.Addr {
	usable := slices.DeleteFunc(slices.Clone(s.cores), func(addr ident.Addr) bool { return s.sidecarSeeds[addr] })
	if len(usable) == 0 {
		return slices.Clone(s.cores)
	}
	return usable
}

// runRenewals claims membership, then renews at the keeper.
func (s *Sidecar) runRenewals() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	budgetRequests := 0
	for {
		select {
		case <-timer.C:
		case <-s.renewNow:
		case <-s.done:
			return
		}
		if !s.leaseHeld.Load() {
			s.tryJoin()
			if !s.leaseHeld.Load() {
				s.sleep(s.joiner.Backoff(s.clock()))
				s.notify(s.renewNow) // ask the next one then
				continue
			}
		}
		cores := s.usableCores()
		s.mu.Lock()
		now := s.clock()
		budgetRequest, budgetDue := s.budgetShare.NextRequest(s.watchedClock(), s.Settings.Node, s.leaseEpoch)
		s.lease.ChooseRegistrar(now, s.Settings.Node, s.Settings.Zone, cores)
		report := s.buildReport()
		s.reportChanged = s.lease.ReportChanged(s.leaseEpoch, report)
		var targets []ident.Addr
		var renewal record.Renewal
		if s.lease.RenewalDue(now, s.reportChanged) {
			if s.reportChanged {
				s.reportChanged = false
				s.reportSeq++
				report.Seq = s.reportSeq
			}
			targets = s.lease.Targets()
			renewal = s.lease.BeginRenewal(now, report, s.router.Outcomes())
		}
		timer.Reset(max(s.lease.UntilNextRenewal(now), 20*time.Millisecond))
		s.mu.Unlock()
		if budgetDue {
			budgetRequests++
			go s.requestBudgetShare(cores[budgetRequests%len(cores)], budgetRequest)
		}
		for _, core := range targets {
			go s.renew(core, renewal)
		}
	}
}

// minRevision is the epoch below which nothing may be shown here.
func (s *Sidecar) minRevision() ident.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.MinRevision
}

// redirectWatch tells the following duty which core to turn to.
func (s *Sidecar) redirectWatch(core ident.Addr) {
	select {
	case s.watchRedirect <- core:
	default:
	}
}

// addCores takes the cores' addresses as a core knows them; seeds stay, others go when no
// core has told of them for a minute.
func (s *Sidecar) addCores(cores []ident.Addr) {
	now := s.clock()
	for _, addr := range cores {
		s.coreListedAt[addr] = now
		if !slices.Contains(s.cores, addr) && len(s.cores) < 32 {
			s.cores = append(s.cores, addr)
		}
	}
	s.cores = slices.DeleteFunc(s.cores, func(addr ident.Addr) bool {
		if slices.Contains(s.Settings.Seeds, addr) || now.Since(s.coreListedAt[addr]) < time.Minute {
			return false
		}
		delete(s.coreListedAt, addr)
		return true
	})
}

func (s *Sidecar) notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// buildReport is what this machine says of itself; mu is held.
func (s *Sidecar) buildReport() record.Report {
	return record.Report{Node: s.Settings.Node, Addr: s.Settings.Addr, Zone: s.Settings.Zone, LeaseEpoch: s.leaseEpoch, Seq: s.reportSeq,
		ConfigRevision: s.router.Revision(), Ready: s.Ready(), Leaving: s.leaving.Load(), Workloads: s.endpoints.Workloads()}
}

// requestBudgetShare sends a promise or a wish about this sidecar's share.
func (s *Sidecar) requestBudgetShare(core ident.Addr, request quota.Args) {
	ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer cancel()
	var grant quota.Share
	if err := s.apiClient.Call(ctx, core, "POST", "/cottonarch/v1/share", request, &grant); err != nil {
		s.Metrics.Add("shares_failed", 1)
		if fail := (*failure.Error)(nil); failure.As(err, &fail) && fail.Kind == failure.Conflict {
			s.handleSuperseded(request.LeaseEpoch, err)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.LeaseEpoch == s.leaseEpoch {
		s.budgetShare.ApplyGrant(s.watchedClock(), grant)
		s.router.RetryBudget.SetShare(s.budgetShare.Usable())
	}
}

// handleSuperseded gives up a claim that a core knows a newer one than: this sidecar joins anew. It
// may have been a join of an earlier run that came late.
func (s *Sidecar) handleSuperseded(leaseEpoch ident.Epoch, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaseEpoch == s.leaseEpoch {
		s.Log.Warn("claim superseded", zap.Error(err))
		s.leaseHeld.Store(false)
		s.notify(s.renewNow)
	}
}

// renewalResult is what a core answered to a renewal.
type renewalResult struct {
	response record.RenewalResponse
	err      error
}

// renew renews the lease at one core. An answer that comes after the time for it has still
// its news, and the question is not broken off: that would close its connection, and over a
// full link a new one takes longer than the answer.
func (s *Sidecar) renew(core ident.Addr, request record.Renewal) {
	results := make(chan renewalResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lateResponseTimeout)
		defer cancel()
		var result renewalResult
		result.err = s.apiClient.Call(ctx, core, "POST", "/cottonarch/v1/renew", request, &result.response)
		results <- result
	}()
	timeout := time.NewTimer(holder.RenewTimeout)
	defer timeout.Stop()
	select {
	case result := <-results:
		s.handleRenewal(core, request, result.response, result.err)
		return
	case <-timeout.C:
	}
	s.handleRenewal(core, request, record.RenewalResponse{}, failure.NewUnknown(failure.LostResponse, "a renewal was not answered in time"))
	if result := <-results; result.err == nil {
		s.handleLateRenewal(core, result.response)
	}
}

// handleLateRenewal takes the news of an answer that came too late to count.
func (s *Sidecar) handleLateRenewal(core ident.Addr, response record.RenewalResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Metrics.Add("renewals_late", 1)
	s.lease.HandleLateResponse(core, response)
	s.addCores(s.lease.CoreAddrs())
	if !response.Stale {
		s.lastCoreContact = s.clock()
	}
	s.configCache.ObserveCore(s.clock(), response.ConfigRevision)
}

// handleRenewal takes the end of a renewal.
func (s *Sidecar) handleRenewal(core ident.Addr, request record.Renewal, response record.RenewalResponse, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify(s.renewNow) // there may be more to say
	if err != nil {
		s.Metrics.Add("renewals_failed", 1)
		if fail := (*failure.Error)(nil); failure.As(err, &fail) && fail.Kind == failure.Conflict {
			s.lease.LeaseEnded()
			if request.LeaseEpoch == s.leaseEpoch {
				s.Log.Warn("claim superseded", zap.Error(err))
				s.leaseHeld.Store(false)
			}
			return
		}
		s.lease.HandleFailure(s.clock(), core)
		s.chooseRegistrar() // the poll that is out goes on until another core answers
		return
	}
	s.lease.HandleResponse(s.clock(), core, response)
	s.addCores(s.lease.CoreAddrs())
	s.lastCoreContact = s.clock()
	s.budgetShare.SetMembers(s.watchedClock(), response.Members)
	s.router.RetryBudget.SetShare(s.budgetShare.Usable())
	if majorityAsOf := s.lease.MajorityAsOf(); majorityAsOf != 0 {
		s.router.RetryBudget.ShareRenewed(majorityAsOf)
	}
	s.configCache.ObserveCore(s.clock(), response.ConfigRevision)
	s.chooseRegistrar()
	followed := s.lease.Followed()
	switch {
	case followed != s.polledCore:
		s.redirectWatch(followed)
	case response.ConfigRevision <= s.configCache.NewestHeld(s.router.Revision()):
	case core != followed:
		go func() {
			if err := s.fetchConfig(core); err != nil {
				s.Metrics.Add("manifest_fetches_failed", 1)
			}
		}()
	default:
		s.redirectWatch(core)
	}
}

// chooseRegistrar chooses the core to renew at; mu is held.
func (s *Sidecar) chooseRegistrar() {
	s.lease.ChooseRegistrar(s.clock(), s.Settings.Node, s.Settings.Zone, s.usableCoresLocked())
}

// runWatch keeps the copy of the registry and the manifest by long polls at the keeper.
func (s *Sidecar) runWatch() {
	var lastCore ident.Addr
	instanceID, feedVersion := "", uint64(0)
	for {
		select {
		case <-s.done:
			return
		default:
		}
		s.mu.Lock()
		core, haveRevision := s.lease.Followed(), s.configCache.NewestHeld(s.router.Revision())
		s.polledCore = core
		s.mu.Unlock()
		if !s.leaseHeld.Load() || core == "" {
			s.sleep(10 * time.Millisecond)
			continue
		}
		if resync := s.resyncRegistry.Swap(false); resync || core != lastCore {
			lastCore, instanceID, feedVersion = core, "", 0
		}
		query := url.Values{"mark": {instanceID}, "place": {fmt.Sprint(feedVersion)}, "manifest": {fmt.Sprint(uint64(haveRevision))}, "waitMs": {fmt.Sprint(watchTimeout.Milliseconds())}}
		update, redirected, err := s.poll(core, query)
		if redirected {
			continue
		}
		if err != nil {
			s.Metrics.Add("news_failed", 1)
			s.suspectRegistrar()
			s.sleep(20 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.lastCoreContact = s.clock()
		if s.router.Index.Merge(update.Sets) {
			s.Metrics.Add("registry_changes", 1)
		}
		s.mu.Unlock()
		instanceID, feedVersion = update.InstanceID, update.FeedVersion
		if update.ConfigRevision > haveRevision {
			s.noteConfirmed(update.ConfigRevision)
			if err := s.obtainConfig(core, update); err != nil {
				s.Metrics.Add("manifest_fetches_failed", 1)
				s.sleep(20 * time.Millisecond)
			} else if update.ConfigRevision < s.minRevision() {
				s.sleep(20 * time.Millisecond) // this core is behind: it gives nothing to show
			}
		}
		if update.Leaving || update.Stale {
			s.suspectRegistrar()
			s.sleep(20 * time.Millisecond)
		}
	}
}

// noteConfirmed notes that a core said of an epoch that it is confirmed.
func (s *Sidecar) noteConfirmed(revision ident.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configCache.ObserveCore(s.clock(), revision)
}

// obtainConfig gets the manifest that the news tell of: by the delta that came with them, else by a
// fetch from the core that told.
func (s *Sidecar) obtainConfig(core ident.Addr, update mesh.WatchResponse) error {
	if update.Delta != nil {
		if fail := s.applyDelta(*update.Delta); fail == nil {
			return nil
		}
		s.Metrics.Add("deltas_refused", 1)
	}
	return s.fetchConfig(core)
}

// watchTimeout is how long a core holds a long poll that has nothing to tell. That the core is
// gone shows in the renewals.
const watchTimeout = 10 * time.Second

// poll asks for news; turned says that it was broken off to ask anew, because the keeper
// is another one or a renewal told of a newer manifest.
func (s *Sidecar) poll(core ident.Addr, query url.Values) (update mesh.WatchResponse, redirected bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout+2*time.Second)
	defer cancel()
	finished, redirects := make(chan struct{}), make(chan bool, 1)
	go func() {
		select {
		case <-s.watchRedirect:
			redirects <- true
			cancel()
			return
		case <-finished:
		case <-s.done:
			cancel()
		}
		redirects <- false
	}()
	err = s.apiClient.Call(ctx, core, "GET", "/cottonarch/v1/news?"+query.Encode(), nil, &update)
	close(finished)
	redirected = <-redirects && err != nil
	return update, redirected, err
}

// suspectRegistrar makes the keeper be asked at once whether it is still there.
func (s *Sidecar) suspectRegistrar() {
	s.mu.Lock()
	s.lease.Suspect()
	s.mu.Unlock()
	s.notify(s.renewNow)
}
