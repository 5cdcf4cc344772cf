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

// With MutantBypassJoinQueue, a sidecar tries to join every queuelessJoinTicks ticks with a timeout
// of queuelessJoinTimeout. A core has a time of queuelessJoinBudget for each operation of a join.
const (
	queuelessJoinTicks   = 6
	queuelessJoinTimeout = 1500 * time.Millisecond
	queuelessJoinBudget  = 3 * time.Second
)

// requestJoin requests a lease from one core when the backoff has ended, as the daemon does.
func (s *Sidecar) requestJoin(tick int) {
	if s.world.Mutant == MutantBypassJoinQueue {
		if tick%queuelessJoinTicks == 0 {
			s.joinWithoutQueue()
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
	}, func(r rpcResult[node.JoinResult]) {
		s.joinPending = false
		s.handleJoinResult(c.Addr, r)
	})
}

// handleJoinResult handles the result of a join request to a core.
func (s *Sidecar) handleJoinResult(core ident.Addr, r rpcResult[node.JoinResult]) {
	switch {
	case !r.lost && r.failure == nil:
		s.startLease(r.value)
	case !r.lost && r.failure.Kind == failure.Busy && r.failure.RetryAfter > 0:
		s.joiner.HandleRejection(s.localTime(), core, time.Duration(r.failure.RetryAfter*float64(time.Second)))
	default:
		s.joiner.HandleFailure(s.localTime(), core)
	}
}

// startLease starts using a lease that a core granted.
func (s *Sidecar) startLease(lease node.JoinResult) {
	s.joinCount++
	s.joiner.Reset()
	s.hasLease, s.leaseEpoch, s.reportSequence = true, lease.LeaseEpoch, 1
	s.router.MinRevision = max(s.router.MinRevision, lease.ConfigRevision)
	s.configCache.MarkJoined()
	s.lastCoreContact = s.localTime()
	s.lease.HandleLeaseGranted()
	s.budgetShare.Reset(s.limitedTime(), lease.Share)
	s.router.RetryBudget.SetShare(s.budgetShare.Usable())
}

// joinWithoutQueue joins without the cores' join queue: each sidecar requests its lease epoch, its
// share and the newest configuration with operations of its own, one after the other.
func (s *Sidecar) joinWithoutQueue() {
	s.joinPending = true
	s.joinAttempts++
	c := s.world.Cores[s.joinAttempts%len(s.world.Cores)]
	rpc(s, &c.process, queuelessJoinTimeout, func(respond func(node.JoinResult, *failure.Error)) {
		c.joinWithoutQueue(s.Node, respond)
	}, func(r rpcResult[node.JoinResult]) {
		s.joinPending = false
		if !r.lost && r.failure == nil {
			s.startLease(r.value)
		}
	})
}

// joinWithoutQueue submits the operations with which one sidecar joins.
func (c *Core) joinWithoutQueue(sidecar ident.Node, respond func(node.JoinResult, *failure.Error)) {
	fail := func() {
		respond(node.JoinResult{}, failure.New(failure.Unreachable, "an operation of the join failed"))
	}
	number := proposer.Operation{Key: ident.Key("claim/" + string(sidecar)), Kind: sequence.NextKind}
	c.Submit(number, queuelessJoinBudget, func(result node.Result) {
		var numbers sequence.State
		if !succeeded(&result, &numbers) {
			fail()
			return
		}
		leaseEpoch := ident.LeaseEpoch(numbers.Last)
		args := operation.Encode(quota.Args{Node: sidecar, LeaseEpoch: leaseEpoch})
		c.Submit(proposer.Operation{Key: quota.Key, Kind: quota.TakeKind, Args: args}, queuelessJoinBudget, func(result node.Result) {
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
