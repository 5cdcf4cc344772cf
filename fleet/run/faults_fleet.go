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
	surgeScale    = 3               // of a traffic surge, times the run's rate
	surgeDuration = 5 * time.Second // of a traffic surge
	// surgeSeedOffset keeps the random choices of a surge's clients apart from the others'.
	surgeSeedOffset = 100
	// downtime is how long processes stay down that a fault kills together.
	downtime = 1500 * time.Millisecond
)

// trafficSurge adds clients at every sidecar, all at once, for surgeDuration.
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
			f.proposeAndJudge(ctx, proposal{config: f.newConfig(marker), method: http.MethodPut, marker: marker})
		})
		f.sleep(ctx, 20*time.Millisecond)
	}
	running.Wait()
}

// configStorm proposes configurations one after the other in quick succession, for longer than one may
// take to be in force.
func (f *Fleet) configStorm(ctx context.Context) {
	const interval, duration = 80 * time.Millisecond, 4 * time.Second
	var running sync.WaitGroup
	for i := range int(duration / interval) {
		running.Go(func() {
			marker := fmt.Sprintf("storm-%d-%d", f.now(), i)
			f.proposeAndJudge(ctx, proposal{config: f.newConfig(marker), method: http.MethodPut, marker: marker})
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
	f.proposeAndJudge(ctx, proposal{config: config, method: http.MethodPut, marker: marker})
	f.sleep(ctx, 3*time.Second)
}

// releaseRoll rolls every process to the new release, cores first, one by one. Until it is
// over the fleet runs both releases.
func (f *Fleet) releaseRoll(ctx context.Context) {
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

// killHalf kills half the sidecars and a core at once, which then all start together.
func (f *Fleet) killHalf(ctx context.Context) {
	f.recordLoss("herd")
	targets := everySecond(f.Sidecars, 0)
	f.killAndRestart(ctx, append(targets, f.randomProcess(f.Cores)))
}

// killCoresAndHalf kills every core and half the sidecars at once.
func (f *Fleet) killCoresAndHalf(ctx context.Context) {
	f.recordLoss("everything at once")
	endOutage := f.beginOutage(coreMajority, coreMajority)
	f.killAndRestart(ctx, append(f.currentCores(), everySecond(f.Sidecars, 1)...))
	endOutage()
	f.sleep(ctx, 9*time.Second)
}

// everySecond lists every second process, from the given index on.
func everySecond(processes []*process.Process, first int) []*process.Process {
	var out []*process.Process
	for i := first; i < len(processes); i += 2 {
		out = append(out, processes[i])
	}
	return out
}

// zoneLoss takes a whole zone away, cores, sidecars and endpoints, and brings it back some
// seconds later.
func (f *Fleet) zoneLoss(ctx context.Context) {
	f.recordLoss("district")
	zone := f.zone(f.rng.IntN(f.Deployment.Zones))
	var lostCores []*process.Process
	if cores := f.currentCores(); len(cores) > 1 {
		lostCores = f.inZone(cores, zone)
	}
	lostSidecars := f.inZone(f.Sidecars, zone)
	lostEndpoints := f.takeEndpoints(func(e *managedEndpoint) bool { return slices.Contains(lostSidecars, e.sidecar) })
	for _, e := range lostEndpoints {
		e.Kill()
	}
	f.killAndRestart(ctx, append(lostCores, lostSidecars...))
	for _, e := range lostEndpoints {
		f.replaceEndpoint(e)
	}
}

// inZone lists the processes of one role that are in a zone.
func (f *Fleet) inZone(processes []*process.Process, zone string) []*process.Process {
	var out []*process.Process
	for i, proc := range processes {
		if f.zone(i) == zone {
			out = append(out, proc)
		}
	}
	return out
}

// killAndRestart kills processes at the same time and starts them again a little later.
func (f *Fleet) killAndRestart(ctx context.Context, targets []*process.Process) {
	endOutage := map[*process.Process]func(){}
	for _, proc := range targets {
		endOutage[proc] = f.beginOutage(proc.Name, causeKilled)
	}
	forEach(targets, (*process.Process).Kill)
	f.sleep(ctx, downtime)
	forEach(targets, func(proc *process.Process) {
		f.startProcess(proc)
		endOutage[proc]()
		f.awaitReady(proc)
	})
}
