package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/invariant"
)

// partitionOptions returns the options of a run that repeats one partition fault every 7 s, with bursts
// of proposals soon after each partition.
func partitionOptions(seed uint64, fault string, extraCores int) Options {
	options := faultOptions(seed, 0.1)
	options.AddCores = extraCores
	options.Duration, options.FinalOutage, options.Keyspaces = 45*time.Second, false, true
	for s := 2 * time.Second; s < 37*time.Second; s += 7 * time.Second {
		options.Schedule = append(options.Schedule, ScheduledFault{fault, s}, ScheduledFault{"burst", s + 200*time.Millisecond}, ScheduledFault{"burst", s + 1500*time.Millisecond})
	}
	return options
}

// No rule is violated under any partition of a core from the other cores: silent or refused, in one
// direction or both, of the seeds, or with restarts. Among the rules: each sidecar that can reach a
// core with a majority, or a peer with the newest configuration, applies that configuration within 2 s
// of its acknowledgment, and no read is older than an acknowledged write.
func TestPartitionedCoresBreakNoRule(t *testing.T) {
	for fault := range partitionFaults {
		seeds := uint64(2)
		if fault == "core-apart-alone" {
			seeds = 6 // only the report of the partitioned core itself makes sidecars leave that core
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			for _, variant := range []struct {
				deployment string
				extraCores int // cores that do not vote
			}{{"prairie", 0}, {"volta", 0}, {"volta", 3}} {
				t.Run(fmt.Sprint(fault, " ", variant.deployment, " ", variant.extraCores, " ", seed), func(t *testing.T) {
					t.Parallel()
					w := Simulate(Deployments[variant.deployment], partitionOptions(seed, fault, variant.extraCores))
					must.SliceEmpty(t, w.Checker.Violations, must.Sprint(w.Report()))
					must.Greater(t, 100, w.Checker.Observed[invariant.ConfigLate])
				})
			}
		}
	}
}

// Partition faults run only if a schedule names them: as random faults they would change which faults
// known seeds select.
func TestPartitionFaultsAreNotRandom(t *testing.T) {
	for _, platform := range []bool{false, true} {
		r := &Run{World: Simulate(Deployments["prairie"], Options{Seed: 1, Duration: 5 * time.Second, LoadFactor: 0.01, Faults: []string{"none"}})}
		r.Platform = platform
		for _, name := range r.randomFaultNames() {
			must.Nil(t, partitionFaults[name], must.Sprint(name))
		}
	}
}
