package scenario

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// sidecarKill kills a sidecar and starts it again.
func (r *Run) sidecarKill() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(300*time.Millisecond, 3*time.Second)
	r.Tracef("sidecar %s killed for %v", s.Node, duration)
	s.Kill()
	r.After(duration, s.Start)
	return duration
}

// sidecarRoll restarts a few sidecars one by one, each by a planned stop.
func (r *Run) sidecarRoll() time.Duration {
	r.Tracef("sidecars are restarted one by one")
	for i := range 3 {
		s := r.Sidecars[(i+r.Rng.IntN(len(r.Sidecars)))%len(r.Sidecars)]
		r.After(time.Duration(i)*2500*time.Millisecond, func() {
			s.Stop(func() { r.After(300*time.Millisecond, s.Start) })
		})
	}
	return 8 * time.Second
}

// sidecarFreeze freezes a sidecar for a while.
func (r *Run) sidecarFreeze() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(300*time.Millisecond, 5*time.Second)
	r.Tracef("sidecar %s frozen for %v", s.Node, duration)
	s.Freeze(duration)
	return duration
}

// sidecarCut cuts a sidecar from all other machines for a while, in some direction.
func (r *Run) sidecarCut() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(500*time.Millisecond, 5*time.Second)
	direction := r.randomDirection()
	r.Tracef("machine %s cut %s for %v", s.Node, direction, duration)
	r.Isolate([]ident.Addr{s.Addr}, direction, duration)
	return duration
}

// sidecarCutFromCores cuts a sidecar from all cores for a while.
func (r *Run) sidecarCutFromCores() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(500*time.Millisecond, 5*time.Second)
	r.Tracef("machine %s cut from the core for %v", s.Node, duration)
	r.Partition([]ident.Addr{s.Addr}, coreAddrs(r.Cores), duration)
	return duration
}

// zoneCut cuts a zone off for a while, as an outage.
func (r *Run) zoneCut() time.Duration {
	duration := r.randomDuration(time.Second, 5*time.Second)
	r.Tracef("a zone is cut off for %v", duration)
	r.recordOutage("zone")
	r.cutZone(duration)
	return duration
}

// cutZone cuts some zone off for a while.
func (r *Run) cutZone(duration time.Duration) {
	zone := r.deployment.zoneOf(r.Rng.IntN(r.deployment.Zones))
	cores, sidecars := r.machinesIn(zone)
	r.Isolate(append(coreAddrs(cores), sidecarAddrs(sidecars)...), world.BothWays, duration)
}
