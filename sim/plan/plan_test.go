package plan

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/world"
)

func day(seed uint64, scale float64, faults ...string) What {
	return What{Seed: seed, For: 25 * time.Second, Burden: 1, Scale: scale, LastHeavy: true, Links: true, Faults: faults}
}

func long(seed uint64) What {
	q := day(seed, 1)
	q.For = 40 * time.Second
	return q
}

// splits is a day of core splits with bursts and killed sidecars in each.
func splits(seed uint64) What {
	q := day(seed, 0.2)
	q.For, q.LastHeavy = 50*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		for i, name := range []string{"core-split", "side-kill", "burst", "side-kill", "side-kill", "herd"} {
			q.At = append(q.At, Timed{name, s + time.Duration(i)*100*time.Millisecond})
		}
	}
	return q
}

// Fixed seeds of both deployments under all faults: every rule holds. Those with a
// reason broke once.
func TestSeedsHold(t *testing.T) {
	for name, q := range map[string]struct {
		dep  string
		what What
	}{
		"prairie 1": {"prairie", day(1, 0.3)}, "prairie 2": {"prairie", day(2, 0.3)}, "prairie 3": {"prairie", day(3, 1)},
		"prairie 6: stayed with a core that was behind":      {"prairie", day(6, 0.3)},
		"prairie 12: stayed with a core that was behind":     {"prairie", day(12, 0.3)},
		"prairie 13: a lost forward was not repeated":        {"prairie", day(13, 0.3)},
		"prairie 14: tries paid by calls before the window":  {"prairie", day(14, 1, "release-bad", "endpoint-freeze", "endpoint-replace", "side-cut-core")},
		"prairie 30: tries paid by calls before the window":  {"prairie", day(30, 1, "release-bad", "endpoint-freeze", "endpoint-replace", "side-cut-core")},
		"prairie 1152: a deposed owner's grant was revived":  {"prairie", day(1152, 1)},
		"prairie 1181: a deposed owner's grant was revived":  {"prairie", day(1181, 1)},
		"prairie 1040: seeds that no core was at any longer": {"prairie", day(1040, 1, "core-empty", "core-fail-disk")},
		"prairie 517: the sweep asked only the fastest":      {"prairie", long(517)},
		"volta 506: the sweep asked only the fastest":        {"volta", long(506)},
		"splits 7: a restarted sidecar fell back":            {"prairie", splits(7)},
		"splits 8: a restarted sidecar fell back":            {"prairie", splits(8)},
		"splits 52: a restarted sidecar fell back":           {"prairie", splits(52)},
		"overlapping cuts 101: polls broken off":             {"prairie", overlapping(101)},
		"overlapping cuts 151: polls broken off":             {"prairie", overlapping(151)},
		"overlapping cuts 167: polls broken off":             {"prairie", overlapping(167)},
		"overload":                                           {"prairie", day(1, 1, "overload", "crowd")},
		"isolated 1":                                         {"prairie", isolated(1)},
		"isolated 2":                                         {"volta", isolated(2)},
		"no majority 1":                                      {"prairie", killed(1)},
		"no majority 2":                                      {"prairie", killed(2)},
		"clocks":                                             {"prairie", day(4, 0.5, "clock-jump", "machine-suspend", "core-kill", "release-bad")},
		"endpoints":                                          {"volta", day(5, 0.5, "endpoint-hang", "endpoint-gone", "service-empty", "machine-suspend")},
		"isolated restarts":                                  {"volta", day(6, 0.5, "isolated-restart", "manifest-large", "burst")},
		"cells 1":                                            {"prairie", cells(1)},
		"cells 2":                                            {"volta", cells(2)},
		"cells 3":                                            {"prairie", cells(3, "core-kill", "core-power", "core-freeze", "core-cut", "core-split")},
		"cells 4":                                            {"volta", cells(4, "core-roll", "clock-jump", "core-freeze")},
		"volta 216: a release of an earlier grant": {"volta", What{Seed: 216, For: 30 * time.Second, Burden: 0.05, LastHeavy: true, Links: true, Cells: true, FaultEvery: time.Second,
			Faults: []string{"core-freeze", "core-split", "core-cut", "core-isolated", "machine-suspend"}}},
		"platform 1":                 {"prairie", bays(1)},
		"platform 2":                 {"volta", bays(2)},
		"platform crowd":             {"prairie", bays(3, "overload", "crowd", "endpoint-slow", "endpoint-fails", "side-roll")},
		"platform reuse":             {"volta", bays(4, "endpoint-reuse", "endpoint-freeze", "endpoint-hang", "endpoint-replace", "side-kill")},
		"platform stops":             {"prairie", stops(1)},
		"platform kill, power":       {"prairie", bays(5, "core-kill-power", "core-kill", "core-power")},
		"volta 1":                    {"volta", day(1, 0.3)},
		"volta 2":                    {"volta", day(2, 1)},
		"volta 3: rolled throughout": {"volta", day(3, 0.5, "core-roll", "side-roll", "endpoint-replace")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Simulate(Deployments[q.dep], q.what)
			must.SliceEmpty(t, w.Check.Breaches, must.Sprint(w.Text()))
			must.Greater(t, int(500*min(1, 4*q.what.Burden)), len(w.Check.Runs))
		})
	}
}

// overlapping is a day on which cores are cut off in every way, one cut upon the other.
func overlapping(seed uint64) What {
	return What{Seed: seed, For: 40 * time.Second, FaultEvery: time.Second, Burden: 1, LastHeavy: true, Links: true, Cells: true, Platform: true,
		Faults: []string{"core-apart", "core-apart-refused", "core-apart-restart", "core-apart-alone", "seeds-apart", "core-cut", "core-split", "burst"}}
}

// bays is a day of the platform's kind.
func bays(seed uint64, faults ...string) What {
	q := day(seed, 0.6, faults...)
	q.Platform, q.Cells = true, true
	return q
}

// stops is a day on which sidecars are stopped as planned while requests wait beside them.
func stops(seed uint64) What {
	q := bays(seed)
	q.Scale, q.LastHeavy = 1, false
	for s := time.Second; s < 20*time.Second; s += 5 * time.Second {
		for i, name := range []string{"endpoint-slow", "endpoint-slow", "endpoint-slow", "endpoint-slow", "crowd", "side-roll", "side-roll"} {
			q.At = append(q.At, Timed{name, s + time.Duration(i)*150*time.Millisecond})
		}
	}
	return q
}

// cells is a day on which applications use cells and kept claims too.
func cells(seed uint64, faults ...string) What {
	q := day(seed, 0.2, faults...)
	q.Cells = true
	return q
}

// isolated is a day of bursts in the middle of which the core is cut off, with sidecars
// killed at once.
func isolated(seed uint64) What {
	q := day(seed, 0.2)
	q.For, q.LastHeavy = 52*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		q.At = append(q.At, Timed{"burst", s}, Timed{"core-isolated", s + 150*time.Millisecond})
		for _, ms := range []time.Duration{170, 200, 250, 400, 900} {
			q.At = append(q.At, Timed{"side-kill", s + ms*time.Millisecond})
		}
	}
	return q
}

// killed is a day of split cores with a burst and a killed core in each: for a while
// there is no majority.
func killed(seed uint64) What {
	q := day(seed, 0.2)
	q.For, q.LastHeavy = 52*time.Second, false
	for s := 3 * time.Second; s < 45*time.Second; s += 8 * time.Second {
		for ms, name := range map[time.Duration]string{0: "core-split", 100: "side-kill", 200: "burst", 300: "side-kill", 600: "core-kill", 650: "side-kill"} {
			q.At = append(q.At, Timed{name, s + ms*time.Millisecond})
		}
	}
	slices.SortFunc(q.At, func(a, b Timed) int { return int(a.After - b.After) })
	return q
}

// Each rule broken on purpose is seen broken: no checker is blind.
func TestEveryCheckerCanFail(t *testing.T) {
	faults := map[world.Break][]string{
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
	for b, rules := range world.Breaks {
		t.Run(string(b), func(t *testing.T) {
			t.Parallel()
			seen := map[string]bool{}
			for seed := uint64(1); seed < 20 && len(seen) < len(rules); seed++ {
				q := day(seed, 1, faults[b]...)
				if b == "witness" {
					q = isolated(seed)
				}
				if b == "stay" {
					q = parts(seed, "core-apart-alone", 0)
				}
				if b == "bay-stop" {
					q = stops(seed)
				}
				q.Break, q.Platform = b, b.Platform()
				q.Cells = strings.HasPrefix(string(b), "cell-")
				d := Deployments["prairie"]
				if b == world.BreakJoin {
					d, q = herd84, herdDay(seed, "herd-power")
					q.Break = b
				}
				for _, x := range Simulate(d, q).Check.Breaches {
					for _, r := range rules {
						if r == x.Rule {
							seen[r] = true
						}
					}
				}
			}
			for _, r := range rules {
				must.True(t, seen[r], must.Sprintf("%s broken, %s not seen", b, r))
			}
		})
	}
}

// The same seed gives the same bytes.
func TestSameSeedSameBytes(t *testing.T) {
	a, b := Simulate(Deployments["volta"], day(5, 0.3)), Simulate(Deployments["volta"], day(5, 0.3))
	must.Eq(t, a.Text(), b.Text())
	must.Eq(t, a.Trace, b.Trace)
}

// Bad input is named whole.
func TestBadWhatIsNamedWhole(t *testing.T) {
	d := What{For: time.Second, Burden: -1, Faults: []string{"nope"}, AddCores: 9, Break: "x"}.Check()
	must.NotNil(t, d)
	must.Eq(t, 5, len(d.Faults))
}
