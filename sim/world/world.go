package world

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/storage/ring"
)

// World is the whole simulated mesh.
type World struct {
	Clock
	Links    Links
	Cores    []*Core
	Sides    []*Side
	Seeds    []ident.Addr
	Founders []ident.Addr
	Ring     ring.Boot
	Check    *check.Check
	Trace    []string
	spots    map[ident.Addr]*Endpoint
	disks    int
	calls    int
	told     int
	Took     []time.Duration // of operations that were told a yes
	// Senders is how many requests a sidecar sends at once, and its queues' size.
	Senders int
	// History is how long a group keeps its puts, the default if 0.
	History time.Duration
	// Platform says that the world is as the users' platform has it: endpoints have slots,
	// a queue and words of their own, beat at a slower pace and turn away what names
	// another; admission queues stand beside the gates; and what a killed core has not synced stays in
	// the page cache until power is lost.
	Platform bool
	// Cost is how long a core's process takes for each message and request that reaches it,
	// as one with a part of a processor does; nothing if 0.
	Cost time.Duration
	// Closed says that clients begin nothing new.
	Closed bool
	// Broken on purpose, to see the checkers catch it.
	Break  Break
	Served map[string]int
}

// Break names the rule that is broken on purpose, none if empty.
type Break string

// Breaks lists what can be broken on purpose, and the rules that must then be seen
// broken.
var Breaks = map[Break][]string{
	"gate":      {"wrong-service"},
	"leaver":    {"late-to-leaver"},
	"retry":     {"double-run"},
	"fate":      {"false-not-run"},
	"return":    {"wrong-return"},
	"deaf":      {"manifest-late"},
	"stay":      {"manifest-late"},
	"replica":   {"manifest-back", "stale-read"},
	"offer":     {"manifest-turned"},
	"quorum":    {"number-repeated", "stale-read"},
	"lock":      {"lock-shared"},
	"stop":      {"dropped-in-stop"},
	"allowance": {"further-tries"},
	"history":   {"watch-forgotten"},
	"restart":   {"slow-recovery"},
	"witness":   {"manifest-back"},
	"silence":   {"late-to-leaver"},
	"urgent":    {"urgent-turned"},
	"held":      {"held-back"},
	"clock":     {"lock-shared"},
	"mend":      {"not-mended"},
	"audit":     {"audit"},
	BreakJoin:   {check.HerdReady},
	// Those of cells and kept claims.
	"cell-twice":   {"cell-order"},
	"cell-old":     {"cell-stale"},
	"cell-skip":    {"cell-watch"},
	"cell-history": {"cell-watch"},
	"cell-fate":    {"cell-turned"},
	"cell-keep":    {"lock-shared"},
	// Those of worlds with admission queues.
	"bay":      {check.BayTurned},
	"bay-act":  {check.BayTold},
	"bay-stop": {check.BayStop},
	"fence":    {"wrong-service"},
	"shed":     {"false-not-run"},
	"failed":   {"double-run"},
	"soft":     {"disk"},
	"folder":   {"disk"},
}

// platform lists the breaks that need a world of the platform's kind.
var platform = map[Break]bool{"bay": true, "bay-act": true, "bay-stop": true, "fence": true, "shed": true, "failed": true, "soft": true, "folder": true}

// Platform tells whether the break needs a world of the platform's kind.
func (b Break) Platform() bool { return platform[b] }

// New makes an empty world of a seed.
func New(seed uint64) *World {
	w := &World{Check: check.New(), spots: map[ident.Addr]*Endpoint{}, Ring: ring.Boot{Files: 6, Size: 256 << 10}, Served: map[string]int{}, Senders: 64}
	w.Rng = rand.New(rand.NewPCG(seed, 0x5eed))
	w.Links = Links{Base: 200 * time.Microsecond, Jitter: 800 * time.Microsecond, cuts: map[[2]ident.Addr]int{}, refused: map[[2]ident.Addr]int{}}
	return w
}

// Say writes a line of the trace.
func (w *World) Say(form string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3fs ", time.Duration(w.now).Seconds())+fmt.Sprintf(form, args...))
}

// Breach notes a breach with what was going on.
func (w *World) Breach(rule, form string, args ...any) { w.Check.Break(w.now, rule, form, args...) }

// Now is virtual time.
func (w *World) Now() monotime.Time { return w.now }

// RunFor runs the world.
func (w *World) RunFor(d time.Duration) { w.Run(w.now.Add(d)) }

// addrs lists every machine.
func (w *World) addrs() []ident.Addr {
	var out []ident.Addr
	for _, c := range w.Cores {
		out = append(out, c.Addr)
	}
	for _, s := range w.Sides {
		out = append(out, s.Addr)
	}
	return out
}

// Isolate cuts machines off from all others, for a while. way is "in", "out" or "both".
func (w *World) Isolate(list []ident.Addr, way string, d time.Duration) {
	in := map[ident.Addr]bool{}
	for _, a := range list {
		in[a] = true
	}
	var cut [][2]ident.Addr
	for _, a := range list {
		for _, b := range w.addrs() {
			if in[b] {
				continue
			}
			if way != "out" {
				cut = append(cut, [2]ident.Addr{b, a})
			}
			if way != "in" {
				cut = append(cut, [2]ident.Addr{a, b})
			}
		}
	}
	w.cutFor(cut, d)
}

// Sever cuts two groups from each other for a while.
func (w *World) Sever(one, two []ident.Addr, d time.Duration) {
	var cut [][2]ident.Addr
	for _, a := range one {
		for _, b := range two {
			cut = append(cut, [2]ident.Addr{a, b}, [2]ident.Addr{b, a})
		}
	}
	w.cutFor(cut, d)
}

// cutFor cuts directions for a while; cuts of one direction may overlap.
func (w *World) cutFor(cut [][2]ident.Addr, d time.Duration) {
	for _, c := range cut {
		w.Links.cuts[c]++
	}
	heals := w.Links.heals
	w.After(d, func() {
		if w.Links.heals != heals {
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
	fates := map[check.Fate]int{}
	for _, k := range w.Check.Calls {
		fates[k.Fate]++
	}
	fmt.Fprintf(&b, "calls %d: served %d, not run %d, unknown %d, own node down %d, open %d; runs %d\n", len(w.Check.Calls), fates[check.Served],
		fates[check.NotRun], fates[check.Unknown], fates[check.NoNode], fates[check.Open], len(w.Check.Runs))
	fmt.Fprintf(&b, "messages %d, lost %d; manifests %d confirmed, %d refused, %d unknown; deeds %d ok, %d no, %d unknown; watches told %d\n",
		w.Links.Sent, w.Links.Lost, w.Served["manifest-yes"], w.Served["manifest-no"], w.Served["manifest-unknown"],
		w.Served["deed-yes"], w.Served["deed-no"], w.Served["deed-unknown"], w.told)
	if n := len(w.Took); n > 0 {
		slices.Sort(w.Took)
		fmt.Fprintf(&b, "deeds took: median %v, 99%% %v, 99.9%% %v, most %v\n", w.Took[n/2].Round(time.Microsecond), w.Took[n*99/100].Round(time.Microsecond),
			w.Took[n*999/1000].Round(time.Microsecond), w.Took[n-1].Round(time.Microsecond))
	}
	b.WriteString(w.Check.Text())
	if len(w.Check.Breaches) > 0 {
		first := w.Check.Breaches[0]
		for _, x := range w.Check.Breaches {
			if x.At < first.At {
				first = x
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

// Well tells whether the core is up, thawed, with a whole disk, and votes.
func (c *Core) Well() bool {
	return c.up && !c.frozen && !c.broken && c.node != nil && c.node.Votes()
}

// Fail makes the disk fail every write and sync from now on.
func (c *Core) Fail() { c.mem.Fail = func(string) error { return fmt.Errorf("the disk failed") } }

// Compare looks whether, after a calm time, every voter holds the same of every key:
// reads and the sweep must have mended the rest.
func (w *World) Compare() {
	var first *Core
	var want map[ident.Key]quorum.Record
	for _, c := range w.Cores {
		if !c.Well() {
			continue
		}
		have := c.node.Copies()
		if first == nil {
			first, want = c, have
			continue
		}
		keys := slices.Sorted(maps.Keys(want))
		for k := range have {
			if _, ok := want[k]; !ok {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			w.Check.Look("not-mended")
			if a, b := want[k], have[k]; !a.Same(b) {
				w.Breach("not-mended", "%s: %s holds revision %d of %v, %s holds %d of %v", k, first.Addr, a.Revision, a.Accepted, c.Addr, b.Revision, b.Accepted)
			}
		}
	}
}
