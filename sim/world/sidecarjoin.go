package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
)

// With MutantBypassJoinQueue a sidecar tries to join at every so many ticks, each time for so long;
// a core works at each operation of it within a budget.
const (
	joinSinglyTicks   = 6
	joinSinglyTimeout = 1500 * time.Millisecond
	joinSinglyBudget  = 3 * time.Second
)

// requestJoin asks one core for a lease when the time for it has come, as the daemon does.
func (s *Sidecar) requestJoin(tick int) {
	if s.world.Mutant == MutantBypassJoinQueue {
		if tick%joinSinglyTicks == 0 {
			s.joinSingly()
		}
		return
	}
	if s.joiner.Backoff(s.localTime()) > 0 {
		return
	}
	c := s.world.coreAt(s.joiner.NextCore(s.world.coreAddrs(), s.lease.CoreLocations()))
	if c == nil {
		return
	}
	s.joinPending = true
	request := joinqueue.Request{Node: s.Node, Run: fmt.Sprintf("%d.%d", s.generation, s.joinCount)}
	rpc(s, &c.process, joiner.JoinTimeout, func(respond func(node.JoinResult, *failure.Error)) {
		c.Join(request, respondResult(respond))
	}, func(r reply[node.JoinResult]) {
		s.joinPending = false
		s.joinEnded(c.Addr, r)
	})
}

// joinEnded takes a core's reply to a request to join.
func (s *Sidecar) joinEnded(core ident.Addr, r reply[node.JoinResult]) {
	switch {
	case !r.lost && r.failure == nil:
		s.joined(r.value)
	case !r.lost && r.failure.Kind == failure.Busy && r.failure.RetryAfter > 0:
		s.joiner.HandleRejection(s.localTime(), core, time.Duration(r.failure.RetryAfter*float64(time.Second)))
	default:
		s.joiner.HandleFailure(s.localTime(), core)
	}
}

// joined takes a lease.
func (s *Sidecar) joined(lease node.JoinResult) {
	s.joinCount++
	s.joiner.Reset()
	s.hasLease, s.leaseEpoch, s.reportSequence = true, lease.LeaseEpoch, 1
	s.router.MinRevision = max(s.router.MinRevision, lease.ConfigRevision)
	s.configCache.MarkJoined()
	s.coreHeardAt = s.localTime()
	s.lease.HandleLeaseGranted()
	s.budgetShare.Reset(s.watchedTime(), lease.Share)
	s.router.RetryBudget.SetShare(s.budgetShare.Usable())
}

// joinSingly joins without the cores' join queue: each sidecar asks for its lease epoch, its
// share and the newest configuration by operations of its own, one after the other.
func (s *Sidecar) joinSingly() {
	s.joinPending = true
	s.joinTurn++
	c := s.world.Cores[s.joinTurn%len(s.world.Cores)]
	rpc(s, &c.process, joinSinglyTimeout, func(respond func(node.JoinResult, *failure.Error)) {
		c.joinSingly(s.Node, respond)
	}, func(r reply[node.JoinResult]) {
		s.joinPending = false
		if !r.lost && r.failure == nil {
			s.joined(r.value)
		}
	})
}

// joinSingly makes the operations by which one sidecar joins.
func (c *Core) joinSingly(sidecar ident.Node, respond func(node.JoinResult, *failure.Error)) {
	fail := func() { respond(node.JoinResult{}, failure.New(failure.Unreachable, "the join failed")) }
	number := proposer.Operation{Key: ident.Key("claim/" + string(sidecar)), Kind: sequence.NextKind}
	c.Submit(number, joinSinglyBudget, func(result node.Result) {
		var numbers sequence.State
		if !succeeded(&result, &numbers) {
			fail()
			return
		}
		leaseEpoch := ident.LeaseEpoch(numbers.Last)
		args := operation.Encode(quota.Args{Node: sidecar, LeaseEpoch: leaseEpoch})
		c.Submit(proposer.Operation{Key: quota.Key, Kind: quota.TakeKind, Args: args}, joinSinglyBudget, func(result node.Result) {
			var share quota.Share
			if !succeeded(&result, &share) {
				fail()
				return
			}
			c.ReadConfig(func(ok bool) {
				if !ok {
					fail()
					return
				}
				respond(node.JoinResult{LeaseEpoch: leaseEpoch, Share: share, ConfigRevision: c.configRevision()}, nil)
			})
		})
	})
}
