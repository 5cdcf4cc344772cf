package scenario

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// randomReplicatedEndpoint picks an endpoint whose service has another one.
func (r *Run) randomReplicatedEndpoint() *world.Endpoint { return r.randomEndpoint(2) }

// randomEndpoint picks an endpoint whose service has so many at least.
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

// endpointSlow: an endpoint takes several times as long, so requests wait for it.
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

// endpointFails: an endpoint says itself that it fails, mostly.
func (r *Run) endpointFails() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	duration, old := r.randomDuration(time.Second, 5*time.Second), e.Behavior.FailureRate
	r.Tracef("endpoint %s fails for %v", e.Server, duration)
	e.Behavior.FailureRate = 0.7
	r.After(duration, func() { e.Behavior.FailureRate = old })
	return duration
}

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

// endpointReuse: the endpoint dies, two seconds later its address is another's.
func (r *Run) endpointReuse() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	s, old, addr := e.Sidecar, e.Service, e.Addr
	other := r.deployment.Services[r.Rng.IntN(len(r.deployment.Services))].Name
	r.Tracef("endpoint %s dies; %s passes to %s in 2s", e.Server, addr, other)
	e.Kill()
	r.After(2*time.Second, func() { r.startEndpoint(s, other, addr) })
	r.After(3*time.Second, func() { r.startEndpoint(s, old, "") })
	return 4 * time.Second
}

// endpointFrozenReuse: the same while the machine's sidecar is frozen.
func (r *Run) endpointFrozenReuse() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	duration := r.randomDuration(1800*time.Millisecond, 3*time.Second)
	e.Sidecar.Freeze(duration)
	return r.endpointReuse()
}

func (r *Run) endpointBad() time.Duration {
	e := r.randomReplicatedEndpoint()
	if e == nil {
		return 0
	}
	duration := r.randomDuration(time.Second, 5*time.Second)
	old := e.Behavior
	r.Tracef("endpoint %s loses and garbles returns for %v", e.Server, duration)
	e.Behavior.NoResponseRate, e.Behavior.GarbageRate = 0.3, 0.3
	r.After(duration, func() { e.Behavior = old })
	return duration
}

// badRelease: all endpoints of one service lose or garble most returns.
func (r *Run) badRelease() time.Duration {
	duration := r.randomDuration(2*time.Second, 8*time.Second)
	service := r.deployment.Services[r.Rng.IntN(len(r.deployment.Services))].Name
	r.Tracef("every endpoint of %s loses and garbles returns for %v", service, duration)
	for _, s := range r.Sidecars {
		for _, e := range s.Endpoints {
			if e.Service == service {
				old := e.Behavior
				e.Behavior.NoResponseRate, e.Behavior.GarbageRate = 0.1, 0.7
				r.After(duration, func() { e.Behavior = old })
			}
		}
	}
	return duration
}
