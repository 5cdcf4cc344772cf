package scenario

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// randomReplicatedEndpoint returns a random endpoint whose service has at least two endpoints, or nil.
func (r *Run) randomReplicatedEndpoint() *world.Endpoint { return r.randomEndpoint(2) }

// randomEndpoint returns a random endpoint whose service has at least minReplicas endpoints, or nil.
func (r *Run) randomEndpoint(minReplicas int) *world.Endpoint {
	count := map[ident.Service]int{}
	var endpoints []*world.Endpoint
	for _, s := range r.Sidecars {
		for _, e := range s.Endpoints {
			count[e.Service]++
			endpoints = append(endpoints, e)
		}
	}
	var eligible []*world.Endpoint
	for _, e := range endpoints {
		if count[e.Service] >= minReplicas {
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	return eligible[r.Rng.IntN(len(eligible))]
}

// endpointSlow multiplies the service time of an endpoint by ten, so that requests queue.
func (r *Run) endpointSlow() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	duration, old := r.randomDuration(time.Second, 5*time.Second), e.Behavior.ServiceTime
	r.Tracef("endpoint %s is slow for %v", e.Server, duration)
	e.Behavior.ServiceTime = 10 * old
	r.After(duration, func() { e.Behavior.ServiceTime = old })
	return duration
}

// endpointFailures makes most responses of an endpoint report a failure.
func (r *Run) endpointFailures() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	duration, old := r.randomDuration(time.Second, 5*time.Second), e.Behavior.FailureRate
	r.Tracef("endpoint %s reports failures for %v", e.Server, duration)
	e.Behavior.FailureRate = 0.7
	r.After(duration, func() { e.Behavior.FailureRate = old })
	return duration
}

// endpointReplace drains an endpoint and starts a new endpoint in its place.
func (r *Run) endpointReplace() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	r.Tracef("endpoint %s leaves and is replaced", e.Server)
	s, service := e.Sidecar, e.Service
	e.Leave(r.randomDuration(2500*time.Millisecond, 6*time.Second), func() { r.startEndpoint(s, service, "") })
	return 3 * time.Second
}

// endpointLateHeartbeat has an endpoint sign off, that is, report that it is gone, but continue to
// serve, while a heartbeat that the endpoint sent before the sign-off arrives seconds later. With Options.Platform, where sidecars can
// ask endpoints whether they are healthy, the sidecar may be restarted in between.
func (r *Run) endpointLateHeartbeat() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	lateness := r.randomDuration(time.Second, 12*time.Second)
	s, service := e.Sidecar, e.Service
	restart := r.Platform && r.Rng.IntN(2) == 0
	r.Tracef("endpoint %s signs off; an earlier heartbeat arrives %v later; its sidecar is restarted: %v", e.Server, lateness, restart)
	e.SignOffBeforeDrain(lateness, lateness+4*time.Second, func() { r.startEndpoint(s, service, "") })
	if restart {
		r.After(lateness/3, s.Kill)
		r.After(lateness*2/3, s.Start)
	}
	return lateness + 5*time.Second
}

// endpointReuse kills an endpoint and starts an endpoint of a random service at the same address.
func (r *Run) endpointReuse() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	s, old, addr := e.Sidecar, e.Service, e.Addr
	other := r.deployment.Services[r.Rng.IntN(len(r.deployment.Services))].Name
	r.Tracef("endpoint %s is killed; its address %s passes to a new endpoint of %s in 2s", e.Server, addr, other)
	e.Kill()
	r.After(2*time.Second, func() { r.startEndpoint(s, other, addr) })
	r.After(3*time.Second, func() { r.startEndpoint(s, old, "") })
	return 4 * time.Second
}

// endpointFrozenReuse freezes the sidecar of one endpoint and runs the endpointReuse fault meanwhile.
func (r *Run) endpointFrozenReuse() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	duration := r.randomDuration(1800*time.Millisecond, 3*time.Second)
	e.Sidecar.Freeze(duration)
	return r.endpointReuse()
}

// endpointBadResponses makes an endpoint lose and corrupt many responses.
func (r *Run) endpointBadResponses() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	duration := r.randomDuration(time.Second, 5*time.Second)
	old := e.Behavior
	r.Tracef("endpoint %s loses and corrupts responses for %v", e.Server, duration)
	e.Behavior.NoResponseRate, e.Behavior.MalformedRate = 0.3, 0.3
	r.After(duration, func() { e.Behavior = old })
	return duration
}

// badRelease makes all endpoints of one service lose or corrupt most responses, as after a bad release.
func (r *Run) badRelease() time.Duration {
	duration := r.randomDuration(2*time.Second, 8*time.Second)
	service := r.deployment.Services[r.Rng.IntN(len(r.deployment.Services))].Name
	r.Tracef("every endpoint of %s loses and corrupts responses for %v", service, duration)
	for _, s := range r.Sidecars {
		for _, e := range s.Endpoints {
			if e.Service == service {
				old := e.Behavior
				e.Behavior.NoResponseRate, e.Behavior.MalformedRate = 0.1, 0.7
				r.After(duration, func() { e.Behavior = old })
			}
		}
	}
	return duration
}

// endpointHang makes an endpoint hang for a random time. A hung endpoint still accepts connections.
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

// endpointRemove removes an endpoint permanently, if its service keeps at least two endpoints.
func (r *Run) endpointRemove() time.Duration {
	e := r.randomEndpoint(3)
	if e == nil {
		return 0
	}
	r.Tracef("endpoint %s leaves and is not replaced", e.Server)
	e.Leave(r.randomDuration(100*time.Millisecond, 3*time.Second), nil)
	return time.Second
}

// serviceReplaceAll stops every endpoint of a service, by draining or by a kill, and starts new
// endpoints later. Until then the service has no endpoints.
func (r *Run) serviceReplaceAll() time.Duration {
	service := r.deployment.Services[r.Rng.IntN(len(r.deployment.Services))].Name
	duration, planned := r.randomDuration(500*time.Millisecond, 6*time.Second), r.Rng.IntN(2) == 0
	r.Tracef("every endpoint of %s stops, drained: %v, new endpoints in %v", service, planned, duration)
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
