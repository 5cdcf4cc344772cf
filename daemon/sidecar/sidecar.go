// Package sidecar implements the daemon that runs beside an application. The daemon forwards the
// requests of local callers to endpoints of the mesh, admits the requests of other sidecars to the
// endpoints of its own machine, and obtains its lease, the registry and the configuration from the
// cores.
//
// The files follow the path of a request: caller.go receives and queues it, attempts.go sends it
// with retries, peerserver.go receives it on the endpoint's machine, and endpointcall.go sends it
// to the endpoint. The background loops are the types renewer (with leaseJoiner), configWatch and
// peerQuerier, and the functions runMaintenance and probeEndpoint.
package sidecar

import (
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/metrics"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/mesh/bandwidth"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/mesh/priorityqueue"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/client"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	// dialTimeout bounds the establishment of a connection to another process. The timeout is
	// longer than a request waits, so that over a link that is saturated for a while the next
	// request finds an open connection.
	dialTimeout = 2 * time.Second
	// deadPeerTimeout is how long another machine may leave bytes unacknowledged before its
	// connections are closed. Such a machine has lost power or is unreachable.
	deadPeerTimeout = 700 * time.Millisecond
)

// Sidecar is the running daemon. Invariants: the revision of the active configuration only
// increases, and a majority of the cores has confirmed it; the sidecar is ready only while it holds
// a lease and has an active configuration.
type Sidecar struct {
	Settings settings.Sidecar
	Log      *zap.Logger
	Metrics  *metrics.Registry

	clock monotime.Clock
	// stepLimitedClock advances by a bounded step between two readings, see monotime.LimitSteps, so
	// that budget shares do not move because the process was suspended.
	stepLimitedClock monotime.Clock
	apiClient        *client.Pool   // JSON requests to cores and other sidecars
	peerExchange     *exchange.Pool // forwarded requests to other sidecars
	endpointExchange *exchange.Pool // forwarded requests to the endpoints of this machine
	bodies           bodyBudget
	done             chan struct{}

	leaseHeld    atomic.Bool
	configActive atomic.Bool
	leaving      atomic.Bool

	renewer     *renewer
	leaseJoiner *leaseJoiner
	configWatch *configWatch
	peerQuerier *peerQuerier

	mu sync.Mutex // guards the fields below

	sendQueue      *priorityqueue.Queue[*queuedRequest]
	planner        *attempt.Planner
	endpoints      *endpoint.Tracker
	verifying      map[ident.Server]bool // endpoints whose health check is in progress
	slots          slotQueue
	activeRequests activeRequests
	outboundLink   *bandwidth.Outbound
	inboundLink    *bandwidth.Inbound
	inFlight       int // requests of callers and of other sidecars

	config          configState
	cores           coreList
	lease           *holder.Holder
	leaseEpoch      ident.LeaseEpoch
	reportSeq       uint64
	reportChanged   bool
	budgetShare     holder.BudgetShare
	lastCoreContact monotime.Time
}

// New returns a sidecar that is idle until Start.
func New(cfg settings.Sidecar, log *zap.Logger) *Sidecar {
	clock := monotime.ProcessClock()
	now := clock()
	s := &Sidecar{
		Settings:         cfg,
		Log:              log,
		Metrics:          metrics.New(),
		clock:            clock,
		stepLimitedClock: monotime.LimitSteps(clock),
		apiClient:        client.NewWithDialTimeout(cfg.Addr, dialTimeout),
		peerExchange:     exchange.New(cfg.Addr, exchange.Settings{DeadPeerTimeout: deadPeerTimeout}),
		endpointExchange: exchange.New(cfg.Addr, exchange.Settings{DeadPeerTimeout: deadPeerTimeout}),
		done:             make(chan struct{}),

		sendQueue:      priorityqueue.New[*queuedRequest](cfg.Senders, cfg.QueueCapacity),
		planner:        newPlanner(cfg, now),
		endpoints:      endpoint.New(),
		verifying:      map[ident.Server]bool{},
		slots:          newSlotQueue(),
		activeRequests: activeRequests{},
		outboundLink:   bandwidth.NewOutbound(cfg.LinkBytesPerSecond),
		inboundLink:    bandwidth.NewInbound(cfg.LinkBytesPerSecond),

		config:          newConfigState(now),
		cores:           newCoreList(cfg.Seeds, now),
		lease:           holder.New(),
		budgetShare:     holder.BudgetShare{Limits: cfg.RetryBudget},
		lastCoreContact: now,
	}
	s.renewer = newRenewer(s)
	s.leaseJoiner = newLeaseJoiner(s)
	s.configWatch = newConfigWatch(s)
	s.peerQuerier = &peerQuerier{sidecar: s}
	s.endpoints.WithHeartbeatInterval(cfg.HeartbeatInterval).EndpointsVerifyTarget = cfg.EndpointsVerifyTarget
	s.endpoints.VerifyNewEndpoints = s.canProbeEndpoints()
	s.Metrics.BeforeSnapshot = s.refreshGauges
	return s
}

// newPlanner returns the planner of attempts. Its seed depends on the node and on the process, so
// that sidecars do not make the same choices.
func newPlanner(cfg settings.Sidecar, now monotime.Time) *attempt.Planner {
	seed := fnv.New64a()
	_, _ = fmt.Fprint(seed, cfg.Node, ident.NewID())
	planner := attempt.New(now, cfg.Zone, seed.Sum64(), cfg.RetryBudget)
	planner.Balancer.CrossZoneCostPerKB = cfg.CrossZoneCostPerKB
	return planner
}

// Start starts the background loops, which run until Close.
func (s *Sidecar) Start() {
	s.renewer.wake()
	go s.renewer.run()
	go s.runMaintenance()
	go s.configWatch.run()
	go s.peerQuerier.run()
	go s.probeEndpoint()
}

// Close stops the background loops without waiting for them: a loop with a request in progress ends
// when the request has completed or timed out.
func (s *Sidecar) Close() {
	close(s.done)
	s.apiClient.Close()
}

// Ready reports whether callers may send requests.
func (s *Sidecar) Ready() bool {
	return s.leaseHeld.Load() && !s.leaving.Load() && s.configActive.Load()
}

// closed reports whether Close was called.
func (s *Sidecar) closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// sleep waits for the given duration, or until Close.
func (s *Sidecar) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}
