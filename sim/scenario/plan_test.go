package scenario

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/world"
)

func faultDay(seed uint64, loadScale float64, faults ...string) Options {
	return Options{Seed: seed, Duration: 25 * time.Second, LoadFactor: 1, Scale: loadScale, FinalOutage: true, LossyLinks: true, Faults: faults}
}

func longDay(seed uint64) Options {
	options := faultDay(seed, 1)
	options.Duration = 40 * time.Second
	return options
}

// coreSplitDay is a day of core splits with bursts and killed sidecars in each.
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

// Fixed seeds of both deployments under all faults: every rule holds. Those with a
// reason broke once.
func TestSeedsHold(t *testing.T) {
	for name, day := range map[string]struct {
		deployment string
		options    Options
	}{
		"prairie 1": {"prairie", faultDay(1, 0.3)}, "prairie 2": {"prairie", faultDay(2, 0.3)}, "prairie 3": {"prairie", faultDay(3, 1)},
		"prairie 6: stayed with a core that was behind":      {"prairie", faultDay(6, 0.3)},
		"prairie 12: stayed with a core that was behind":     {"prairie", faultDay(12, 0.3)},
		"prairie 13: a lost forward was not repeated":        {"prairie", faultDay(13, 0.3)},
		"prairie 14: tries paid by calls before the window":  {"prairie", faultDay(14, 1, "release-bad", "endpoint-freeze", "endpoint-replace", "side-cut-core")},
		"prairie 30: tries paid by calls before the window":  {"prairie", faultDay(30, 1, "release-bad", "endpoint-freeze", "endpoint-replace", "side-cut-core")},
		"prairie 1152: a deposed owner's grant was revived":  {"prairie", faultDay(1152, 1)},
		"prairie 1181: a deposed owner's grant was revived":  {"prairie", faultDay(1181, 1)},
		"prairie 1040: seeds that no core was at any longer": {"prairie", faultDay(1040, 1, "core-empty", "core-fail-disk")},
		"prairie 517: the sweep asked only the fastest":      {"prairie", longDay(517)},
		"volta 506: the sweep asked only the fastest":        {"volta", longDay(506)},
		"splits 7: a restarted sidecar fell back":            {"prairie", coreSplitDay(7)},
		"splits 8: a restarted sidecar fell back":            {"prairie", coreSplitDay(8)},
		"splits 52: a restarted sidecar fell back":           {"prairie", coreSplitDay(52)},
		"overlapping cuts 101: polls broken off":             {"prairie", overlappingCutsDay(101)},
		"overlapping cuts 151: polls broken off":             {"prairie", overlappingCutsDay(151)},
		"overlapping cuts 167: polls broken off":             {"prairie", overlappingCutsDay(167)},
		"overload":                                           {"prairie", faultDay(1, 1, "overload", "crowd")},
		"isolated 1":                                         {"prairie", isolatedCoreDay(1)},
		"isolated 2":                                         {"volta", isolatedCoreDay(2)},
		"no majority 1":                                      {"prairie", lostMajorityDay(1)},
		"no majority 2":                                      {"prairie", lostMajorityDay(2)},
		"clocks":                                             {"prairie", faultDay(4, 0.5, "clock-jump", "machine-suspend", "core-kill", "release-bad")},
		"endpoints":                                          {"volta", faultDay(5, 0.5, "endpoint-hang", "endpoint-gone", "service-empty", "machine-suspend")},
		"isolated restarts":                                  {"volta", faultDay(6, 0.5, "isolated-restart", "manifest-large", "burst")},
		"cells 1":                                            {"prairie", keyspaceDay(1)},
		"cells 2":                                            {"volta", keyspaceDay(2)},
		"cells 3":                                            {"prairie", keyspaceDay(3, "core-kill", "core-power", "core-freeze", "core-cut", "core-split")},
		"cells 4":                                            {"volta", keyspaceDay(4, "core-roll", "clock-jump", "core-freeze")},
		"volta 216: a release of an earlier grant": {"volta", Options{Seed: 216, Duration: 30 * time.Second, LoadFactor: 0.05, FinalOutage: true, LossyLinks: true, Keyspaces: true, FaultInterval: time.Second,
			Faults: []string{"core-freeze", "core-split", "core-cut", "core-isolated", "machine-suspend"}}},
		"platform 1":                 {"prairie", platformDay(1)},
		"platform 2":                 {"volta", platformDay(2)},
		"platform crowd":             {"prairie", platformDay(3, "overload", "crowd", "endpoint-slow", "endpoint-fails", "side-roll")},
		"platform reuse":             {"volta", platformDay(4, "endpoint-reuse", "endpoint-freeze", "endpoint-hang", "endpoint-replace", "side-kill")},
		"platform stops":             {"prairie", plannedStopsDay(1)},
		"platform kill, power":       {"prairie", platformDay(5, "core-kill-power", "core-kill", "core-power")},
		"volta 1":                    {"volta", faultDay(1, 0.3)},
		"volta 2":                    {"volta", faultDay(2, 1)},
		"volta 3: rolled throughout": {"volta", faultDay(3, 0.5, "core-roll", "side-roll", "endpoint-replace")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Simulate(Deployments[day.deployment], day.options)
			must.SliceEmpty(t, w.Checker.Violations, must.Sprint(w.Text()))
			must.Greater(t, int(500*min(1, 4*day.options.LoadFactor)), len(w.Checker.Executions))
		})
	}
}

// overlappingCutsDay is a day on which cores are cut off in every way, one cut upon the other.
func overlappingCutsDay(seed uint64) Options {
	return Options{Seed: seed, Duration: 40 * time.Second, FaultInterval: time.Second, LoadFactor: 1, FinalOutage: true, LossyLinks: true, Keyspaces: true, Platform: true,
		Faults: []string{"core-apart", "core-apart-refused", "core-apart-restart", "core-apart-alone", "seeds-apart", "core-cut", "core-split", "burst"}}
}

// platformDay is a day of the platform's kind.
func platformDay(seed uint64, faults ...string) Options {
	options := faultDay(seed, 0.6, faults...)
	options.Platform, options.Keyspaces = true, true
	return options
}

// plannedStopsDay is a day on which sidecars are stopped as planned while requests wait beside them.
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

// keyspaceDay is a day on which applications use cells and kept claims too.
func keyspaceDay(seed uint64, faults ...string) Options {
	options := faultDay(seed, 0.2, faults...)
	options.Keyspaces = true
	return options
}

// isolatedCoreDay is a day of bursts in the middle of which the core is cut off, with sidecars
// killed at once.
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

// lostMajorityDay is a day of split cores with a burst and a killed core in each: for a while
// there is no majority.
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

// Each rule broken on purpose is seen broken: no checker is blind.
func TestEveryCheckerCanFail(t *testing.T) {
	faults := map[world.Mutant][]string{
		"gate":      {"endpoint-freeze", "endpoint-reuse"},
		"leaver":    {"endpoint-replace"},
		"allowance": {"release-bad"},
		"stop":      {"side-roll"},
		"silence":   {"endpoint-hang"},
		"clock":     {"clock-jump"},
		"urgent":    {"overload"},
		"bay":       {"crowd", "endpoint-slow"},
		"bay-act":   {"crowd", "endpoint-slow"},
		"fence":     {"endpoint-reuse", "endpoint-freeze"},
		"shed":      {"endpoint-slow", "overload"},
		"failed":    {"endpoint-fails"},
		"soft":      {"core-kill-power"},
		"folder":    {"core-kill-power"},
	}
	for mutant, rules := range world.Mutants {
		t.Run(string(mutant), func(t *testing.T) {
			t.Parallel()
			seen := map[string]bool{}
			for seed := uint64(1); seed < 20 && len(seen) < len(rules); seed++ {
				options := faultDay(seed, 1, faults[mutant]...)
				if mutant == "witness" {
					options = isolatedCoreDay(seed)
				}
				if mutant == "stay" {
					options = partitionDay(seed, "core-apart-alone", 0)
				}
				if mutant == "bay-stop" {
					options = plannedStopsDay(seed)
				}
				options.Mutant, options.Platform = mutant, mutant.NeedsPlatform()
				options.Keyspaces = strings.HasPrefix(string(mutant), "cell-")
				deployment := Deployments["prairie"]
				if mutant == world.MutantJoinSingly {
					deployment, options = herd84, herdDay(seed, "herd-power")
					options.Mutant = mutant
				}
				for _, violation := range Simulate(deployment, options).Checker.Violations {
					for _, rule := range rules {
						if rule == violation.Rule {
							seen[rule] = true
						}
					}
				}
			}
			for _, rule := range rules {
				must.True(t, seen[rule], must.Sprintf("%s broken, %s not seen", mutant, rule))
			}
		})
	}
}

// The same seed gives the same bytes.
func TestSameSeedSameBytes(t *testing.T) {
	a, b := Simulate(Deployments["volta"], faultDay(5, 0.3)), Simulate(Deployments["volta"], faultDay(5, 0.3))
	must.Eq(t, a.Text(), b.Text())
	must.Eq(t, a.Trace, b.Trace)
}

// Bad input is named whole.
func TestInvalidOptionsListEveryFault(t *testing.T) {
	invalid := Options{Duration: time.Second, LoadFactor: -1, Faults: []string{"nope"}, AddCores: 9, Mutant: "x"}.Validate()
	must.NotNil(t, invalid)
	must.Eq(t, 5, len(invalid.Faults))
}
