package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
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

const (
	// sidecarTickInterval is how often a sidecar's parts are told that time has passed.
	sidecarTickInterval = 40 * time.Millisecond
	// peerCheckTicks is how many ticks lie between two checks whether peers must be asked.
	peerCheckTicks = 6
	// admissionDrainTimeout is how soon after a planned stop began nobody may wait in the
	// admission queue any longer.
	admissionDrainTimeout = 100 * time.Millisecond
)

// A planned stop checks at an interval whether requests are in flight, and ends after a number
// of checks without any, or of all checks.
const (
	drainInterval = 50 * time.Millisecond
	idleLimit     = 20
	drainLimit    = 200
)

// Sidecar is a simulated application machine: its sidecar and its endpoints.
type Sidecar struct {
	process
	Node      ident.Node
	Zone      ident.Zone
	Endpoints []*Endpoint

	clockWatch  monotime.StepLimiter
	router      *attempt.Planner
	tracker     *endpoint.Tracker
	configCache *configcache.Cache
	queue       *priorityqueue.Queue[*queuedCall]
	lease       *holder.Holder
	budgetShare holder.BudgetShare
	joiner      *joiner.Joiner

	hasLease       bool
	joinPending    bool
	joinTurn       int // which core is next with MutantBypassJoinQueue
	joinCount      int // joins that succeeded; it identifies the next request
	leaseEpoch     ident.LeaseEpoch
	reportSequence uint64

	feed          registryFeed
	coreHeardAt   monotime.Time // when a core was last heard
	shownRevision ident.ConfigRevision
	leaving       bool

	inFlight       int
	urgentInFlight int

	// The rest is for worlds with admission queues.
	admission         *admission.Queue
	waiters           map[uint64]*waiter // by identifier in the admission queue
	lastWaiterID      uint64
	admittedEndpoints []ident.Server // the endpoints that the admission queue knows
	probed            bool
	verifying         map[ident.Server]bool // endpoints that are asked whether they are healthy
}

// NewSidecar makes an application machine.
func (w *World) NewSidecar(addr ident.Addr, zone ident.Zone) *Sidecar {
	s := &Sidecar{process: process{world: w, Addr: addr}, Node: ident.Node("node-" + string(addr)), Zone: zone}
	w.Sidecars = append(w.Sidecars, s)
	return s
}

// watchedTime is a clock that counts only time that passed while the process watched.
func (s *Sidecar) watchedTime() monotime.Time {
	if s.world.Mutant == MutantUnlimitedClockSteps {
		return s.localTime()
	}
	return s.clockWatch.Observe(s.localTime())
}

// Start starts the sidecar.
func (s *Sidecar) Start() {
	s.beginGeneration()
	s.clockWatch = monotime.StepLimiter{}
	s.startParts()
	s.hasLease, s.joinPending, s.leaseEpoch, s.reportSequence, s.leaving = false, false, 0, 0, false
	s.feed.reset()
	s.inFlight, s.urgentInFlight, s.coreHeardAt = 0, 0, s.localTime()
	for _, e := range s.Endpoints {
		e.lastHeartbeat = 0 // this generation has heard none of them yet
	}
	s.tick(s.generation, 0)
}

// startParts makes the parts of the sidecar, as the mutant has them.
func (s *Sidecar) startParts() {
	w := s.world
	s.router = attempt.New(s.localTime(), s.Zone, w.Rng.Uint64(), retrybudget.Limits{})
	s.router.RetryUnsafe = w.Mutant == MutantRetryUnsafe
	s.router.RetryBudget.Unlimited = w.Mutant == MutantUnlimitedRetries
	s.joiner, s.lease = joiner.New(s.Node, s.Zone), holder.New()
	s.configCache = configcache.New(s.localTime())
	s.configCache.Disabled = w.Mutant == MutantNoPeerCache
	s.configCache.ExtendWait = w.Mutant == MutantExtendWait
	s.tracker = endpoint.New()
	s.tracker.SkipChecks = w.Mutant == MutantSkipChecks || w.Mutant == MutantIgnoreHeartbeatLoss
	s.tracker.ForgetDepartures = w.Mutant == MutantForgetSignOff
	s.queue = priorityqueue.New[*queuedCall](w.MaxSenders, w.MaxSenders)
	s.queue.IgnoreUrgency = w.Mutant == MutantIgnoreUrgency
	if w.Platform {
		s.tracker.WithHeartbeatInterval(heartbeatInterval).EndpointsVerifyTarget = true
		s.tracker.VerifyNewEndpoints, s.verifying = true, map[ident.Server]bool{}
		s.admission = admission.New(admission.DefaultSettings())
		s.waiters, s.lastWaiterID, s.admittedEndpoints, s.probed = map[uint64]*waiter{}, 0, nil, false
	}
}

// Ready tells whether clients may come: the sidecar has joined and has a configuration in
// force.
func (s *Sidecar) Ready() bool { return s.running && s.hasLease && s.router.Revision() > 0 }

// Running tells whether the sidecar runs and is not frozen.
func (s *Sidecar) Running() bool { return s.running && !s.frozen }

// Generation counts the starts of the sidecar.
func (s *Sidecar) Generation() int { return s.generation }

// Kill ends the sidecar at once.
func (s *Sidecar) Kill() { s.running = false }

// Stop stops the sidecar as planned: it takes no more requests, its endpoints stay, and it ends
// once nothing has been in flight for a second, or after ten.
func (s *Sidecar) Stop(then func()) {
	generation := s.generation
	s.leaving = true
	s.runInGeneration(generation, func() {
		waitingCount := len(s.waiters)
		s.endpointsChanged(s.tracker.DrainAll(s.localTime()))
		if waitingCount > 0 {
			s.world.After(admissionDrainTimeout, func() { s.runInGeneration(generation, s.checkAdmissionDrained) })
		}
	})
	s.drain(generation, 0, 0, then)
}

// checkAdmissionDrained checks that nobody waits in the admission queue in a planned stop.
func (s *Sidecar) checkAdmissionDrained() {
	s.world.Checker.Observe(invariant.AdmissionStop)
	if n := len(s.waiters); n > 0 {
		s.world.Violate(invariant.AdmissionStop, "%s stops and %d still wait in its admission queue", s.Node, n)
	}
}

// drain ends the sidecar after enough checks in a row found nothing in flight.
func (s *Sidecar) drain(generation, idleChecks, checks int, then func()) {
	if !s.running || s.generation != generation {
		return
	}
	if idleChecks++; s.inFlight > 0 {
		idleChecks = 0
	}
	if idleChecks < idleLimit && checks < drainLimit && s.world.Mutant != MutantAbruptStop {
		s.world.After(drainInterval, func() { s.drain(generation, idleChecks, checks+1, then) })
		return
	}
	s.world.Checker.Observe(invariant.DroppedInStop)
	if s.inFlight > 0 {
		s.world.Violate(invariant.DroppedInStop, "%s stopped with %d requests in flight", s.Node, s.inFlight)
	}
	s.Kill()
	then()
}

func (s *Sidecar) tick(generation, count int) {
	s.runInGeneration(generation, func() { s.tickParts(count) })
	if s.running && s.generation == generation {
		s.world.After(sidecarTickInterval, func() { s.tick(generation, count+1) })
	}
}

// tickParts tells the parts of the sidecar that time has passed and does what is due.
func (s *Sidecar) tickParts(count int) {
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
	if count%peerCheckTicks == 0 && s.configCache.ShouldAskPeers(now, s.coreHeardAt) {
		s.askPeers()
	}
	s.showConfig()
}
