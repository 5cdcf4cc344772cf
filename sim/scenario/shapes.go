package scenario

import (
	"slices"
	"time"
)

// isolatedRestart cuts the core from all sidecars and restarts some of them meanwhile:
// they have nobody to ask but their peers.
func (r *Run) isolatedRestart() time.Duration {
	duration := r.coreIsolated()
	for range 1 + r.Rng.IntN(4) {
		r.After(r.randomDuration(0, duration), func() { r.sidecarKill() })
	}
	return duration + 2*time.Second
}

// machineSuspend suspends an application machine, endpoints and all, and resumes it. Its
// clock runs on, or stands still with the rest.
func (r *Run) machineSuspend() time.Duration {
	s, duration := r.randomSidecar(), r.randomDuration(300*time.Millisecond, 20*time.Second)
	clockStops := r.Rng.IntN(2) == 0
	r.Tracef("machine %s suspended for %v, clock stands %v", s.Node, duration, clockStops)
	for _, e := range s.Endpoints {
		e.Hang(duration)
	}
	if clockStops {
		s.Suspend(duration)
	} else {
		s.Freeze(duration)
	}
	return duration
}

// clockJump makes the clock of a machine jump forward.
func (r *Run) clockJump() time.Duration {
	duration := r.randomDuration(100*time.Millisecond, 90*time.Second)
	if r.Rng.IntN(2) == 0 {
		c := r.randomCore()
		r.Tracef("clock of core %s jumps by %v", c.Addr, duration)
		c.JumpClock(duration)
	} else {
		s := r.randomSidecar()
		r.Tracef("clock of sidecar %s jumps by %v", s.Node, duration)
		s.JumpClock(duration)
	}
	return time.Second
}

// endpointHang makes an endpoint hang, connections still taken, and wake.
func (r *Run) endpointHang() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	duration := r.randomDuration(500*time.Millisecond, 9*time.Second)
	r.Tracef("endpoint %s hangs for %v", e.Server, duration)
	e.Hang(duration)
	return duration
}

// endpointGone removes an endpoint for good, if its service keeps two.
func (r *Run) endpointGone() time.Duration {
	e := r.randomEndpoint(3)
	if e == nil {
		return 0
	}
	r.Tracef("endpoint %s leaves for good", e.Server)
	e.Leave(r.randomDuration(100*time.Millisecond, 3*time.Second), nil)
	return time.Second
}

// serviceEmpty ends every endpoint of a service, as planned or without a word, and fills
// the service again.
func (r *Run) serviceEmpty() time.Duration {
	service := r.deployment.Services[r.Rng.IntN(len(r.deployment.Services))].Name
	duration, planned := r.randomDuration(500*time.Millisecond, 6*time.Second), r.Rng.IntN(2) == 0
	r.Tracef("every endpoint of %s ends, planned %v, new ones in %v", service, planned, duration)
	r.recordOutage("all endpoints of a service")
	for _, s := range r.Sidecars {
		for _, e := range slices.Clone(s.Endpoints) {
			if e.Service != service {
				continue
			}
			if planned {
				e.Leave(r.randomDuration(100*time.Millisecond, 2*time.Second), nil)
			} else {
				e.Kill()
			}
			r.After(duration, func() { r.startEndpoint(s, service, "") })
		}
	}
	return duration + time.Second
}

// configLarge offers a very large manifest.
func (r *Run) configLarge() time.Duration {
	r.Tracef("a very large manifest")
	r.largeConfig = true
	r.operators.Propose()
	r.largeConfig = false
	return time.Second
}

// overload is a crowd at a service that has become slow: more comes than can be sent.
func (r *Run) overload() time.Duration {
	duration := r.randomDuration(2*time.Second, 5*time.Second)
	service := r.deployment.RequestKinds[0].Service
	r.Tracef("a crowd of five times the rate for %v, and every endpoint of %s is slow", duration, service)
	r.requestRate *= 5
	for _, s := range r.Sidecars {
		for _, e := range s.Endpoints {
			if e.Service == service {
				old := e.Behavior.ServiceTime
				e.Behavior.ServiceTime = 2500 * time.Millisecond
				r.After(duration, func() { e.Behavior.ServiceTime = old })
			}
		}
	}
	r.After(duration, func() { r.requestRate /= 5 })
	return duration + time.Second
}
