package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
)

const (
	// coresTimeout is how long a core may take to list the cores.
	coresTimeout = 500 * time.Millisecond
	// coresInterval bounds how often a sidecar without a lease asks for the list.
	coresInterval = time.Second
	// joinAttemptIDLength is the length of the mark of a join. It tells the joins of one node apart, and
	// the cores keep it for every node.
	joinAttemptIDLength = 12
)

// tryJoin asks one core for a lease. Before any core has listed the others, one of the
// seeds is asked for them, so that a herd does not join at the seeds alone.
func (s *Sidecar) tryJoin() {
	if s.joinAttemptID == "" {
		s.joinAttemptID = ident.NewID()[:joinAttemptIDLength]
	}
	coreAddr := s.nextJoinCore()
	if s.coresLearnedAt == 0 {
		if !s.learnCores(coreAddr) {
			s.joiner.HandleFailure(s.clock(), coreAddr)
			return
		}
		coreAddr = s.nextJoinCore()
	}
	ctx, cancel := context.WithTimeout(context.Background(), joiner.JoinTimeout)
	defer cancel()
	var granted mesh.JoinResponse
	if err := s.apiClient.Call(ctx, coreAddr, "POST", "/cottonarch/v1/claim", mesh.JoinRequest{Node: s.Settings.Node, Run: s.joinAttemptID}, &granted); err != nil {
		s.joinFailed(coreAddr, err)
		return
	}
	s.completeJoin(coreAddr, granted)
}

// nextJoinCore is the core to ask for a lease.
func (s *Sidecar) nextJoinCore() ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joiner.NextCore(s.usableCoresLocked(), s.lease.CoreLocations())
}

// joinFailed takes a refusal, or the silence of a core.
func (s *Sidecar) joinFailed(coreAddr ident.Addr, err error) {
	s.Metrics.Add("claims_failed", 1)
	fail := (*failure.Error)(nil)
	if failure.As(err, &fail) && fail.Kind == failure.Busy && fail.RetryAfter > 0 {
		s.joiner.HandleRejection(s.clock(), coreAddr, time.Duration(fail.RetryAfter*float64(time.Second)))
	} else {
		s.joiner.HandleFailure(s.clock(), coreAddr)
	}
	isSidecar := fail != nil && fail.Kind == failure.NotFound // a sidecar: it knows cores
	answered := fail != nil && fail.Kind != failure.LostResponse
	if answered {
		s.mu.Lock()
		s.sidecarSeeds[coreAddr] = isSidecar
		s.mu.Unlock()
	}
	if isSidecar || answered && s.clock().Since(s.coresLearnedAt) > coresInterval {
		s.learnCores(coreAddr)
	}
}

// learnCores asks a core, or a seed that is a sidecar, for the cores that it knows. It
// tells whether there was an answer.
func (s *Sidecar) learnCores(addr ident.Addr) bool {
	ctx, cancel := context.WithTimeout(context.Background(), coresTimeout)
	defer cancel()
	var known core.KnownCores
	if s.apiClient.Call(ctx, addr, "GET", "/cottonarch/v1/cores", nil, &known) != nil {
		return false
	}
	now := s.clock()
	s.coresLearnedAt = now
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCores(known.Cores)
	if known.FromCore {
		for _, coreAddr := range append(known.Cores, addr) {
			delete(s.sidecarSeeds, coreAddr)
			s.notPeerUntil[coreAddr] = now.Add(coreSeedInterval)
		}
	}
	return true
}

// completeJoin takes a lease, and the manifest from the core that gave it unless a peer was
// faster.
func (s *Sidecar) completeJoin(coreAddr ident.Addr, granted mesh.JoinResponse) {
	s.mu.Lock()
	s.leaseEpoch, s.reportSeq = granted.LeaseEpoch, 1
	s.router.MinRevision = max(s.router.MinRevision, granted.ConfigRevision)
	s.configCache.MarkJoined()
	s.lease.LeaseGranted()
	s.budgetShare.Start(s.watchedClock(), granted.BudgetShare)
	s.router.RetryBudget.SetShare(s.budgetShare.Usable())
	s.lease.SetCores(granted.CoresVersion, granted.Cores)
	s.addCores(s.lease.CoreAddrs())
	s.lastCoreContact = s.clock()
	haveRevision := s.configCache.NewestHeld(s.router.Revision())
	s.mu.Unlock()
	s.joinAttemptID = "" // the next join, if there is one, is another
	s.joiner.Reset()
	s.leaseHeld.Store(true)
	if granted.ConfigRevision > haveRevision {
		if err := s.fetchConfig(coreAddr); err != nil {
			s.Metrics.Add("manifest_fetches_failed", 1)
		}
	}
	s.Log.Info("entry granted", zap.Uint64("claim", uint64(granted.LeaseEpoch)), zap.Int("share", granted.BudgetShare.Amount), zap.Uint64("manifest", uint64(granted.ConfigRevision)))
	s.redirectWatch(coreAddr)
}
