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
	configTimeout = time.Second
	shareBudget   = 3 * time.Second
	shareTimeout  = 3500 * time.Millisecond
)

// allCores is the version of a core's list of cores that is always sent whole.
const allCores = "all"

// renew renews the lease at its registrars if that is due, as the daemon does.
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
		s.renewWith(addr, renewal)
	}
}

// renewWith sends a renewal to one core.
func (s *Sidecar) renewWith(addr ident.Addr, renewal record.Renewal) {
	c := s.world.coreAt(addr)
	if c == nil {
		s.lease.HandleFailure(s.localTime(), addr)
		return
	}
	rpc(s, &c.process, holder.RenewTimeout, func(respond func(record.RenewalResponse, *failure.Error)) {
		respond(c.renewLease(renewal))
	}, func(r reply[record.RenewalResponse]) {
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
			s.leaseRenewed(c, addr, r.value)
		}
	})
}

// renewLease serves the renewal of a sidecar's lease.
func (c *Core) renewLease(renewal record.Renewal) (record.RenewalResponse, *failure.Error) {
	response, effects, failed := c.node.Renew(c.watchedTime(), renewal)
	c.applyEffects(effects)
	if failed != nil {
		return record.RenewalResponse{}, failed
	}
	response.CoresVersion, response.Cores = allCores, c.node.CoreLocations(c.watchedTime())
	response.ConfigRevision = c.configRevision()
	return response, nil
}

// leaseRenewed takes the response of a core to a renewal.
func (s *Sidecar) leaseRenewed(c *Core, addr ident.Addr, response record.RenewalResponse) {
	response.Stale = response.Stale && s.world.Mutant != MutantKeepStaleCore
	s.lease.HandleResponse(s.localTime(), addr, response)
	s.coreHeardAt = s.localTime()
	s.budgetShare.SetMemberCount(s.watchedTime(), response.Members)
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
		s.feed.polling = false // polls again, for this core knows a newer configuration
	}
	s.poll()
}

// fetchConfig asks a core for its configuration.
func (s *Sidecar) fetchConfig(c *Core) {
	rpc(s, &c.process, configTimeout, func(respond func(*validation.Config, *failure.Error)) {
		respond(c.config, nil)
	}, func(r reply[*validation.Config]) {
		if !r.lost {
			s.applyConfig(r.value)
		}
	})
}

// updateBudgetShare asks for a share of the retry budget, or gives some back, if that is due.
func (s *Sidecar) updateBudgetShare() {
	args, due := s.budgetShare.NextRequest(s.watchedTime(), s.Node, s.leaseEpoch)
	if !due {
		return
	}
	c := s.world.Cores[s.world.Rng.IntN(len(s.world.Cores))]
	rpc(s, &c.process, shareTimeout, func(respond func(quota.Share, *failure.Error)) {
		op := proposer.Operation{Key: quota.Key, Kind: quota.TakeKind, Args: operation.Encode(args)}
		c.Submit(op, shareBudget, respondResult(respond))
	}, func(r reply[quota.Share]) {
		if r.lost || args.LeaseEpoch != s.leaseEpoch {
			return
		}
		if r.failure == nil {
			s.budgetShare.ApplyGrant(s.watchedTime(), r.value)
			s.router.RetryBudget.SetShare(s.budgetShare.Usable())
		} else if r.failure.Kind == failure.Conflict {
			s.hasLease = false // superseded: the sidecar joins anew, as the daemon does
		}
	})
}
