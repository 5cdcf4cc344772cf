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
	// sidecarTickInterval is the interval between two ticks of a sidecar.
	sidecarTickInterval = 40 * time.Millisecond
	// peerCheckTicks is the number of ticks between two checks whether peers must be queried.
	peerCheckTicks = 6
	// admissionDrainTimeout is the time after the begin of a planned stop by which no attempt may
	// wait in the admission queue.
	admissionDrainTimeout = 100 * time.Millisecond
)

// A planned stop polls whether requests are in flight. The stop ends after idleLimit polls in a row
// without requests in flight, or after drainLimit polls in total.
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

	stepLimiter monotime.StepLimiter
	router      *attempt.Planner
	tracker     *endpoint.Tracker
	configCache *configcache.Cache
	queue       *priorityqueue.Queue[*queuedCall]
	lease       *holder.Holder
	budgetShare holder.BudgetShare
	joiner      *joiner.Joiner

	hasLease       bool
	joinPending    bool
	joinAttempts   int // number of joins begun with MutantBypassJoinQueue; selects the core
	joinCount      int // number of joins that succeeded; part of the id of the next join request
	leaseEpoch     ident.LeaseEpoch
	reportSequence uint64

	feed             registryFeed
	lastCoreContact  monotime.Time // when a core last responded
	enforcedRevision ident.ConfigRevision
	leaving          bool

	inFlight       int
	urgentInFlight int

	// The following fields are used in worlds with admission queues.
	admission         *admission.Queue
	waiters           map[uint64]*waiter // by request ID in the admission queue
	lastWaiterID      uint64
	admittedEndpoints []ident.Server // endpoints in the admission queue
	probed            bool
	verifying         map[ident.Server]bool // endpoints whose health is being verified
}

// NewSidecar adds an application machine to the world. Its sidecar is not started.
func (w *World) NewSidecar(addr ident.Addr, zone ident.Zone) *Sidecar {
	s := &Sidecar{process: process{world: w, Addr: addr}, Node: ident.Node("node-" + string(addr)), Zone: zone}
	w.Sidecars = append(w.Sidecars, s)
	return s
}

// limitedTime returns the sidecar's local clock, followed in bounded steps.
func (s *Sidecar) limitedTime() monotime.Time {
	if s.world.Mutant == MutantUnlimitedClockSteps {
		return s.localTime()
	}
	return s.stepLimiter.Observe(s.localTime())
}

// Start starts a new generation of the sidecar.
func (s *Sidecar) Start() {
	s.beginGeneration()
	s.stepLimiter = monotime.StepLimiter{}
	s.startComponents()
	s.hasLease, s.joinPending, s.leaseEpoch, s.reportSequence, s.leaving = false, false, 0, 0, false
	s.feed.reset()
	s.inFlight, s.urgentInFlight, s.lastCoreContact = 0, 0, s.localTime()
	for _, e := range s.Endpoints {
		e.lastHeartbeat = 0 // this generation has received no heartbeat yet
	}
	s.tick(s.generation, 0)
}

// startComponents creates the components of the sidecar, with the fault of the mutant.
func (s *Sidecar) startComponents() {
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

// Ready reports whether the sidecar can serve clients: the sidecar runs, holds a lease and enforces a
// configuration.
func (s *Sidecar) Ready() bool { return s.running && s.hasLease && s.router.Revision() > 0 }

// Running reports whether the sidecar runs and is not frozen.
func (s *Sidecar) Running() bool { return s.running && !s.frozen }

// Generation returns the number of starts of the sidecar.
func (s *Sidecar) Generation() int { return s.generation }

// Kill ends the sidecar immediately.
func (s *Sidecar) Kill() { s.running = false }

// Stop performs a planned stop: the sidecar accepts no more requests, its endpoints keep running,
// and the sidecar ends once no request has been in flight for a second, or after ten seconds. The
// function then is called after the end.
func (s *Sidecar) Stop(then func()) {
	generation := s.generation
	s.leaving = true
	s.runInGeneration(generation, func() {
		waitingCount := len(s.waiters)
		s.handleEndpointChange(s.tracker.DrainAll(s.localTime()))
		if waitingCount > 0 {
			s.world.After(admissionDrainTimeout, func() { s.runInGeneration(generation, s.checkAdmissionDrained) })
		}
	})
	s.drain(generation, 0, 0, then)
}

// checkAdmissionDrained checks that no attempt waits in the admission queue during a planned stop.
func (s *Sidecar) checkAdmissionDrained() {
	s.world.Checker.Observe(invariant.AdmissionStop)
	if n := len(s.waiters); n > 0 {
		s.world.Violate(invariant.AdmissionStop, "%s is stopping and %d attempts still wait in its admission queue", s.Node, n)
	}
}

// drain ends the sidecar after idleLimit polls in a row without requests in flight, or after
// drainLimit polls.
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

// tick runs the periodic work of the sidecar and schedules the next tick.
func (s *Sidecar) tick(generation, count int) {
	s.runInGeneration(generation, func() { s.tickComponents(count) })
	if s.running && s.generation == generation {
		s.world.After(sidecarTickInterval, func() { s.tick(generation, count+1) })
	}
}

// tickComponents advances the components of the sidecar to the current time and starts the requests
// that are due.
func (s *Sidecar) tickComponents(count int) {
	now := s.localTime()
	s.limitedTime()
	s.recordLosses()
	s.router.RetryBudget.Tick(now)
	s.handleEndpointChange(s.tracker.Tick(now))
	if s.world.Platform {
		s.deliverVerdicts(s.admission.Tick(now))
		s.probeFirstEndpoint()
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
	if count%peerCheckTicks == 0 && s.configCache.ShouldAskPeers(now, s.lastCoreContact) {
		s.queryPeers()
	}
	s.enforceReadyConfig()
}
