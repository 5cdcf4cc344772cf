package run

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
)

// Numbers of the machines that replace lost cores, above those of the first cores.
const (
	firstReplacement = 20
	replacements     = 200
)

// replacementVoteTimeout is how long the core of a new machine may take to vote: longer than
// voteTimeout, for its address has to become known first.
const replacementVoteTimeout = 25 * time.Second

// isolatedStartTimeout is the time within which a sidecar that starts without any core must have a
// configuration in force from its peers.
const isolatedStartTimeout = 4 * time.Second

// coreKill kills a core and starts it again on its disk.
func (f *Fleet) coreKill(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	core.Kill()
	f.sleep(ctx, time.Second)
	f.restart(core)
}

// coreEmpty kills a core and starts it again on an empty disk, which must come to vote.
func (f *Fleet) coreEmpty(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	core.Kill()
	if err := core.RemoveData(); err != nil {
		f.Logf("the data of %s can't be deleted: %v", core.Name, err)
	}
	f.sleep(ctx, time.Second)
	f.restart(core)
	f.awaitVote(core, voteTimeout)
	f.increment("new disks that vote")
}

// coreMove loses a core's machine for good. An empty core at a new address, whose seeds are
// one core and two sidecars, takes its slot.
func (f *Fleet) coreMove(context.Context) {
	cores := f.currentCores()
	slot := f.rng.IntN(len(cores))
	cores[slot].Kill()
	replacement, err := f.newProcess("core", coreSubnet, firstReplacement+f.nextSerial()%replacements)
	if err == nil {
		seeds := []string{cores[(slot+1)%len(cores)].Addr, f.Sidecars[0].Addr, f.Sidecars[1].Addr}
		err = startWith(replacement, f.coreSettings(replacement, slot, seeds))
	}
	if err != nil {
		f.Logf("the replacement of %s can't be started: %v", cores[slot].Name, err)
		return
	}
	f.awaitVote(replacement, replacementVoteTimeout)
	f.increment("new disks that vote")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Cores[slot] = replacement
}

// coreFreeze suspends a core for a while.
func (f *Fleet) coreFreeze(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	core.Suspend()
	f.sleep(ctx, 3*time.Second)
	core.Resume()
}

// coreCut cuts a core off from all other processes.
func (f *Fleet) coreCut(ctx context.Context) {
	core := f.randomProcess(f.Cores)
	f.setIsolated(core, true)
	f.sleep(ctx, 3*time.Second)
	f.setIsolated(core, false)
}

// coreStop stops a core as planned work does and starts it again.
func (f *Fleet) coreStop(context.Context) { f.restartCore(f.randomProcess(f.Cores)) }

// coreSplit cuts the cores into two groups; every sidecar reaches both.
func (f *Fleet) coreSplit(ctx context.Context) {
	cores := f.currentCores()
	n := 1 + f.rng.IntN(len(cores)-1)
	f.rng.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	f.setPartition(cores[:n], cores[n:], true)
	f.sleep(ctx, 4*time.Second)
	f.setPartition(cores[:n], cores[n:], false)
}

// coreIsolated cuts all cores from all sidecars, and restarts a sidecar meanwhile: it must
// serve again from what its peers have, and show nothing older than it did.
func (f *Fleet) coreIsolated(ctx context.Context) {
	f.recordLoss("isolated core")
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
	f.sleep(ctx, isolatedStartTimeout)
	f.judgeServing(restarted)
	f.setPartition(cores, f.Sidecars, false)
	for _, end := range endOutages {
		end()
	}
	f.awaitReady(restarted)
}

// judgeServing judges whether a sidecar that joined no core has a configuration in force.
func (f *Fleet) judgeServing(sidecar *process.Process) {
	var status struct {
		Revision ident.ConfigRevision `json:"manifest"`
	}
	_, err := sidecar.Request(time.Second, http.MethodGet, "/status", nil, &status)
	f.observe(ruleConfigLate)
	if err != nil || status.Revision == 0 {
		f.violate(ruleConfigLate, "%s has nothing in force %v after it started cut off from all cores: %v",
			sidecar.Name, isolatedStartTimeout, err)
	}
}

// setIsolated cuts or heals all links of a process.
func (f *Fleet) setIsolated(proc *process.Process, isolated bool) {
	for _, other := range f.allProcesses() {
		if other != proc {
			f.setCut(proc, other, isolated)
		}
	}
}

// setPartition cuts or heals all links between two groups.
func (f *Fleet) setPartition(groupA, groupB []*process.Process, cut bool) {
	for _, a := range groupA {
		for _, b := range groupB {
			f.setCut(a, b, cut)
		}
	}
}

// setCut cuts or heals both directions between two processes.
func (f *Fleet) setCut(a, b *process.Process, cut bool) {
	f.network.SetCut(a.IP, b.IP, cut)
	f.network.SetCut(b.IP, a.IP, cut)
}
