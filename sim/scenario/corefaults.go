package scenario

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// coreKillPower kills a core while its disk is slow and writes are in flight, starts the core again,
// and cuts the power of its machine only later.
func (r *Run) coreKillPower() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c := r.randomCore()
	killAfter := r.randomDuration(10*time.Millisecond, 100*time.Millisecond)
	downtime := r.randomDuration(100*time.Millisecond, time.Second)
	powerLossAfter := r.randomDuration(50*time.Millisecond, 3*time.Second)
	outage := r.randomDuration(300*time.Millisecond, 2*time.Second)
	r.Tracef("core %s killed, restart in %v, power lost %v later for %v", c.Addr, downtime, powerLossAfter, outage)
	c.DiskDelay = 100 * time.Millisecond
	r.After(killAfter, func() {
		c.DiskDelay = 0
		if !c.Healthy() {
			return // another fault already affects the core
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

// coreRestart stops a core abruptly, by a power loss or by a kill, and starts the core again. With an
// empty disk, the machine may return at another address.
func (r *Run) coreRestart(power, empty bool) time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c, downtime := r.randomCore(), r.randomDuration(300*time.Millisecond, 4*time.Second)
	r.Tracef("core %s down for %v, power loss: %v, empty disk: %v", c.Addr, downtime, power, empty)
	c.Kill(power)
	if empty {
		addr := ident.Addr("")
		if r.Rng.IntN(2) == 0 {
			r.lastSerial++
			addr = ident.Addr(fmt.Sprintf("10.0.9.%d:7000", r.lastSerial))
		}
		c.ReplaceDisk(addr)
	}
	r.After(downtime, func() {
		r.Tracef("core %s starts", c.Addr)
		c.Start()
	})
	if empty {
		// The core must be a voter again before another core may lose its disk.
		return downtime + 8*time.Second
	}
	return downtime + time.Second
}

// coreFreeze freezes a core for a random time.
func (r *Run) coreFreeze() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c, duration := r.randomCore(), r.randomDuration(200*time.Millisecond, 5*time.Second)
	r.Tracef("core %s frozen for %v", c.Addr, duration)
	c.Freeze(duration)
	return duration
}

// coreSlowDisk delays the disk writes of a core for a random time.
func (r *Run) coreSlowDisk(delay time.Duration) time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c, duration := r.randomCore(), r.randomDuration(time.Second, 6*time.Second)
	r.Tracef("disk of core %s slower by %v for %v", c.Addr, delay, duration)
	c.DiskDelay = delay
	r.After(duration, func() { c.DiskDelay = 0 })
	return duration + delay
}

// coreFailDisk makes the disk of a core fail, and later replaces the disk with an empty disk.
func (r *Run) coreFailDisk() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c := r.randomCore()
	r.Tracef("disk of core %s fails", c.Addr)
	c.FailDisk()
	duration := r.randomDuration(time.Second, 4*time.Second)
	r.After(duration, func() {
		c.Kill(true)
		c.ReplaceDisk("")
		r.After(500*time.Millisecond, c.Start)
	})
	return duration + 9*time.Second
}

// coreIsolation isolates a core from all other machines for a random time, in a random direction.
func (r *Run) coreIsolation() time.Duration {
	c, duration := r.randomCore(), r.randomDuration(500*time.Millisecond, 5*time.Second)
	direction := r.randomDirection()
	r.Tracef("core %s isolated %s for %v", c.Addr, direction, duration)
	r.Isolate([]ident.Addr{c.Addr}, direction, duration)
	return duration
}

// coreSplit partitions the cores into two random groups for a random time.
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
	r.Tracef("cores %v partitioned from cores %v for %v", left, right, duration)
	r.Partition(left, right, duration)
	return duration
}

// coreSidecarPartition partitions all cores from all sidecars for a random time.
func (r *Run) coreSidecarPartition() time.Duration {
	duration := r.randomDuration(time.Second, 6*time.Second)
	r.Tracef("all cores partitioned from all sidecars for %v", duration)
	r.recordOutage("all cores partitioned from all sidecars")
	r.Partition(coreAddrs(r.Cores), sidecarAddrs(r.Sidecars), duration)
	return duration
}

// coreRollingRestart restarts the cores one after the other, each by a planned stop.
func (r *Run) coreRollingRestart() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	r.Tracef("rolling restart of cores")
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
