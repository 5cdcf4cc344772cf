package scenario

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// coreKillPower kills a core while its disk is slow and writes are in flight; it starts again,
// and only later does its machine lose power.
func (r *Run) coreKillPower() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c := r.randomCore()
	killAfter := r.randomDuration(10*time.Millisecond, 100*time.Millisecond)
	downtime := r.randomDuration(100*time.Millisecond, time.Second)
	powerLossAfter := r.randomDuration(50*time.Millisecond, 3*time.Second)
	outage := r.randomDuration(300*time.Millisecond, 2*time.Second)
	r.Tracef("core %s killed, back in %v, its power lost %v later for %v", c.Addr, downtime, powerLossAfter, outage)
	c.DiskDelay = 100 * time.Millisecond
	r.After(killAfter, func() {
		c.DiskDelay = 0
		if !c.Healthy() {
			return // another fault has it
		}
		c.Kill(false)
		r.After(downtime, func() {
			c.Start()
			r.After(powerLossAfter, func() {
				c.PowerOff()
				r.After(outage, c.Start)
			})
		})
	})
	return killAfter + downtime + powerLossAfter + outage + time.Second
}

// coreDown ends a core, by a loss of power or not, and starts it again, with an empty disk or
// not; such a machine may come back at another address.
func (r *Run) coreDown(power, empty bool) time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c, downtime := r.randomCore(), r.randomDuration(300*time.Millisecond, 4*time.Second)
	r.Tracef("core %s down for %v, power %v, empty %v", c.Addr, downtime, power, empty)
	c.Kill(power)
	if empty {
		addr := ident.Addr("")
		if r.Rng.IntN(2) == 0 {
			r.serial++
			addr = ident.Addr(fmt.Sprintf("10.0.9.%d:7000", r.serial))
		}
		c.ReplaceDisk(addr)
	}
	r.After(downtime, func() {
		r.Tracef("core %s starts", c.Addr)
		c.Start()
	})
	if empty {
		// It must be a voter again before another disk may be lost.
		return downtime + 8*time.Second
	}
	return downtime + time.Second
}

// coreFreeze freezes a core for a while.
func (r *Run) coreFreeze() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c, duration := r.randomCore(), r.randomDuration(200*time.Millisecond, 5*time.Second)
	r.Tracef("core %s frozen for %v", c.Addr, duration)
	c.Freeze(duration)
	return duration
}

// coreSlowDisk delays the writes of a core for a while.
func (r *Run) coreSlowDisk(delay time.Duration) time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c, duration := r.randomCore(), r.randomDuration(time.Second, 6*time.Second)
	r.Tracef("core %s disk slower by %v for %v", c.Addr, delay, duration)
	c.DiskDelay = delay
	r.After(duration, func() { c.DiskDelay = 0 })
	return duration + delay
}

// coreFailDisk makes the disk of a core fail, and later replaces it by an empty one.
func (r *Run) coreFailDisk() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c := r.randomCore()
	r.Tracef("core %s disk fails", c.Addr)
	c.FailDisk()
	duration := r.randomDuration(time.Second, 4*time.Second)
	r.After(duration, func() {
		c.Kill(true)
		c.ReplaceDisk("")
		r.After(500*time.Millisecond, c.Start)
	})
	return duration + 9*time.Second
}

// coreCut cuts a core from all other machines for a while, in some direction.
func (r *Run) coreCut() time.Duration {
	c, duration := r.randomCore(), r.randomDuration(500*time.Millisecond, 5*time.Second)
	direction := r.randomDirection()
	r.Tracef("core %s cut %s for %v", c.Addr, direction, duration)
	r.Isolate([]ident.Addr{c.Addr}, direction, duration)
	return duration
}

// coreSplit cuts two groups of cores from each other for a while.
func (r *Run) coreSplit() time.Duration {
	duration := r.randomDuration(time.Second, 6*time.Second)
	n := 1 + r.Rng.IntN(len(r.Cores)-1)
	var left, right []ident.Addr
	for i, j := range r.Rng.Perm(len(r.Cores)) {
		if i < n {
			left = append(left, r.Cores[j].Addr)
		} else {
			right = append(right, r.Cores[j].Addr)
		}
	}
	r.Tracef("core split %v from %v for %v", left, right, duration)
	r.Partition(left, right, duration)
	return duration
}

// coreIsolated cuts all cores from all sidecars for a while.
func (r *Run) coreIsolated() time.Duration {
	duration := r.randomDuration(time.Second, 6*time.Second)
	r.Tracef("core cut from all sidecars for %v", duration)
	r.recordOutage("isolated core")
	r.Partition(coreAddrs(r.Cores), sidecarAddrs(r.Sidecars), duration)
	return duration
}

// coreRoll restarts the cores one by one, each by a planned stop.
func (r *Run) coreRoll() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	r.Tracef("cores are restarted one by one")
	for i, c := range r.Cores {
		r.After(time.Duration(i)*3*time.Second, func() {
			if !r.allCoresHealthy() {
				return
			}
			c.Stop(func() { r.After(500*time.Millisecond, c.Start) })
		})
	}
	return time.Duration(len(r.Cores)) * 3 * time.Second
}
