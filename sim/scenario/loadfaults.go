package scenario

import (
	"time"

	"cottonarch.example/cottonarch/sim/world"
)

// trafficSurge triples the request rate for a random time.
func (r *Run) trafficSurge() time.Duration {
	duration := r.randomDuration(2*time.Second, 5*time.Second)
	r.Tracef("a surge of requests for %v", duration)
	r.requestRate *= 3
	r.After(duration, func() { r.requestRate /= 3 })
	return duration
}

// massRestart kills half of the sidecars and one core at the same time, and starts them again.
func (r *Run) massRestart() time.Duration {
	r.Tracef("half of the sidecars are killed")
	r.recordOutage("herd")
	for i, s := range r.Sidecars {
		if i%2 == 0 {
			s.Kill()
			r.After(r.randomDuration(time.Second, 3*time.Second), s.Start)
		}
	}
	if r.allCoresHealthy() {
		c := r.randomCore()
		c.Kill(true)
		r.After(2*time.Second, c.Start)
	}
	return 6 * time.Second
}

// finalOutage is the last fault of a run: every core loses power at the same time, and half of the
// sidecars are killed.
func (r *Run) finalOutage() {
	r.Tracef("final outage: all cores lose power, half of the sidecars are killed")
	r.recordOutage("final outage")
	for _, c := range r.Cores {
		c.Kill(true)
		r.After(r.randomDuration(time.Second, 3*time.Second), c.Start)
	}
	for i, s := range r.Sidecars {
		if i%2 == 0 {
			s.Kill()
			if r.options.Mutant != world.MutantNoRestart {
				r.After(r.randomDuration(time.Second, 3*time.Second), s.Start)
			}
		}
	}
	if r.options.Mutant == world.MutantNoRestart {
		for _, s := range r.Sidecars {
			s.Kill()
		}
	}
}

// proposalBurst proposes twelve configurations, 20 ms apart.
func (r *Run) proposalBurst() time.Duration {
	r.Tracef("a burst of proposals")
	for i := range 12 {
		r.After(time.Duration(i)*20*time.Millisecond, r.operators.Propose)
	}
	return time.Second
}

// proposalStorm proposes configurations in quick succession, for longer than invariant.ConfigDeadline,
// the time within which every sidecar must apply a configuration.
func (r *Run) proposalStorm() time.Duration {
	const interval, proposals = 50 * time.Millisecond, 80
	r.Tracef("%d proposals, %v apart", proposals, interval)
	for i := range time.Duration(proposals) {
		r.After(i*interval, r.operators.Propose)
	}
	return proposals * interval
}

// largeProposal proposes a very large configuration.
func (r *Run) largeProposal() time.Duration {
	r.Tracef("proposal of a very large configuration")
	r.largeConfig = true
	r.operators.Propose()
	r.largeConfig = false
	return time.Second
}

// overload multiplies the request rate by five while all endpoints of one service are slow, so that
// more requests arrive than the sidecars can send.
func (r *Run) overload() time.Duration {
	duration := r.randomDuration(2*time.Second, 5*time.Second)
	service := r.deployment.RequestKinds[0].Service
	r.Tracef("requests at five times the rate for %v, and every endpoint of %s is slow", duration, service)
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
