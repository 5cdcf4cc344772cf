// Package run starts a deployment as real processes on loopback addresses, generates its traffic,
// injects faults and checks the results against the rules of sim/invariant.
package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/fleet/linkproxy"
	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/scenario"
	"cottonarch.example/cottonarch/standin/client"
	"cottonarch.example/cottonarch/standin/endpoint"
)

// Options describes a run.
type Options struct {
	Binary        string // path of the program under test
	OldBinary     string // path of the release that every process starts with; Binary if empty
	Dir           string // directory for settings files, logs and data
	Deployment    scenario.Deployment
	Duration      time.Duration // duration of the traffic
	Faults        []string      // names of Faults, injected in turn
	FaultInterval time.Duration // pause after each fault
	// OverlappingFaults are injected in turn, concurrently with Faults. The two series must not act
	// on the same processes.
	OverlappingFaults []string
	AbandonShare      float64 // share of the requests that their client abandons, 0 to 1
	LongShare         float64 // share of the requests that take endpoint.LongWorkTime, at least that of normalBehavior
	Seed              uint64  // seed of the random choices
	Scale             float64 // factor on the deployment's request rates
	Logf              func(format string, args ...any)
}

// Fleet is a running deployment. Invariant: mu guards Cores, Checker and all fields declared
// below mu.
type Fleet struct {
	Options
	Cores      []*process.Process // guarded by mu as soon as traffic runs
	Sidecars   []*process.Process
	Checker    *invariant.Checker
	network    *linkproxy.Network
	clients    *coordinationClients
	results    *client.ResultLog      // results of the clients' requests
	executions *endpoint.ExecutionLog // requests that the endpoints executed
	createdAt  time.Time
	rng        *rand.Rand // random choices of the faults; safe for concurrent use

	revisionWaits sync.WaitGroup // goroutines that poll a sidecar for a confirmed revision

	mu                 sync.Mutex
	endpoints          []*managedEndpoint
	serial             int                           // last number assigned to an endpoint or a replacement core
	leaveConfirmations map[ident.Server]time.Time    // when the sidecar confirmed that an endpoint leaves
	endpointOutages    map[ident.Server][]*outage    // each begins when every sidecar must have noticed the loss
	processOutages     map[string][]*outage          // by process name, or coreMajority
	newestRevision     ident.ConfigRevision          // newest revision that a core confirmed
	confirmedRevisions map[ident.ConfigRevision]bool // revisions that a core confirmed
	ApplyDelays        []time.Duration               // from the confirmation of a revision until a sidecar has applied the revision
	Counts             map[string]int                // number of events by their label in the report
}

// sinceStart converts a time to the checker's clock, which starts when the fleet is created.
func (f *Fleet) sinceStart(t time.Time) monotime.Time { return monotime.Time(t.Sub(f.createdAt)) }

func (f *Fleet) now() monotime.Time { return f.sinceStart(time.Now()) }

// increment increments the report's count of an event.
func (f *Fleet) increment(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Counts[name]++
}

// recordViolation records that a rule is violated at the current time.
func (f *Fleet) recordViolation(rule, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Violate(f.now(), rule, format, args...)
}

// recordObservation counts one event that was checked against a rule.
func (f *Fleet) recordObservation(rule string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Observe(rule)
}

// newFleet creates a fleet without any process.
func newFleet(options Options) *Fleet {
	return &Fleet{
		Options:            options,
		network:            linkproxy.New(),
		Checker:            invariant.New(),
		results:            &client.ResultLog{},
		executions:         &endpoint.ExecutionLog{},
		createdAt:          time.Now(),
		rng:                rand.New(&lockedSource{source: rand.NewPCG(options.Seed, 5)}),
		leaveConfirmations: map[ident.Server]time.Time{},
		endpointOutages:    map[ident.Server][]*outage{},
		processOutages:     map[string][]*outage{},
		confirmedRevisions: map[ident.ConfigRevision]bool{},
		Counts:             map[string]int{},
	}
}

const (
	startTimeout = 15 * time.Second       // for each process to become ready when the fleet starts
	settleTime   = 700 * time.Millisecond // for the first heartbeats to reach all sidecars
)

// Start starts the cores and the sidecars, proposes the first configuration and starts the
// endpoints. With an error, Start returns the partly started fleet, which the caller must Stop.
func Start(options Options) (*Fleet, error) {
	f := newFleet(options)
	seeds, err := f.startCores()
	if err != nil {
		return f, err
	}
	if err := f.startSidecars(seeds); err != nil {
		return f, err
	}
	if err := waitAllReady(f.Cores); err != nil {
		return f, err
	}
	f.clients = newCoordinationClients(f)
	if _, err := f.propose(f.newConfig("proposal-0"), http.MethodPut, ""); err != nil {
		return f, err
	}
	if err := waitAllReady(f.Sidecars); err != nil {
		return f, err
	}
	if err := f.startEndpoints(); err != nil {
		return f, err
	}
	time.Sleep(settleTime)
	return f, nil
}

// waitAllReady waits for each process in turn to become ready, at most startTimeout per process.
func waitAllReady(processes []*process.Process) error {
	for _, proc := range processes {
		if !proc.WaitReady(startTimeout) {
			return failure.New(failure.NotReady, "%s did not become ready within %v", proc.Name, startTimeout)
		}
	}
	return nil
}

// Stop kills all processes and endpoints and closes the network between the processes.
func (f *Fleet) Stop() {
	f.mu.Lock()
	endpoints := slices.Clone(f.endpoints)
	f.mu.Unlock()
	for _, e := range endpoints {
		e.Kill()
	}
	for _, proc := range append(slices.Clone(f.Sidecars), f.Cores...) {
		proc.Resume()
		proc.Kill()
	}
	f.network.Close()
}

// Run runs the traffic, the coordination clients, the configuration proposals and the faults for
// the configured duration, then checks the results against the rules.
func (f *Fleet) Run() {
	ctx, cancel := context.WithTimeout(context.Background(), f.Duration)
	defer cancel()
	startedAt := f.now()
	var running sync.WaitGroup
	f.startTraffic(ctx, &running, trafficOptions{scale: 1, seed: f.Seed})
	f.clients.start(ctx, &running)
	running.Go(func() { f.proposeConfigs(ctx) })
	running.Go(func() { f.sampleCounters(ctx) })
	running.Go(func() { f.runFaults(ctx, f.OverlappingFaults) })
	f.runFaults(ctx, f.Options.Faults)
	<-ctx.Done()
	endedAt := f.now()
	if deadline, ok := ctx.Deadline(); ok {
		endedAt = f.sinceStart(deadline)
	}
	f.network.Heal()
	running.Wait()
	f.revisionWaits.Wait()
	f.checkRun(startedAt, endedAt)
}

const (
	// requestTimeout bounds how long a client waits for a response.
	requestTimeout = 8 * time.Second
	// maxAbandonDelay bounds how long a client waits before the client abandons a request.
	maxAbandonDelay = 600 * time.Millisecond
)

// trafficOptions holds the settings in which a traffic surge differs from the regular traffic.
type trafficOptions struct {
	scale  float64 // factor on the run's request rate
	seed   uint64  // seed of the first sidecar's client; each further client adds 1
	suffix string  // appended to the clients' names; must differ between calls of startTraffic
}

// startTraffic starts one client at each sidecar, which runs until ctx ends.
func (f *Fleet) startTraffic(ctx context.Context, running *sync.WaitGroup, options trafficOptions) {
	rate := options.scale * f.Deployment.Rate * f.Scale / float64(len(f.Sidecars))
	for i, sidecar := range f.Sidecars {
		running.Go(func() {
			client.Run(ctx, client.Options{
				Name:            sidecar.Name + options.suffix,
				SidecarAddr:     ident.Addr(sidecar.ClientAddr),
				RequestKinds:    f.requestKinds(),
				Rate:            rate,
				Log:             f.results,
				Seed:            options.seed + uint64(i),
				Timeout:         requestTimeout,
				AbandonShare:    f.AbandonShare,
				MaxAbandonDelay: maxAbandonDelay,
			})
		})
	}
}

// requestKinds converts the deployment's request kinds to the type of the stand-in clients.
func (f *Fleet) requestKinds() []client.RequestKind {
	var kinds []client.RequestKind
	for _, kind := range f.Deployment.RequestKinds {
		kinds = append(kinds, client.RequestKind{
			Name:    kind.Name,
			Method:  kind.Method,
			Host:    kind.Host,
			Path:    kind.Path,
			Service: kind.Service,
			Weight:  kind.Weight,
		})
	}
	return kinds
}

// zone returns the zone of the i-th process of a role.
func (f *Fleet) zone(i int) string { return fmt.Sprintf("d%d", i%f.Deployment.Zones) }
