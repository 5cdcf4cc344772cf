package run

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/fleet/process"
)

// sidecarKill kills a sidecar and restarts the sidecar a second later.
func (f *Fleet) sidecarKill(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeKilled)
	sidecar.Kill()
	f.sleep(ctx, time.Second)
	f.startProcess(sidecar)
	endOutage()
	f.awaitReady(sidecar)
}

// sidecarFreeze suspends the process of a sidecar for 2.5 seconds.
func (f *Fleet) sidecarFreeze(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeFrozen)
	sidecar.Suspend()
	f.sleep(ctx, 2500*time.Millisecond)
	sidecar.Resume()
	endOutage()
}

// sidecarIsolation cuts the links between a sidecar and all other processes.
func (f *Fleet) sidecarIsolation(ctx context.Context) {
	sidecar := f.randomProcess(f.Sidecars)
	endOutage := f.beginOutage(sidecar.Name, causeCutOff)
	f.setIsolated(sidecar, true)
	f.sleep(ctx, 3*time.Second)
	f.setIsolated(sidecar, false)
	endOutage()
}

// sidecarCorePartition cuts the links between a sidecar and all cores. Configurations must still reach
// the sidecar through peers, so no outage is recorded and invariant.ConfigDeadline applies throughout.
func (f *Fleet) sidecarCorePartition(ctx context.Context) {
	isolated := []*process.Process{f.randomProcess(f.Sidecars)}
	cores := f.currentCores()
	f.setPartition(isolated, cores, true)
	f.sleep(ctx, 6*time.Second)
	f.setPartition(isolated, cores, false)
}

// sidecarStop stops a sidecar gracefully under traffic, and starts the sidecar again. Requests that the
// sidecar accepted must get their responses. A real platform stops sending requests to a sidecar that
// is not ready; the clients of the fleet continue, so a request that finds no listener is excused.
func (f *Fleet) sidecarStop(context.Context) { f.restartSidecar(f.randomProcess(f.Sidecars)) }
