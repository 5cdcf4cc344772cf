package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/lease/holder"
)

const (
	// configRequestTimeout bounds a request for a core's configuration.
	configRequestTimeout = time.Second
	// shareOperationTimeout bounds the operation at the core that changes a share of the retry budget;
	// shareRequestTimeout bounds the sidecar's request for the operation.
	shareOperationTimeout = 3 * time.Second
	shareRequestTimeout   = 3500 * time.Millisecond
)

// allCoresVersion is the version of the list of cores in a renewal response. The version is constant,
// because the simulation always sends the full list.
const allCoresVersion = "all"

// renew renews the lease if a renewal is due, as the daemon does. The renewal is sent to every core that
// the lease holder selects.
func (s *Sidecar) renew() {
	now := s.localTime()
	s.lease.ChooseRegistrar(now, s.Node, s.Zone, s.world.coreAddrs())
	report := record.Report{
		Node: s.Node, Addr: s.Addr, Zone: s.Zone, LeaseEpoch: s.leaseEpoch, Seq: s.reportSequence,
		ConfigRevision: s.router.Revision(), Leaving: s.leaving, Workloads: s.tracker.Workloads(),
	}
	changed := s.lease.ReportChanged(s.leaseEpoch, report)
	if !s.lease.RenewalDue(now, changed) {
		return
	}
	if changed {
		s.reportSequence++
		report.Seq = s.reportSequence
	}
	targets := s.lease.Targets()
	renewal := s.lease.BeginRenewal(now, report, s.router.OutcomeCounts())
	for _, addr := range targets {
		s.sendRenewal(addr, renewal)
	}
}

// sendRenewal sends a renewal to one core.
func (s *Sidecar) sendRenewal(addr ident.Addr, renewal record.Renewal) {
	c := s.world.coreAt(addr)
	if c == nil {
		s.lease.HandleFailure(s.localTime(), addr)
		return
	}
	rpc(s, &c.process, holder.RenewTimeout, func(respond func(record.RenewalResponse, *failure.Error)) {
		respond(c.renewLease(renewal))
	}, func(r rpcResult[record.RenewalResponse]) {
		switch {
		case r.lost:
			s.lease.HandleFailure(s.localTime(), addr)
			s.renew()
			s.poll()
		case r.failure != nil:
			if renewal.LeaseEpoch == s.leaseEpoch {
				s.hasLease = false
			}
			s.lease.HandleLeaseSuperseded()
		default:
			s.handleRenewalResponse(c, addr, r.value)
		}
	})
}

// renewLease serves the renewal of a sidecar's lease.
func (c *Core) renewLease(renewal record.Renewal) (record.RenewalResponse, *failure.Error) {
	response, effects, failed := c.node.Renew(c.limitedTime(), renewal)
	c.applyEffects(effects)
	if failed != nil {
		return record.RenewalResponse{}, failed
	}
	response.CoresVersion, response.Cores = allCoresVersion, c.node.CoreLocations(c.limitedTime())
	response.ConfigRevision = c.configRevision()
	return response, nil
}

// handleRenewalResponse handles a core's response to a renewal.
func (s *Sidecar) handleRenewalResponse(c *Core, addr ident.Addr, response record.RenewalResponse) {
	response.Stale = response.Stale && s.world.Mutant != MutantKeepStaleCore
	s.lease.HandleResponse(s.localTime(), addr, response)
	s.lastCoreContact = s.localTime()
	s.budgetShare.SetMemberCount(s.limitedTime(), response.Members)
	s.router.RetryBudget.SetShare(s.budgetShare.Usable())
	if asOf := s.lease.MajorityAsOf(); asOf != 0 {
		s.router.RetryBudget.ShareRenewed(asOf)
	}
	s.renew()
	switch {
	case response.ConfigRevision <= s.router.Revision():
	case addr != s.lease.PollTarget():
		s.fetchConfig(c)
	default:
		s.feed.polling = false // poll again immediately: this core has a newer configuration
	}
	s.poll()
}

// fetchConfig requests the configuration of a core.
func (s *Sidecar) fetchConfig(c *Core) {
	rpc(s, &c.process, configRequestTimeout, func(respond func(*validation.Config, *failure.Error)) {
		respond(c.config, nil)
	}, func(r rpcResult[*validation.Config]) {
		if !r.lost {
			s.addConfig(r.value)
		}
	})
}

// updateBudgetShare requests a share of the retry budget, or returns a part of the share, if either
// is due.
func (s *Sidecar) updateBudgetShare() {
	args, due := s.budgetShare.NextRequest(s.limitedTime(), s.Node, s.leaseEpoch)
	if !due {
		return
	}
	c := s.world.Cores[s.world.Rng.IntN(len(s.world.Cores))]
	rpc(s, &c.process, shareRequestTimeout, func(respond func(quota.Share, *failure.Error)) {
		op := proposer.Operation{Key: quota.Key, Kind: quota.TakeKind, Args: operation.Encode(args)}
		c.Submit(op, shareOperationTimeout, respondResult(respond))
	}, func(r rpcResult[quota.Share]) {
		if r.lost || args.LeaseEpoch != s.leaseEpoch {
			return
		}
		if r.failure == nil {
			s.budgetShare.ApplyGrant(s.limitedTime(), r.value)
			s.router.RetryBudget.SetShare(s.budgetShare.Usable())
		} else if r.failure.Kind == failure.Conflict {
			s.hasLease = false // the lease is superseded: the sidecar joins again, as the daemon does
		}
	})
}
