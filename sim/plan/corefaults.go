package plan

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
)

// coreKillPower: a core is killed while its disk is slow, so writes are under way; it starts
// again, and only later does its machine lose power.
func (r *Run) coreKillPower() time.Duration {
	if !r.healthy() {
		return 0
	}
	c := r.core()
	hold, gone, later, dark := r.span(10*time.Millisecond, 100*time.Millisecond), r.span(100*time.Millisecond, time.Second), r.span(50*time.Millisecond, 3*time.Second), r.span(300*time.Millisecond, 2*time.Second)
	r.Say("core %s killed, back in %v, its power lost %v later for %v", c.Addr, gone, later, dark)
	c.Slow = 100 * time.Millisecond
	r.After(hold, func() {
		c.Slow = 0
		if !c.Well() {
			return // another fault has it
		}
		c.Kill(false)
		r.After(gone, func() {
			c.Start()
			r.After(later, func() {
				c.PowerOff()
				r.After(dark, c.Start)
			})
		})
	})
	return hold + gone + later + dark + time.Second
}

func (r *Run) coreDown(power, empty bool) time.Duration {
	if !r.healthy() {
		return 0
	}
	c, gone := r.core(), r.span(300*time.Millisecond, 4*time.Second)
	r.Say("core %s down for %v, power %v, empty %v", c.Addr, gone, power, empty)
	c.Kill(power)
	if empty {
		addr := ident.Addr("")
		if r.Rng.IntN(2) == 0 {
			r.serial++
			addr = ident.Addr(fmt.Sprintf("10.0.9.%d:7000", r.serial))
		}
		c.Empty(addr)
	}
	r.After(gone, func() {
		r.Say("core %s starts", c.Addr)
		c.Start()
	})
	if empty {
		// It must be a voter again before another disk may be lost.
		return gone + 8*time.Second
	}
	return gone + time.Second
}

func (r *Run) coreFreeze() time.Duration {
	if !r.healthy() {
		return 0
	}
	c, d := r.core(), r.span(200*time.Millisecond, 5*time.Second)
	r.Say("core %s frozen for %v", c.Addr, d)
	c.Freeze(d)
	return d
}

func (r *Run) coreSlow(by time.Duration) time.Duration {
	if !r.healthy() {
		return 0
	}
	c, d := r.core(), r.span(time.Second, 6*time.Second)
	r.Say("core %s disk slower by %v for %v", c.Addr, by, d)
	c.Slow = by
	r.After(d, func() { c.Slow = 0 })
	return d + by
}

func (r *Run) coreFail() time.Duration {
	if !r.healthy() {
		return 0
	}
	c := r.core()
	r.Say("core %s disk fails", c.Addr)
	c.Fail()
	d := r.span(time.Second, 4*time.Second)
	r.After(d, func() {
		c.Kill(true)
		c.Empty("")
		r.After(500*time.Millisecond, c.Start)
	})
	return d + 9*time.Second
}

func (r *Run) coreCut() time.Duration {
	c, d := r.core(), r.span(500*time.Millisecond, 5*time.Second)
	way := []string{"in", "out", "both"}[r.Rng.IntN(3)]
	r.Say("core %s cut %s for %v", c.Addr, way, d)
	r.Isolate([]ident.Addr{c.Addr}, way, d)
	return d
}

func (r *Run) coreSplit() time.Duration {
	d := r.span(time.Second, 6*time.Second)
	n := 1 + r.Rng.IntN(len(r.Cores)-1)
	var one, two []ident.Addr
	for i, j := range r.Rng.Perm(len(r.Cores)) {
		if i < n {
			one = append(one, r.Cores[j].Addr)
		} else {
			two = append(two, r.Cores[j].Addr)
		}
	}
	r.Say("core split %v from %v for %v", one, two, d)
	r.Sever(one, two, d)
	return d
}

func (r *Run) coreIsolated() time.Duration {
	d := r.span(time.Second, 6*time.Second)
	var one, two []ident.Addr
	for _, c := range r.Cores {
		one = append(one, c.Addr)
	}
	for _, s := range r.Sides {
		two = append(two, s.Addr)
	}
	r.Say("core cut from all sidecars for %v", d)
	r.loss("isolated core")
	r.Sever(one, two, d)
	return d
}

// coreRoll restarts the cores one by one, each by a planned stop.
func (r *Run) coreRoll() time.Duration {
	if !r.healthy() {
		return 0
	}
	r.Say("cores are rolled")
	for i, c := range r.Cores {
		r.After(time.Duration(i)*3*time.Second, func() {
			if !r.healthy() {
				return
			}
			c.Stop(func() { r.After(500*time.Millisecond, c.Start) })
		})
	}
	return time.Duration(len(r.Cores)) * 3 * time.Second
}
