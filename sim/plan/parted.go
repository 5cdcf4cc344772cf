package plan

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// parted are faults that only schedules name and no run draws: they cut cores off from
// other cores in one of the ways that a network has, while sidecars still reach them.
var parted = map[string]Fault{
	"core-apart":         func(r *Run) time.Duration { _, d := r.coreApart(false); return d },
	"core-apart-refused": func(r *Run) time.Duration { _, d := r.coreApart(true); return d },
	"core-apart-alone":   (*Run).coreApartAlone,
	"core-apart-restart": (*Run).coreApartRestart,
	"seeds-apart":        (*Run).seedsApart,
}

// coreApart cuts one core off from the other cores, one way or both, silently or with
// every connection refused.
func (r *Run) coreApart(refused bool) (*world.Core, time.Duration) {
	c, d := r.core(), r.span(2*time.Second, 6*time.Second)
	way := []string{"in", "out", "both"}[r.Rng.IntN(3)]
	r.Say("core %s cut %s from the other cores for %v, refused %v", c.Addr, way, d, refused)
	r.Part([]ident.Addr{c.Addr}, r.coresBut(c), way, refused, d)
	return c, d
}

func (r *Run) coresBut(not ...*world.Core) (out []ident.Addr) {
	for _, c := range r.Cores {
		if !slices.Contains(not, c) {
			out = append(out, c.Addr)
		}
	}
	return out
}

// coreApartAlone cuts a core off from the others and, for the same time, each sidecar from
// its peers: what a sidecar knows then comes from cores alone.
func (r *Run) coreApartAlone() time.Duration {
	_, d := r.coreApart(r.Rng.IntN(2) == 0)
	for i, s := range r.Sides {
		for _, o := range r.Sides[i+1:] {
			r.Part([]ident.Addr{s.Addr}, []ident.Addr{o.Addr}, "both", false, d)
		}
	}
	return d
}

// coreApartRestart restarts a core while it is cut off from the others, and some sidecars.
func (r *Run) coreApartRestart() time.Duration {
	if !r.healthy() {
		return 0
	}
	c, d := r.coreApart(r.Rng.IntN(2) == 0)
	r.After(r.span(100*time.Millisecond, time.Second), func() {
		if !c.Well() {
			return
		}
		r.Say("core %s restarts, cut off", c.Addr)
		c.Kill(false)
		r.After(300*time.Millisecond, c.Start)
	})
	for range 2 {
		r.After(r.span(0, d), func() { r.sideKill() })
	}
	return d
}

// seedsApart cuts off as many of the seeds as leave a majority, from all other machines,
// and restarts sidecars meanwhile, which know of no other cores.
func (r *Run) seedsApart() time.Duration {
	var one []ident.Addr
	var cores []*world.Core
	for _, c := range r.Cores {
		if slices.Contains(r.Seeds, c.Addr) && len(one) < (len(r.Cores)-1)/2 {
			one, cores = append(one, c.Addr), append(cores, c)
		}
	}
	d, refused := r.span(2*time.Second, 6*time.Second), r.Rng.IntN(2) == 0
	two := r.coresBut(cores...)
	for _, s := range r.Sides {
		two = append(two, s.Addr)
	}
	r.Say("seeds %v cut off for %v, refused %v", one, d, refused)
	r.Part(one, two, "both", refused, d)
	for range 3 {
		r.After(r.span(0, d), func() { r.sideKill() })
	}
	return d
}
