package run

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// setPartition cuts or heals both directions between two groups.
func (f *Fleet) setPartition(one, two []*process.Process, cut bool) {
	for _, a := range one {
		for _, b := range two {
			f.network.SetCut(a.IP, b.IP, cut)
			f.network.SetCut(b.IP, a.IP, cut)
		}
	}
}

// coreSplit cuts the cores into two groups; every sidecar reaches both.
func (f *Fleet) coreSplit(ctx context.Context) {
	cores := f.currentCores()
	n := 1 + f.rng.IntN(len(cores)-1)
	f.rng.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	f.setPartition(cores[:n], cores[n:], true)
	f.sleep(ctx, 4*time.Second)
	f.setPartition(cores[:n], cores[n:], false)
}

// coreIsolated cuts all cores from all sidecars, and restarts a sidecar meanwhile: it
// must serve again from what its peers hold, and show nothing older than it did.
func (f *Fleet) coreIsolated(ctx context.Context) {
	f.recordLoss("isolated core")
	var endOutages []func()
	for _, sidecar := range f.Sidecars {
		endOutages = append(endOutages, f.beginOutage(sidecar.Name, causeNoInformedPeer))
	}
	f.setPartition(f.currentCores(), f.Sidecars, true)
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeKilled)
	sidecar.Kill()
	f.sleep(ctx, 500*time.Millisecond)
	f.startProcess(sidecar)
	endOutage()
	f.sleep(ctx, 4*time.Second)
	f.judgeServing(sidecar)
	f.setPartition(f.currentCores(), f.Sidecars, false)
	for _, endSidecarOutage := range endOutages {
		endSidecarOutage()
	}
	f.awaitReady(sidecar)
}

// judgeServing looks whether a sidecar that no core let in has a manifest in force.
func (f *Fleet) judgeServing(sidecar *process.Process) {
	var status struct {
		Epoch ident.Epoch `json:"manifest"`
	}
	_, err := sidecar.Request(time.Second, "GET", "/status", nil, &status)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Observe("manifest-late")
	if err != nil || status.Epoch == 0 {
		f.Checker.Violate(f.now(), "manifest-late", "%s has nothing in force four seconds after it started beside an isolated core: %v", sidecar.Name, err)
	}
}

func (f *Fleet) currentCores() []*process.Process {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	return slices.Clone(f.Cores)
}

// configBurst offers manifests in quick succession.
func (f *Fleet) configBurst(ctx context.Context) {
	var proposals sync.WaitGroup
	for i := range 12 {
		proposals.Add(1)
		go func() {
			defer proposals.Done()
			marker := fmt.Sprintf("burst-%d-%d", f.now(), i)
			f.proposeAndJudge(ctx, f.newConfig(marker), "PUT", "", marker, false)
		}()
		f.sleep(ctx, 20*time.Millisecond)
	}
	proposals.Wait()
}

// configLarge offers one of some 3.6 MB.
func (f *Fleet) configLarge(ctx context.Context) {
	marker := fmt.Sprintf("large-%d", f.now())
	config := f.newConfig(marker)
	for i := range 33000 {
		config["ways"].(map[string]any)[fmt.Sprintf("bulk-%d", i)] = map[string]any{"host": fmt.Sprintf("h%d.a-long-name-of-a-host.bulk", i), "service": string(f.Deployment.Services[0].Name)}
	}
	f.proposeAndJudge(ctx, config, "PUT", "", marker, false)
	f.sleep(ctx, 3*time.Second)
}

// serviceEmpty ends every endpoint of a service, as planned, and fills it again.
func (f *Fleet) serviceEmpty(ctx context.Context) {
	service := f.Deployment.Services[f.rng.IntN(len(f.Deployment.Services))]
	f.recordLoss("all endpoints of " + string(service.Name))
	f.mu.Lock()
	var emptied []*managedEndpoint
	for _, e := range f.endpoints {
		if !e.unavailable && e.Service == service.Name {
			e.unavailable = true
			emptied = append(emptied, e)
		}
	}
	f.mu.Unlock()
	var leaving sync.WaitGroup
	for _, e := range emptied {
		leaving.Add(1)
		go func() { defer leaving.Done(); f.leaveEndpoint(e) }()
	}
	leaving.Wait()
	f.sleep(ctx, 2*time.Second)
	for _, e := range emptied {
		if _, err := f.startEndpoint(e.sidecar, e.spec, ""); err != nil {
			f.Logf("%v", err)
		}
	}
}

// leaveEndpoint is an endpoint's own planned end.
func (f *Fleet) leaveEndpoint(e *managedEndpoint) {
	if e.Leave() {
		f.mu.Lock()
		f.leftAt[e.Server] = time.Now()
		f.Checker.Observe("late-to-leaver")
		f.mu.Unlock()
	}
	e.Stop(3 * time.Second)
}

// endpointRemove removes an endpoint for good, if its service keeps two.
func (f *Fleet) endpointRemove(context.Context) {
	if e := f.takeEndpoint(3); e != nil {
		f.leaveEndpoint(e)
	}
}

// endpointHang makes an endpoint hang, connections still taken, for longer than its
// silence bites, and then wake.
func (f *Fleet) endpointHang(ctx context.Context) {
	e := f.takeEndpoint(2)
	if e == nil {
		return
	}
	e.Hang(true)
	// Its last beat may have come just now: then its loss shows this much later.
	f.sleep(ctx, endpoint.MaxHeartbeatTimeout)
	f.mu.Lock()
	hang := &outage{from: time.Now(), cause: "hung"}
	f.endpointOutages[e.Server] = append(f.endpointOutages[e.Server], hang)
	f.Checker.Observe("late-to-leaver")
	f.mu.Unlock()
	f.sleep(ctx, 4*time.Second)
	f.mu.Lock()
	hang.to, e.unavailable = time.Now(), false
	f.mu.Unlock()
	e.Hang(false)
}
