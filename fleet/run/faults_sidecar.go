package run

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/fleet/process"
)

// sidecarKill kills a sidecar and starts it again.
func (f *Fleet) sidecarKill(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeKilled)
	sidecar.Kill()
	f.sleep(ctx, time.Second)
	f.startProcess(sidecar)
	endOutage()
	f.awaitReady(sidecar)
}

// sidecarFreeze suspends a sidecar for a while.
func (f *Fleet) sidecarFreeze(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeFrozen)
	sidecar.Suspend()
	f.sleep(ctx, 2500*time.Millisecond)
	sidecar.Resume()
	endOutage()
}

// sidecarCut cuts a sidecar off from all other processes.
func (f *Fleet) sidecarCut(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeCutOff)
	f.setIsolated(sidecar, true)
	f.sleep(ctx, 3*time.Second)
	f.setIsolated(sidecar, false)
	endOutage()
}

// sidecarCutFromCores cuts a sidecar from the cores alone. Configurations must still reach it
// by its peers, so no outage is recorded: the bound on being late holds meanwhile.
func (f *Fleet) sidecarCutFromCores(ctx context.Context) {
	isolated := []*process.Process{f.randomProcess(f.Sidecars)}
	cores := f.currentCores()
	f.setPartition(isolated, cores, true)
	f.sleep(ctx, 6*time.Second)
	f.setPartition(isolated, cores, false)
}

// sidecarStop stops a sidecar under traffic as planned work does, and starts it again. The requests
// that it accepted must get their responses. A platform would stop sending requests once the
// sidecar is not ready; here clients go on, so a request that finds no listener is excused.
func (f *Fleet) sidecarStop(context.Context) { f.restartSidecar(f.randomProcess(f.Sidecars)) }
