// Package run brings up a deployment as real processes on loopback, drives its
// traffic, brings failures about and counts against the never-list.
package run

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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
	Binary        string
	OldBinary     string // the release that every process starts as, Bin if empty
	Dir           string
	Deployment    scenario.Deployment
	Duration      time.Duration
	Faults        []string
	FaultInterval time.Duration
	Seed          uint64
	Scale         float64
	Logf          func(string, ...any)
}

// Fleet is a running deployment.
type Fleet struct {
	Options
	network     *linkproxy.Network
	Cores       []*process.Process
	Sidecars    []*process.Process
	Checker     *invariant.Checker
	clientLog   *client.Log
	endpointLog *endpoint.ExecutionLog
	began       time.Time
	rng         *rand.Rand

	revisionWaits   sync.WaitGroup // epochs that sidecars are still awaited to have
	mu              sync.Mutex
	endpoints       []*managedEndpoint
	serial          int
	leftAt          map[ident.Server]time.Time // leaving confirmed
	endpointOutages map[ident.Server][]*outage // loss confirmed, until it is heard of again
	processOutages  map[string][]*outage       // by machine, or coreMajority
	newestRevision  ident.Epoch
	ApplyDelays     []time.Duration // time until a confirmed epoch was in force on a node
	Counts          map[string]int
	clients         *coordinationClients
}

type managedEndpoint struct {
	*endpoint.Endpoint
	sidecar     *process.Process
	spec        scenario.Service
	unavailable bool
}

func (f *Fleet) sinceStart(t time.Time) monotime.Time { return monotime.Time(t.Sub(f.began)) }
func (f *Fleet) now() monotime.Time                   { return f.sinceStart(time.Now()) }

func (f *Fleet) increment(name string) { f.mu.Lock(); f.Counts[name]++; f.mu.Unlock() }

// newFleet is a fleet without any process.
func newFleet(options Options) *Fleet {
	return &Fleet{Options: options, network: linkproxy.New(), Checker: invariant.New(), clientLog: &client.Log{}, endpointLog: &endpoint.ExecutionLog{}, began: time.Now(),
		rng: rand.New(rand.NewPCG(options.Seed, 5)), leftAt: map[ident.Server]time.Time{}, endpointOutages: map[ident.Server][]*outage{}, processOutages: map[string][]*outage{}, Counts: map[string]int{}}
}

// Start brings everything up.
func Start(options Options) (*Fleet, error) {
	f := newFleet(options)
	var seeds, founders []string
	for i := range options.Deployment.Cores {
		proc, err := f.newProcess("core", i)
		if err != nil {
			return nil, err
		}
		f.Cores = append(f.Cores, proc)
		founders = append(founders, proc.Addr)
		if i < 3 {
			seeds = append(seeds, proc.Addr)
		}
	}
	for i, proc := range f.Cores {
		if err := proc.Write(map[string]any{"address": proc.Addr, "listen": proc.ListenAddr, "district": f.zone(i), "seeds": seeds, "founders": founders, "data": proc.DataDir, "ringFileMiB": 12, "ringFiles": 4}); err != nil {
			return nil, err
		}
		if err := proc.Start(); err != nil {
			return nil, err
		}
	}
	for i := range options.Deployment.Sidecars {
		proc, err := f.newProcess("sidecar", i)
		if err != nil {
			return nil, err
		}
		f.Sidecars = append(f.Sidecars, proc)
	}
	// Two cores and a sidecar of another district are a sidecar's seeds: when all cores
	// have moved, that sidecar still knows where to.
	for i, proc := range f.Sidecars {
		sidecarSeeds := []string{seeds[i%len(seeds)], seeds[(i+1)%len(seeds)], f.Sidecars[(i+1)%len(f.Sidecars)].Addr}
		if err := proc.Write(map[string]any{"address": proc.Addr, "listen": proc.ListenAddr, "caller": proc.ClientAddr, "node": proc.Name, "district": f.zone(i), "seeds": slices.Compact(sidecarSeeds), "stopS": 4}); err != nil {
			return nil, err
		}
		if err := proc.Start(); err != nil {
			return nil, err
		}
	}
	for _, proc := range f.Cores {
		if !proc.WaitReady(15 * time.Second) {
			return f, errors.New(proc.Name + " did not become ready")
		}
	}
	f.clients = newCoordinationClients(f)
	if _, err := f.propose(f.newConfig("mark-0"), "PUT", ""); err != nil {
		return f, err
	}
	for _, proc := range f.Sidecars {
		if !proc.WaitReady(15 * time.Second) {
			return f, errors.New(proc.Name + " did not become ready")
		}
	}
	i := 0
	for _, service := range options.Deployment.Services {
		for range service.Endpoints {
			if _, err := f.startEndpoint(f.Sidecars[i%len(f.Sidecars)], service, ""); err != nil {
				return f, err
			}
			i++
		}
	}
	time.Sleep(700 * time.Millisecond)
	return f, nil
}

// newProcess prepares a machine with an IP of its own behind a relay.
func (f *Fleet) newProcess(role string, i int) (*process.Process, error) {
	subnet := map[string]int{"core": 21, "sidecar": 22}[role]
	binary := f.Binary
	if f.OldBinary != "" {
		binary = f.OldBinary
	}
	proc := process.New(binary, f.Dir, fmt.Sprintf("%s%d", role, i+1), role, fmt.Sprintf("127.0.%d.%d", subnet, i+1))
	var err error
	for _, addr := range []*string{&proc.Addr, &proc.ListenAddr, &proc.ClientAddr} {
		if *addr, err = process.FreeAddr(proc.IP); err != nil {
			return nil, err
		}
	}
	return proc, f.network.Listen(proc.Addr, proc.ListenAddr)
}

func (f *Fleet) zone(i int) string { return fmt.Sprintf("d%d", i%f.Deployment.Zones) }

// Stop ends everything that Up started.
func (f *Fleet) Stop() {
	f.mu.Lock()
	endpoints := slices.Clone(f.endpoints)
	f.mu.Unlock()
	for _, e := range endpoints {
		e.Kill()
	}
	for _, proc := range append(slices.Clone(f.Sidecars), f.Cores...) {
		proc.Thaw()
		proc.Kill()
	}
	f.network.Close()
}

func (f *Fleet) startEndpoint(sidecar *process.Process, spec scenario.Service, addr string) (*managedEndpoint, error) {
	if addr == "" {
		var err error
		if addr, err = process.FreeAddr(sidecar.IP); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	f.serial++
	name := ident.Server(fmt.Sprintf("srv%d", f.serial))
	f.mu.Unlock()
	kind := f.Deployment.RequestKinds[0]
	started, err := endpoint.Start(endpoint.Options{Server: name, Service: spec.Name, Addr: ident.Addr(addr), SidecarAddr: ident.Addr(sidecar.ListenAddr), Executions: f.endpointLog,
		Behavior: endpoint.Behavior{WorkTime: 4 * time.Millisecond, LostShare: 0.002, GarbageShare: 0.001, TruncatedShare: 0.001, MalformedShare: 0.001, LongShare: 0.002}, ForwardAddr: ident.Addr(sidecar.ClientAddr), ForwardHost: kind.Host, ForwardPath: kind.Path})
	if err != nil {
		return nil, err
	}
	managed := &managedEndpoint{Endpoint: started, sidecar: sidecar, spec: spec}
	f.mu.Lock()
	f.endpoints = append(f.endpoints, managed)
	f.mu.Unlock()
	return managed, nil
}

func (f *Fleet) newConfig(marker string) map[string]any {
	services, routes := map[string]any{}, map[string]any{}
	for i, service := range f.Deployment.Services {
		namespace := "steady"
		if i == 0 {
			namespace = marker
		}
		services[string(service.Name)] = map[string]any{"namespace": namespace}
		routes["w-"+string(service.Name)] = map[string]any{"host": service.Host, "pathStart": "/", "service": string(service.Name), "timeoutMs": 3000}
	}
	for _, kind := range f.Deployment.RequestKinds {
		if kind.Name == "card" {
			routes["card"] = map[string]any{"host": kind.Host, "pathStart": kind.Path, "service": string(kind.Service), "urgent": true, "timeoutMs": 1500}
		}
	}
	return map[string]any{"services": services, "ways": routes}
}

// propose sends a manifest to some core and gives the epoch of a yes; an error with
// the text "no" is a sure no.
func (f *Fleet) propose(config map[string]any, method, query string) (ident.Epoch, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	core := f.clients.anyCore()
	var answer struct {
		Epoch  ident.Epoch `json:"epoch"`
		Defect string      `json:"defect"`
		Fate   string      `json:"fate"`
	}
	code, err := core.Request(6*time.Second, method, "/manifest"+query, bytes.NewReader(raw), &answer)
	switch {
	case err != nil:
		return 0, err
	case code == 200:
		return answer.Epoch, nil
	case answer.Fate == "no":
		return 0, errRejected
	}
	return 0, fmt.Errorf("status %d %s", code, answer.Defect)
}

var errRejected = errors.New("no")

// Run runs the traffic, the clients, the operators and the faults, then judges.
func (f *Fleet) Run() {
	ctx, cancel := context.WithTimeout(context.Background(), f.Duration)
	defer cancel()
	startedAt := f.now()
	var running sync.WaitGroup
	for i, sidecar := range f.Sidecars {
		running.Add(1)
		go func() {
			defer running.Done()
			client.Run(ctx, client.Options{Name: sidecar.Name, SidecarAddr: ident.Addr(sidecar.ClientAddr), Kinds: f.requestKinds(), Rate: f.Deployment.Rate * f.Scale / float64(len(f.Sidecars)),
				Log: f.clientLog, Seed: f.Seed + uint64(i), Timeout: 8 * time.Second})
		}()
	}
	f.clients.start(ctx, &running)
	running.Add(1)
	go func() { defer running.Done(); f.proposeConfigs(ctx) }()
	running.Add(1)
	go func() { defer running.Done(); f.sampleCounters(ctx) }()
	f.runFaults(ctx)
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

func (f *Fleet) requestKinds() []client.Kind {
	var kinds []client.Kind
	for _, kind := range f.Deployment.RequestKinds {
		kinds = append(kinds, client.Kind{Name: kind.Name, Method: kind.Method, Host: kind.Host, Path: kind.Path, Service: kind.Service, Weight: kind.Weight})
	}
	return kinds
}

// Logs names the folder of boot files and logs.
func (f *Fleet) Logs() string { return f.Dir }
