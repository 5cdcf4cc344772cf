package run

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
)

// Indexes of the machines of replacement cores, above the indexes of the cores that the run starts with.
const (
	firstReplacementIndex = 20
	replacementIndexes    = 200
)

// replacementVoteTimeout bounds how long a core on a new machine takes to become a voter. The timeout is
// longer than voteTimeout because the other processes must first learn the new core's address.
const replacementVoteTimeout = 25 * time.Second

// configFromPeersTimeout is the time within which a sidecar that starts without access to any core
// must have applied a configuration from peers.
const configFromPeersTimeout = 4 * time.Second

// coreKill kills a core and restarts the core with the data on its disk.
func (f *Fleet) coreKill(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	core.Kill()
	f.sleep(ctx, time.Second)
	f.restart(core)
}

// coreDiskLoss kills a core and restarts the core with an empty disk. The core must become a
// voter again.
func (f *Fleet) coreDiskLoss(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	core.Kill()
	if err := core.RemoveData(); err != nil {
		f.Logf("failed to delete the data of %s: %v", core.Name, err)
	}
	f.sleep(ctx, time.Second)
	f.restart(core)
	f.awaitVote(core, voteTimeout)
	f.increment("new disks that vote")
}

// coreReplace kills a core without restarting the core. A replacement with an empty disk and a new
// address, whose seeds are one core and two sidecars, takes the slot of the killed core.
func (f *Fleet) coreReplace(context.Context) {
	cores := f.currentCores()
	slot := f.rng.IntN(len(cores))
	cores[slot].Kill()
	replacement, err := f.newProcess("core", coreSubnet, firstReplacementIndex+f.nextSerial()%replacementIndexes)
	if err == nil {
		seeds := []string{cores[(slot+1)%len(cores)].Addr, f.Sidecars[0].Addr, f.Sidecars[1].Addr}
		err = startWithSettings(replacement, f.coreSettings(replacement, slot, seeds))
	}
	if err != nil {
		f.Logf("failed to start the replacement of %s: %v", cores[slot].Name, err)
		return
	}
	f.awaitVote(replacement, replacementVoteTimeout)
	f.increment("new disks that vote")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Cores[slot] = replacement
}

// coreFreeze suspends the process of a core for three seconds.
func (f *Fleet) coreFreeze(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	core.Suspend()
	f.sleep(ctx, 3*time.Second)
	core.Resume()
}

// coreIsolation cuts the links between a core and all other processes.
func (f *Fleet) coreIsolation(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	f.setIsolated(core, true)
	f.sleep(ctx, 3*time.Second)
	f.setIsolated(core, false)
}

// coreStop stops a core gracefully and starts the core again.
func (f *Fleet) coreStop(context.Context) { f.restartCore(f.randomProcess(f.Cores)) }

// corePartition partitions the cores into two groups. Every sidecar still reaches both groups.
func (f *Fleet) corePartition(ctx context.Context) {
	cores := f.currentCores()
	n := 1 + f.rng.IntN(len(cores)-1)
	f.rng.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	f.setPartition(cores[:n], cores[n:], true)
	f.sleep(ctx, 4*time.Second)
	f.setPartition(cores[:n], cores[n:], false)
}

// controlPlaneIsolation cuts the links between all cores and all sidecars, and kills and restarts a
// sidecar meanwhile. The restarted sidecar must have applied a configuration from peers within
// configFromPeersTimeout. sampleCounters checks that the revision is not older than before the restart.
func (f *Fleet) controlPlaneIsolation(ctx context.Context) {
	f.recordMajorOutage("cores isolated from sidecars")
	var endOutages []func()
	for _, sidecar := range f.Sidecars {
		endOutages = append(endOutages, f.beginOutage(sidecar.Name, causeNoInformedPeer))
	}
	cores := f.currentCores()
	f.setPartition(cores, f.Sidecars, true)
	restarted := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(restarted.Name, causeKilled)
	restarted.Kill()
	f.sleep(ctx, 500*time.Millisecond)
	f.startProcess(restarted)
	endOutage()
	f.sleep(ctx, configFromPeersTimeout)
	f.checkServing(restarted)
	f.setPartition(cores, f.Sidecars, false)
	for _, end := range endOutages {
		end()
	}
	f.awaitReady(restarted)
}

// checkServing checks that a sidecar that started without access to any core has applied a
// configuration.
func (f *Fleet) checkServing(sidecar *process.Process) {
	var status struct {
		Revision ident.ConfigRevision `json:"manifest"`
	}
	_, err := sidecar.Request(time.Second, http.MethodGet, "/status", nil, &status)
	f.recordObservation(ruleConfigLate)
	if err != nil || status.Revision == 0 {
		f.recordViolation(ruleConfigLate, "%s has applied no configuration %v after a start without access to any core: %v",
			sidecar.Name, configFromPeersTimeout, err)
	}
}

// setIsolated cuts or restores all links of a process.
func (f *Fleet) setIsolated(proc *process.Process, isolated bool) {
	for _, other := range f.allProcesses() {
		if other != proc {
			f.setLinkCut(proc, other, isolated)
		}
	}
}

// setPartition cuts or restores all links between two groups of processes.
func (f *Fleet) setPartition(groupA, groupB []*process.Process, cut bool) {
	for _, a := range groupA {
		for _, b := range groupB {
			f.setLinkCut(a, b, cut)
		}
	}
}

// setLinkCut cuts or restores the link between two processes, in both directions.
func (f *Fleet) setLinkCut(a, b *process.Process, cut bool) {
	f.network.SetCut(a.IP, b.IP, cut)
	f.network.SetCut(b.IP, a.IP, cut)
}
