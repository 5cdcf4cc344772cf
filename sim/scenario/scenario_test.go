package scenario

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/world"
)

// faultDay is a day of drawn faults and a final outage, over lossy links.
func faultDay(seed uint64, loadScale float64, faults ...string) Options {
	return Options{Seed: seed, Duration: 25 * time.Second, LoadFactor: 1, Scale: loadScale, FinalOutage: true, LossyLinks: true, Faults: faults}
}

// longDay is a longer faultDay under the full load.
func longDay(seed uint64) Options {
	options := faultDay(seed, 1)
	options.Duration = 40 * time.Second
	return options
}

// coreSplitDay is a day on which the cores are split again and again, with bursts of proposals
// and killed sidecars each time.
func coreSplitDay(seed uint64) Options {
	options := faultDay(seed, 0.2)
	options.Duration, options.FinalOutage = 50*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		for i, name := range []string{"core-split", "side-kill", "burst", "side-kill", "side-kill", "herd"} {
			options.Schedule = append(options.Schedule, ScheduledFault{name, s + time.Duration(i)*100*time.Millisecond})
		}
	}
	return options
}

// On fixed seeds of both deployments and all faults every rule holds. Seeds with a reason in
// their name broke a rule once.
func TestSeedsHold(t *testing.T) {
	for name, day := range map[string]struct {
		deployment string
		options    Options
	}{
		"prairie 1": {"prairie", faultDay(1, 0.3)}, "prairie 2": {"prairie", faultDay(2, 0.3)}, "prairie 3": {"prairie", faultDay(3, 1)},
		"prairie 6: stayed with a core that was behind":           {"prairie", faultDay(6, 0.3)},
		"prairie 12: stayed with a core that was behind":          {"prairie", faultDay(12, 0.3)},
		"prairie 13: a lost forward was not repeated":             {"prairie", faultDay(13, 0.3)},
		"prairie 14: retries paid for by calls before the window": {"prairie", faultDay(14, 1, "release-bad", "endpoint-freeze", "endpoint-replace", "side-cut-core")},
		"prairie 30: retries paid for by calls before the window": {"prairie", faultDay(30, 1, "release-bad", "endpoint-freeze", "endpoint-replace", "side-cut-core")},
		"prairie 1152: a deposed proposer's grant was revived":    {"prairie", faultDay(1152, 1)},
		"prairie 1181: a deposed proposer's grant was revived":    {"prairie", faultDay(1181, 1)},
		"prairie 1040: seeds that no core was at any longer":      {"prairie", faultDay(1040, 1, "core-empty", "core-fail-disk")},
		"prairie 517: anti-entropy asked only the fastest":        {"prairie", longDay(517)},
		"volta 506: anti-entropy asked only the fastest":          {"volta", longDay(506)},
		"splits 7: a restarted sidecar fell back":                 {"prairie", coreSplitDay(7)},
		"splits 8: a restarted sidecar fell back":                 {"prairie", coreSplitDay(8)},
		"splits 52: a restarted sidecar fell back":                {"prairie", coreSplitDay(52)},
		"overlapping cuts 101: polls broken off":                  {"prairie", overlappingCutsDay(101)},
		"overlapping cuts 151: polls broken off":                  {"prairie", overlappingCutsDay(151)},
		"overlapping cuts 167: polls broken off":                  {"prairie", overlappingCutsDay(167)},
		"overload":                                                {"prairie", faultDay(1, 1, "overload", "crowd")},
		"storms 1: each change started the wait anew":             {"small", configStormDay(1)},
		"storms 2: each change started the wait anew":             {"small", configStormDay(2)},
		"storms 3: each change started the wait anew":             {"small", configStormDay(3)},
		"isolated 1":        {"prairie", isolatedCoreDay(1)},
		"isolated 2":        {"volta", isolatedCoreDay(2)},
		"no majority 1":     {"prairie", lostMajorityDay(1)},
		"no majority 2":     {"prairie", lostMajorityDay(2)},
		"clocks":            {"prairie", faultDay(4, 0.5, "clock-jump", "machine-suspend", "core-kill", "release-bad")},
		"endpoints":         {"volta", faultDay(5, 0.5, "endpoint-hang", "endpoint-gone", "service-empty", "machine-suspend")},
		"isolated restarts": {"volta", faultDay(6, 0.5, "isolated-restart", "manifest-large", "burst")},
		"cells 1":           {"prairie", keyspaceDay(1)},
		"cells 2":           {"volta", keyspaceDay(2)},
		"cells 3":           {"prairie", keyspaceDay(3, "core-kill", "core-power", "core-freeze", "core-cut", "core-split")},
		"cells 4":           {"volta", keyspaceDay(4, "core-roll", "clock-jump", "core-freeze")},
		"volta 216: a release of an earlier grant": {"volta", Options{Seed: 216, Duration: 30 * time.Second, LoadFactor: 0.05, FinalOutage: true, LossyLinks: true, Keyspaces: true, FaultInterval: time.Second,
			Faults: []string{"core-freeze", "core-split", "core-cut", "core-isolated", "machine-suspend"}}},
		"platform 1":                 {"prairie", platformDay(1)},
		"platform 2":                 {"volta", platformDay(2)},
		"platform crowd":             {"prairie", platformDay(3, "overload", "crowd", "endpoint-slow", "endpoint-fails", "side-roll")},
		"platform reuse":             {"volta", platformDay(4, "endpoint-reuse", "endpoint-freeze", "endpoint-hang", "endpoint-replace", "side-kill")},
		"platform stops":             {"prairie", plannedStopsDay(1)},
		"platform kill, power":       {"prairie", platformDay(5, "core-kill-power", "core-kill", "core-power")},
		"late heartbeats 1":          {"prairie", platformDay(1, "endpoint-late-beat", "endpoint-replace")},
		"late heartbeats 2":          {"volta", platformDay(2, "endpoint-late-beat", "side-roll", "endpoint-reuse")},
		"late heartbeats 3":          {"prairie", faultDay(3, 0.5, "endpoint-late-beat", "endpoint-replace")},
		"volta 1":                    {"volta", faultDay(1, 0.3)},
		"volta 2":                    {"volta", faultDay(2, 1)},
		"volta 3: rolled throughout": {"volta", faultDay(3, 0.5, "core-roll", "side-roll", "endpoint-replace")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Simulate(deploymentNamed(day.deployment), day.options)
			must.SliceEmpty(t, w.Checker.Violations, must.Sprint(w.Report()))
			must.Greater(t, int(500*min(1, 4*day.options.LoadFactor)), len(w.Checker.Executions))
		})
	}
}

// overlappingCutsDay is a day on which cores are cut off in every way, with overlapping cuts.
func overlappingCutsDay(seed uint64) Options {
	return Options{Seed: seed, Duration: 40 * time.Second, FaultInterval: time.Second, LoadFactor: 1, FinalOutage: true, LossyLinks: true, Keyspaces: true, Platform: true,
		Faults: []string{"core-apart", "core-apart-refused", "core-apart-restart", "core-apart-alone", "seeds-apart", "core-cut", "core-split", "burst"}}
}

// platformDay is a day of a world of the platform's kind.
func platformDay(seed uint64, faults ...string) Options {
	options := faultDay(seed, 0.6, faults...)
	options.Platform, options.Keyspaces = true, true
	return options
}

// plannedStopsDay is a day of planned stops of sidecars while requests wait in their queues.
func plannedStopsDay(seed uint64) Options {
	options := platformDay(seed)
	options.Scale, options.FinalOutage = 1, false
	for s := time.Second; s < 20*time.Second; s += 5 * time.Second {
		for i, name := range []string{"endpoint-slow", "endpoint-slow", "endpoint-slow", "endpoint-slow", "crowd", "side-roll", "side-roll"} {
			options.Schedule = append(options.Schedule, ScheduledFault{name, s + time.Duration(i)*150*time.Millisecond})
		}
	}
	return options
}

// keyspaceDay is a day on which clients use keyspaces and the platform's locks too.
func keyspaceDay(seed uint64, faults ...string) Options {
	options := faultDay(seed, 0.2, faults...)
	options.Keyspaces = true
	return options
}

// isolatedCoreDay is a day of bursts of proposals during which all cores are cut off from the
// sidecars, some of which are killed right then.
func isolatedCoreDay(seed uint64) Options {
	options := faultDay(seed, 0.2)
	options.Duration, options.FinalOutage = 52*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		options.Schedule = append(options.Schedule, ScheduledFault{"burst", s}, ScheduledFault{"core-isolated", s + 150*time.Millisecond})
		for _, ms := range []time.Duration{170, 200, 250, 400, 900} {
			options.Schedule = append(options.Schedule, ScheduledFault{"side-kill", s + ms*time.Millisecond})
		}
	}
	return options
}

// lostMajorityDay is a day of split cores with a burst of proposals and a killed core in each
// split: for a while there is no majority.
func lostMajorityDay(seed uint64) Options {
	options := faultDay(seed, 0.2)
	options.Duration, options.FinalOutage = 52*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		for ms, name := range map[time.Duration]string{0: "core-split", 100: "side-kill", 200: "burst", 300: "side-kill", 600: "core-kill", 650: "side-kill"} {
			options.Schedule = append(options.Schedule, ScheduledFault{name, s + ms*time.Millisecond})
		}
	}
	slices.SortFunc(options.Schedule, func(a, b ScheduledFault) int { return int(a.After - b.After) })
	return options
}

// deploymentNamed is a deployment by its name; "small" is prairie with four machines.
func deploymentNamed(name string) Deployment {
	if name != "small" {
		return Deployments[name]
	}
	small := Deployments["prairie"]
	small.Name, small.Sidecars, small.Rate = name, 4, 150
	return small
}

// configStormDay is a day on which configurations come in quick succession while machines of a small
// mesh are silent one after the other: fewer peers answer than are asked to hold each one.
func configStormDay(seed uint64) Options {
	options := faultDay(seed, 0.5)
	options.Duration, options.FinalOutage = 40*time.Second, false
	for s := 2 * time.Second; s < 35*time.Second; s += 8 * time.Second {
		for ms, name := range map[time.Duration]string{0: "side-freeze", 1: "manifest-storm", 1500: "side-cut", 3000: "side-freeze"} {
			options.Schedule = append(options.Schedule, ScheduledFault{name, s + ms*time.Millisecond})
		}
	}
	slices.SortFunc(options.Schedule, func(a, b ScheduledFault) int { return int(a.After - b.After) })
	return options
}

// mutantFaults are the faults that show a mutant, where not all faults do.
var mutantFaults = map[world.Mutant][]string{
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

// mutantDay is a day that shows a mutant, on some seed.
func mutantDay(mutant world.Mutant, seed uint64) (Deployment, Options) {
	options := faultDay(seed, 1, mutantFaults[mutant]...)
	switch mutant {
	case world.MutantNoPeerCache:
		options = isolatedCoreDay(seed)
	case world.MutantExtendWait:
		options = configStormDay(seed)
		options.Mutant = mutant
		return deploymentNamed("small"), options
	case world.MutantKeepStaleCore:
		options = partitionDay(seed, "core-apart-alone", 0)
	case world.MutantQueueInStop:
		options = plannedStopsDay(seed)
	}
	options.Mutant, options.Platform = mutant, mutant.NeedsPlatform()
	options.Keyspaces = strings.HasPrefix(string(mutant), "cell-")
	if mutant == world.MutantBypassJoinQueue {
		options = herdDay(seed, "herd-power")
		options.Mutant = mutant
		return herd84, options
	}
	return Deployments["prairie"], options
}

// Every mutant is seen to break its rules: no checker is blind.
func TestEveryCheckerCanFail(t *testing.T) {
	for mutant, rules := range world.Mutants {
		t.Run(string(mutant), func(t *testing.T) {
			t.Parallel()
			seen := map[string]bool{}
			for seed := uint64(1); seed < 20 && len(seen) < len(rules); seed++ {
				for _, violation := range Simulate(mutantDay(mutant, seed)).Checker.Violations {
					if slices.Contains(rules, violation.Rule) {
						seen[violation.Rule] = true
					}
				}
			}
			for _, rule := range rules {
				must.True(t, seen[rule], must.Sprintf("mutant %s does not break %s", mutant, rule))
			}
		})
	}
}

// The same seed gives the same report and trace, byte for byte.
func TestSameSeedSameBytes(t *testing.T) {
	a, b := Simulate(Deployments["volta"], faultDay(5, 0.3)), Simulate(Deployments["volta"], faultDay(5, 0.3))
	must.Eq(t, a.Report(), b.Report())
	must.Eq(t, a.Trace, b.Trace)
}

// Invalid options are reported with all their faults.
func TestInvalidOptionsListEveryFault(t *testing.T) {
	invalid := Options{Duration: time.Second, LoadFactor: -1, Faults: []string{"nope"}, AddCores: 9, Mutant: "x"}.Validate()
	must.NotNil(t, invalid)
	must.Eq(t, 5, len(invalid.Faults))
}

// Another number of sidecars keeps the endpoints of each service in proportion, two at least, and leaves
// the deployment that it came from as it is.
func TestDeploymentWithAnotherNumberOfSidecars(t *testing.T) {
	before := Deployments["prairie"]
	for n, want := range map[int][]int{0: {5, 4}, 1: {2, 2}, 9: {5, 4}, 90: {50, 40}} {
		d := before.WithSidecars(n)
		must.Eq(t, want, []int{d.Services[0].Endpoints, d.Services[1].Endpoints}, must.Sprint(n))
	}
	must.Eq(t, 5, Deployments["prairie"].Services[0].Endpoints)
}
