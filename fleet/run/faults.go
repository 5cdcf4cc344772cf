package run

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/standin/client"
	"cottonarch.example/cottonarch/standin/endpoint"
)

// Faults are what the fleet can bring about in real processes.
var Faults = map[string]func(*Fleet, context.Context){
	"core-kill":        func(f *Fleet, ctx context.Context) { f.coreKill(ctx, false) },
	"core-empty":       func(f *Fleet, ctx context.Context) { f.coreKill(ctx, true) },
	"core-move":        (*Fleet).coreMove,
	"core-split":       (*Fleet).coreSplit,
	"core-isolated":    (*Fleet).coreIsolated,
	"burst":            (*Fleet).configBurst,
	"manifest-large":   (*Fleet).configLarge,
	"service-empty":    (*Fleet).serviceEmpty,
	"endpoint-gone":    (*Fleet).endpointRemove,
	"endpoint-hang":    (*Fleet).endpointHang,
	"core-freeze":      (*Fleet).coreFreeze,
	"release":          (*Fleet).rollRelease,
	"core-cut":         (*Fleet).coreCut,
	"core-stop":        (*Fleet).coreStop,
	"side-kill":        (*Fleet).sidecarKill,
	"side-freeze":      (*Fleet).sidecarFreeze,
	"side-cut":         (*Fleet).sidecarCut,
	"side-cut-core":    (*Fleet).sidecarCutFromCores,
	"side-stop":        (*Fleet).sidecarStop,
	"endpoint-replace": (*Fleet).endpointReplace,
	"endpoint-reuse":   (*Fleet).addressReuse,
	"endpoint-bad":     (*Fleet).badEndpoint,
	"release-bad":      (*Fleet).badRelease,
	"herd":             (*Fleet).killHalf,
	"crowd":            (*Fleet).trafficSurge,
	"district":         (*Fleet).zoneLoss,
	"heavy":            (*Fleet).killCoresAndHalf,
}

// FaultNames lists the faults.
func FaultNames() []string {
	var names []string
	for n := range Faults {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// runFaults runs the named faults in turn, spread over the run.
func (f *Fleet) runFaults(ctx context.Context) {
	f.sleep(ctx, 8*time.Second)
	for i := 0; len(f.Options.Faults) > 0 && ctx.Err() == nil; i++ {
		if d, ok := ctx.Deadline(); ok && time.Until(d) < 9*time.Second {
			return
		}
		name := f.Options.Faults[i%len(f.Options.Faults)]
		f.Logf("%6.1fs %s", time.Duration(f.now()).Seconds(), name)
		f.increment("fault " + name)
		Faults[name](f, ctx)
		f.sleep(ctx, f.FaultInterval)
	}
}

func (f *Fleet) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Fleet) randomProcess(processes []*process.Process) *process.Process {
	return processes[f.rng.IntN(len(processes))]
}

func (f *Fleet) restart(proc *process.Process) {
	f.startProcess(proc)
	f.awaitReady(proc)
}

// startProcess starts the process and waits until it listens, which ends its being out.
func (f *Fleet) startProcess(proc *process.Process) {
	if err := proc.Start(); err != nil {
		f.Logf("%s does not start: %v", proc.Name, err)
	}
	proc.WaitLive(10 * time.Second)
}

func (f *Fleet) awaitReady(proc *process.Process) {
	if !proc.WaitReady(20 * time.Second) {
		f.mu.Lock()
		f.Checker.Violate(f.now(), "slow-recovery", "%s was not ready 20s after its start", proc.Name)
		f.mu.Unlock()
	}
}

func (f *Fleet) coreKill(ctx context.Context, wipe bool) {
	core := f.randomProcess(f.Cores)
	core.Kill()
	if wipe {
		if err := core.RemoveData(); err != nil {
			f.Logf("%v", err)
		}
	}
	f.sleep(ctx, time.Second)
	f.restart(core)
	if wipe {
		f.awaitVote(core, 20*time.Second)
		f.increment("new disks that vote")
	}
}

// coreMove loses a core machine for good; an empty one at a new address, whose seeds
// are one core and two sidecars, takes its slot.
func (f *Fleet) coreMove(context.Context) {
	i := f.rng.IntN(len(f.Cores))
	f.clients.mu.Lock()
	old := f.Cores[i]
	f.clients.mu.Unlock()
	old.Kill()
	f.mu.Lock()
	f.serial++
	n := 20 + f.serial%200
	f.mu.Unlock()
	replacement, err := f.newProcess("core", n)
	if err == nil {
		err = replacement.Write(map[string]any{"address": replacement.Addr, "listen": replacement.ListenAddr, "district": f.zone(i), "data": replacement.DataDir, "ringFileMiB": 12, "ringFiles": 4,
			"seeds": []string{f.Cores[(i+1)%len(f.Cores)].Addr, f.Sidecars[0].Addr, f.Sidecars[1].Addr}})
	}
	if err == nil {
		err = replacement.Start()
	}
	if err != nil {
		f.Logf("%v", err)
		return
	}
	f.awaitVote(replacement, 25*time.Second)
	f.increment("new disks that vote")
	f.clients.mu.Lock()
	f.Cores[i] = replacement
	f.clients.mu.Unlock()
}

// awaitVote waits until a core's disk votes.
func (f *Fleet) awaitVote(core *process.Process, timeout time.Duration) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); <-ticker.C {
		var status struct {
			Votes bool `json:"votes"`
		}
		if _, err := core.Request(500*time.Millisecond, "GET", "/status", nil, &status); err == nil && status.Votes {
			return
		}
	}
	f.mu.Lock()
	f.Checker.Violate(f.now(), "slow-recovery", "%s does not vote %v after it came back empty", core.Name, timeout)
	f.mu.Unlock()
}

func (f *Fleet) coreFreeze(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	core.Freeze()
	f.sleep(ctx, 3*time.Second)
	core.Thaw()
}

func (f *Fleet) setIsolated(proc *process.Process, isolated bool) {
	for _, other := range append(slices.Clone(f.Cores), f.Sidecars...) {
		if other != proc {
			f.network.SetCut(proc.IP, other.IP, isolated)
			f.network.SetCut(other.IP, proc.IP, isolated)
		}
	}
}

func (f *Fleet) coreCut(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	f.setIsolated(core, true)
	f.sleep(ctx, 3*time.Second)
	f.setIsolated(core, false)
}

func (f *Fleet) coreStop(context.Context) { f.restartCore(f.randomProcess(f.currentCores())) }

func (f *Fleet) restartCore(core *process.Process) {
	if !core.Stop(20 * time.Second) {
		f.mu.Lock()
		f.Checker.Violate(f.now(), "dropped-in-stop", "%s did not stop in 20s", core.Name)
		f.mu.Unlock()
		core.Kill()
	}
	f.restart(core)
}

// rollRelease rolls every process to the new release, cores first, one by one; until it is
// over the fleet is of both.
func (f *Fleet) rollRelease(ctx context.Context) {
	for _, proc := range f.currentCores() {
		proc.SetBinary(f.Binary)
		f.restartCore(proc)
		f.awaitVote(proc, 20*time.Second)
	}
	for _, proc := range f.Sidecars {
		proc.SetBinary(f.Binary)
		f.restartSidecar(proc)
		f.sleep(ctx, 200*time.Millisecond)
	}
}

func (f *Fleet) sidecarKill(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeKilled)
	sidecar.Kill()
	f.sleep(ctx, time.Second)
	f.startProcess(sidecar)
	endOutage()
	f.awaitReady(sidecar)
}

func (f *Fleet) sidecarFreeze(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeFrozen)
	sidecar.Freeze()
	f.sleep(ctx, 2500*time.Millisecond)
	sidecar.Thaw()
	endOutage()
}

func (f *Fleet) sidecarCut(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeCutOff)
	f.setIsolated(sidecar, true)
	f.sleep(ctx, 3*time.Second)
	f.setIsolated(sidecar, false)
	endOutage()
}

// sidecarCutFromCores cuts a sidecar from the cores alone; manifests must still reach it, by
// its peers, so it has no excuse.
func (f *Fleet) sidecarCutFromCores(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	cut := func(on bool) {
		for _, core := range f.Cores {
			f.network.SetCut(sidecar.IP, core.IP, on)
			f.network.SetCut(core.IP, sidecar.IP, on)
		}
	}
	cut(true)
	f.sleep(ctx, 6*time.Second)
	cut(false)
}

// sidecarStop is a planned stop of a sidecar under traffic: what is in hand must end
// well. Its callers stop coming once it says that it is not ready, as the platform
// would see to; here they go on, so those that find no one there are excused, and
// those that were taken are not.
func (f *Fleet) sidecarStop(context.Context) { f.restartSidecar(f.randomProcess(f.Sidecars)) }

func (f *Fleet) restartSidecar(sidecar *process.Process) {
	endOutage := f.beginOutage(sidecar.Name, causeStopped)
	if !sidecar.Stop(25 * time.Second) {
		f.mu.Lock()
		f.Checker.Violate(f.now(), "dropped-in-stop", "%s did not stop in 25s", sidecar.Name)
		f.mu.Unlock()
		sidecar.Kill()
	}
	f.mu.Lock()
	if sidecar.ExitCode != 0 {
		f.Checker.Violate(f.now(), "dropped-in-stop", "%s ended with %d", sidecar.Name, sidecar.ExitCode)
	}
	f.mu.Unlock()
	f.startProcess(sidecar)
	endOutage()
	f.awaitReady(sidecar)
}

// takeEndpoint picks an endpoint of a service that has so many at least.
func (f *Fleet) takeEndpoint(minimum int) *managedEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := map[string]int{}
	var available []*managedEndpoint
	for _, e := range f.endpoints {
		if !e.unavailable {
			count[string(e.Service)]++
			available = append(available, e)
		}
	}
	available = slices.DeleteFunc(available, func(e *managedEndpoint) bool { return count[string(e.Service)] < minimum })
	if len(available) == 0 {
		return nil
	}
	e := available[f.rng.IntN(len(available))]
	e.unavailable = true
	return e
}

func (f *Fleet) endpointReplace(context.Context) {
	e := f.takeEndpoint(2)
	if e == nil {
		return
	}
	f.leaveEndpoint(e)
	if _, err := f.startEndpoint(e.sidecar, e.spec, ""); err != nil {
		f.Logf("%v", err)
	}
}

// addressReuse kills an endpoint; two seconds later its address serves another.
func (f *Fleet) addressReuse(ctx context.Context) {
	e := f.takeEndpoint(2)
	if e == nil {
		return
	}
	other := f.Deployment.Services[f.rng.IntN(len(f.Deployment.Services))]
	e.Kill()
	f.sleep(ctx, 2*time.Second)
	if _, err := f.startEndpoint(e.sidecar, other, string(e.Addr)); err != nil {
		f.Logf("%v", err)
	}
	if _, err := f.startEndpoint(e.sidecar, e.spec, ""); err != nil {
		f.Logf("%v", err)
	}
}

func (f *Fleet) badEndpoint(ctx context.Context) {
	f.mu.Lock()
	var e *managedEndpoint
	for _, x := range f.endpoints {
		if !x.unavailable {
			e = x
		}
	}
	f.mu.Unlock()
	if e == nil {
		return
	}
	e.SetBehavior(endpoint.Behavior{WorkTime: 4 * time.Millisecond, LostShare: 0.2, GarbageShare: 0.1, TruncatedShare: 0.1, MalformedShare: 0.3})
	f.sleep(ctx, 4*time.Second)
	e.SetBehavior(endpoint.Behavior{WorkTime: 4 * time.Millisecond})
}

// trafficSurge: many users arrive at once, on every machine.
func (f *Fleet) trafficSurge(ctx context.Context) {
	surge, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var running sync.WaitGroup
	for i, sidecar := range f.Sidecars {
		running.Add(1)
		go func() {
			defer running.Done()
			client.Run(surge, client.Options{Name: fmt.Sprintf("%s-crowd%d", sidecar.Name, time.Now().UnixNano()), SidecarAddr: ident.Addr(sidecar.ClientAddr), Kinds: f.requestKinds(),
				Rate: 3 * f.Deployment.Rate * f.Scale / float64(len(f.Sidecars)), Log: f.clientLog, Seed: f.Seed + 100 + uint64(i), Timeout: 8 * time.Second})
		}()
	}
	running.Wait()
}

// badRelease: every endpoint of one service loses, garbles or cuts off most returns.
func (f *Fleet) badRelease(ctx context.Context) {
	service := f.Deployment.Services[f.rng.IntN(len(f.Deployment.Services))].Name
	f.mu.Lock()
	endpoints := slices.Clone(f.endpoints)
	f.mu.Unlock()
	for _, e := range endpoints {
		if e.Service == service {
			e.SetBehavior(endpoint.Behavior{WorkTime: 4 * time.Millisecond, LostShare: 0.2, GarbageShare: 0.2, TruncatedShare: 0.2, MalformedShare: 0.2})
			defer e.SetBehavior(endpoint.Behavior{WorkTime: 4 * time.Millisecond})
		}
	}
	f.sleep(ctx, 6*time.Second)
}

// recordLoss notes a bad loss.
func (f *Fleet) recordLoss(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Outages = append(f.Checker.Outages, invariant.Outage{At: f.now(), Name: name})
}

// killHalf kills half the sidecars and a core at once.
func (f *Fleet) killHalf(ctx context.Context) {
	f.recordLoss("herd")
	var targets []*process.Process
	for i, sidecar := range f.Sidecars {
		if i%2 == 0 {
			targets = append(targets, sidecar)
		}
	}
	targets = append(targets, f.randomProcess(f.Cores))
	f.killAndRestart(ctx, targets)
}

// zoneLoss takes a whole district away, cores, sidecars and endpoints, and brings it
// back some seconds later.
func (f *Fleet) zoneLoss(ctx context.Context) {
	f.recordLoss("district")
	zone := f.rng.IntN(f.Deployment.Zones)
	var targets []*process.Process
	for i, proc := range f.Cores {
		if i%f.Deployment.Zones == zone && (len(f.Cores) > 1) {
			targets = append(targets, proc)
		}
	}
	lostSidecars := map[*process.Process]bool{}
	for i, proc := range f.Sidecars {
		if i%f.Deployment.Zones == zone {
			targets = append(targets, proc)
			lostSidecars[proc] = true
		}
	}
	f.mu.Lock()
	var lostEndpoints []*managedEndpoint
	for _, e := range f.endpoints {
		if lostSidecars[e.sidecar] && !e.unavailable {
			e.unavailable = true
			lostEndpoints = append(lostEndpoints, e)
		}
	}
	f.mu.Unlock()
	for _, e := range lostEndpoints {
		e.Kill()
	}
	f.killAndRestart(ctx, targets)
	for _, e := range lostEndpoints {
		if _, err := f.startEndpoint(e.sidecar, e.spec, ""); err != nil {
			f.Logf("%v", err)
		}
	}
}

// killCoresAndHalf kills every core and half the sidecars at once.
func (f *Fleet) killCoresAndHalf(ctx context.Context) {
	f.recordLoss("everything at once")
	endOutage := f.beginOutage(coreMajority, coreMajority)
	targets := slices.Clone(f.Cores)
	for i, sidecar := range f.Sidecars {
		if i%2 == 1 {
			targets = append(targets, sidecar)
		}
	}
	f.killAndRestart(ctx, targets)
	endOutage()
	f.sleep(ctx, 9*time.Second)
}

func (f *Fleet) killAndRestart(ctx context.Context, targets []*process.Process) {
	done := make(chan bool, len(targets))
	endOutage := map[string]func(){}
	for _, proc := range targets {
		endOutage[proc.Name] = f.beginOutage(proc.Name, causeKilled)
		go func() { proc.Kill(); done <- true }()
	}
	for range targets {
		<-done
	}
	f.sleep(ctx, 1500*time.Millisecond)
	for _, proc := range targets {
		go func() { f.startProcess(proc); endOutage[proc.Name](); f.awaitReady(proc); done <- true }()
	}
	for range targets {
		<-done
	}
}
