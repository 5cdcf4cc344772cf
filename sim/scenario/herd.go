package scenario

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/world"
)

const (
	// herdReadyDeadline is how soon after the return of a majority of the cores every sidecar must be
	// ready.
	herdReadyDeadline = 3 * time.Second
	// herdCheckInterval is how often it is looked whether a majority is there, and whether another
	// fault disturbs.
	herdCheckInterval = 20 * time.Millisecond
	// majorityTimeout is how long the return of a majority is waited for.
	majorityTimeout = 20 * time.Second
	// startSpread is how far the starts of machines lie apart whose power comes back at once.
	startSpread = 200 * time.Millisecond
)

// herdFaults are the faults that are only run when they are named, so that known seeds draw what
// they drew.
var herdFaults = map[string]Fault{
	"herd-sidecars": (*Run).herdSidecars,
	"herd-power":    (*Run).herdPower,
	"zone-power":    (*Run).zonePower,
}

// herdSidecars kills every sidecar; they come back together.
func (r *Run) herdSidecars() time.Duration {
	downtime := r.randomDuration(300*time.Millisecond, 2*time.Second)
	r.Tracef("all sidecars killed, back together in %v", downtime)
	return r.powerLoss(nil, r.Sidecars, downtime)
}

// herdPower takes the power of every machine; it comes back for all at once.
func (r *Run) herdPower() time.Duration {
	downtime := r.randomDuration(500*time.Millisecond, 3*time.Second)
	r.Tracef("all machines lose power for %v", downtime)
	return r.powerLoss(r.Cores, r.Sidecars, downtime)
}

// zonePower takes the power of every machine of a district.
func (r *Run) zonePower() time.Duration {
	zone := zoneOf(r.deployment, r.Rng.IntN(r.deployment.Zones))
	downtime := r.randomDuration(500*time.Millisecond, 3*time.Second)
	r.Tracef("all machines of %s lose power for %v", zone, downtime)
	var cores []*world.Core
	var sidecars []*world.Sidecar
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
	return r.powerLoss(cores, sidecars, downtime)
}

// powerLoss ends machines at once, starts them together after a while, and judges that the
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

// awaitMajority begins the judgement once a majority of the cores is there.
func (r *Run) awaitMajority(sidecars []*world.Sidecar, remaining time.Duration) {
	switch {
	case remaining <= 0:
		r.Checker.Excuse(invariant.HerdReady, "a majority of cores")
	case !r.HasMajority():
		r.After(herdCheckInterval, func() { r.awaitMajority(sidecars, remaining-herdCheckInterval) })
	default:
		herd := &sidecarHerd{sidecars: sidecars, generations: map[ident.Node]int{}, majorityAt: r.Now()}
		for _, s := range sidecars {
			herd.generations[s.Node] = s.Run()
		}
		r.checkHerd(herd)
	}
}

// sidecarHerd is a set of sidecars that came together.
type sidecarHerd struct {
	sidecars    []*world.Sidecar
	generations map[ident.Node]int // which run of each
	majorityAt  monotime.Time      // when a majority of the cores was there
	wasReady    bool               // all were ready once
}

// notReady counts those that are not ready.
func (h *sidecarHerd) notReady() (n int) {
	for _, s := range h.sidecars {
		if !s.Ready() {
			n++
		}
	}
	return n
}

// checkHerd watches until the time is over; a fault that disturbs excuses.
func (r *Run) checkHerd(herd *sidecarHerd) {
	if !r.Undisturbed() {
		r.Checker.Excuse(invariant.HerdReady, "another fault")
		return
	}
	elapsed := r.Now().Since(herd.majorityAt)
	if !herd.wasReady && herd.notReady() == 0 {
		herd.wasReady = true
		r.Tracef("all %d sidecars were ready %v after the majority", len(herd.sidecars), elapsed)
	}
	if elapsed < herdReadyDeadline {
		r.After(herdCheckInterval, func() { r.checkHerd(herd) })
		return
	}
	late := 0
	for _, s := range herd.sidecars {
		if s.Run() != herd.generations[s.Node] || !s.Running() {
			r.Checker.Excuse(invariant.HerdReady, "a fault of its own")
			continue
		}
		r.Checker.Observe(invariant.HerdReady)
		if !s.Ready() {
			late++
		}
	}
	if late > 0 {
		r.Violate(invariant.HerdReady, "%d of %d sidecars were not ready %v after a majority of the cores was there", late, len(herd.sidecars), herdReadyDeadline)
	}
}
