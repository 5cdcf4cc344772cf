package sidecar

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
)

const (
	// coresTimeout bounds how long a process may take to list the cores.
	coresTimeout = 500 * time.Millisecond
	// coresInterval is the minimum interval between requests for the list of cores from a sidecar
	// without a lease.
	coresInterval = time.Second
	// joinAttemptIDLength is the length of the id of a join, which the cores store for every node.
	joinAttemptIDLength = 12
)

// leaseJoiner obtains a lease for a sidecar without one. Only the renewer's goroutine uses it.
type leaseJoiner struct {
	sidecar       *Sidecar
	joiner        *joiner.Joiner
	coresListedAt monotime.Time // when a process last listed the cores, 0 if none has
	// attemptID distinguishes the joins of one node: a request repeated under the same id, at any
	// core, is the same join. attemptID is "" while no join is in progress.
	attemptID string
}

func newLeaseJoiner(s *Sidecar) *leaseJoiner {
	return &leaseJoiner{sidecar: s, joiner: joiner.New(s.Settings.Node, s.Settings.Zone)}
}

// backoff returns how long the next attempt must wait.
func (j *leaseJoiner) backoff() time.Duration { return j.joiner.Backoff(j.sidecar.clock()) }

// tryJoin requests a lease from one core and reports whether the core granted the lease. Until some
// process has listed the cores, tryJoin first requests the list from a seed, so that sidecars that
// start together do not all join at the seeds.
func (j *leaseJoiner) tryJoin() bool {
	s := j.sidecar
	if j.attemptID == "" {
		j.attemptID = ident.NewID()[:joinAttemptIDLength]
	}
	addr := j.nextCore()
	if j.coresListedAt == 0 {
		if !j.listCores(addr) {
			j.joiner.HandleFailure(s.clock(), addr)
			return false
		}
		addr = j.nextCore()
	}
	ctx, cancel := context.WithTimeout(context.Background(), joiner.JoinTimeout)
	defer cancel()
	request := mesh.JoinRequest{Node: s.Settings.Node, AttemptID: j.attemptID}
	var granted mesh.JoinResponse
	if err := s.apiClient.Call(ctx, addr, http.MethodPost, mesh.JoinPath, request, &granted); err != nil {
		j.handleFailure(addr, err)
		return false
	}
	j.complete(addr, granted)
	return s.leaseHeld.Load()
}

// nextCore returns the core from which to request a lease.
func (j *leaseJoiner) nextCore() ident.Addr {
	s := j.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.joiner.NextCore(s.cores.usable(), s.lease.CoreLocations())
}

// handleFailure handles a rejection by a core, or a request without a response.
func (j *leaseJoiner) handleFailure(addr ident.Addr, err error) {
	s := j.sidecar
	s.count(counterJoinsFailed)
	var fail *failure.Error
	if failure.As(err, &fail) && fail.Kind == failure.Busy && fail.RetryAfter > 0 {
		retryAfter := time.Duration(fail.RetryAfter * float64(time.Second))
		j.joiner.HandleRejection(s.clock(), addr, retryAfter)
	} else {
		j.joiner.HandleFailure(s.clock(), addr)
	}
	answered := fail != nil && fail.Kind != failure.LostResponse
	isSidecar := fail != nil && fail.Kind == failure.NotFound // a sidecar has no path for joins, but can list the cores
	if answered {
		s.mu.Lock()
		s.cores.isSidecar[addr] = isSidecar
		s.mu.Unlock()
	}
	if isSidecar || answered && s.clock().Since(j.coresListedAt) > coresInterval {
		j.listCores(addr)
	}
}

// listCores requests the list of known cores from a core, or from a seed that is a sidecar, and
// reports whether the list arrived.
func (j *leaseJoiner) listCores(addr ident.Addr) bool {
	s := j.sidecar
	ctx, cancel := context.WithTimeout(context.Background(), coresTimeout)
	defer cancel()
	var known core.KnownCores
	if s.apiClient.Call(ctx, addr, http.MethodGet, mesh.CoresPath, nil, &known) != nil {
		return false
	}
	now := s.clock()
	j.coresListedAt = now
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cores.add(now, known.Cores)
	if known.FromCore {
		for _, coreAddr := range append(known.Cores, addr) {
			s.cores.markCore(now, coreAddr)
		}
	}
	return true
}

// complete applies a granted lease, and fetches the configuration from the core that granted the
// lease unless a peer has already delivered the configuration.
func (j *leaseJoiner) complete(addr ident.Addr, granted mesh.JoinResponse) {
	s := j.sidecar
	haveRevision := s.applyLease(granted)
	j.attemptID = "" // a later join must have another id
	j.joiner.Reset()
	s.leaseHeld.Store(true)
	if granted.ConfigRevision > haveRevision {
		s.fetchConfigOrCount(addr)
	}
	s.Log.Info("lease granted",
		zap.Uint64("leaseEpoch", uint64(granted.LeaseEpoch)),
		zap.Int("budgetShare", granted.BudgetShare.Amount),
		zap.Uint64("configRevision", uint64(granted.ConfigRevision)))
	s.configWatch.redirectTo(addr)
}

// applyLease applies a granted lease and returns the newest revision of the configuration held
// here.
func (s *Sidecar) applyLease(granted mesh.JoinResponse) (haveRevision ident.ConfigRevision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseEpoch, s.reportSeq = granted.LeaseEpoch, 1
	s.planner.MinRevision = max(s.planner.MinRevision, granted.ConfigRevision)
	s.config.cache.MarkJoined()
	s.lease.HandleLeaseGranted()
	s.budgetShare.Reset(s.stepLimitedClock(), granted.BudgetShare)
	s.planner.RetryBudget.SetShare(s.budgetShare.Usable())
	s.lease.SetCores(granted.CoresVersion, granted.Cores)
	s.cores.add(s.clock(), s.lease.CoreAddrs())
	s.lastCoreContact = s.clock()
	return s.config.cache.NewestHeld(s.planner.Revision())
}
