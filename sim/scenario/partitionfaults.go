package scenario

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// partitionFaults are faults that no run draws, only schedules name them: they cut cores off
// from other cores in one of the ways that networks do, while sidecars still reach them.
var partitionFaults = map[string]Fault{
	"core-apart":         func(r *Run) time.Duration { _, d := r.corePartition(false); return d },
	"core-apart-refused": func(r *Run) time.Duration { _, d := r.corePartition(true); return d },
	"core-apart-alone":   (*Run).corePartitionAlone,
	"core-apart-restart": (*Run).corePartitionRestart,
	"seeds-apart":        (*Run).seedsPartition,
}

// corePartition cuts one core off from the other cores, one way or both, silently or with
// every connection refused.
func (r *Run) corePartition(refused bool) (*world.Core, time.Duration) {
	c, duration := r.randomCore(), r.randomDuration(2*time.Second, 6*time.Second)
	direction := r.randomDirection()
	r.Tracef("core %s cut %s from the other cores for %v, refused %v", c.Addr, direction, duration, refused)
	r.PartitionDirected([]ident.Addr{c.Addr}, r.coreAddrsExcept(c), direction, refused, duration)
	return c, duration
}

// coreAddrsExcept lists the addresses of all cores but some.
func (r *Run) coreAddrsExcept(excluded ...*world.Core) (out []ident.Addr) {
	for _, c := range r.Cores {
		if !slices.Contains(excluded, c) {
			out = append(out, c.Addr)
		}
	}
	return out
}

// corePartitionAlone cuts a core off from the others and, for the same time, each sidecar from
// its peers: what a sidecar knows then comes from cores alone.
func (r *Run) corePartitionAlone() time.Duration {
	_, duration := r.corePartition(r.Rng.IntN(2) == 0)
	for i, s := range r.Sidecars {
		for _, o := range r.Sidecars[i+1:] {
			r.PartitionDirected([]ident.Addr{s.Addr}, []ident.Addr{o.Addr}, world.BothWays, false, duration)
		}
	}
	return duration
}

// corePartitionRestart restarts a core while it is cut off from the others, and two sidecars.
func (r *Run) corePartitionRestart() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c, duration := r.corePartition(r.Rng.IntN(2) == 0)
	r.After(r.randomDuration(100*time.Millisecond, time.Second), func() {
		if !c.Healthy() {
			return
		}
		r.Tracef("core %s restarts, cut off", c.Addr)
		c.Kill(false)
		r.After(300*time.Millisecond, c.Start)
	})
	for range 2 {
		r.After(r.randomDuration(0, duration), func() { r.sidecarKill() })
	}
	return duration
}

// seedsPartition cuts as many of the seeds as leave a majority off from all other machines, and
// restarts sidecars meanwhile, which then know no other cores.
func (r *Run) seedsPartition() time.Duration {
	var seedCores []*world.Core
	for _, c := range r.Cores {
		if slices.Contains(r.Seeds, c.Addr) && len(seedCores) < (len(r.Cores)-1)/2 {
			seedCores = append(seedCores, c)
		}
	}
	seeds := coreAddrs(seedCores)
	duration, refused := r.randomDuration(2*time.Second, 6*time.Second), r.Rng.IntN(2) == 0
	others := append(r.coreAddrsExcept(seedCores...), sidecarAddrs(r.Sidecars)...)
	r.Tracef("seeds %v cut off for %v, refused %v", seeds, duration, refused)
	r.PartitionDirected(seeds, others, world.BothWays, refused, duration)
	for range 3 {
		r.After(r.randomDuration(0, duration), func() { r.sidecarKill() })
	}
	return duration
}
