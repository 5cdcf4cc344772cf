package world

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/storage/ring"
)

// World is the whole simulated mesh.
type World struct {
	Clock
	Links          Links
	Cores          []*Core
	Sidecars       []*Sidecar
	Seeds          []ident.Addr
	Founders       []ident.Addr
	Ring           ring.Options
	Checker        *invariant.Checker
	Trace          []string
	endpoints      map[ident.Addr]*Endpoint
	diskCount      int
	callCount      int
	watchEvents    int
	OperationTimes []time.Duration // of operations that were told a yes
	// MaxSenders is how many requests a sidecar sends at once, and its queues' size.
	MaxSenders int
	// HistoryRetention is how long a group keeps its puts, the default if 0.
	HistoryRetention time.Duration
	// Platform says that the world is as the users' platform has it: endpoints have slots,
	// a queue and words of their own, beat at a slower pace and turn away what names
	// another; admission queues stand beside the gates; and what a killed core has not synced stays in
	// the page cache until power is lost.
	Platform bool
	// CoreMessageCost is how long a core's process takes for each message and request that reaches it,
	// as one with a part of a processor does; nothing if 0.
	CoreMessageCost time.Duration
	// Closed says that clients begin nothing new.
	Closed bool
	// Broken on purpose, to see the checkers catch it.
	Mutant   Mutant
	Counters map[string]int
}

// Mutant names the rule that is broken on purpose, none if empty.
type Mutant string

// Mutants lists what can be broken on purpose, and the rules that must then be seen
// broken.
var Mutants = map[Mutant][]string{
	"gate":           {"wrong-service"},
	"leaver":         {"late-to-leaver"},
	"retry":          {"double-run"},
	"fate":           {"false-not-run"},
	"return":         {"wrong-return"},
	"deaf":           {"manifest-late"},
	"stay":           {"manifest-late"},
	"replica":        {"manifest-back", "stale-read"},
	"offer":          {"manifest-turned"},
	"quorum":         {"number-repeated", "stale-read"},
	"lock":           {"lock-shared"},
	"stop":           {"dropped-in-stop"},
	"allowance":      {"further-tries"},
	"history":        {"watch-forgotten"},
	"restart":        {"slow-recovery"},
	"witness":        {"manifest-back"},
	"silence":        {"late-to-leaver"},
	"urgent":         {"urgent-turned"},
	"held":           {"held-back"},
	"clock":          {"lock-shared"},
	"mend":           {"not-mended"},
	"audit":          {"audit"},
	MutantJoinSingly: {invariant.HerdReady},
	// Those of cells and kept claims.
	"cell-twice":   {"cell-order"},
	"cell-old":     {"cell-stale"},
	"cell-skip":    {"cell-watch"},
	"cell-history": {"cell-watch"},
	"cell-fate":    {"cell-turned"},
	"cell-keep":    {"lock-shared"},
	// Those of worlds with admission queues.
	"bay":      {invariant.AdmissionRejected},
	"bay-act":  {invariant.AdmissionDecision},
	"bay-stop": {invariant.AdmissionStop},
	"fence":    {"wrong-service"},
	"shed":     {"false-not-run"},
	"failed":   {"double-run"},
	"soft":     {"disk"},
	"folder":   {"disk"},
}

// platformMutants lists the breaks that need a world of the platform's kind.
var platformMutants = map[Mutant]bool{"bay": true, "bay-act": true, "bay-stop": true, "fence": true, "shed": true, "failed": true, "soft": true, "folder": true}

// NeedsPlatform tells whether the break needs a world of the platform's kind.
func (b Mutant) NeedsPlatform() bool { return platformMutants[b] }

// New makes an empty world of a seed.
func New(seed uint64) *World {
	w := &World{Checker: invariant.New(), endpoints: map[ident.Addr]*Endpoint{}, Ring: ring.Options{FileCount: 6, FileSize: 256 << 10}, Counters: map[string]int{}, MaxSenders: 64}
	w.Rng = rand.New(rand.NewPCG(seed, 0x5eed))
	w.Links = Links{BaseLatency: 200 * time.Microsecond, Jitter: 800 * time.Microsecond, cuts: map[[2]ident.Addr]int{}, refused: map[[2]ident.Addr]int{}}
	return w
}

// Tracef writes a line of the trace.
func (w *World) Tracef(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3fs ", time.Duration(w.now).Seconds())+fmt.Sprintf(format, args...))
}

// Violate notes a breach with what was going on.
func (w *World) Violate(rule, format string, args ...any) {
	w.Checker.Violate(w.now, rule, format, args...)
}

// Now is virtual time.
func (w *World) Now() monotime.Time { return w.now }

// RunFor runs the world.
func (w *World) RunFor(duration time.Duration) { w.Run(w.now.Add(duration)) }

// machineAddrs lists every machine.
func (w *World) machineAddrs() []ident.Addr {
	var out []ident.Addr
	for _, c := range w.Cores {
		out = append(out, c.Addr)
	}
	for _, s := range w.Sidecars {
		out = append(out, s.Addr)
	}
	return out
}

// Isolate cuts machines off from all others, for a while. way is "in", "out" or "both".
func (w *World) Isolate(isolated []ident.Addr, direction string, duration time.Duration) {
	inside := map[ident.Addr]bool{}
	for _, a := range isolated {
		inside[a] = true
	}
	var cut [][2]ident.Addr
	for _, a := range isolated {
		for _, b := range w.machineAddrs() {
			if inside[b] {
				continue
			}
			if direction != "out" {
				cut = append(cut, [2]ident.Addr{b, a})
			}
			if direction != "in" {
				cut = append(cut, [2]ident.Addr{a, b})
			}
		}
	}
	w.cutFor(cut, duration)
}

// Partition cuts two groups from each other for a while.
func (w *World) Partition(left, right []ident.Addr, duration time.Duration) {
	var cut [][2]ident.Addr
	for _, a := range left {
		for _, b := range right {
			cut = append(cut, [2]ident.Addr{a, b}, [2]ident.Addr{b, a})
		}
	}
	w.cutFor(cut, duration)
}

// cutFor cuts directions for a while; cuts of one direction may overlap.
func (w *World) cutFor(cut [][2]ident.Addr, duration time.Duration) {
	for _, c := range cut {
		w.Links.cuts[c]++
	}
	heals := w.Links.healCount
	w.After(duration, func() {
		if w.Links.healCount != heals {
			return // everything was healed meanwhile
		}
		for _, c := range cut {
			if w.Links.cuts[c]--; w.Links.cuts[c] <= 0 {
				delete(w.Links.cuts, c)
			}
		}
	})
}

// Text is the report.
func (w *World) Text() string {
	var b strings.Builder
	outcomes := map[invariant.Outcome]int{}
	for _, call := range w.Checker.Calls {
		outcomes[call.Outcome]++
	}
	fmt.Fprintf(&b, "calls %d: served %d, not run %d, unknown %d, own node down %d, open %d; runs %d\n", len(w.Checker.Calls), outcomes[invariant.Served],
		outcomes[invariant.NotExecuted], outcomes[invariant.Unknown], outcomes[invariant.SidecarDown], outcomes[invariant.Pending], len(w.Checker.Executions))
	fmt.Fprintf(&b, "messages %d, lost %d; manifests %d confirmed, %d refused, %d unknown; deeds %d ok, %d no, %d unknown; watches told %d\n",
		w.Links.SentMessages, w.Links.LostMessages, w.Counters["manifest-yes"], w.Counters["manifest-no"], w.Counters["manifest-unknown"],
		w.Counters["deed-yes"], w.Counters["deed-no"], w.Counters["deed-unknown"], w.watchEvents)
	if n := len(w.OperationTimes); n > 0 {
		slices.Sort(w.OperationTimes)
		fmt.Fprintf(&b, "deeds took: median %v, 99%% %v, 99.9%% %v, most %v\n", w.OperationTimes[n/2].Round(time.Microsecond), w.OperationTimes[n*99/100].Round(time.Microsecond),
			w.OperationTimes[n*999/1000].Round(time.Microsecond), w.OperationTimes[n-1].Round(time.Microsecond))
	}
	b.WriteString(w.Checker.Text())
	if len(w.Checker.Violations) > 0 {
		first := w.Checker.Violations[0]
		for _, violation := range w.Checker.Violations {
			if violation.At < first.At {
				first = violation
			}
		}
		fmt.Fprintf(&b, "first breach at %.3fs: %s: %s\n", time.Duration(first.At).Seconds(), first.Rule, first.Note)
		for _, line := range w.Trace {
			var at float64
			if _, err := fmt.Sscanf(strings.TrimSpace(line), "%fs", &at); err == nil && at < time.Duration(first.At).Seconds()+0.001 && at > time.Duration(first.At).Seconds()-15 {
				b.WriteString("  " + line + "\n")
			}
		}
	}
	return b.String()
}

// Healthy tells whether the core is up, thawed, with a whole disk, and votes.
func (c *Core) Healthy() bool {
	return c.running && !c.frozen && !c.diskFailed && c.node != nil && c.node.IsVoter()
}

// FailDisk makes the disk fail every write and sync from now on.
func (c *Core) FailDisk() {
	c.memDisk.BeforeWrite = func(string) error { return fmt.Errorf("the disk failed") }
}

// CompareReplicas looks whether, after a calm time, every voter holds the same of every key:
// reads and the sweep must have mended the rest.
func (w *World) CompareReplicas() {
	var reference *Core
	var expected map[ident.Key]quorum.Record
	for _, c := range w.Cores {
		if !c.Healthy() {
			continue
		}
		copies := c.node.Copies()
		if reference == nil {
			reference, expected = c, copies
			continue
		}
		keys := slices.Sorted(maps.Keys(expected))
		for k := range copies {
			if _, ok := expected[k]; !ok {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			w.Checker.Observe("not-mended")
			if a, b := expected[k], copies[k]; !a.Same(b) {
				w.Violate("not-mended", "%s: %s holds revision %d of %v, %s holds %d of %v", k, reference.Addr, a.Revision, a.Accepted, c.Addr, b.Revision, b.Accepted)
			}
		}
	}
}
