package scenario

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// partitionFaults are faults that partition cores from other cores. Except under seeds-apart, sidecars
// still reach both sides. Random selection excludes these faults; a schedule must name them.
var partitionFaults = map[string]Fault{
	"core-apart":         func(r *Run) time.Duration { _, d := r.corePartition(false); return d },
	"core-apart-refused": func(r *Run) time.Duration { _, d := r.corePartition(true); return d },
	"core-apart-alone":   (*Run).corePartitionWithoutPeers,
	"core-apart-restart": (*Run).corePartitionRestart,
	"seeds-apart":        (*Run).seedPartition,
}

// corePartition partitions one core from the other cores, in one direction or both. Messages are
// dropped silently, or every connection is refused.
func (r *Run) corePartition(refused bool) (*world.Core, time.Duration) {
	c, duration := r.randomCore(), r.randomDuration(2*time.Second, 6*time.Second)
	direction := r.randomDirection()
	r.Tracef("core %s partitioned %s from the other cores for %v, connections refused: %v", c.Addr, direction, duration, refused)
	r.PartitionDirected([]ident.Addr{c.Addr}, r.coreAddrsExcept(c), direction, refused, duration)
	return c, duration
}

// coreAddrsExcept returns the addresses of all cores except the excluded cores.
func (r *Run) coreAddrsExcept(excluded ...*world.Core) (addrs []ident.Addr) {
	for _, c := range r.Cores {
		if !slices.Contains(excluded, c) {
			addrs = append(addrs, c.Addr)
		}
	}
	return addrs
}

// corePartitionWithoutPeers partitions a core from the other cores and, for the same time, each
// sidecar from its peers, so that sidecars learn of new configurations only from cores.
func (r *Run) corePartitionWithoutPeers() time.Duration {
	_, duration := r.corePartition(r.Rng.IntN(2) == 0)
	for i, s := range r.Sidecars {
		for _, o := range r.Sidecars[i+1:] {
			r.PartitionDirected([]ident.Addr{s.Addr}, []ident.Addr{o.Addr}, world.BothWays, false, duration)
		}
	}
	return duration
}

// corePartitionRestart partitions a core from the other cores and meanwhile restarts that core and two
// sidecars.
func (r *Run) corePartitionRestart() time.Duration {
	if !r.allCoresHealthy() {
		return 0
	}
	c, duration := r.corePartition(r.Rng.IntN(2) == 0)
	r.After(r.randomDuration(100*time.Millisecond, time.Second), func() {
		if !c.Healthy() {
			return
		}
		r.Tracef("core %s restarts while partitioned", c.Addr)
		c.Kill(false)
		r.After(300*time.Millisecond, c.Start)
	})
	for range 2 {
		r.After(r.randomDuration(0, duration), func() { r.sidecarRestart() })
	}
	return duration
}

// seedPartition partitions seed cores, as many as still leave a majority, from all other machines and
// meanwhile restarts sidecars. A restarted sidecar knows no cores but the seeds.
func (r *Run) seedPartition() time.Duration {
	var seedCores []*world.Core
	for _, c := range r.Cores {
		if slices.Contains(r.Seeds, c.Addr) && len(seedCores) < (len(r.Cores)-1)/2 {
			seedCores = append(seedCores, c)
		}
	}
	seeds := coreAddrs(seedCores)
	duration, refused := r.randomDuration(2*time.Second, 6*time.Second), r.Rng.IntN(2) == 0
	others := append(r.coreAddrsExcept(seedCores...), sidecarAddrs(r.Sidecars)...)
	r.Tracef("seeds %v partitioned from all other machines for %v, connections refused: %v", seeds, duration, refused)
	r.PartitionDirected(seeds, others, world.BothWays, refused, duration)
	for range 3 {
		r.After(r.randomDuration(0, duration), func() { r.sidecarRestart() })
	}
	return duration
}
