package scenario

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

func (r *Run) sidecarKill() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(300*time.Millisecond, 3*time.Second)
	r.Tracef("sidecar %s killed for %v", s.Node, duration)
	s.Kill()
	r.After(duration, s.Start)
	return duration
}

// sidecarRoll restarts a few sidecars one by one, each by a planned stop.
func (r *Run) sidecarRoll() time.Duration {
	r.Tracef("sidecars are rolled")
	for i := range 3 {
		s := r.Sidecars[(i+r.Rng.IntN(len(r.Sidecars)))%len(r.Sidecars)]
		r.After(time.Duration(i)*2500*time.Millisecond, func() {
			s.Stop(func() { r.After(300*time.Millisecond, s.Start) })
		})
	}
	return 8 * time.Second
}

func (r *Run) sidecarFreeze() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(300*time.Millisecond, 5*time.Second)
	r.Tracef("sidecar %s frozen for %v", s.Node, duration)
	s.Freeze(duration)
	return duration
}

func (r *Run) sidecarCut() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(500*time.Millisecond, 5*time.Second)
	direction := []string{"in", "out", "both"}[r.Rng.IntN(3)]
	r.Tracef("machine %s cut %s for %v", s.Node, direction, duration)
	r.Isolate([]ident.Addr{s.Addr}, direction, duration)
	return duration
}

func (r *Run) sidecarCutFromCores() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(500*time.Millisecond, 5*time.Second)
	var cores []ident.Addr
	for _, c := range r.Cores {
		cores = append(cores, c.Addr)
	}
	r.Tracef("machine %s cut from the core for %v", s.Node, duration)
	r.Partition([]ident.Addr{s.Addr}, cores, duration)
	return duration
}

func (r *Run) zoneCut() time.Duration {
	duration := r.randomDuration(time.Second, 5*time.Second)
	r.Tracef("a district is cut off for %v", duration)
	r.recordOutage("district")
	r.cutZone(duration)
	return duration
}

func (r *Run) cutZone(duration time.Duration) {
	zone := zoneOf(r.deployment, r.Rng.IntN(r.deployment.Zones))
	var addrs []ident.Addr
	for _, c := range r.Cores {
		if c.Zone == zone {
			addrs = append(addrs, c.Addr)
		}
	}
	for _, s := range r.Sidecars {
		if s.Zone == zone {
			addrs = append(addrs, s.Addr)
		}
	}
	r.Isolate(addrs, "both", duration)
}
