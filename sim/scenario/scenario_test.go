package scenario

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/world"
)

// faultOptions returns the options of a run with random faults, lossy links and a final outage.
func faultOptions(seed uint64, loadScale float64, faults ...string) Options {
	return Options{Seed: seed, Duration: 25 * time.Second, LoadFactor: 1, Scale: loadScale, FinalOutage: true, LossyLinks: true, Faults: faults}
}

// longFaultOptions returns the options of a longer run with random faults under the full load.
func longFaultOptions(seed uint64) Options {
	options := faultOptions(seed, 1)
	options.Duration = 40 * time.Second
	return options
}

// coreSplitOptions returns the options of a run that partitions the cores every 8 s, each time with a
// burst of proposals and killed sidecars.
func coreSplitOptions(seed uint64) Options {
	options := faultOptions(seed, 0.2)
	options.Duration, options.FinalOutage = 50*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		for i, name := range []string{"core-split", "side-kill", "burst", "side-kill", "side-kill", "herd"} {
			options.Schedule = append(options.Schedule, ScheduledFault{name, s + time.Duration(i)*100*time.Millisecond})
		}
	}
	return options
}

// With fixed seeds, both deployments and all faults, no rule is violated. A name with a reason is a
// regression test: the seed once violated a rule for that reason.
func TestFixedSeedsBreakNoRule(t *testing.T) {
	for name, scenario := range map[string]struct {
		deployment string
		options    Options
	}{
		"prairie 1": {"prairie", faultOptions(1, 0.3)}, "prairie 2": {"prairie", faultOptions(2, 0.3)}, "prairie 3": {"prairie", faultOptions(3, 1)},
		"prairie 6: stayed with a core that was behind":           {"prairie", faultOptions(6, 0.3)},
		"prairie 12: stayed with a core that was behind":          {"prairie", faultOptions(12, 0.3)},
		"prairie 13: a lost forward was not repeated":             {"prairie", faultOptions(13, 0.3)},
		"prairie 14: retries paid for by calls before the window": {"prairie", faultOptions(14, 1, "release-bad", "endpoint-freeze", "endpoint-replace", "side-cut-core")},
		"prairie 30: retries paid for by calls before the window": {"prairie", faultOptions(30, 1, "release-bad", "endpoint-freeze", "endpoint-replace", "side-cut-core")},
		"prairie 1152: a deposed proposer's grant was revived":    {"prairie", faultOptions(1152, 1)},
		"prairie 1181: a deposed proposer's grant was revived":    {"prairie", faultOptions(1181, 1)},
		"prairie 1040: seeds that no core was at any longer":      {"prairie", faultOptions(1040, 1, "core-empty", "core-fail-disk")},
		"prairie 517: anti-entropy asked only the fastest":        {"prairie", longFaultOptions(517)},
		"volta 506: anti-entropy asked only the fastest":          {"volta", longFaultOptions(506)},
		"splits 7: a restarted sidecar fell back":                 {"prairie", coreSplitOptions(7)},
		"splits 8: a restarted sidecar fell back":                 {"prairie", coreSplitOptions(8)},
		"splits 52: a restarted sidecar fell back":                {"prairie", coreSplitOptions(52)},
		"overlapping cuts 101: polls broken off":                  {"prairie", overlappingCutsOptions(101)},
		"overlapping cuts 151: polls broken off":                  {"prairie", overlappingCutsOptions(151)},
		"overlapping cuts 167: polls broken off":                  {"prairie", overlappingCutsOptions(167)},
		"overload":                                                {"prairie", faultOptions(1, 1, "overload", "crowd")},
		"storms 1: each change started the wait anew":             {"small", proposalStormOptions(1)},
		"storms 2: each change started the wait anew":             {"small", proposalStormOptions(2)},
		"storms 3: each change started the wait anew":             {"small", proposalStormOptions(3)},
		"isolated 1":        {"prairie", isolatedCoreOptions(1)},
		"isolated 2":        {"volta", isolatedCoreOptions(2)},
		"no majority 1":     {"prairie", lostMajorityOptions(1)},
		"no majority 2":     {"prairie", lostMajorityOptions(2)},
		"clocks":            {"prairie", faultOptions(4, 0.5, "clock-jump", "machine-suspend", "core-kill", "release-bad")},
		"endpoints":         {"volta", faultOptions(5, 0.5, "endpoint-hang", "endpoint-gone", "service-empty", "machine-suspend")},
		"isolated restarts": {"volta", faultOptions(6, 0.5, "isolated-restart", "manifest-large", "burst")},
		"keyspaces 1":       {"prairie", keyspaceOptions(1)},
		"keyspaces 2":       {"volta", keyspaceOptions(2)},
		"keyspaces 3":       {"prairie", keyspaceOptions(3, "core-kill", "core-power", "core-freeze", "core-cut", "core-split")},
		"keyspaces 4":       {"volta", keyspaceOptions(4, "core-roll", "clock-jump", "core-freeze")},
		"volta 216: a release of an earlier grant": {"volta", Options{Seed: 216, Duration: 30 * time.Second, LoadFactor: 0.05, FinalOutage: true, LossyLinks: true, Keyspaces: true, FaultInterval: time.Second,
			Faults: []string{"core-freeze", "core-split", "core-cut", "core-isolated", "machine-suspend"}}},
		"platform 1":                 {"prairie", platformOptions(1)},
		"platform 2":                 {"volta", platformOptions(2)},
		"platform surge":             {"prairie", platformOptions(3, "overload", "crowd", "endpoint-slow", "endpoint-fails", "side-roll")},
		"platform reuse":             {"volta", platformOptions(4, "endpoint-reuse", "endpoint-freeze", "endpoint-hang", "endpoint-replace", "side-kill")},
		"platform stops":             {"prairie", plannedStopsOptions(1)},
		"platform kill, power":       {"prairie", platformOptions(5, "core-kill-power", "core-kill", "core-power")},
		"late heartbeats 1":          {"prairie", platformOptions(1, "endpoint-late-beat", "endpoint-replace")},
		"late heartbeats 2":          {"volta", platformOptions(2, "endpoint-late-beat", "side-roll", "endpoint-reuse")},
		"late heartbeats 3":          {"prairie", faultOptions(3, 0.5, "endpoint-late-beat", "endpoint-replace")},
		"volta 1":                    {"volta", faultOptions(1, 0.3)},
		"volta 2":                    {"volta", faultOptions(2, 1)},
		"volta 3: rolled throughout": {"volta", faultOptions(3, 0.5, "core-roll", "side-roll", "endpoint-replace")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Simulate(deploymentNamed(scenario.deployment), scenario.options)
			must.SliceEmpty(t, w.Checker.Violations, must.Sprint(w.Report()))
			must.Greater(t, int(500*min(1, 4*scenario.options.LoadFactor)), len(w.Checker.Executions))
		})
	}
}

// overlappingCutsOptions returns the options of a run with all kinds of partitions of cores, which
// overlap.
func overlappingCutsOptions(seed uint64) Options {
	return Options{Seed: seed, Duration: 40 * time.Second, FaultInterval: time.Second, LoadFactor: 1, FinalOutage: true, LossyLinks: true, Keyspaces: true, Platform: true,
		Faults: []string{"core-apart", "core-apart-refused", "core-apart-restart", "core-apart-alone", "seeds-apart", "core-cut", "core-split", "burst"}}
}

// platformOptions returns the options of a run with Options.Platform.
func platformOptions(seed uint64, faults ...string) Options {
	options := faultOptions(seed, 0.6, faults...)
	options.Platform, options.Keyspaces = true, true
	return options
}

// plannedStopsOptions returns the options of a run with planned stops of sidecars while requests wait
// in their admission queues.
func plannedStopsOptions(seed uint64) Options {
	options := platformOptions(seed)
	options.Scale, options.FinalOutage = 1, false
	for s := time.Second; s < 20*time.Second; s += 5 * time.Second {
		for i, name := range []string{"endpoint-slow", "endpoint-slow", "endpoint-slow", "endpoint-slow", "crowd", "side-roll", "side-roll"} {
			options.Schedule = append(options.Schedule, ScheduledFault{name, s + time.Duration(i)*150*time.Millisecond})
		}
	}
	return options
}

// keyspaceOptions returns the options of a run whose clients also use keyspaces and the platform's
// locks.
func keyspaceOptions(seed uint64, faults ...string) Options {
	options := faultOptions(seed, 0.2, faults...)
	options.Keyspaces = true
	return options
}

// isolatedCoreOptions returns the options of a run with bursts of proposals. Shortly after each burst
// all cores are partitioned from the sidecars, and some sidecars are killed.
func isolatedCoreOptions(seed uint64) Options {
	options := faultOptions(seed, 0.2)
	options.Duration, options.FinalOutage = 52*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		options.Schedule = append(options.Schedule, ScheduledFault{"burst", s}, ScheduledFault{"core-isolated", s + 150*time.Millisecond})
		for _, ms := range []time.Duration{170, 200, 250, 400, 900} {
			options.Schedule = append(options.Schedule, ScheduledFault{"side-kill", s + ms*time.Millisecond})
		}
	}
	return options
}

// lostMajorityOptions returns the options of a run that partitions the cores every 8 s, each time with
// a burst of proposals and a killed core, so that temporarily there is no majority.
func lostMajorityOptions(seed uint64) Options {
	options := faultOptions(seed, 0.2)
	options.Duration, options.FinalOutage = 52*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		for ms, name := range map[time.Duration]string{0: "core-split", 100: "side-kill", 200: "burst", 300: "side-kill", 600: "core-kill", 650: "side-kill"} {
			options.Schedule = append(options.Schedule, ScheduledFault{name, s + ms*time.Millisecond})
		}
	}
	slices.SortFunc(options.Schedule, func(a, b ScheduledFault) int { return int(a.After - b.After) })
	return options
}

// deploymentNamed returns a deployment by its name; "small" is prairie with four sidecars.
func deploymentNamed(name string) Deployment {
	if name != "small" {
		return Deployments[name]
	}
	small := Deployments["prairie"]
	small.Name, small.Sidecars, small.Rate = name, 4, 150
	return small
}

// proposalStormOptions returns the options of a run with quick successions of proposals while sidecars
// of a small mesh are silent one after the other: fewer peers answer than are asked to hold each
// configuration.
func proposalStormOptions(seed uint64) Options {
	options := faultOptions(seed, 0.5)
	options.Duration, options.FinalOutage = 40*time.Second, false
	for s := 2 * time.Second; s < 35*time.Second; s += 8 * time.Second {
		for ms, name := range map[time.Duration]string{0: "side-freeze", 1: "manifest-storm", 1500: "side-cut", 3000: "side-freeze"} {
			options.Schedule = append(options.Schedule, ScheduledFault{name, s + ms*time.Millisecond})
		}
	}
	slices.SortFunc(options.Schedule, func(a, b ScheduledFault) int { return int(a.After - b.After) })
	return options
}

// detectingFaults holds the faults that reveal a mutant; other mutants are run with all faults.
var detectingFaults = map[world.Mutant][]string{
	world.MutantSkipChecks:          {"endpoint-freeze", "endpoint-reuse"},
	world.MutantIgnoreLeave:         {"endpoint-replace"},
	world.MutantForgetSignOff:       {"endpoint-late-beat"},
	world.MutantUnlimitedRetries:    {"release-bad"},
	world.MutantAbruptStop:          {"side-roll"},
	world.MutantIgnoreHeartbeatLoss: {"endpoint-hang"},
	world.MutantUnlimitedClockSteps: {"clock-jump"},
	world.MutantIgnoreUrgency:       {"overload"},
	world.MutantExecuteRejected:     {"crowd", "endpoint-slow"},
	world.MutantDecideTwice:         {"crowd", "endpoint-slow"},
	world.MutantIgnoreTarget:        {"endpoint-reuse", "endpoint-freeze"},
	world.MutantExecuteShed:         {"endpoint-slow", "overload"},
	world.MutantRetryFailed:         {"endpoint-fails"},
	world.MutantLazySync:            {"core-kill-power"},
	world.MutantUnsyncedFolder:      {"core-kill-power"},
}

// mutantScenario returns the deployment and the options of a run that reveals a mutant with some seed.
func mutantScenario(mutant world.Mutant, seed uint64) (Deployment, Options) {
	options := faultOptions(seed, 1, detectingFaults[mutant]...)
	switch mutant {
	case world.MutantNoPeerCache:
		options = isolatedCoreOptions(seed)
	case world.MutantExtendWait:
		options = proposalStormOptions(seed)
		options.Mutant = mutant
		return deploymentNamed("small"), options
	case world.MutantKeepStaleCore:
		options = partitionOptions(seed, "core-apart-alone", 0)
	case world.MutantQueueInStop:
		options = plannedStopsOptions(seed)
	}
	options.Mutant, options.Platform = mutant, mutant.NeedsPlatform()
	options.Keyspaces = strings.HasPrefix(string(mutant), "cell-")
	if mutant == world.MutantBypassJoinQueue {
		options = herdOptions(seed, "herd-power")
		options.Mutant = mutant
		return herd84, options
	}
	return Deployments["prairie"], options
}

// The checker reports every rule that a mutant violates, so the check of each of these rules can fail.
func TestEveryMutantBreaksItsRules(t *testing.T) {
	for mutant, rules := range world.Mutants {
		t.Run(string(mutant), func(t *testing.T) {
			t.Parallel()
			seen := map[string]bool{}
			for seed := uint64(1); seed < 20 && len(seen) < len(rules); seed++ {
				for _, violation := range Simulate(mutantScenario(mutant, seed)).Checker.Violations {
					if slices.Contains(rules, violation.Rule) {
						seen[violation.Rule] = true
					}
				}
			}
			for _, rule := range rules {
				must.True(t, seen[rule], must.Sprintf("mutant %s does not violate rule %s", mutant, rule))
			}
		})
	}
}

// Two runs with the same seed give byte-identical reports and traces.
func TestSameSeedGivesSameReportAndTrace(t *testing.T) {
	a, b := Simulate(Deployments["volta"], faultOptions(5, 0.3)), Simulate(Deployments["volta"], faultOptions(5, 0.3))
	must.Eq(t, a.Report(), b.Report())
	must.Eq(t, a.Trace, b.Trace)
}

// Validate reports every invalid option, not only the first.
func TestValidateListsEveryInvalidOption(t *testing.T) {
	invalid := Options{Duration: time.Second, LoadFactor: -1, Faults: []string{"nope"}, AddCores: 9, Mutant: "x"}.Validate()
	must.NotNil(t, invalid)
	must.Eq(t, 5, len(invalid.Faults))
}

// WithSidecars keeps the number of endpoints of each service proportional, with a minimum of two, and
// does not change the original deployment.
func TestWithSidecarsKeepsEndpointProportions(t *testing.T) {
	before := Deployments["prairie"]
	for n, want := range map[int][]int{0: {5, 4}, 1: {2, 2}, 9: {5, 4}, 90: {50, 40}} {
		d := before.WithSidecars(n)
		must.Eq(t, want, []int{d.Services[0].Endpoints, d.Services[1].Endpoints}, must.Sprint(n))
	}
	must.Eq(t, 5, Deployments["prairie"].Services[0].Endpoints)
}
