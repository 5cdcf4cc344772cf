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
	sidecar.Freeze()
	f.sleep(ctx, 2500*time.Millisecond)
	sidecar.Thaw()
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
// by its peers, so it has no excuse.
func (f *Fleet) sidecarCutFromCores(ctx context.Context) {
	alone := []*process.Process{f.randomProcess(f.Sidecars)}
	cores := f.currentCores()
	f.setPartition(alone, cores, true)
	f.sleep(ctx, 6*time.Second)
	f.setPartition(alone, cores, false)
}

// sidecarStop is a planned stop of a sidecar under traffic: the requests that it has taken
// must end well. A platform would stop sending requests once the sidecar is not ready; here
// clients go on, so those that find no listener are excused, and those taken are not.
func (f *Fleet) sidecarStop(context.Context) { f.restartSidecar(f.randomProcess(f.Sidecars)) }
