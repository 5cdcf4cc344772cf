package run

import (
	"fmt"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/sim/scenario"
	"cottonarch.example/cottonarch/standin/endpoint"
)

const (
	endpointWork        = 4 * time.Millisecond // of a request
	endpointStopTimeout = 3 * time.Second
)

// normalBehavior is how endpoints behave unless a fault changes it: now and then a response is
// lost, garbled or truncated, or takes long.
var normalBehavior = endpoint.Behavior{
	WorkTime:       endpointWork,
	LostShare:      0.002,
	GarbageShare:   0.001,
	TruncatedShare: 0.001,
	MalformedShare: 0.001,
	LongShare:      0.002,
}

// managedEndpoint is a stand-in endpoint beside its sidecar.
type managedEndpoint struct {
	*endpoint.Endpoint
	sidecar *process.Process
	spec    scenario.Service
	// unavailable endpoints have left or are being used by a fault.
	unavailable bool
}

// startEndpoints spreads the deployment's endpoints over the sidecars.
func (f *Fleet) startEndpoints() error {
	next := 0
	for _, spec := range f.Deployment.Services {
		for range spec.Endpoints {
			if _, err := f.startEndpoint(f.Sidecars[next%len(f.Sidecars)], spec, ""); err != nil {
				return err
			}
			next++
		}
	}
	return nil
}

// startEndpoint starts an endpoint of a service beside a sidecar, at a free address if none
// is given.
func (f *Fleet) startEndpoint(sidecar *process.Process, spec scenario.Service, addr string) (*managedEndpoint, error) {
	if addr == "" {
		var err error
		if addr, err = process.FreeAddr(sidecar.IP); err != nil {
			return nil, err
		}
	}
	behavior := normalBehavior
	behavior.LongShare = max(behavior.LongShare, f.LongShare)
	forwarded := f.Deployment.RequestKinds[0]
	started, err := endpoint.Start(endpoint.Options{
		Server:      ident.Server(fmt.Sprintf("srv%d", f.nextSerial())),
		Service:     spec.Name,
		Addr:        ident.Addr(addr),
		SidecarAddr: ident.Addr(sidecar.ListenAddr),
		Executions:  f.endpointLog,
		Behavior:    behavior,
		ForwardAddr: ident.Addr(sidecar.ClientAddr),
		ForwardHost: forwarded.Host,
		ForwardPath: forwarded.Path,
	})
	if err != nil {
		return nil, err
	}
	managed := &managedEndpoint{Endpoint: started, sidecar: sidecar, spec: spec}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = append(f.endpoints, managed)
	return managed, nil
}

// nextSerial numbers endpoints and replacement cores.
func (f *Fleet) nextSerial() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serial++
	return f.serial
}

// replaceEndpoint starts another endpoint of the same service at a new address.
func (f *Fleet) replaceEndpoint(e *managedEndpoint) {
	f.addEndpoint(e.sidecar, e.spec, "")
}

// addEndpoint starts an endpoint in the course of a fault; a failure is only logged.
func (f *Fleet) addEndpoint(sidecar *process.Process, spec scenario.Service, addr string) {
	if _, err := f.startEndpoint(sidecar, spec, addr); err != nil {
		f.Logf("an endpoint of %s can't be started: %v", spec.Name, err)
	}
}

// takeEndpoint makes a random endpoint unavailable and returns it. It chooses among the
// services that have at least minimum endpoints available; nil if there is none.
func (f *Fleet) takeEndpoint(minimum int) *managedEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	available := f.availableEndpoints()
	count := map[ident.Service]int{}
	for _, e := range available {
		count[e.Service]++
	}
	available = slices.DeleteFunc(available, func(e *managedEndpoint) bool { return count[e.Service] < minimum })
	if len(available) == 0 {
		return nil
	}
	e := available[f.rng.IntN(len(available))]
	e.unavailable = true
	return e
}

// takeEndpoints makes all endpoints that match unavailable and returns them.
func (f *Fleet) takeEndpoints(matches func(*managedEndpoint) bool) []*managedEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var taken []*managedEndpoint
	for _, e := range f.availableEndpoints() {
		if matches(e) {
			e.unavailable = true
			taken = append(taken, e)
		}
	}
	return taken
}

// availableEndpoints lists the endpoints that no fault has taken. The caller holds mu.
func (f *Fleet) availableEndpoints() []*managedEndpoint {
	return slices.DeleteFunc(slices.Clone(f.endpoints), func(e *managedEndpoint) bool { return e.unavailable })
}

// leaveEndpoint ends an endpoint as planned: it announces that it leaves, drains and stops.
func (f *Fleet) leaveEndpoint(e *managedEndpoint) {
	if e.Leave() {
		f.mu.Lock()
		f.leftAt[e.Server] = time.Now()
		f.Checker.Observe(ruleLateToLeaver)
		f.mu.Unlock()
	}
	e.Stop(endpointStopTimeout)
}
