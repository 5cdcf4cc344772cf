package world

import (
	"encoding/json"
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

const (
	// MutantJoinSingly has every sidecar join by quorum operations of its own, as releases without
	// batches did.
	MutantJoinSingly = "join"
	// joinSinglyTicks and singlyLimit are the pace and the patience of that.
	joinSinglyTicks   = 6 // ticks of a sidecar
	joinSinglyTimeout = 1500 * time.Millisecond
)

// requestJoin asks one core for a lease when the time for it has come, as the daemon does.
func (s *Sidecar) requestJoin(tick int) {
	if s.world.Mutant == MutantJoinSingly {
		if tick%joinSinglyTicks == 0 {
			s.joinSingly()
		}
		return
	}
	if s.joiner.Backoff(s.localTime()) > 0 {
		return
	}
	c := s.coreAt(s.joiner.NextCore(s.world.coreAddrs(), s.lease.CoreLocations()))
	if c == nil {
		return
	}
	s.joinPending = true
	request := joinqueue.Request{Node: s.Node, Run: fmt.Sprintf("%d.%d", s.generation, s.joinCount)}
	s.request(&c.process, joiner.JoinTimeout, func(respond func(any)) {
		c.Join(request, func(e node.Result) {
			var got node.Joined
			switch {
			case e.Failure != nil:
				respond(e.Failure)
			case json.Unmarshal(e.Body, &got) == nil:
				respond(got)
			}
		})
	}, func(response any) {
		s.joinPending = false
		switch got := response.(type) {
		case node.Joined:
			s.joinGranted(got)
		case *failure.Error:
			if got.Kind == failure.Busy && got.RetryAfter > 0 {
				s.joiner.HandleRejection(s.localTime(), c.Addr, time.Duration(got.RetryAfter*float64(time.Second)))
				return
			}
			s.joiner.HandleFailure(s.localTime(), c.Addr)
		default:
			s.joiner.HandleFailure(s.localTime(), c.Addr)
		}
	})
}

// joinGranted takes a lease.
func (s *Sidecar) joinGranted(got node.Joined) {
	s.joinCount++
	s.joiner.Reset()
	s.hasLease, s.leaseEpoch, s.reportSequence = true, got.LeaseEpoch, 1
	s.router.MinRevision = max(s.router.MinRevision, got.ConfigRevision)
	s.configCache.MarkJoined()
	s.coreHeardAt = s.localTime()
	s.lease.LeaseGranted()
	s.budgetShare.Start(s.watchedTime(), got.Share)
	s.router.RetryBudget.SetShare(s.budgetShare.Usable())
}

// joinSingly is the broken way: claim epoch, share and newest manifest one after the other,
// for each sidecar by itself.
func (s *Sidecar) joinSingly() {
	s.joinPending = true
	s.joinTurn++
	c := s.world.Cores[s.joinTurn%len(s.world.Cores)]
	s.request(&c.process, joinSinglyTimeout, func(respond func(any)) {
		c.Submit(proposer.Operation{Key: ident.Key("claim/" + string(s.Node)), Kind: "number/next"}, 3*time.Second, func(e node.Result) {
			var leaseEpoch sequence.State
			if e.Failure != nil || json.Unmarshal(e.Body, &leaseEpoch) != nil {
				respond(nil)
				return
			}
			args := operation.Encode(quota.Args{Node: s.Node, LeaseEpoch: ident.Epoch(leaseEpoch.Last)})
			c.Submit(proposer.Operation{Key: quota.Key, Kind: "share/take", Args: args}, 3*time.Second, func(e node.Result) {
				var granted quota.Share
				if e.Failure != nil || json.Unmarshal(e.Body, &granted) != nil {
					respond(nil)
					return
				}
				c.ReadConfig(func(ok bool) {
					if !ok {
						respond(nil)
						return
					}
					respond(node.Joined{LeaseEpoch: ident.Epoch(leaseEpoch.Last), Share: granted, ConfigRevision: c.configRevision()})
				})
			})
		})
	}, func(response any) {
		s.joinPending = false
		if got, ok := response.(node.Joined); ok {
			s.joinGranted(got)
		}
	})
}
