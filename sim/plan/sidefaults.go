package plan

import (
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
)

func (r *Run) sideKill() time.Duration {
	s, d := r.side(), r.span(300*time.Millisecond, 3*time.Second)
	r.Say("sidecar %s killed for %v", s.Node, d)
	s.Kill()
	r.After(d, s.Start)
	return d
}

// sideRoll restarts a few sidecars one by one, each by a planned stop.
func (r *Run) sideRoll() time.Duration {
	r.Say("sidecars are rolled")
	for i := range 3 {
		s := r.Sides[(i+r.Rng.IntN(len(r.Sides)))%len(r.Sides)]
		r.After(time.Duration(i)*2500*time.Millisecond, func() {
			s.Stop(func() { r.After(300*time.Millisecond, s.Start) })
		})
	}
	return 8 * time.Second
}

func (r *Run) sideFreeze() time.Duration {
	s, d := r.side(), r.span(300*time.Millisecond, 5*time.Second)
	r.Say("sidecar %s frozen for %v", s.Node, d)
	s.Freeze(d)
	return d
}

func (r *Run) sideCut() time.Duration {
	s, d := r.side(), r.span(500*time.Millisecond, 5*time.Second)
	way := []string{"in", "out", "both"}[r.Rng.IntN(3)]
	r.Say("machine %s cut %s for %v", s.Node, way, d)
	r.Isolate([]ident.Addr{s.Addr}, way, d)
	return d
}

func (r *Run) sideCutCore() time.Duration {
	s, d := r.side(), r.span(500*time.Millisecond, 5*time.Second)
	var two []ident.Addr
	for _, c := range r.Cores {
		two = append(two, c.Addr)
	}
	r.Say("machine %s cut from the core for %v", s.Node, d)
	r.Sever([]ident.Addr{s.Addr}, two, d)
	return d
}

func (r *Run) districtCut() time.Duration {
	d := r.span(time.Second, 5*time.Second)
	r.Say("a district is cut off for %v", d)
	r.loss("district")
	r.loseDistrict(d)
	return d
}

func (r *Run) loseDistrict(d time.Duration) {
	dist := district(r.d, r.Rng.IntN(r.d.Districts))
	var list []ident.Addr
	for _, c := range r.Cores {
		if c.District == dist {
			list = append(list, c.Addr)
		}
	}
	for _, s := range r.Sides {
		if s.District == dist {
			list = append(list, s.Addr)
		}
	}
	r.Isolate(list, "both", d)
}
