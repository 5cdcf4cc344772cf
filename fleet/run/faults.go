package run

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/sim/invariant"
)

// Faults are what the fleet can inject into real processes, by name. Each returns when the
// fault is over.
var Faults = map[string]func(*Fleet, context.Context){
	"burst":              (*Fleet).configBurst,
	"core-cut":           (*Fleet).coreCut,
	"core-empty":         (*Fleet).coreEmpty,
	"core-freeze":        (*Fleet).coreFreeze,
	"core-isolated":      (*Fleet).coreIsolated,
	"core-kill":          (*Fleet).coreKill,
	"core-move":          (*Fleet).coreMove,
	"core-split":         (*Fleet).coreSplit,
	"core-stop":          (*Fleet).coreStop,
	"crowd":              (*Fleet).trafficSurge,
	"district":           (*Fleet).zoneLoss,
	"endpoint-bad":       (*Fleet).endpointBad,
	"endpoint-gone":      (*Fleet).endpointRemove,
	"endpoint-hang":      (*Fleet).endpointHang,
	"endpoint-late-beat": (*Fleet).endpointLateHeartbeat,
	"endpoint-replace":   (*Fleet).endpointReplace,
	"endpoint-reuse":     (*Fleet).addressReuse,
	"heavy":              (*Fleet).killCoresAndHalf,
	"herd":               (*Fleet).killHalf,
	"manifest-large":     (*Fleet).configLarge,
	"manifest-storm":     (*Fleet).configStorm,
	"release":            (*Fleet).releaseRoll,
	"release-bad":        (*Fleet).releaseBad,
	"service-empty":      (*Fleet).serviceEmpty,
	"side-cut":           (*Fleet).sidecarCut,
	"side-cut-core":      (*Fleet).sidecarCutFromCores,
	"side-freeze":        (*Fleet).sidecarFreeze,
	"side-kill":          (*Fleet).sidecarKill,
	"side-stop":          (*Fleet).sidecarStop,
}

const (
	firstFaultAfter = 8 * time.Second // of undisturbed traffic
	lastFaultBefore = 9 * time.Second // the end of the run
)

// FaultNames lists the names of all faults.
func FaultNames() []string { return slices.Sorted(maps.Keys(Faults)) }

// runFaults injects a series of faults in turn until the run is nearly over.
func (f *Fleet) runFaults(ctx context.Context, series []string) {
	f.sleep(ctx, firstFaultAfter)
	for i := 0; len(series) > 0 && ctx.Err() == nil; i++ {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < lastFaultBefore {
			return
		}
		name := series[i%len(series)]
		f.Logf("%6.1fs %s", time.Duration(f.now()).Seconds(), name)
		f.increment("fault " + name)
		Faults[name](f, ctx)
		f.sleep(ctx, f.FaultInterval)
	}
}

// sleep waits for a while, or until ctx ends.
func (f *Fleet) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordLoss notes a loss large enough that the traffic's recovery from it is judged.
func (f *Fleet) recordLoss(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Outages = append(f.Checker.Outages, invariant.Outage{At: f.now(), Name: name})
}

// forEach acts on all items at the same time and waits until it is done with all.
func forEach[T any](items []T, action func(T)) {
	var running sync.WaitGroup
	for _, item := range items {
		running.Go(func() { action(item) })
	}
	running.Wait()
}
