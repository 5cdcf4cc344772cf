// Package sidecar is the sidecar daemon: the node beside an application.
package sidecar

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/metrics"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/mesh/bandwidth"
	"cottonarch.example/cottonarch/mesh/configcache"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
	"cottonarch.example/cottonarch/mesh/priorityqueue"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/client"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	maintenanceInterval = 80 * time.Millisecond
	// maxPeersAsked is how many peers are asked at once, and peersEvery how often.
	maxPeersAsked = 8
	// peerQueryTimeout is how long one question to a peer may take.
	peerQueryTimeout = 400 * time.Millisecond
	// dialTimeout is how long a connection to another process may take to come up: longer than
	// a question waits, so that over a link that is full for a while the next one finds it.
	dialTimeout = 2 * time.Second
	// lateResponseTimeout is how long an answer to a renewal is still taken that came too late to
	// count as one.
	lateResponseTimeout = 2 * time.Second
	peerQueryInterval   = 250 * time.Millisecond
	// unknownSeedInterval bounds how often a seed that is not known to be a sidecar is asked as one,
	// coreEvery the same for one that is known to be a core; seedFirst is how long after the
	// start none is, as the cores that were asked may yet answer.
	unknownSeedInterval = 1500 * time.Millisecond
	coreSeedInterval    = 30 * time.Second
	seedGracePeriod     = 600 * time.Millisecond
	// silenceTimeout is how long the machine of a gate may leave bytes unanswered before its
	// connections are given up: it has no power, or is cut off.
	silenceTimeout = 700 * time.Millisecond
	// maxFetchWaits is how often a peer's word waits ten milliseconds for a fetch under way.
	maxFetchWaits = 15
)

// Sidecar is the running daemon. Invariants: mu guards path, gate and claim; the
// manifest in force only moves to higher, confirmed epochs; ready is never said
// before a manifest is in force and the claim was entered.
type Sidecar struct {
	Settings         settings.Sidecar
	Log              *zap.Logger
	Metrics          *metrics.Registry
	clock            monotime.Clock
	watchedClock     monotime.Clock // the same, counting only time that was watched
	apiClient        *client.Pool
	peerExchange     *exchange.Pool // to other sidecars' gates
	endpointExchange *exchange.Pool // to the endpoints of this machine
	done             chan struct{}

	mu              sync.Mutex
	sendQueue       *priorityqueue.Queue[*queuedRequest]
	router          *attempt.Planner
	endpoints       *endpoint.Tracker
	admission       *admission.Queue
	waiters         map[uint64]chan admission.Verdict // who waits in the admission queue
	lastWaiter      uint64
	admitting       map[ident.Server]bool // endpoints that the admission queue knows
	outboundLink    *bandwidth.Outbound
	inboundLink     *bandwidth.Inbound
	configCache     *configcache.Cache
	activeConfig    storedConfig // the manifest in force
	pendingConfig   storedConfig // the one that is held and not shown yet
	leaseEpoch      ident.Epoch
	reportSeq       uint64
	reportChanged   bool
	cores           []ident.Addr
	coreListedAt    map[ident.Addr]monotime.Time
	sidecarSeeds    map[ident.Addr]bool          // seeds that are sidecars
	notPeerUntil    map[ident.Addr]monotime.Time // until when a seed is not asked as a peer
	lease           *holder.Holder
	polledCore      ident.Addr     // the core that the poll for news is at
	joiner          *joiner.Joiner // only the duty that renews touches it
	coresLearnedAt  monotime.Time  // when a core last listed the cores to it
	joinAttemptID   string         // marks the join that is tried, "" while none is
	budgetShare     holder.BudgetShare
	lastCoreContact monotime.Time
	startedAt       monotime.Time
	inFlight        int

	limits            atomic.Pointer[validation.Limits] // of the manifest in force
	bodyBytesInFlight atomic.Int64                      // bytes of bodies in hand
	leaseHeld         atomic.Bool
	configActive      atomic.Bool // a manifest is in force
	leaving           atomic.Bool
	fetchesInFlight   atomic.Int64    // manifests on their way
	resyncRegistry    atomic.Bool     // peers changed the copy: ask a core for all of it
	watchRedirect     chan ident.Addr // a core that knows a newer manifest
	renewNow          chan struct{}
}

// New makes a sidecar.
func New(cfg settings.Sidecar, log *zap.Logger) *Sidecar {
	clock := monotime.ProcessClock()
	seedHash := fnv.New64a()
	_, _ = fmt.Fprint(seedHash, cfg.Node, ident.NewID())
	now := clock()
	s := &Sidecar{Settings: cfg, Log: log, Metrics: metrics.New(), clock: clock, watchedClock: monotime.LimitSteps(clock), apiClient: client.NewWithDialTimeout(cfg.Addr, dialTimeout), peerExchange: exchange.New(cfg.Addr, exchange.Settings{DeadPeerTimeout: silenceTimeout}), endpointExchange: exchange.New(cfg.Addr, exchange.Settings{DeadPeerTimeout: silenceTimeout}),
		done: make(chan struct{}), sendQueue: priorityqueue.New[*queuedRequest](cfg.Senders, cfg.QueueCapacity),
		router: attempt.New(now, cfg.Zone, seedHash.Sum64(), cfg.RetryBudget), endpoints: endpoint.New(), admission: admission.New(admission.DefaultSettings()), waiters: map[uint64]chan admission.Verdict{}, admitting: map[ident.Server]bool{}, outboundLink: bandwidth.NewOutbound(cfg.LinkBytesPerSecond), inboundLink: bandwidth.NewInbound(cfg.LinkBytesPerSecond), configCache: configcache.New(now), cores: slices.Clone(cfg.Seeds), coreListedAt: map[ident.Addr]monotime.Time{}, sidecarSeeds: map[ident.Addr]bool{}, notPeerUntil: map[ident.Addr]monotime.Time{}, lease: holder.New(), joiner: joiner.New(cfg.Node, cfg.Zone), budgetShare: holder.BudgetShare{Terms: cfg.RetryBudget},
		startedAt: now, lastCoreContact: now, watchRedirect: make(chan ident.Addr, 1), renewNow: make(chan struct{}, 1)}
	for _, seed := range cfg.Seeds {
		s.notPeerUntil[seed] = now.Add(seedGracePeriod)
	}
	s.router.Balancer.CrossZoneCostPerKB = cfg.CrossZoneCostPerKB
	s.endpoints.WithHeartbeatInterval(cfg.HeartbeatInterval).Fenced = cfg.EndpointsVerifyTarget
	s.Metrics.BeforeRead = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updateGauges()
	}
	return s
}

// Start starts the duties.
func (s *Sidecar) Start() {
	s.notify(s.renewNow)
	go s.runRenewals()
	go s.runMaintenance()
	go s.runWatch()
	go s.runPeerQueries()
	go s.probeEndpoint()
}

// Close ends the duties.
func (s *Sidecar) Close() {
	close(s.done)
	s.apiClient.Close()
}

// runMaintenance forgets silent endpoints.
func (s *Sidecar) runMaintenance() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-ticker.C:
		case <-s.done:
			return
		}
		now := s.clock()
		s.mu.Lock()
		s.activatePending()
		s.router.RetryBudget.Tick(now)
		s.watchedClock()
		s.applyEndpointChange(s.endpoints.Tick(now))
		s.deliverVerdicts(s.admission.Tick(now))
		if ticks%100 == 0 {
			s.endpointExchange.CloseExpired()
			s.peerExchange.CloseExpired()
			s.router.Balancer.Prune(now, func(server ident.Server) bool { _, ok := s.router.Index.Lookup(string(server)); return ok })
		}
		s.mu.Unlock()
	}
}

// applyEndpointChange carries out a change of the gate; mu is held.
func (s *Sidecar) applyEndpointChange(change endpoint.Change) {
	for _, addr := range change.CloseAddrs {
		s.endpointExchange.Drop(addr)
	}
	if change.Updated {
		s.syncAdmission()
		s.reportChanged = true
		s.notify(s.renewNow)
	}
}

func (s *Sidecar) updateGauges() {
	router := s.router
	for name, value := range map[string]uint64{"calls": router.Calls, "further_tries": router.Retries, "gave_up": router.GaveUp, "no_way": router.NoRoutes,
		"gate_passed": s.endpoints.Accepted, "gate_turned_away": s.endpoints.Rejected, "gate_forgotten": s.endpoints.Expired,
		"allowance_granted": router.RetryBudget.Granted, "allowance_denied": router.RetryBudget.Denied, "allowance_refused": router.RetryBudget.RejectedRepeats, "manifest_epoch": uint64(router.Revision())} {
		s.Metrics.Set(name, int64(value))
	}
	for service, totals := range router.RetryBudget.Totals() {
		s.Metrics.Set("calls."+string(service), totals[0])
		s.Metrics.Set("further_tries."+string(service), totals[1])
	}
	s.Metrics.Set("in_hand", int64(s.inFlight))
	s.Metrics.Set("queued", int64(s.sendQueue.Len()))
}

func (s *Sidecar) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

// Ready tells whether callers may come.
func (s *Sidecar) Ready() bool {
	return s.leaseHeld.Load() && !s.leaving.Load() && s.configActive.Load()
}

// Status is what the status page shows.
func (s *Sidecar) Status() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{"node": s.Settings.Node, "claim": s.leaseEpoch, "manifest": s.router.Revision(), "ready": s.Ready(), "cores": s.cores,
		"workloads": s.endpoints.Workloads(), "share": s.router.RetryBudget.Share(s.clock()), "shareGranted": s.budgetShare.Usable(), "sets": len(s.router.Index.Sets())}
}

// Heartbeat takes an endpoint's report.
func (s *Sidecar) Heartbeat(heartbeat endpoint.Heartbeat) *failure.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	change, fail := s.endpoints.HandleHeartbeat(now, heartbeat)
	s.applyEndpointChange(change)
	if fail == nil {
		s.updateSlots(now, heartbeat)
	}
	s.Metrics.Add("beats", 1)
	return fail
}

// Leave is the planned stop: unready, endpoints marked as leaving, and nothing in
// hand left behind.
func (s *Sidecar) Leave() {
	if s.leaving.Swap(true) {
		return
	}
	s.Log.Info("stopping")
	s.mu.Lock()
	s.applyEndpointChange(s.endpoints.DrainAll(s.clock()))
	s.mu.Unlock()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	idleTicks := 0
	for deadline := time.Now().Add(s.Settings.StopTimeout); time.Now().Before(deadline); {
		<-ticker.C
		s.mu.Lock()
		inFlight := s.inFlight
		s.mu.Unlock()
		if idleTicks++; inFlight > 0 {
			idleTicks = 0
		}
		// The copies elsewhere need a moment to learn that this machine leaves.
		if idleTicks >= 20 {
			return
		}
	}
}
