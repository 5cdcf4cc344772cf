package scenario

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/world"
)

const (
	// herdReadyDeadline is the maximum time from when a majority of the cores is available until
	// every sidecar of the herd must be ready.
	herdReadyDeadline = 3 * time.Second
	// herdCheckInterval is the interval of the checks for a majority of the cores, for ready sidecars
	// and for faults of cores and links.
	herdCheckInterval = 20 * time.Millisecond
	// majorityTimeout is the maximum wait for a majority of the cores.
	majorityTimeout = 20 * time.Second
	// startSpread is the maximum difference between the start times of machines whose power returns at
	// the same time.
	startSpread = 200 * time.Millisecond
)

// herdFaults are faults after which many sidecars, a herd, join at the same time. Random selection
// excludes these faults, so that known seeds still select the same faults from the other faults.
var herdFaults = map[string]Fault{
	"herd-sidecars": (*Run).herdSidecars,
	"herd-power":    (*Run).herdPower,
	"zone-power":    (*Run).zonePower,
}

// herdSidecars kills every sidecar and starts all sidecars at the same time.
func (r *Run) herdSidecars() time.Duration {
	downtime := r.randomDuration(300*time.Millisecond, 2*time.Second)
	r.Tracef("all sidecars killed, all start again in %v", downtime)
	return r.powerLoss(nil, r.Sidecars, downtime)
}

// herdPower cuts the power of every machine and restores the power of all machines at the same time.
func (r *Run) herdPower() time.Duration {
	downtime := r.randomDuration(500*time.Millisecond, 3*time.Second)
	r.Tracef("all machines lose power for %v", downtime)
	return r.powerLoss(r.Cores, r.Sidecars, downtime)
}

// zonePower cuts the power of every machine of a zone and restores the power of all these machines at
// the same time.
func (r *Run) zonePower() time.Duration {
	zone := r.deployment.zoneOf(r.Rng.IntN(r.deployment.Zones))
	downtime := r.randomDuration(500*time.Millisecond, 3*time.Second)
	r.Tracef("all machines of %s lose power for %v", zone, downtime)
	cores, sidecars := r.machinesIn(zone)
	return r.powerLoss(cores, sidecars, downtime)
}

// powerLoss stops cores and sidecars abruptly, starts all of them again after a downtime, and checks
// that the sidecars are ready in time.
func (r *Run) powerLoss(cores []*world.Core, sidecars []*world.Sidecar, downtime time.Duration) time.Duration {
	r.recordOutage("herd")
	for _, c := range cores {
		c.PowerOff()
		r.After(downtime+r.randomDuration(0, startSpread), c.Start)
	}
	for _, s := range sidecars {
		s.Kill()
		r.After(downtime+r.randomDuration(0, startSpread), s.Start)
	}
	r.After(downtime+startSpread, func() { r.awaitMajority(sidecars, majorityTimeout) })
	return downtime + startSpread + 2*herdReadyDeadline
}

// awaitMajority waits for a majority of the cores and then begins to watch the sidecars.
func (r *Run) awaitMajority(sidecars []*world.Sidecar, remaining time.Duration) {
	switch {
	case remaining <= 0:
		r.Checker.Excuse(invariant.HerdReady, "a majority of cores")
	case !r.HasMajority():
		r.After(herdCheckInterval, func() { r.awaitMajority(sidecars, remaining-herdCheckInterval) })
	default:
		herd := &sidecarHerd{sidecars: sidecars, generations: map[ident.Node]int{}, majorityAt: r.Now()}
		for _, s := range sidecars {
			herd.generations[s.Node] = s.Generation()
		}
		r.watchHerd(herd)
	}
}

// sidecarHerd is a set of sidecars that start at the same time.
type sidecarHerd struct {
	sidecars    []*world.Sidecar
	generations map[ident.Node]int // generation of each sidecar when the check began
	majorityAt  monotime.Time      // when a majority of the cores was available
	becameReady bool               // all sidecars have been ready at the same time
}

// allReady reports whether all sidecars are ready.
func (h *sidecarHerd) allReady() bool {
	for _, s := range h.sidecars {
		if !s.Ready() {
			return false
		}
	}
	return true
}

// watchHerd watches the sidecars until herdReadyDeadline. A fault of a core or a link meanwhile excuses
// the whole herd.
func (r *Run) watchHerd(h *sidecarHerd) {
	if !r.CoresAndLinksHealthy() {
		r.Checker.Excuse(invariant.HerdReady, "another fault")
		return
	}
	elapsed := r.Now().Since(h.majorityAt)
	if !h.becameReady && h.allReady() {
		h.becameReady = true
		r.Tracef("all %d sidecars were ready %v after a majority of the cores was available", len(h.sidecars), elapsed)
	}
	if elapsed < herdReadyDeadline {
		r.After(herdCheckInterval, func() { r.watchHerd(h) })
		return
	}
	r.checkHerdReady(h)
}

// checkHerdReady checks that the sidecars are ready. Sidecars that another fault stopped or restarted
// are excused.
func (r *Run) checkHerdReady(h *sidecarHerd) {
	late := 0
	for _, s := range h.sidecars {
		if s.Generation() != h.generations[s.Node] || !s.Running() {
			r.Checker.Excuse(invariant.HerdReady, "a fault of its own")
			continue
		}
		r.Checker.Observe(invariant.HerdReady)
		if !s.Ready() {
			late++
		}
	}
	if late > 0 {
		r.Violate(invariant.HerdReady, "%d of %d sidecars were not ready %v after a majority of the cores was available", late, len(h.sidecars), herdReadyDeadline)
	}
}
