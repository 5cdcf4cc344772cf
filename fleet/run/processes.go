package run

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/standin/endpoint"
)

// Subnets of the fleet's machines: 127.0.SUBNET.N.
const (
	coreSubnet    = 21
	sidecarSubnet = 22
)

// Size of the ring files of a core's disk: small, so that they wrap around within a run.
const (
	ringFileMiB = 12
	ringFiles   = 4
)

// sidecarStopSeconds is how long a sidecar takes to drain at a planned stop.
const sidecarStopSeconds = 4

// Bounds after which a process that was started or stopped counts as failed.
const (
	liveTimeout        = 10 * time.Second
	readyTimeout       = 20 * time.Second
	coreStopTimeout    = 20 * time.Second
	sidecarStopTimeout = 25 * time.Second
	voteTimeout        = 20 * time.Second
)

// seedCount is how many cores are seeds.
const seedCount = 3

// startCores starts the cores that found the deployment and returns the seeds.
func (f *Fleet) startCores() (seeds []string, err error) {
	var founders []string
	for i := range f.Deployment.Cores {
		core, err := f.newProcess("core", coreSubnet, i)
		if err != nil {
			return nil, err
		}
		f.Cores = append(f.Cores, core)
		founders = append(founders, core.Addr)
	}
	seeds = founders[:min(seedCount, len(founders))]
	for i, core := range f.Cores {
		settings := f.coreSettings(core, i, seeds)
		settings.Founders = founders
		if err := startWith(core, settings); err != nil {
			return nil, err
		}
	}
	return seeds, nil
}

// coreSettings is the settings file of the core in the i-th slot.
func (f *Fleet) coreSettings(core *process.Process, i int, seeds []string) process.CoreSettings {
	return process.CoreSettings{
		Address:     core.Addr,
		Listen:      core.ListenAddr,
		Zone:        f.zone(i),
		Seeds:       seeds,
		DataDir:     core.DataDir,
		RingFileMiB: ringFileMiB,
		RingFiles:   ringFiles,
	}
}

// startSidecars starts all sidecars. The seeds of each are two cores and the sidecar of
// another zone: when all cores have moved, that sidecar still knows where to.
func (f *Fleet) startSidecars(coreSeeds []string) error {
	for i := range f.Deployment.Sidecars {
		sidecar, err := f.newProcess("sidecar", sidecarSubnet, i)
		if err != nil {
			return err
		}
		f.Sidecars = append(f.Sidecars, sidecar)
	}
	for i, sidecar := range f.Sidecars {
		seeds := []string{
			coreSeeds[i%len(coreSeeds)],
			coreSeeds[(i+1)%len(coreSeeds)],
			f.Sidecars[(i+1)%len(f.Sidecars)].Addr,
		}
		settings := process.SidecarSettings{
			Node:        sidecar.Name,
			Address:     sidecar.Addr,
			Listen:      sidecar.ListenAddr,
			ClientAddr:  sidecar.ClientAddr,
			Zone:        f.zone(i),
			Seeds:       slices.Compact(seeds),
			StopSeconds: sidecarStopSeconds,
		}
		if f.OldBinary == "" { // the release before does not know the setting
			settings.ServerIDHeader = endpoint.ServerIDHeader
		}
		if err := startWith(sidecar, settings); err != nil {
			return err
		}
	}
	return nil
}

// startWith writes a process's settings file and starts it.
func startWith(proc *process.Process, settings any) error {
	if err := proc.WriteSettings(settings); err != nil {
		return err
	}
	return proc.Start()
}

// newProcess prepares a process with an IP of its own behind a link proxy.
func (f *Fleet) newProcess(role string, subnet, i int) (*process.Process, error) {
	binary := f.Binary
	if f.OldBinary != "" {
		binary = f.OldBinary
	}
	name, ip := fmt.Sprintf("%s%d", role, i+1), fmt.Sprintf("127.0.%d.%d", subnet, i+1)
	proc := process.New(binary, f.Dir, name, role, ip)
	for _, addr := range []*string{&proc.Addr, &proc.ListenAddr, &proc.ClientAddr} {
		var err error
		if *addr, err = process.FreeAddr(proc.IP); err != nil {
			return nil, err
		}
	}
	return proc, f.network.Listen(proc.Addr, proc.ListenAddr)
}

// currentCores lists the cores as they are now: a core that moved has been replaced.
func (f *Fleet) currentCores() []*process.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Cores)
}

// allProcesses lists the cores and the sidecars.
func (f *Fleet) allProcesses() []*process.Process {
	return append(f.currentCores(), f.Sidecars...)
}

// randomProcess draws one of the processes. Only the goroutine that injects faults draws from rng.
func (f *Fleet) randomProcess(processes []*process.Process) *process.Process {
	return processes[f.rng.IntN(len(processes))]
}

// startProcess starts a process and waits until it listens, which ends its outage.
func (f *Fleet) startProcess(proc *process.Process) {
	if err := proc.Start(); err != nil {
		f.Logf("%s can't be started: %v", proc.Name, err)
	}
	proc.WaitLive(liveTimeout)
}

// restart starts a process that has ended and judges whether it becomes ready.
func (f *Fleet) restart(proc *process.Process) {
	f.startProcess(proc)
	f.awaitReady(proc)
}

// awaitReady judges whether a process becomes ready in time.
func (f *Fleet) awaitReady(proc *process.Process) {
	if !proc.WaitReady(readyTimeout) {
		f.violate(ruleSlowRecovery, "%s was not ready %v after its start", proc.Name, readyTimeout)
	}
}

// awaitVote judges whether a core whose disk was empty votes in time.
func (f *Fleet) awaitVote(core *process.Process, timeout time.Duration) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); <-ticker.C {
		var status struct {
			Votes bool `json:"votes"`
		}
		if _, err := core.Request(500*time.Millisecond, http.MethodGet, "/status", nil, &status); err == nil && status.Votes {
			return
		}
	}
	f.violate(ruleSlowRecovery, "%s does not vote %v after it came back empty", core.Name, timeout)
}

// stopOrKill stops a process as planned work does; one that does not end within the timeout
// violates the rule of planned stops and is killed.
func (f *Fleet) stopOrKill(proc *process.Process, timeout time.Duration) {
	if proc.Stop(timeout) {
		return
	}
	f.violate(ruleDropped, "%s did not stop within %v", proc.Name, timeout)
	proc.Kill()
}

// restartCore stops a core as planned work does and starts it again.
func (f *Fleet) restartCore(core *process.Process) {
	f.stopOrKill(core, coreStopTimeout)
	f.restart(core)
}

// restartSidecar stops a sidecar as planned work does and starts it again.
func (f *Fleet) restartSidecar(sidecar *process.Process) {
	endOutage := f.beginOutage(sidecar.Name, causeStopped)
	f.stopOrKill(sidecar, sidecarStopTimeout)
	f.judgeExitCode(sidecar)
	f.startProcess(sidecar)
	endOutage()
	f.awaitReady(sidecar)
}

// judgeExitCode judges that a sidecar that was stopped as planned ended with success.
func (f *Fleet) judgeExitCode(sidecar *process.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sidecar.ExitCode != 0 {
		f.Checker.Violate(f.now(), ruleDropped, "%s ended with %d", sidecar.Name, sidecar.ExitCode)
	}
}
