package plan

import (
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// some picks an endpoint whose service has another one.
func (r *Run) some() *world.Endpoint { return r.someOf(2) }

// someOf picks an endpoint whose service has so many at least.
func (r *Run) someOf(least int) *world.Endpoint {
	count := map[ident.Service]int{}
	var all []*world.Endpoint
	for _, s := range r.Sides {
		for _, e := range s.Ends {
			count[e.Service]++
			all = append(all, e)
		}
	}
	var good []*world.Endpoint
	for _, e := range all {
		if count[e.Service] >= least {
			good = append(good, e)
		}
	}
	if len(good) == 0 {
		return nil
	}
	return good[r.Rng.IntN(len(good))]
}

// endpointSlow: an endpoint takes several times as long, so requests wait for it.
func (r *Run) endpointSlow() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d, old := r.span(time.Second, 5*time.Second), e.Mood.Work
	r.Say("endpoint %s is slow for %v", e.Server, d)
	e.Mood.Work = 10 * old
	r.After(d, func() { e.Mood.Work = old })
	return d
}

// endpointFails: an endpoint says itself that it fails, mostly.
func (r *Run) endpointFails() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d, old := r.span(time.Second, 5*time.Second), e.Mood.Fail
	r.Say("endpoint %s fails for %v", e.Server, d)
	e.Mood.Fail = 0.7
	r.After(d, func() { e.Mood.Fail = old })
	return d
}

func (r *Run) endpointReplace() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	r.Say("endpoint %s leaves and is replaced", e.Server)
	s, svc := e.Side, e.Service
	e.Leave(r.span(2500*time.Millisecond, 6*time.Second), func() { r.endpoint(s, svc, "") })
	return 3 * time.Second
}

// endpointReuse: the endpoint dies, two seconds later its address is another's.
func (r *Run) endpointReuse() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	s, old, addr := e.Side, e.Service, e.Addr
	other := r.d.Services[r.Rng.IntN(len(r.d.Services))].Name
	r.Say("endpoint %s dies; %s passes to %s in 2s", e.Server, addr, other)
	e.Die()
	r.After(2*time.Second, func() { r.endpoint(s, other, addr) })
	r.After(3*time.Second, func() { r.endpoint(s, old, "") })
	return 4 * time.Second
}

// endpointFrozenReuse: the same while the machine's sidecar is frozen.
func (r *Run) endpointFrozenReuse() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d := r.span(1800*time.Millisecond, 3*time.Second)
	e.Side.Freeze(d)
	return r.endpointReuse()
}

func (r *Run) endpointBad() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d := r.span(time.Second, 5*time.Second)
	old := e.Mood
	r.Say("endpoint %s loses and garbles returns for %v", e.Server, d)
	e.Mood.Lose, e.Mood.Garbage = 0.3, 0.3
	r.After(d, func() { e.Mood = old })
	return d
}

// releaseBad: all endpoints of one service lose or garble most returns.
func (r *Run) releaseBad() time.Duration {
	d := r.span(2*time.Second, 8*time.Second)
	svc := r.d.Services[r.Rng.IntN(len(r.d.Services))].Name
	r.Say("every endpoint of %s loses and garbles returns for %v", svc, d)
	for _, s := range r.Sides {
		for _, e := range s.Ends {
			if e.Service == svc {
				old := e.Mood
				e.Mood.Lose, e.Mood.Garbage = 0.1, 0.7
				r.After(d, func() { e.Mood = old })
			}
		}
	}
	return d
}
