package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	manifest "cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/mesh/configcache"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
	"cottonarch.example/cottonarch/mesh/priorityqueue"
	"cottonarch.example/cottonarch/mesh/retrybudget"
	"cottonarch.example/cottonarch/sim/invariant"
)

// Sidecar is a simulated application machine: its sidecar and its endpoints.
type Sidecar struct {
	process
	Node             ident.Node
	Zone             ident.Zone
	Endpoints        []*Endpoint
	router           *attempt.Planner
	tracker          *endpoint.Tracker
	configCache      *configcache.Cache
	queue            *priorityqueue.Queue[*queuedCall]
	lease            *holder.Holder
	budgetShare      holder.BudgetShare
	hasLease         bool
	joinPending      bool
	leaseEpoch       ident.Epoch
	reportSequence   uint64
	joinTurn         int
	joiner           *joiner.Joiner
	joinCount        int        // attempts that were granted, which mark the next one
	polledCore       ident.Addr // the core that is polled
	polledGeneration int        // gen of it that place belongs to
	registryPosition uint64
	polling          bool
	pollCount        int
	polledCoreStale  bool // as the polled core last said
	leaving          bool
	shownRevision    ident.Epoch
	coreHeardAt      monotime.Time // a core, last
	inFlight         int
	urgentInFlight   int // urgent calls in hand
	clockWatch       monotime.StepLimiter
	// The rest is for worlds with admission queues.
	admission         *admission.Queue
	waiters           map[uint64]*waiter // who waits in the admission queue
	lastWaiterID      uint64
	admittedEndpoints []ident.Server // whom the admission queue knows
	probed            bool
}

// watchedTime is the clock that counts only time that was watched.
func (s *Sidecar) watchedTime() monotime.Time {
	if s.world.Mutant == "clock" {
		return s.localTime()
	}
	return s.clockWatch.Observe(s.localTime())
}

// NewSidecar makes an application machine.
func (w *World) NewSidecar(addr ident.Addr, zone ident.Zone) *Sidecar {
	s := &Sidecar{process: process{world: w, Addr: addr}, Node: ident.Node("node-" + string(addr)), Zone: zone}
	w.Sidecars = append(w.Sidecars, s)
	return s
}

// Start starts the sidecar.
func (s *Sidecar) Start() {
	s.beginGeneration()
	s.clockWatch = monotime.StepLimiter{}
	s.router = attempt.New(s.localTime(), s.Zone, s.world.Rng.Uint64(), retrybudget.Limits{})
	s.router.RetryUnsafe = s.world.Mutant == "retry"
	s.router.RetryBudget.Unlimited = s.world.Mutant == "allowance"
	s.joiner = joiner.New(s.Node, s.Zone)
	s.tracker, s.lease, s.configCache = endpoint.New(), holder.New(), configcache.New(s.localTime())
	if s.world.Platform {
		s.tracker.WithHeartbeatInterval(heartbeatInterval).Fenced = true
		s.admission, s.waiters, s.lastWaiterID, s.admittedEndpoints, s.probed = admission.New(admission.DefaultSettings()), map[uint64]*waiter{}, 0, nil, false
	}
	s.queue = priorityqueue.New[*queuedCall](s.world.MaxSenders, s.world.MaxSenders)
	s.queue.IgnoreUrgency = s.world.Mutant == "urgent"
	s.configCache.Disabled = s.world.Mutant == "witness"
	s.tracker.SkipChecks = s.world.Mutant == "gate" || s.world.Mutant == "silence"
	s.hasLease, s.joinPending, s.leaseEpoch, s.reportSequence, s.polling, s.leaving = false, false, 0, 0, false, false
	s.polledCore, s.polledGeneration, s.registryPosition = "", 0, 0
	s.inFlight, s.urgentInFlight, s.coreHeardAt = 0, 0, s.localTime()
	for _, e := range s.Endpoints { // this run has seen none of them yet
		e.lastHeartbeat = 0
	}
	s.tick(s.generation, 0)
}

// Ready tells whether callers may come: it was let in and has a manifest in force.
func (s *Sidecar) Ready() bool { return s.running && s.hasLease && s.router.Revision() > 0 }

// Running tells whether the sidecar runs.
func (s *Sidecar) Running() bool { return s.running && !s.frozen }

// Run counts the starts of the sidecar.
func (s *Sidecar) Run() int { return s.generation }

// Kill ends the sidecar at once.
func (s *Sidecar) Kill() { s.running = false }

// Stop is a planned stop: callers come no more, its endpoints are left alone, and it
// ends once nothing is in hand for a second, or after ten.
func (s *Sidecar) Stop(then func()) {
	generation := s.generation
	s.leaving = true
	s.runInGeneration(generation, func() {
		waitingCount := len(s.waiters)
		s.endpointsChanged(s.tracker.DrainAll(s.localTime()))
		if waitingCount == 0 {
			return
		}
		s.world.After(admissionDrainTimeout, func() {
			s.runInGeneration(generation, func() {
				s.world.Checker.Observe(invariant.AdmissionStop)
				if n := len(s.waiters); n > 0 {
					s.world.Violate(invariant.AdmissionStop, "%s stops and %d still wait in its admission queue", s.Node, n)
				}
			})
		})
	})
	s.drain(generation, 0, 0, then)
}

func (s *Sidecar) drain(generation, idleChecks, checks int, then func()) {
	if !s.running || s.generation != generation {
		return
	}
	if idleChecks++; s.inFlight > 0 {
		idleChecks = 0
	}
	if idleChecks < 20 && checks < 200 && s.world.Mutant != "stop" {
		s.world.After(50*time.Millisecond, func() { s.drain(generation, idleChecks, checks+1, then) })
		return
	}
	s.world.Checker.Observed["dropped-in-stop"]++
	if s.inFlight > 0 {
		s.world.Violate("dropped-in-stop", "%s stopped with %d requests in hand", s.Node, s.inFlight)
	}
	s.Kill()
	then()
}

func (s *Sidecar) tick(generation, count int) {
	s.runInGeneration(generation, func() {
		now := s.localTime()
		s.watchedTime()
		s.recordLosses()
		s.router.RetryBudget.Tick(now)
		s.endpointsChanged(s.tracker.Tick(now))
		if s.world.Platform {
			s.deliverVerdicts(s.admission.Tick(now))
			s.probeEndpoint()
		}
		switch {
		case !s.hasLease && !s.joinPending:
			s.requestJoin(count)
		case s.hasLease:
			s.renew()
		}
		if s.hasLease {
			s.poll()
			s.updateBudgetShare()
		}
		if count%6 == 0 && s.configCache.ShouldAskPeers(now, s.coreHeardAt, s.router.Revision()) {
			s.requestFromPeers()
		}
		s.showConfig()
	})
	if s.running && s.generation == generation {
		s.world.After(40*time.Millisecond, func() { s.tick(generation, count+1) })
	}
}

// request asks a core: the request may be lost, and so may the return. serve runs in the
// core and says its return once; done runs here, with nil when none came in time.
func (s *Sidecar) request(server *process, timeout time.Duration, serve func(respond func(any)), done func(any)) {
	s.requestWithCost(server, server.messageCost, timeout, serve, done)
}

// requestWithCost is ask of a request that costs the core something else than others.
func (s *Sidecar) requestWithCost(server *process, cost, timeout time.Duration, serve func(respond func(any)), done func(any)) {
	w, generation, ended := s.world, s.generation, false
	end := func(response any) {
		if !ended {
			ended = true
			s.runInGeneration(generation, func() { done(response) })
		}
	}
	w.After(timeout, func() { end(nil) })
	if !server.running {
		w.After(time.Millisecond, func() { end(nil) })
		return
	}
	from, to, serverGeneration := s.Addr, server.Addr, server.generation
	if !w.Links.Open(from, to) || !w.Links.Open(to, from) {
		if w.Links.refusesAtOnce(from, to) {
			w.After(time.Millisecond, func() { end(nil) })
		}
		return
	}
	w.After(w.linkDelay(), func() {
		server.handleMessage(serverGeneration, cost, func() {
			serve(func(response any) {
				if w.Links.Open(to, from) {
					w.After(w.linkDelay(), func() { end(response) })
				}
			})
		})
	})
}

// renew renews the claim at the keeper, as the daemon does.
func (s *Sidecar) renew() {
	now := s.localTime()
	s.lease.ChooseRegistrar(now, s.Node, s.Zone, s.world.coreAddrs())
	report := record.Report{Node: s.Node, Addr: s.Addr, Zone: s.Zone, LeaseEpoch: s.leaseEpoch, Seq: s.reportSequence, ConfigRevision: s.router.Revision(), Leaving: s.leaving, Workloads: s.tracker.Workloads()}
	changed := s.lease.ReportChanged(s.leaseEpoch, report)
	if !s.lease.RenewalDue(now, changed) {
		return
	}
	if changed {
		s.reportSequence++
		report.Seq = s.reportSequence
	}
	targets := s.lease.Targets()
	renewal := s.lease.BeginRenewal(now, report, s.router.Outcomes())
	for _, addr := range targets {
		s.renewWith(addr, renewal)
	}
}

func (s *Sidecar) renewWith(addr ident.Addr, renewal record.Renewal) {
	c := s.coreAt(addr)
	if c == nil {
		s.lease.HandleFailure(s.localTime(), addr)
		return
	}
	s.request(&c.process, holder.RenewTimeout, func(respond func(any)) {
		got, effects, failed := c.node.Renew(c.watchedTime(), renewal)
		c.applyEffects(effects)
		if failed != nil {
			respond(failed)
			return
		}
		got.CoresVersion, got.Cores = "all", c.node.CoreZones(c.watchedTime())
		got.ConfigRevision = c.configRevision()
		respond(got)
	}, func(response any) {
		switch got := response.(type) {
		case *failure.Error:
			if renewal.LeaseEpoch == s.leaseEpoch {
				s.hasLease = false
			}
			s.lease.LeaseEnded()
		case record.RenewalResponse:
			got.Stale = got.Stale && s.world.Mutant != "stay"
			s.lease.HandleResponse(s.localTime(), addr, got)
			s.coreHeardAt = s.localTime()
			s.budgetShare.SetMembers(s.watchedTime(), got.Members)
			s.router.RetryBudget.SetShare(s.budgetShare.Usable())
			if m := s.lease.MajorityAsOf(); m != 0 {
				s.router.RetryBudget.ShareRenewed(m)
			}
			s.renew()
			switch {
			case got.ConfigRevision <= s.router.Revision():
			case addr != s.lease.Followed():
				s.request(&c.process, time.Second, func(respond func(any)) { respond(c.config) }, func(response any) {
					if m, ok := response.(*manifest.Config); ok {
						s.applyConfig(m)
					}
				})
			default:
				s.polling = false // ask anew: this core knows a newer manifest
			}
			s.poll()
		default:
			s.lease.HandleFailure(s.localTime(), addr)
			s.renew()
			s.poll()
		}
	})
}

func (w *World) coreAddrs() []ident.Addr {
	out := make([]ident.Addr, len(w.Cores))
	for i, c := range w.Cores {
		out[i] = c.Addr
	}
	return out
}

func (s *Sidecar) coreAt(a ident.Addr) *Core {
	for _, c := range s.world.Cores {
		if c.Addr == a {
			return c
		}
	}
	return nil
}

// updateBudgetShare sends a promise or a wish about the share.
func (s *Sidecar) updateBudgetShare() {
	args, due := s.budgetShare.NextRequest(s.watchedTime(), s.Node, s.leaseEpoch)
	if !due {
		return
	}
	c := s.world.Cores[s.world.Rng.IntN(len(s.world.Cores))]
	s.request(&c.process, 3500*time.Millisecond, func(respond func(any)) {
		c.Submit(proposer.Operation{Key: "share", Kind: "share/take", Args: operation.Encode(args)}, 3*time.Second, func(ended node.Result) {
			var granted quota.Share
			switch {
			case ended.Failure != nil:
				respond(ended.Failure)
			case json.Unmarshal(ended.Body, &granted) == nil:
				respond(granted)
			}
		})
	}, func(response any) {
		if failed, ok := response.(*failure.Error); ok && failed.Kind == failure.Conflict && args.LeaseEpoch == s.leaseEpoch {
			s.hasLease = false // superseded: it joins anew, as the daemon does
		}
		if granted, ok := response.(quota.Share); ok && args.LeaseEpoch == s.leaseEpoch {
			s.budgetShare.ApplyGrant(s.watchedTime(), granted)
			s.router.RetryBudget.SetShare(s.budgetShare.Usable())
		}
	})
}

type pollResponse struct {
	generation int
	position   uint64
	sets       []record.Set
	config     *manifest.Config
	stale      bool
}

// poll follows the registry and the manifest at the keeper; the daemon's long poll is a
// poll each tick here.
func (s *Sidecar) poll() {
	if at := s.lease.Followed(); at != s.polledCore {
		s.polledCore, s.polledGeneration, s.polling, s.polledCoreStale = at, 0, false, false
	}
	if s.polling || s.world.Mutant == "deaf" && s.world.Rng.IntN(100) > 0 {
		return
	}
	c := s.coreAt(s.polledCore)
	if c == nil {
		return
	}
	s.polling = true
	s.pollCount++
	after, number := s.registryPosition, s.pollCount
	if s.polledGeneration != c.generation {
		after = 0
	}
	cost := c.messageCost
	if s.polledGeneration == c.generation && c.node.Leases.FeedVersion() <= after {
		cost = 0 // the daemon's long poll waits, and is no request of its own
	}
	s.requestWithCost(&c.process, cost, time.Second, func(respond func(any)) {
		respond(pollResponse{c.generation, c.node.Leases.FeedVersion(), c.node.Leases.ChangesSince(after), c.config, c.node.Stale()})
	}, func(response any) {
		if number != s.pollCount {
			return // broken off
		}
		s.polling = false
		got, ok := response.(pollResponse)
		if !ok {
			s.polledGeneration = 0
			s.lease.Suspect()
			return
		}
		s.polledGeneration, s.registryPosition = got.generation, got.position
		s.coreHeardAt = s.localTime()
		s.router.Index.Merge(got.sets)
		s.applyConfig(got.config)
		if wasStale := s.polledCoreStale; got.stale && !wasStale {
			s.lease.Suspect()
			s.renew()
		}
		s.polledCoreStale = got.stale
	})
}
