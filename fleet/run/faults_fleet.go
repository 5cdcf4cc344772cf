package run

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/fleet/process"
)

const (
	surgeScale    = 3               // request rate of a traffic surge, as a multiple of the run's rate
	surgeDuration = 5 * time.Second // duration of a traffic surge
	// surgeSeedOffset gives the clients of a surge other random choices than the regular clients.
	surgeSeedOffset = 100
	// killDowntime is the time between the kill and the restart of processes that a fault kills together.
	killDowntime = 1500 * time.Millisecond
)

// trafficSurge adds a client at every sidecar for surgeDuration.
func (f *Fleet) trafficSurge(ctx context.Context) {
	surge, cancel := context.WithTimeout(ctx, surgeDuration)
	defer cancel()
	var running sync.WaitGroup
	f.startTraffic(surge, &running, trafficOptions{
		scale:  surgeScale,
		seed:   f.Seed + surgeSeedOffset,
		suffix: fmt.Sprintf("-crowd%d", time.Now().UnixNano()),
	})
	running.Wait()
}

// configBurst proposes configurations in quick succession.
func (f *Fleet) configBurst(ctx context.Context) {
	var running sync.WaitGroup
	for i := range 12 {
		running.Go(func() {
			marker := fmt.Sprintf("burst-%d-%d", f.now(), i)
			f.proposeAndCheck(ctx, proposal{config: f.newConfig(marker), method: http.MethodPut, marker: marker})
		})
		f.sleep(ctx, 20*time.Millisecond)
	}
	running.Wait()
}

// configStorm proposes configurations in quick succession for longer than invariant.ConfigDeadline.
func (f *Fleet) configStorm(ctx context.Context) {
	const interval, duration = 80 * time.Millisecond, 4 * time.Second
	var running sync.WaitGroup
	for i := range int(duration / interval) {
		running.Go(func() {
			marker := fmt.Sprintf("storm-%d-%d", f.now(), i)
			f.proposeAndCheck(ctx, proposal{config: f.newConfig(marker), method: http.MethodPut, marker: marker})
		})
		f.sleep(ctx, interval)
	}
	running.Wait()
}

// configLarge proposes a very large configuration.
func (f *Fleet) configLarge(ctx context.Context) {
	marker := fmt.Sprintf("large-%d", f.now())
	config := f.newConfig(marker)
	f.addBulkRoutes(config, manyRoutes, "a-long-name-of-a-host.bulk")
	f.proposeAndCheck(ctx, proposal{config: config, method: http.MethodPut, marker: marker})
	f.sleep(ctx, 3*time.Second)
}

// rollingUpgrade restarts every process with the new release, one by one, cores first. Until the end of
// the upgrade, the fleet runs both releases.
func (f *Fleet) rollingUpgrade(ctx context.Context) {
	for _, core := range f.currentCores() {
		core.SetBinary(f.Binary)
		f.restartCore(core)
		f.awaitVote(core, voteTimeout)
	}
	for _, sidecar := range f.Sidecars {
		sidecar.SetBinary(f.Binary)
		f.restartSidecar(sidecar)
		f.sleep(ctx, 200*time.Millisecond)
	}
}

// killHalfOfSidecars kills half of the sidecars and a core simultaneously. All killed processes then
// restart simultaneously.
func (f *Fleet) killHalfOfSidecars(ctx context.Context) {
	f.recordMajorOutage("herd")
	targets := everyOther(f.Sidecars, 0)
	f.killAndRestart(ctx, append(targets, f.randomProcess(f.Cores)))
}

// killCoresAndHalfOfSidecars kills all cores and half of the sidecars simultaneously, and then
// restarts all killed processes.
func (f *Fleet) killCoresAndHalfOfSidecars(ctx context.Context) {
	f.recordMajorOutage("all cores and half of the sidecars killed")
	endOutage := f.beginOutage(coreMajority, coreMajority)
	f.killAndRestart(ctx, append(f.currentCores(), everyOther(f.Sidecars, 1)...))
	endOutage()
	f.sleep(ctx, 9*time.Second)
}

// everyOther returns every other process, beginning with the process at index first.
func everyOther(processes []*process.Process, first int) []*process.Process {
	var selected []*process.Process
	for i := first; i < len(processes); i += 2 {
		selected = append(selected, processes[i])
	}
	return selected
}

// zoneLoss kills all cores, sidecars and endpoints of a zone, and restarts or replaces them after
// killDowntime. A single core is not killed.
func (f *Fleet) zoneLoss(ctx context.Context) {
	f.recordMajorOutage("district")
	zone := f.zone(f.rng.IntN(f.Deployment.Zones))
	var lostCores []*process.Process
	if cores := f.currentCores(); len(cores) > 1 {
		lostCores = f.inZone(cores, zone)
	}
	lostSidecars := f.inZone(f.Sidecars, zone)
	lostEndpoints := f.reserveEndpoints(func(e *managedEndpoint) bool { return slices.Contains(lostSidecars, e.sidecar) })
	for _, e := range lostEndpoints {
		e.Kill()
	}
	f.killAndRestart(ctx, append(lostCores, lostSidecars...))
	for _, e := range lostEndpoints {
		f.replaceEndpoint(e)
	}
}

// inZone returns the processes of one role that are in a zone.
func (f *Fleet) inZone(processes []*process.Process, zone string) []*process.Process {
	var selected []*process.Process
	for i, proc := range processes {
		if f.zone(i) == zone {
			selected = append(selected, proc)
		}
	}
	return selected
}

// killAndRestart kills processes simultaneously and restarts all of them after killDowntime.
func (f *Fleet) killAndRestart(ctx context.Context, targets []*process.Process) {
	endOutage := map[*process.Process]func(){}
	for _, proc := range targets {
		endOutage[proc] = f.beginOutage(proc.Name, causeKilled)
	}
	forEachConcurrently(targets, (*process.Process).Kill)
	f.sleep(ctx, killDowntime)
	forEachConcurrently(targets, func(proc *process.Process) {
		f.startProcess(proc)
		endOutage[proc]()
		f.awaitReady(proc)
	})
}
