package scenario

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/world"
)

// Fault injects a fault into a run and returns how long the fault lasts.
type Fault func(r *Run) time.Duration

// Faults holds all faults by name.
var Faults map[string]Fault

func init() {
	Faults = map[string]Fault{
		"core-kill":   func(r *Run) time.Duration { return r.coreRestart(false, false) },
		"core-power":  func(r *Run) time.Duration { return r.coreRestart(true, false) },
		"core-empty":  func(r *Run) time.Duration { return r.coreRestart(true, true) },
		"core-freeze": (*Run).coreFreeze,
		"core-slow-disk": func(r *Run) time.Duration {
			return r.coreSlowDisk(time.Duration(20+r.Rng.IntN(200)) * time.Millisecond)
		},
		"core-stall-disk":  func(r *Run) time.Duration { return r.coreSlowDisk(time.Duration(2+r.Rng.IntN(4)) * time.Second) },
		"core-fail-disk":   (*Run).coreFailDisk,
		"core-cut":         (*Run).coreIsolation,
		"core-split":       (*Run).coreSplit,
		"core-isolated":    (*Run).coreSidecarPartition,
		"core-roll":        (*Run).coreRollingRestart,
		"side-roll":        (*Run).sidecarRollingRestart,
		"side-kill":        (*Run).sidecarRestart,
		"side-freeze":      (*Run).sidecarFreeze,
		"side-cut":         (*Run).sidecarIsolation,
		"side-cut-core":    (*Run).sidecarCorePartition,
		"district-cut":     (*Run).zoneIsolation,
		"endpoint-replace": (*Run).endpointReplace,
		"endpoint-reuse":   (*Run).endpointReuse,
		"endpoint-freeze":  (*Run).endpointFrozenReuse,
		"endpoint-bad":     (*Run).endpointBadResponses,
		"endpoint-hang":    (*Run).endpointHang,
		"endpoint-gone":    (*Run).endpointRemove,
		"service-empty":    (*Run).serviceReplaceAll,
		"machine-suspend":  (*Run).machineSuspend,
		"clock-jump":       (*Run).clockJump,
		"manifest-large":   (*Run).largeProposal,
		"isolated-restart": (*Run).restartWithoutCores,
		"release-bad":      (*Run).badRelease,
		"crowd":            (*Run).trafficSurge,
		"overload":         (*Run).overload,
		"herd":             (*Run).massRestart,
		"burst":            (*Run).proposalBurst,
	}
	maps.Copy(Faults, platformFaults)
	maps.Copy(Faults, herdFaults)
	maps.Copy(Faults, partitionFaults)
	maps.Copy(Faults, explicitFaults)
}

// explicitFaults are further faults that run only if they are selected by name, so that known seeds
// still select the same faults.
var explicitFaults = map[string]Fault{
	"manifest-storm":     (*Run).proposalStorm,
	"endpoint-late-beat": (*Run).endpointLateHeartbeat,
}

// platformFaults are random faults only of runs with Options.Platform: with more names to select from,
// known seeds of other runs would select other faults.
var platformFaults = map[string]Fault{
	"core-kill-power": (*Run).coreKillPower,
	"endpoint-slow":   (*Run).endpointSlow,
	"endpoint-fails":  (*Run).endpointFailures,
}

// randomFaultNames returns the faults that random faults are selected from if Options.Faults is empty.
func (r *Run) randomFaultNames() []string {
	names := slices.DeleteFunc(FaultNames(), func(n string) bool {
		return herdFaults[n] != nil || partitionFaults[n] != nil || explicitFaults[n] != nil
	})
	if !r.Platform {
		names = slices.DeleteFunc(names, func(n string) bool { return platformFaults[n] != nil })
	}
	return names
}

// injectRandomFaults injects one random fault after the other until the end. Sometimes two faults
// overlap.
func (r *Run) injectRandomFaults(end monotime.Time) {
	names := r.options.Faults
	if len(names) == 0 {
		names = r.randomFaultNames()
	}
	interval := r.options.FaultInterval
	if interval == 0 {
		interval = 2 * time.Second
	}
	var next func()
	next = func() {
		if r.Now() >= end.Add(-3*time.Second) {
			return
		}
		name := names[r.Rng.IntN(len(names))]
		duration := Faults[name](r)
		if r.Rng.IntN(5) == 0 { // the next fault overlaps this fault
			duration = time.Duration(r.Rng.Int64N(int64(duration) + 1))
		}
		r.After(duration+time.Duration(r.Rng.Int64N(int64(interval))), next)
	}
	r.After(time.Second, next)
}

// recordOutage records that an outage begins, after which the mesh must recover.
func (r *Run) recordOutage(name string) {
	r.Checker.Outages = append(r.Checker.Outages, invariant.Outage{At: r.Now(), Name: name})
}

// randomDuration returns a random duration of at least low and less than high.
func (r *Run) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.Rng.Int64N(int64(high-low)))
}

// randomDirection returns the random direction of a partition.
func (r *Run) randomDirection() world.Direction {
	return world.Directions[r.Rng.IntN(len(world.Directions))]
}

func (r *Run) randomCore() *world.Core       { return r.Cores[r.Rng.IntN(len(r.Cores))] }
func (r *Run) randomSidecar() *world.Sidecar { return r.Sidecars[r.Rng.IntN(len(r.Sidecars))] }

// allCoresHealthy reports whether all cores are healthy. Only then a fault may take a core down.
func (r *Run) allCoresHealthy() bool {
	for _, c := range r.Cores {
		if !c.Healthy() {
			return false
		}
	}
	return true
}

// machinesIn returns the cores and the sidecars of a zone.
func (r *Run) machinesIn(zone ident.Zone) (cores []*world.Core, sidecars []*world.Sidecar) {
	for _, c := range r.Cores {
		if c.Zone == zone {
			cores = append(cores, c)
		}
	}
	for _, s := range r.Sidecars {
		if s.Zone == zone {
			sidecars = append(sidecars, s)
		}
	}
	return cores, sidecars
}

func coreAddrs(cores []*world.Core) []ident.Addr {
	var addrs []ident.Addr
	for _, c := range cores {
		addrs = append(addrs, c.Addr)
	}
	return addrs
}

func sidecarAddrs(sidecars []*world.Sidecar) []ident.Addr {
	var addrs []ident.Addr
	for _, s := range sidecars {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}
