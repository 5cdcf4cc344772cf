package scenario

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/world"
)

const (
	// herdReadyDeadline is how soon after a majority of the cores is back every sidecar must
	// be ready.
	herdReadyDeadline = 3 * time.Second
	// herdCheckInterval is how often it is checked whether a majority is back, and whether
	// another fault disturbs.
	herdCheckInterval = 20 * time.Millisecond
	// majorityTimeout is how long a majority is waited for.
	majorityTimeout = 20 * time.Second
	// startSpread is how far the starts of machines lie apart whose power comes back at once.
	startSpread = 200 * time.Millisecond
)

// herdFaults are faults after which many sidecars join together. No run draws them, so known
// seeds draw what they always drew.
var herdFaults = map[string]Fault{
	"herd-sidecars": (*Run).herdSidecars,
	"herd-power":    (*Run).herdPower,
	"zone-power":    (*Run).zonePower,
}

// herdSidecars kills every sidecar and starts them together.
func (r *Run) herdSidecars() time.Duration {
	downtime := r.randomDuration(300*time.Millisecond, 2*time.Second)
	r.Tracef("all sidecars killed, back together in %v", downtime)
	return r.powerLoss(nil, r.Sidecars, downtime)
}

// herdPower takes the power of every machine; it comes back at once.
func (r *Run) herdPower() time.Duration {
	downtime := r.randomDuration(500*time.Millisecond, 3*time.Second)
	r.Tracef("all machines lose power for %v", downtime)
	return r.powerLoss(r.Cores, r.Sidecars, downtime)
}

// zonePower takes the power of every machine of a zone.
func (r *Run) zonePower() time.Duration {
	zone := r.deployment.zoneOf(r.Rng.IntN(r.deployment.Zones))
	downtime := r.randomDuration(500*time.Millisecond, 3*time.Second)
	r.Tracef("all machines of %s lose power for %v", zone, downtime)
	cores, sidecars := r.machinesIn(zone)
	return r.powerLoss(cores, sidecars, downtime)
}

// powerLoss ends machines at once, starts them together after a downtime, and checks that the
// sidecars are ready in time.
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

// awaitMajority begins the check once a majority of the cores is back.
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
		r.checkHerd(herd)
	}
}

// sidecarHerd is a set of sidecars that started together.
type sidecarHerd struct {
	sidecars    []*world.Sidecar
	generations map[ident.Node]int // of each when the check began
	majorityAt  monotime.Time      // when a majority of the cores was back
	wasReady    bool               // all were ready once
}

// allReady tells whether all sidecars are ready.
func (h *sidecarHerd) allReady() bool {
	for _, s := range h.sidecars {
		if !s.Ready() {
			return false
		}
	}
	return true
}

// checkHerd watches the sidecars until the deadline; another fault excuses them.
func (r *Run) checkHerd(h *sidecarHerd) {
	if !r.CoresAndLinksHealthy() {
		r.Checker.Excuse(invariant.HerdReady, "another fault")
		return
	}
	elapsed := r.Now().Since(h.majorityAt)
	if !h.wasReady && h.allReady() {
		h.wasReady = true
		r.Tracef("all %d sidecars were ready %v after the majority", len(h.sidecars), elapsed)
	}
	if elapsed < herdReadyDeadline {
		r.After(herdCheckInterval, func() { r.checkHerd(h) })
		return
	}
	r.judgeHerd(h)
}

// judgeHerd checks that the sidecars are ready, but for those with a fault of their own.
func (r *Run) judgeHerd(h *sidecarHerd) {
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
		r.Violate(invariant.HerdReady, "%d of %d sidecars were not ready %v after a majority of the cores was there", late, len(h.sidecars), herdReadyDeadline)
	}
}
