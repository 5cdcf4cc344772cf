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

// Fault brings a fault about and returns how long it lasts.
type Fault func(r *Run) time.Duration

// Faults are all faults by name.
var Faults map[string]Fault

func init() {
	Faults = map[string]Fault{
		"core-kill":   func(r *Run) time.Duration { return r.coreDown(false, false) },
		"core-power":  func(r *Run) time.Duration { return r.coreDown(true, false) },
		"core-empty":  func(r *Run) time.Duration { return r.coreDown(true, true) },
		"core-freeze": (*Run).coreFreeze,
		"core-slow-disk": func(r *Run) time.Duration {
			return r.coreSlowDisk(time.Duration(20+r.Rng.IntN(200)) * time.Millisecond)
		},
		"core-stall-disk":  func(r *Run) time.Duration { return r.coreSlowDisk(time.Duration(2+r.Rng.IntN(4)) * time.Second) },
		"core-fail-disk":   (*Run).coreFailDisk,
		"core-cut":         (*Run).coreCut,
		"core-split":       (*Run).coreSplit,
		"core-isolated":    (*Run).coreIsolated,
		"core-roll":        (*Run).coreRoll,
		"side-roll":        (*Run).sidecarRoll,
		"side-kill":        (*Run).sidecarKill,
		"side-freeze":      (*Run).sidecarFreeze,
		"side-cut":         (*Run).sidecarCut,
		"side-cut-core":    (*Run).sidecarCutFromCores,
		"district-cut":     (*Run).zoneCut,
		"endpoint-replace": (*Run).endpointReplace,
		"endpoint-reuse":   (*Run).endpointReuse,
		"endpoint-freeze":  (*Run).endpointFrozenReuse,
		"endpoint-bad":     (*Run).endpointBad,
		"endpoint-hang":    (*Run).endpointHang,
		"endpoint-gone":    (*Run).endpointGone,
		"service-empty":    (*Run).serviceEmpty,
		"machine-suspend":  (*Run).machineSuspend,
		"clock-jump":       (*Run).clockJump,
		"manifest-large":   (*Run).configLarge,
		"isolated-restart": (*Run).isolatedRestart,
		"release-bad":      (*Run).badRelease,
		"crowd":            (*Run).trafficSurge,
		"overload":         (*Run).overload,
		"herd":             (*Run).herd,
		"burst":            (*Run).burst,
	}
	maps.Copy(Faults, platformFaults)
	maps.Copy(Faults, herdFaults)
	maps.Copy(Faults, partitionFaults)
	maps.Copy(Faults, namedFaults)
}

// namedFaults are further faults that run only if they are named, so that known seeds draw what they
// always drew.
var namedFaults = map[string]Fault{
	"manifest-storm":     (*Run).configStorm,
	"endpoint-late-beat": (*Run).endpointLateHeartbeat,
}

// platformFaults are faults that only worlds of the platform's kind draw: with more names, known
// seeds would draw other faults.
var platformFaults = map[string]Fault{
	"core-kill-power": (*Run).coreKillPower,
	"endpoint-slow":   (*Run).endpointSlow,
	"endpoint-fails":  (*Run).endpointFails,
}

// drawableFaults lists the faults that this run draws from if none are named.
func (r *Run) drawableFaults() []string {
	names := slices.DeleteFunc(FaultNames(), func(n string) bool { return herdFaults[n] != nil || partitionFaults[n] != nil || namedFaults[n] != nil })
	if !r.Platform {
		names = slices.DeleteFunc(names, func(n string) bool { return platformFaults[n] != nil })
	}
	return names
}

// injectFaults draws one fault after the other until the end; sometimes two overlap.
func (r *Run) injectFaults(end monotime.Time) {
	names := r.options.Faults
	if len(names) == 0 {
		names = r.drawableFaults()
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
		if r.Rng.IntN(5) == 0 { // together with the next one
			duration = time.Duration(r.Rng.Int64N(int64(duration) + 1))
		}
		r.After(duration+time.Duration(r.Rng.Int64N(int64(interval))), next)
	}
	r.After(time.Second, next)
}

// recordOutage notes that an outage begins, after which service must recover.
func (r *Run) recordOutage(name string) {
	r.Checker.Outages = append(r.Checker.Outages, invariant.Outage{At: r.Now(), Name: name})
}

// randomDuration draws a duration from low up to, but not including, high.
func (r *Run) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.Rng.Int64N(int64(high-low)))
}

// randomDirection draws the direction of a cut.
func (r *Run) randomDirection() world.Direction {
	return world.Directions[r.Rng.IntN(len(world.Directions))]
}

func (r *Run) randomCore() *world.Core       { return r.Cores[r.Rng.IntN(len(r.Cores))] }
func (r *Run) randomSidecar() *world.Sidecar { return r.Sidecars[r.Rng.IntN(len(r.Sidecars))] }

// allCoresHealthy tells whether all cores are healthy, so that one may be lost.
func (r *Run) allCoresHealthy() bool {
	for _, c := range r.Cores {
		if !c.Healthy() {
			return false
		}
	}
	return true
}

// machinesIn lists the machines of a zone.
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
