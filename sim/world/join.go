package world

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/number"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/admission"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
)

const (
	// BreakJoin has every sidecar join by quorum operations of its own, as releases without
	// batches did.
	BreakJoin = "join"
	// singlyEvery and singlyLimit are the pace and the patience of that.
	singlyEvery = 6 // ticks of a sidecar
	singlyLimit = 1500 * time.Millisecond
)

// askToJoin asks one core for a lease when the time for it has come, as the daemon does.
func (s *Side) askToJoin(tick int) {
	if s.w.Break == BreakJoin {
		if tick%singlyEvery == 0 {
			s.joinSingly()
		}
		return
	}
	if s.joiner.Wait(s.clock()) > 0 {
		return
	}
	c := s.coreAt(s.joiner.Core(s.w.coreAddrs(), s.lease.Places()))
	if c == nil {
		return
	}
	s.asking = true
	ask := admission.Request{Node: s.Node, Run: fmt.Sprintf("%d.%d", s.gen, s.joins)}
	s.ask(&c.proc, joiner.Patience, func(say func(any)) {
		c.Join(ask, func(e node.End) {
			var got node.Joined
			switch {
			case e.Failure != nil:
				say(e.Failure)
			case json.Unmarshal(e.Body, &got) == nil:
				say(got)
			}
		})
	}, func(v any) {
		s.asking = false
		switch got := v.(type) {
		case node.Joined:
			s.joined(got)
		case *failure.Error:
			if got.Kind == failure.Busy && got.RetryAfter > 0 {
				s.joiner.Refused(s.clock(), c.Addr, time.Duration(got.RetryAfter*float64(time.Second)))
				return
			}
			s.joiner.Failed(s.clock(), c.Addr)
		default:
			s.joiner.Failed(s.clock(), c.Addr)
		}
	})
}

// joined takes a lease.
func (s *Side) joined(got node.Joined) {
	s.joins++
	s.joiner.Joined()
	s.entered, s.leaseEpoch, s.seq = true, got.Claim, 1
	s.path.Floor = max(s.path.Floor, got.Manifest)
	s.wit.Entered()
	s.heard = s.clock()
	s.lease.Joined()
	s.budgetShare.Begin(s.slow(), got.Share)
	s.path.Tree.Grant(s.budgetShare.Usable())
}

// joinSingly is the broken way: claim epoch, share and newest manifest one after the other,
// for each sidecar by itself.
func (s *Side) joinSingly() {
	s.asking = true
	s.turn++
	c := s.w.Cores[s.turn%len(s.w.Cores)]
	s.ask(&c.proc, singlyLimit, func(say func(any)) {
		c.Deed(proposer.Operation{Key: ident.Key("claim/" + string(s.Node)), Kind: "number/next"}, 3*time.Second, func(e node.End) {
			var num number.Number
			if e.Failure != nil || json.Unmarshal(e.Body, &num) != nil {
				say(nil)
				return
			}
			args := operation.Encode(share.Args{Node: s.Node, Claim: ident.Epoch(num.N)})
			c.Deed(proposer.Operation{Key: share.Key, Kind: "share/take", Args: args}, 3*time.Second, func(e node.End) {
				var g share.Told
				if e.Failure != nil || json.Unmarshal(e.Body, &g) != nil {
					say(nil)
					return
				}
				c.Newest(func(ok bool) {
					if !ok {
						say(nil)
						return
					}
					say(node.Joined{Claim: ident.Epoch(num.N), Share: g, Manifest: c.epoch()})
				})
			})
		})
	}, func(v any) {
		s.asking = false
		if got, ok := v.(node.Joined); ok {
			s.joined(got)
		}
	})
}
