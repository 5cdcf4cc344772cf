package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/invariant"
)

// partitionDay is a day on which one kind of cut comes again and again, with proposals
// throughout and a burst of them soon after each cut.
func partitionDay(seed uint64, fault string, extraCores int) Options {
	options := faultDay(seed, 0.1)
	options.AddCores = extraCores
	options.Duration, options.FinalOutage, options.Keyspaces = 45*time.Second, false, true
	for s := 2 * time.Second; s < 37*time.Second; s += 7 * time.Second {
		options.Schedule = append(options.Schedule, ScheduledFault{fault, s}, ScheduledFault{"burst", s + 200*time.Millisecond}, ScheduledFault{"burst", s + 1500*time.Millisecond})
	}
	return options
}

// However a core is cut off from the other cores, silently or refused, in one direction or both,
// with the seeds or with a restart, every rule holds: among them that each sidecar has the newest
// configuration within 2 s of its acknowledgement whenever it can reach a core with a majority or
// a peer that has it, and that nothing acknowledged is read back older.
func TestSidecarsLeaveACoreThatIsCutOff(t *testing.T) {
	for fault := range partitionFaults {
		seeds := uint64(2)
		if fault == "core-apart-alone" {
			seeds = 6 // only what the core itself reports makes sidecars leave it
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			for _, variant := range []struct {
				deployment string
				extraCores int // they do not vote
			}{{"prairie", 0}, {"volta", 0}, {"volta", 3}} {
				t.Run(fmt.Sprint(fault, " ", variant.deployment, " ", variant.extraCores, " ", seed), func(t *testing.T) {
					t.Parallel()
					w := Simulate(Deployments[variant.deployment], partitionDay(seed, fault, variant.extraCores))
					must.SliceEmpty(t, w.Checker.Violations, must.Sprint(w.Report()))
					must.Greater(t, 100, w.Checker.Observed[invariant.ConfigLate])
				})
			}
		}
	}
}

// Faults that only schedules name do not change what known seeds draw.
func TestPartitionFaultsAreNotDrawn(t *testing.T) {
	for _, platform := range []bool{false, true} {
		r := &Run{World: Simulate(Deployments["prairie"], Options{Seed: 1, Duration: 5 * time.Second, LoadFactor: 0.01, Faults: []string{"none"}})}
		r.Platform = platform
		for _, name := range r.drawableFaults() {
			must.Nil(t, partitionFaults[name], must.Sprint(name))
		}
	}
}
