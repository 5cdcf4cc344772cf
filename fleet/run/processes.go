package run

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"cottonarch.example/cottonarch/fleet/process"
	"cottonarch.example/cottonarch/standin/endpoint"
)

// Third octets of the machines' addresses, which are 127.0.SUBNET.N.
const (
	coreSubnet    = 21
	sidecarSubnet = 22
)

// Size and number of the ring files of a core's disk, small enough that the files wrap around within
// a run.
const (
	ringFileMiB = 12
	ringFiles   = 4
)

// sidecarStopSeconds is the drain time of a sidecar at a planned stop.
const sidecarStopSeconds = 4

// Timeouts after which the start or the stop of a process counts as failed.
const (
	liveTimeout        = 10 * time.Second
	readyTimeout       = 20 * time.Second
	coreStopTimeout    = 20 * time.Second
	sidecarStopTimeout = 25 * time.Second
	voteTimeout        = 20 * time.Second
)

// seedCount is the number of cores that are seeds.
const seedCount = 3

// startCores starts the cores that form the first membership of the deployment, and returns the addresses of the seeds.
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
		if err := startWithSettings(core, settings); err != nil {
			return nil, err
		}
	}
	return seeds, nil
}

// coreSettings returns the settings of the core in the i-th slot.
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

// startSidecars starts all sidecars. The seeds of each sidecar are two cores and the sidecar of
// another zone, which still knows the cores' addresses after all cores have been replaced.
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
		if f.OldBinary == "" { // the previous release does not know the setting
			settings.ServerIDHeader = endpoint.ServerIDHeader
		}
		if err := startWithSettings(sidecar, settings); err != nil {
			return err
		}
	}
	return nil
}

// startWithSettings writes a process's settings file and starts the process.
func startWithSettings(proc *process.Process, settings any) error {
	if err := proc.WriteSettings(settings); err != nil {
		return err
	}
	return proc.Start()
}

// newProcess prepares a process that has its own IP and is reached through a link proxy.
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

// currentCores returns a copy of the list of cores, in which coreReplace replaces cores during the
// run.
func (f *Fleet) currentCores() []*process.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Cores)
}

// allProcesses lists the cores and the sidecars.
func (f *Fleet) allProcesses() []*process.Process {
	return append(f.currentCores(), f.Sidecars...)
}

// randomProcess picks a random process. Only goroutines that inject faults use rng.
func (f *Fleet) randomProcess(processes []*process.Process) *process.Process {
	return processes[f.rng.IntN(len(processes))]
}

// startProcess starts a process and waits until the process listens, which ends an outage of the
// process.
func (f *Fleet) startProcess(proc *process.Process) {
	if err := proc.Start(); err != nil {
		f.Logf("failed to start %s: %v", proc.Name, err)
	}
	proc.WaitLive(liveTimeout)
}

// restart starts a process that has ended and checks that the process becomes ready in time.
func (f *Fleet) restart(proc *process.Process) {
	f.startProcess(proc)
	f.awaitReady(proc)
}

// awaitReady checks that a process becomes ready in time.
func (f *Fleet) awaitReady(proc *process.Process) {
	if !proc.WaitReady(readyTimeout) {
		f.recordViolation(ruleSlowRecovery, "%s is not ready %v after the start", proc.Name, readyTimeout)
	}
}

// awaitVote checks that a core that started with an empty disk becomes a voter within the timeout.
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
	f.recordViolation(ruleSlowRecovery, "%s did not become a voter within %v", core.Name, timeout)
}

// stopOrKill stops a process gracefully, as planned maintenance does. A process that does not end
// within the timeout violates ruleDroppedInStop and is killed.
func (f *Fleet) stopOrKill(proc *process.Process, timeout time.Duration) {
	if proc.Stop(timeout) {
		return
	}
	f.recordViolation(ruleDroppedInStop, "%s did not stop within %v", proc.Name, timeout)
	proc.Kill()
}

// restartCore stops a core gracefully and starts the core again.
func (f *Fleet) restartCore(core *process.Process) {
	f.stopOrKill(core, coreStopTimeout)
	f.restart(core)
}

// restartSidecar stops a sidecar gracefully and starts the sidecar again.
func (f *Fleet) restartSidecar(sidecar *process.Process) {
	endOutage := f.beginOutage(sidecar.Name, causeStopped)
	f.stopOrKill(sidecar, sidecarStopTimeout)
	f.checkExitCode(sidecar)
	f.startProcess(sidecar)
	endOutage()
	f.awaitReady(sidecar)
}

// checkExitCode checks that a sidecar that was stopped gracefully exited with code 0.
func (f *Fleet) checkExitCode(sidecar *process.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sidecar.ExitCode != 0 {
		f.Checker.Violate(f.now(), ruleDroppedInStop, "%s exited with code %d after a planned stop", sidecar.Name, sidecar.ExitCode)
	}
}
