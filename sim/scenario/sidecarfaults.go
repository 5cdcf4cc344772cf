package scenario

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// sidecarRestart kills a sidecar and starts the sidecar again after a random time.
func (r *Run) sidecarRestart() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(300*time.Millisecond, 3*time.Second)
	r.Tracef("sidecar %s killed for %v", s.Node, duration)
	s.Kill()
	r.After(duration, s.Start)
	return duration
}

// sidecarRollingRestart restarts three random sidecars, not necessarily distinct, one after the other,
// each by a planned stop.
func (r *Run) sidecarRollingRestart() time.Duration {
	r.Tracef("rolling restart of sidecars")
	for i := range 3 {
		s := r.Sidecars[(i+r.Rng.IntN(len(r.Sidecars)))%len(r.Sidecars)]
		r.After(time.Duration(i)*2500*time.Millisecond, func() {
			s.Stop(func() { r.After(300*time.Millisecond, s.Start) })
		})
	}
	return 8 * time.Second
}

// sidecarFreeze freezes a sidecar for a random time.
func (r *Run) sidecarFreeze() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(300*time.Millisecond, 5*time.Second)
	r.Tracef("sidecar %s frozen for %v", s.Node, duration)
	s.Freeze(duration)
	return duration
}

// sidecarIsolation isolates the machine of a sidecar from all other machines for a random time, in a
// random direction.
func (r *Run) sidecarIsolation() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(500*time.Millisecond, 5*time.Second)
	direction := r.randomDirection()
	r.Tracef("machine %s isolated %s for %v", s.Node, direction, duration)
	r.Isolate([]ident.Addr{s.Addr}, direction, duration)
	return duration
}

// sidecarCorePartition partitions a sidecar from all cores for a random time.
func (r *Run) sidecarCorePartition() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(500*time.Millisecond, 5*time.Second)
	r.Tracef("machine %s partitioned from all cores for %v", s.Node, duration)
	r.Partition([]ident.Addr{s.Addr}, coreAddrs(r.Cores), duration)
	return duration
}

// zoneIsolation isolates a random zone for a random time and records an outage.
func (r *Run) zoneIsolation() time.Duration {
	duration := r.randomDuration(time.Second, 5*time.Second)
	r.Tracef("a zone is isolated for %v", duration)
	r.recordOutage("zone")
	r.isolateZone(duration)
	return duration
}

// isolateZone isolates the machines of a random zone from all other machines.
func (r *Run) isolateZone(duration time.Duration) {
	zone := r.deployment.zoneOf(r.Rng.IntN(r.deployment.Zones))
	cores, sidecars := r.machinesIn(zone)
	r.Isolate(append(coreAddrs(cores), sidecarAddrs(sidecars)...), world.BothWays, duration)
}
