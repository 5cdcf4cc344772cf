package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
)

const (
	// coresLimit is how long a core may take to list the cores.
	coresLimit = 500 * time.Millisecond
	// coresEvery bounds how often a sidecar without a lease asks for the list.
	coresEvery = time.Second
	// runMark is the length of the mark of a join. It tells the joins of one node apart, and
	// the cores keep it for every node.
	runMark = 12
)

// askToJoin asks one core for a lease. Before any core has listed the others, one of the
// seeds is asked for them, so that a herd does not join at the seeds alone.
func (s *Sidecar) askToJoin() {
	if s.run == "" {
		s.run = ident.Mark()[:runMark]
	}
	at := s.joinCore()
	if s.learned == 0 {
		if !s.learnCores(at) {
			s.joiner.Failed(s.clock(), at)
			return
		}
		at = s.joinCore()
	}
	ctx, stop := context.WithTimeout(context.Background(), joiner.Patience)
	defer stop()
	var got mesh.Entry
	if err := s.pool.Ask(ctx, at, "POST", "/cottonarch/v1/claim", mesh.JoinRequest{Node: s.Boot.Node, Run: s.run}, &got); err != nil {
		s.joinFailed(at, err)
		return
	}
	s.joined(at, got)
}

// joinCore is the core to ask for a lease.
func (s *Sidecar) joinCore() ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joiner.Core(s.real(), s.lease.Places())
}

// joinFailed takes a refusal, or the silence of a core.
func (s *Sidecar) joinFailed(at ident.Addr, err error) {
	s.Board.Add("claims_failed", 1)
	d := (*failure.Error)(nil)
	if failure.Find(err, &d) && d.Kind == failure.Busy && d.RetryAfter > 0 {
		s.joiner.Refused(s.clock(), at, time.Duration(d.RetryAfter*float64(time.Second)))
	} else {
		s.joiner.Failed(s.clock(), at)
	}
	side := d != nil && d.Kind == failure.Missing // a sidecar: it knows cores
	answered := d != nil && d.Kind != failure.LostResponse
	if answered {
		s.mu.Lock()
		s.sides[at] = side
		s.mu.Unlock()
	}
	if side || answered && s.clock().Since(s.learned) > coresEvery {
		s.learnCores(at)
	}
}

// learnCores asks a core, or a seed that is a sidecar, for the cores that it knows. It
// tells whether there was an answer.
func (s *Sidecar) learnCores(at ident.Addr) bool {
	ctx, stop := context.WithTimeout(context.Background(), coresLimit)
	defer stop()
	var known core.Known
	if s.pool.Ask(ctx, at, "GET", "/cottonarch/v1/cores", nil, &known) != nil {
		return false
	}
	now := s.clock()
	s.learned = now
	s.mu.Lock()
	defer s.mu.Unlock()
	s.join(known.Cores)
	if known.Core {
		for _, a := range append(known.Cores, at) {
			delete(s.sides, a)
			s.noPeer[a] = now.Add(coreEvery)
		}
	}
	return true
}

// joined takes a lease, and the manifest from the core that gave it unless a peer was
// faster.
func (s *Sidecar) joined(at ident.Addr, got mesh.Entry) {
	s.mu.Lock()
	s.leaseEpoch, s.seq = got.Claim, 1
	s.path.Floor = max(s.path.Floor, got.Manifest)
	s.wit.Entered()
	s.lease.Joined()
	s.budgetShare.Begin(s.slow(), got.Share)
	s.path.Tree.Grant(s.budgetShare.Usable())
	s.lease.LearnCores(got.View, got.Cores)
	s.join(s.lease.KnownCores())
	s.lastCore = s.clock()
	have := s.wit.Holds(s.path.Epoch())
	s.mu.Unlock()
	s.run = "" // the next join, if there is one, is another
	s.joiner.Joined()
	s.entered.Store(true)
	if got.Manifest > have {
		if err := s.fetch(at); err != nil {
			s.Board.Add("manifest_fetches_failed", 1)
		}
	}
	s.Log.Info("entry granted", zap.Uint64("claim", uint64(got.Claim)), zap.Int("share", got.Share.N), zap.Uint64("manifest", uint64(got.Manifest)))
	s.point(at)
}
