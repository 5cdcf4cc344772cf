package plan

import (
	"time"
)

func (r *Run) crowd() time.Duration {
	d := r.span(2*time.Second, 5*time.Second)
	r.Say("a crowd for %v", d)
	r.load *= 3
	r.After(d, func() { r.load /= 3 })
	return d
}

// herd kills many sidecars and one core at once.
func (r *Run) herd() time.Duration {
	r.Say("a herd of sidecars is killed")
	r.loss("herd")
	for i, s := range r.Sides {
		if i%2 == 0 {
			s.Kill()
			r.After(r.span(time.Second, 3*time.Second), s.Start)
		}
	}
	if r.healthy() {
		c := r.core()
		c.Kill(true)
		r.After(2*time.Second, c.Start)
	}
	return 6 * time.Second
}

// heavy is the last fault of a day: every core loses power at once, and half the
// sidecars are killed.
func (r *Run) heavy() {
	r.Say("the last heavy fault: all cores lose power, half the sidecars are killed")
	r.loss("everything at once")
	for _, c := range r.Cores {
		c.Kill(true)
		r.After(r.span(time.Second, 3*time.Second), c.Start)
	}
	for i, s := range r.Sides {
		if i%2 == 0 {
			s.Kill()
			if r.what.Break != "restart" {
				r.After(r.span(time.Second, 3*time.Second), s.Start)
			}
		}
	}
	if r.what.Break == "restart" {
		for _, s := range r.Sides {
			s.Kill()
		}
	}
}

// burst offers many manifests at once.
func (r *Run) burst() time.Duration {
	r.Say("a burst of manifests")
	for i := range 12 {
		r.After(time.Duration(i)*20*time.Millisecond, r.ops.Offer)
	}
	return time.Second
}
