package plan

import (
	"slices"
	"time"
)

// isolatedRestart cuts the core from all sidecars and restarts some of them meanwhile:
// they have nobody to ask but their peers.
func (r *Run) isolatedRestart() time.Duration {
	d := r.coreIsolated()
	for range 1 + r.Rng.IntN(4) {
		r.After(r.span(0, d), func() { r.sideKill() })
	}
	return d + 2*time.Second
}

// machineSuspend suspends an application machine, endpoints and all, and resumes it. Its
// clock runs on, or stands still with the rest.
func (r *Run) machineSuspend() time.Duration {
	s, d := r.side(), r.span(300*time.Millisecond, 20*time.Second)
	still := r.Rng.IntN(2) == 0
	r.Say("machine %s suspended for %v, clock stands %v", s.Node, d, still)
	for _, e := range s.Ends {
		e.Hang(d)
	}
	if still {
		s.Suspend(d)
	} else {
		s.Freeze(d)
	}
	return d
}

// clockJump makes the clock of a machine jump forward.
func (r *Run) clockJump() time.Duration {
	d := r.span(100*time.Millisecond, 90*time.Second)
	if r.Rng.IntN(2) == 0 {
		c := r.core()
		r.Say("clock of core %s jumps by %v", c.Addr, d)
		c.Jump(d)
	} else {
		s := r.side()
		r.Say("clock of sidecar %s jumps by %v", s.Node, d)
		s.Jump(d)
	}
	return time.Second
}

// endpointHang makes an endpoint hang, connections still taken, and wake.
func (r *Run) endpointHang() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d := r.span(500*time.Millisecond, 9*time.Second)
	r.Say("endpoint %s hangs for %v", e.Server, d)
	e.Hang(d)
	return d
}

// endpointGone removes an endpoint for good, if its service keeps two.
func (r *Run) endpointGone() time.Duration {
	e := r.someOf(3)
	if e == nil {
		return 0
	}
	r.Say("endpoint %s leaves for good", e.Server)
	e.Leave(r.span(100*time.Millisecond, 3*time.Second), nil)
	return time.Second
}

// serviceEmpty ends every endpoint of a service, as planned or without a word, and fills
// the service again.
func (r *Run) serviceEmpty() time.Duration {
	svc := r.d.Services[r.Rng.IntN(len(r.d.Services))].Name
	d, word := r.span(500*time.Millisecond, 6*time.Second), r.Rng.IntN(2) == 0
	r.Say("every endpoint of %s ends, planned %v, new ones in %v", svc, word, d)
	r.loss("all endpoints of a service")
	for _, s := range r.Sides {
		for _, e := range slices.Clone(s.Ends) {
			if e.Service != svc {
				continue
			}
			if word {
				e.Leave(r.span(100*time.Millisecond, 2*time.Second), nil)
			} else {
				e.Die()
			}
			r.After(d, func() { r.endpoint(s, svc, "") })
		}
	}
	return d + time.Second
}

// manifestLarge offers a very large manifest.
func (r *Run) manifestLarge() time.Duration {
	r.Say("a very large manifest")
	r.large = true
	r.ops.Offer()
	r.large = false
	return time.Second
}

// overload is a crowd at a service that has become slow: more comes than can be sent.
func (r *Run) overload() time.Duration {
	d := r.span(2*time.Second, 5*time.Second)
	svc := r.d.Kinds[0].Service
	r.Say("a crowd of five times the rate for %v, and every endpoint of %s is slow", d, svc)
	r.load *= 5
	for _, s := range r.Sides {
		for _, e := range s.Ends {
			if e.Service == svc {
				old := e.Mood.Work
				e.Mood.Work = 2500 * time.Millisecond
				r.After(d, func() { e.Mood.Work = old })
			}
		}
	}
	r.After(d, func() { r.load /= 5 })
	return d + time.Second
}
