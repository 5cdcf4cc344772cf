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
	// coresInterval is how often a sidecar without a lease asks for the list.
	coresInterval = time.Second
	// joinAttemptIDLength is the length of the id of a join, which the cores keep for every node.
	joinAttemptIDLength = 12
)

// leaseJoiner is how a sidecar without a lease obtains one. Only the renewer's goroutine uses it.
type leaseJoiner struct {
	sidecar       *Sidecar
	joiner        *joiner.Joiner
	coresListedAt monotime.Time // when a process last listed the cores, 0 if none has
	// attemptID tells the joins of one node apart: a repeat under the same id is the same join,
	// at whichever core. It is "" while no join is tried.
	attemptID string
}

func newLeaseJoiner(s *Sidecar) *leaseJoiner {
	return &leaseJoiner{sidecar: s, joiner: joiner.New(s.Settings.Node, s.Settings.Zone)}
}

// backoff is how long the next try has to wait.
func (j *leaseJoiner) backoff() time.Duration { return j.joiner.Backoff(j.sidecar.clock()) }

// try asks one core for a lease, and reports whether it granted one. Before any process has listed
// the cores one of the seeds is asked for them, so that sidecars that start together do not all
// join at the seeds.
func (j *leaseJoiner) try() bool {
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

// nextCore is the core to ask for a lease.
func (j *leaseJoiner) nextCore() ident.Addr {
	s := j.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.joiner.NextCore(s.cores.usable(), s.lease.CoreLocations())
}

// handleFailure takes a core's rejection, or its silence.
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
	isSidecar := fail != nil && fail.Kind == failure.NotFound // it has no such path, but it knows cores
	if answered {
		s.mu.Lock()
		s.cores.isSidecar[addr] = isSidecar
		s.mu.Unlock()
	}
	if isSidecar || answered && s.clock().Since(j.coresListedAt) > coresInterval {
		j.listCores(addr)
	}
}

// listCores asks a core, or a seed that is a sidecar, for the cores that it knows. It reports
// whether there was an answer.
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

// complete takes a lease, and the configuration from the core that granted it unless a peer was
// faster.
func (j *leaseJoiner) complete(addr ident.Addr, granted mesh.JoinResponse) {
	s := j.sidecar
	haveRevision := s.applyLease(granted)
	j.attemptID = "" // the next join, if there is one, is another
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

// takeLease takes what came with a lease, and gives the revision of the newest configuration
// that is held here.
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
