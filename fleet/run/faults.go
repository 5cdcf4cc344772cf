package run

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/sim/invariant"
)

// Faults holds the faults that the fleet can inject into real processes, by name. Each function
// returns when the fault is over.
var Faults = map[string]func(*Fleet, context.Context){
	"burst":              (*Fleet).configBurst,
	"core-cut":           (*Fleet).coreIsolation,
	"core-empty":         (*Fleet).coreDiskLoss,
	"core-freeze":        (*Fleet).coreFreeze,
	"core-isolated":      (*Fleet).controlPlaneIsolation,
	"core-kill":          (*Fleet).coreKill,
	"core-move":          (*Fleet).coreReplace,
	"core-split":         (*Fleet).corePartition,
	"core-stop":          (*Fleet).coreStop,
	"crowd":              (*Fleet).trafficSurge,
	"district":           (*Fleet).zoneLoss,
	"endpoint-bad":       (*Fleet).endpointFaulty,
	"endpoint-gone":      (*Fleet).endpointRemove,
	"endpoint-hang":      (*Fleet).endpointHang,
	"endpoint-late-beat": (*Fleet).endpointLateHeartbeat,
	"endpoint-replace":   (*Fleet).endpointReplace,
	"endpoint-reuse":     (*Fleet).addressReuse,
	"heavy":              (*Fleet).killCoresAndHalfOfSidecars,
	"herd":               (*Fleet).killHalfOfSidecars,
	"manifest-large":     (*Fleet).configLarge,
	"manifest-storm":     (*Fleet).configStorm,
	"release":            (*Fleet).rollingUpgrade,
	"release-bad":        (*Fleet).badRelease,
	"service-empty":      (*Fleet).serviceOutage,
	"side-cut":           (*Fleet).sidecarIsolation,
	"side-cut-core":      (*Fleet).sidecarCorePartition,
	"side-freeze":        (*Fleet).sidecarFreeze,
	"side-kill":          (*Fleet).sidecarKill,
	"side-stop":          (*Fleet).sidecarStop,
}

const (
	firstFaultAfter = 8 * time.Second // duration of the traffic before the first fault
	lastFaultBefore = 9 * time.Second // no fault starts in the last part of the run
)

// FaultNames returns the sorted names of all faults.
func FaultNames() []string { return slices.Sorted(maps.Keys(Faults)) }

// runFaults injects the faults of a series in turn, over and over, until the run is nearly over.
func (f *Fleet) runFaults(ctx context.Context, series []string) {
	f.sleep(ctx, firstFaultAfter)
	for i := 0; len(series) > 0 && ctx.Err() == nil; i++ {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < lastFaultBefore {
			return
		}
		name := series[i%len(series)]
		f.Logf("%6.1fs fault %s", time.Duration(f.now()).Seconds(), name)
		f.increment("fault " + name)
		Faults[name](f, ctx)
		f.sleep(ctx, f.FaultInterval)
	}
}

// sleep waits for d or until ctx ends.
func (f *Fleet) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordMajorOutage records an outage after which the checker checks that the traffic recovers.
func (f *Fleet) recordMajorOutage(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Outages = append(f.Checker.Outages, invariant.Outage{At: f.now(), Name: name})
}

// forEachConcurrently calls action for all items concurrently and waits until all calls have returned.
func forEachConcurrently[T any](items []T, action func(T)) {
	var running sync.WaitGroup
	for _, item := range items {
		running.Go(func() { action(item) })
	}
	running.Wait()
}
