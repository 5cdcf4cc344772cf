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
	endpointWorkTime    = 4 * time.Millisecond // time that a request takes
	endpointStopTimeout = 3 * time.Second
)

// normalBehavior is the behavior of endpoints without a fault: a few responses are lost, garbled,
// truncated or malformed, or take long.
var normalBehavior = endpoint.Behavior{
	WorkTime:       endpointWorkTime,
	LostShare:      0.002,
	GarbageShare:   0.001,
	TruncatedShare: 0.001,
	MalformedShare: 0.001,
	LongShare:      0.002,
}

// managedEndpoint is a stand-in endpoint with the sidecar that runs on the same machine.
type managedEndpoint struct {
	*endpoint.Endpoint
	sidecar *process.Process
	spec    scenario.Service
	// reserved is set while a fault uses the endpoint, and stays set once the endpoint has left.
	reserved bool
}

// startEndpoints starts the deployment's endpoints, distributed over the sidecars in turn.
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

// startEndpoint starts an endpoint of a service on a sidecar's machine, at a free address if addr is
// empty.
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
		Executions:  f.executions,
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

// nextSerial returns the next number for an endpoint or a replacement core.
func (f *Fleet) nextSerial() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serial++
	return f.serial
}

// replaceEndpoint starts another endpoint of e's service on e's machine, at a new address.
func (f *Fleet) replaceEndpoint(e *managedEndpoint) {
	f.addEndpoint(e.sidecar, e.spec, "")
}

// addEndpoint starts an endpoint during a fault. A failure is only logged.
func (f *Fleet) addEndpoint(sidecar *process.Process, spec scenario.Service, addr string) {
	if _, err := f.startEndpoint(sidecar, spec, addr); err != nil {
		f.Logf("failed to start an endpoint of %s: %v", spec.Name, err)
	}
}

// reserveEndpoint reserves a random endpoint among the services that have at least minimum available
// endpoints, or returns nil if there is no such service.
func (f *Fleet) reserveEndpoint(minimum int) *managedEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	available := f.availableEndpoints()
	countByService := map[ident.Service]int{}
	for _, e := range available {
		countByService[e.Service]++
	}
	available = slices.DeleteFunc(available, func(e *managedEndpoint) bool { return countByService[e.Service] < minimum })
	if len(available) == 0 {
		return nil
	}
	e := available[f.rng.IntN(len(available))]
	e.reserved = true
	return e
}

// reserveEndpoints reserves and returns all available endpoints that match.
func (f *Fleet) reserveEndpoints(matches func(*managedEndpoint) bool) []*managedEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reserved []*managedEndpoint
	for _, e := range f.availableEndpoints() {
		if matches(e) {
			e.reserved = true
			reserved = append(reserved, e)
		}
	}
	return reserved
}

// availableEndpoints lists the endpoints that are not reserved. The caller must hold mu.
func (f *Fleet) availableEndpoints() []*managedEndpoint {
	return slices.DeleteFunc(slices.Clone(f.endpoints), func(e *managedEndpoint) bool { return e.reserved })
}

// shutDownEndpoint shuts an endpoint down gracefully: the endpoint reports that it is leaving, drains
// and stops.
func (f *Fleet) shutDownEndpoint(e *managedEndpoint) {
	if e.Leave() {
		f.mu.Lock()
		f.leaveConfirmations[e.Server] = time.Now()
		f.Checker.Observe(ruleRequestAfterLeave)
		f.mu.Unlock()
	}
	e.Stop(endpointStopTimeout)
}
