// Package run brings up a deployment as real processes on loopback addresses, drives its
// traffic, injects faults and judges what happened against the rules of sim/invariant.
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
	Binary        string // program under test
	OldBinary     string // release that every process starts as; Binary if empty
	Dir           string // folder of settings files, logs and data
	Deployment    scenario.Deployment
	Duration      time.Duration // of the traffic
	Faults        []string      // names of Faults, injected in turn
	FaultInterval time.Duration // pause after each fault
	// OverlappingFaults are injected in turn beside Faults. The two series must not act on the same
	// processes.
	OverlappingFaults []string
	AbandonShare      float64 // share of the clients' requests that are given up, 0 to 1
	LongShare         float64 // share of the requests that take endpoint.LongWorkTime, at least the usual
	Seed              uint64  // of the random choices
	Scale             float64 // factor on the deployment's request rates
	Logf              func(format string, args ...any)
}

// Fleet is a running deployment. Invariant: mu guards the fields that follow it, Cores and
// Checker.
type Fleet struct {
	Options
	Cores       []*process.Process // guarded by mu once the traffic runs
	Sidecars    []*process.Process
	Checker     *invariant.Checker
	network     *linkproxy.Network
	clients     *coordinationClients
	clientLog   *client.ResultLog      // results of the clients' requests
	endpointLog *endpoint.ExecutionLog // requests that the endpoints executed
	began       time.Time
	rng         *rand.Rand // of the faults; its source is locked

	revisionWaits sync.WaitGroup // goroutines that poll a sidecar for a confirmed revision

	mu              sync.Mutex
	endpoints       []*managedEndpoint
	serial          int                           // last number given to an endpoint or a replacement core
	leftAt          map[ident.Server]time.Time    // when an endpoint's leave was confirmed
	endpointOutages map[ident.Server][]*outage    // each begins when every sidecar must know of the loss
	processOutages  map[string][]*outage          // by process name, or coreMajority
	newestRevision  ident.ConfigRevision          // that was confirmed
	confirmed       map[ident.ConfigRevision]bool // revisions that were confirmed
	ApplyDelays     []time.Duration               // from confirmation until a sidecar showed the revision
	Counts          map[string]int                // what happened, by the report's labels
}

// sinceStart is an instant as the checker counts it: the time since the fleet was made.
func (f *Fleet) sinceStart(t time.Time) monotime.Time { return monotime.Time(t.Sub(f.began)) }

func (f *Fleet) now() monotime.Time { return f.sinceStart(time.Now()) }

// increment counts an event for the report.
func (f *Fleet) increment(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Counts[name]++
}

// violate records a violation that shows now.
func (f *Fleet) violate(rule, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Violate(f.now(), rule, format, args...)
}

// observe counts one observation that a rule was judged by.
func (f *Fleet) observe(rule string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Observe(rule)
}

// newFleet makes a fleet without any process.
func newFleet(options Options) *Fleet {
	return &Fleet{
		Options:         options,
		network:         linkproxy.New(),
		Checker:         invariant.New(),
		clientLog:       &client.ResultLog{},
		endpointLog:     &endpoint.ExecutionLog{},
		began:           time.Now(),
		rng:             rand.New(&lockedSource{source: rand.NewPCG(options.Seed, 5)}),
		leftAt:          map[ident.Server]time.Time{},
		endpointOutages: map[ident.Server][]*outage{},
		processOutages:  map[string][]*outage{},
		confirmed:       map[ident.ConfigRevision]bool{},
		Counts:          map[string]int{},
	}
}

const (
	startTimeout = 15 * time.Second       // until a process is ready when the fleet comes up
	settleTime   = 700 * time.Millisecond // in which the first heartbeats spread
)

// Start brings up cores, sidecars, the first configuration and the endpoints. On an error it
// returns the fleet as far as it got, for the caller to Stop.
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

// waitAllReady waits until each process is ready, within startTimeout for each.
func waitAllReady(processes []*process.Process) error {
	for _, proc := range processes {
		if !proc.WaitReady(startTimeout) {
			return failure.New(failure.NotReady, "%s did not become ready within %v", proc.Name, startTimeout)
		}
	}
	return nil
}

// Stop ends everything that Start started.
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

// Run runs the traffic, the coordination clients, the operators and the faults for the run's
// duration, then judges.
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
	f.judge(startedAt, endedAt)
}

const (
	// requestTimeout is how long a client waits for a response.
	requestTimeout = 8 * time.Second
	// maxStay is how long a client that gives up waits at most.
	maxStay = 600 * time.Millisecond
)

// trafficOptions says how one wave of traffic differs from another.
type trafficOptions struct {
	scale  float64 // factor on the run's request rate
	seed   uint64  // of the first sidecar's client; the others count up from it
	suffix string  // of the clients' names; must be unique to the wave
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
				Log:             f.clientLog,
				Seed:            options.seed + uint64(i),
				Timeout:         requestTimeout,
				AbandonShare:    f.AbandonShare,
				MaxAbandonDelay: maxStay,
			})
		})
	}
}

// requestKinds are the deployment's kinds of request, as the stand-in clients take them.
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

// zone is the zone of the i-th process of a role.
func (f *Fleet) zone(i int) string { return fmt.Sprintf("d%d", i%f.Deployment.Zones) }
