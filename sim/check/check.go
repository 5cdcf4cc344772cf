// Package check holds one checker for each line of "What must never happen".
package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// Fate is what a caller was told.
type Fate string

// The fates.
const (
	Served  Fate = "served"
	NotRun  Fate = "not-run"
	Unknown Fate = "unknown"
	NoNode  Fate = "no-node"
	Open    Fate = ""
)

// Call is one request.
type Call struct {
	ID           string
	Service      ident.Service
	Unsafe       bool
	Counted      bool
	Urgent       bool
	Beside       int // urgent calls in hand at its own sidecar when it was put in line, it too
	Room         int // how many of them that sidecar has room for
	Began, Ended monotime.Time
	Last         monotime.Time // when its last try ended, or it came if there was none
	Until        monotime.Time // when its time is over
	Fate         Fate
	Why          string
	Beyond       bool // its last try was turned away by an endpoint or its bay
	Arrived      int  // tries that reached an endpoint
	Whole        bool // some endpoint gave its whole return
	Done         func()
}

// Run is one line of an endpoint's ledger.
type Run struct {
	ID             string
	Server         ident.Server
	Service, Asked ident.Service
	At             monotime.Time // when the request reached the endpoint
	RanAt          monotime.Time // when it was run, 0 if at once
	LeftAt         monotime.Time // when its leaving was confirmed on its machine, 0 if it was not
	LostAt         monotime.Time // when its loss was
	Unsafe         bool
}

// Breach is one rule broken.
type Breach struct {
	Rule string
	At   monotime.Time
	Note string
}

// Rules names every rule, in the order of the brief.
var Rules = []string{"double-run", "false-not-run", "late-to-leaver", "wrong-service", "wrong-return", "manifest-late", "manifest-back",
	"manifest-turned", "dropped-in-stop", "further-tries", "lock-shared", "number-repeated", "stale-read", "watch-forgotten", CellOrder, CellStale, CellWatch, CellTurned, BayTurned, BayTold, BayStop, "slow-recovery", "urgent-turned", "held-back", "not-mended", "audit", "disk", "invalid", "damaged", HerdReady}

// HerdReady: sidecars that come together are all ready soon after a majority of the cores
// is there. Only faults that must be asked for by name look at it.
const HerdReady = "herd-ready"

// named lists the rules that only such faults look at.
var named = map[string]bool{HerdReady: true}

// The rules of a bay: what it turned away never ran; a request gets one word; nobody waits
// there soon after a planned stop began.
const (
	BayTurned = "bay-turned"
	BayTold   = "bay-told"
	BayStop   = "bay-stop"
)

// Bounds are the times of the brief.
const (
	leaverMax   = 2 * time.Second
	ManifestMax = 2 * time.Second
	recoverMax  = 15 * time.Second
	heldMax     = time.Millisecond
)

// few says how often a rule must have been looked at to be judged, where ten times
// would be asked of a fault that comes once or twice.
var few = map[string]int{"slow-recovery": 1, "dropped-in-stop": 1, "disk": 1, "late-to-leaver": 1, BayStop: 1}

const enough = 10

// Check gathers what happened. Invariants: nothing in it is read by what is checked;
// each observation is counted once: as a look, which is judged, or as excused, with its
// cause. A look that had to wait for a fault's end is counted in Waited as well.
type Check struct {
	Breaches []Breach
	Calls    []*Call
	Runs     []Run
	tries    map[ident.Service][]monotime.Time
	Seen     map[string]int            // how often each rule was looked at
	Excused  map[string]map[string]int // rule, cause
	Waited   map[string]map[string]int // rule, cause
	marks    map[string]string
	Losses   []Loss
}

// Loss is a bad loss. Invariant: At is when it struck, whether or not it lasts.
type Loss struct {
	At   monotime.Time
	Name string
}

// New makes one.
func New() *Check {
	return &Check{tries: map[ident.Service][]monotime.Time{}, Seen: map[string]int{}, Excused: map[string]map[string]int{}, Waited: map[string]map[string]int{}, marks: map[string]string{}}
}

// Look counts an observation that is judged.
func (c *Check) Look(rule string) { c.Seen[rule]++ }

// Excuse counts an observation that can't be judged, and why.
func (c *Check) Excuse(rule, cause string) { add(c.Excused, rule, cause, 1) }

// Wait counts an observation whose bound ran from the end of a fault.
func (c *Check) Wait(rule, cause string) { add(c.Waited, rule, cause, 1) }

func add(m map[string]map[string]int, rule, cause string, n int) {
	if m[rule] == nil {
		m[rule] = map[string]int{}
	}
	m[rule][cause] += n
}

// Sum adds another run's counts to this one.
func (c *Check) Sum(o *Check) {
	for rule, n := range o.Seen {
		c.Seen[rule] += n
	}
	for rule, m := range o.Excused {
		for cause, n := range m {
			add(c.Excused, rule, cause, n)
		}
	}
	for rule, m := range o.Waited {
		for cause, n := range m {
			add(c.Waited, rule, cause, n)
		}
	}
	c.Breaches = append(c.Breaches, o.Breaches...)
}

// Unjudged lists the rules that were looked at too seldom.
func (c *Check) Unjudged() []string {
	var out []string
	for _, r := range Rules {
		if named[r] && c.Seen[r] == 0 {
			continue
		}
		need, ok := few[r]
		if !ok {
			need = enough
		}
		if c.Seen[r] < need {
			out = append(out, r)
		}
	}
	return out
}

// Break notes a breach.
func (c *Check) Break(at monotime.Time, rule, form string, args ...any) {
	c.Breaches = append(c.Breaches, Breach{rule, at, fmt.Sprintf(form, args...)})
}

// Ran takes a run of an endpoint.
func (c *Check) Ran(r Run) {
	if r.RanAt == 0 {
		r.RanAt = r.At
	}
	c.Runs = append(c.Runs, r)
	c.Seen["wrong-service"]++
	if r.Service != r.Asked {
		c.Break(r.At, "wrong-service", "%s meant for %s was run by %s of %s", r.ID, r.Asked, r.Server, r.Service)
	}
	for what, at := range map[string]monotime.Time{"leaving": r.LeftAt, "loss": r.LostAt} {
		if at == 0 || r.At < at {
			continue
		}
		if r.At.Since(at) > leaverMax {
			c.Break(r.At, "late-to-leaver", "%s reached %s %v after its %s was confirmed", r.ID, r.Server, r.At.Since(at), what)
		}
	}
}

// Try takes a further try.
func (c *Check) Try(at monotime.Time, s ident.Service) { c.tries[s] = append(c.tries[s], at) }

// Shown takes a manifest that a node has put in force or shows.
func (c *Check) Shown(at monotime.Time, who string, m *check.Manifest, last *ident.Epoch) {
	c.Seen["manifest-back"]++
	if m.Epoch < *last {
		c.Break(at, "manifest-back", "%s showed epoch %d after %d", who, m.Epoch, *last)
	}
	*last = max(*last, m.Epoch)
	c.Seen["manifest-turned"]++
	for _, s := range m.Services {
		if why, bad := c.marks[s.Namespace]; bad {
			c.Break(at, "manifest-turned", "%s has epoch %d in force with %s, which was told %s", who, m.Epoch, s.Namespace, why)
		}
	}
}

// TurnedAway notes the mark of an offer that was told a sure no.
func (c *Check) TurnedAway(mark, why string) { c.marks[mark] = why }

// Finish looks at what can be judged only at the end.
func (c *Check) Finish(from, until monotime.Time) {
	count := map[string]int{}
	first := map[string]monotime.Time{}
	for _, r := range c.Runs {
		count[r.ID]++
		if count[r.ID] == 1 {
			first[r.ID] = r.At
		}
		if r.Unsafe && count[r.ID] == 2 {
			c.Break(r.At, "double-run", "%s ran twice, first at %v", r.ID, time.Duration(first[r.ID]))
		}
	}
	for _, k := range c.Calls {
		if k.Unsafe {
			c.Seen["double-run"]++
		}
		if k.Fate == NotRun {
			c.Seen["false-not-run"]++
			if count[k.ID] > 0 {
				c.Break(first[k.ID], "false-not-run", "%s was told not run (%s) and ran", k.ID, k.Why)
			}
		}
		c.urgent(k)
		c.held(k)
		if k.Fate == Served {
			c.Seen["wrong-return"]++
			if count[k.ID] == 0 || !k.Whole {
				c.Break(k.Ended, "wrong-return", "%s was served and no endpoint gave a whole return", k.ID)
			}
		}
	}
	c.further()
	c.recovery(from, until)
}

// urgent: no urgent call is turned away at its own sidecar for want of room; what others
// fill is not its line.
func (c *Check) urgent(k *Call) {
	if !k.Urgent || k.Fate == NoNode || k.Fate == Open {
		return
	}
	if k.Why == "busy" && k.Beside >= k.Room {
		c.Excuse("urgent-turned", "urgent calls alone filling its line")
		return
	}
	if k.Why == "busy" && k.Beyond {
		c.Excuse("urgent-turned", "no room at its endpoint, which is not its line")
		return
	}
	c.Look("urgent-turned")
	if k.Why == "busy" {
		c.Break(k.Ended, "urgent-turned", "%s was turned away as busy", k.ID)
	}
}

// held: what is given up is said at once, not held back until the time is nearly over.
func (c *Check) held(k *Call) {
	if k.Fate != NotRun && k.Fate != Unknown || k.Last == 0 {
		return
	}
	c.Look("held-back")
	if late := k.Ended.Since(k.Last); late > heldMax {
		c.Break(k.Ended, "held-back", "%s was told %s %v after it was given up", k.ID, k.Fate, late)
	}
}

// further checks every window of ten seconds that ends at a further try.
func (c *Check) further() {
	calls := map[ident.Service][]monotime.Time{}
	for _, k := range c.Calls {
		if k.Counted {
			calls[k.Service] = append(calls[k.Service], k.Began)
		}
	}
	for _, svc := range sorted(c.tries) {
		at := c.tries[svc]
		for i, t := range at {
			c.Seen["further-tries"]++
			lo := t.Add(-10 * time.Second)
			tries := i + 1 - lower(at[:i+1], lo)
			near := calls[svc]
			n := lower(near, t+1) - lower(near, lo)
			if float64(tries) > 0.2*float64(n)+60+1 {
				c.Break(t, "further-tries", "%d further tries at %s beside %d calls in ten seconds", tries, svc, n)
				break
			}
		}
	}
}

func sorted[V any](m map[ident.Service]V) []ident.Service {
	out := make([]ident.Service, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func lower(list []monotime.Time, x monotime.Time) int {
	i, _ := slices.BinarySearch(list, x)
	return i
}

// recovery: a quarter of normal must be served again within recoverMax of each loss.
func (c *Check) recovery(from, until monotime.Time) {
	const width = 2 * time.Second
	rate := func(lo, hi monotime.Time) float64 {
		n := 0
		for _, k := range c.Calls {
			if k.Fate == Served && k.Ended >= lo && k.Ended < hi {
				n++
			}
		}
		return float64(n) / hi.Since(lo).Seconds()
	}
	normal := rate(from, from.Add(5*time.Second))
	for _, l := range c.Losses {
		if l.At.Add(recoverMax) > until {
			c.Excuse("slow-recovery", "the day ended")
			continue
		}
		c.Look("slow-recovery")
		if got := rate(l.At.Add(recoverMax-width), l.At.Add(recoverMax)); got < normal/4 {
			c.Break(l.At.Add(recoverMax), "slow-recovery", "%.0f of %.0f a second after the loss at %v (%s)", got, normal, time.Duration(l.At), l.Name)
		}
	}
}

// Text lists the verdict of every rule.
func (c *Check) Text() string {
	var b strings.Builder
	bad := map[string]int{}
	for _, x := range c.Breaches {
		bad[x.Rule]++
	}
	unjudged := c.Unjudged()
	for _, r := range Rules {
		word := "held"
		switch {
		case bad[r] > 0:
			word = "BROKEN"
		case slices.Contains(unjudged, r):
			word = "not judged"
		case named[r] && c.Seen[r] == 0:
			word = "not asked"
		}
		fmt.Fprintf(&b, "%-18s %-10s looked at %d, broken %d", r, word, c.Seen[r], bad[r])
		list(&b, "excused", c.Excused[r])
		list(&b, "of them after a wait for the end of", c.Waited[r])
		b.WriteString("\n")
	}
	return b.String()
}

func list(b *strings.Builder, word string, causes map[string]int) {
	if len(causes) == 0 {
		return
	}
	sum := 0
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		sum += causes[cause]
		parts = append(parts, fmt.Sprintf("%s %d", cause, causes[cause]))
	}
	fmt.Fprintf(b, ", %s %d (%s)", word, sum, strings.Join(parts, ", "))
}

// Verdict says in one line what became of the rules.
func (c *Check) Verdict() string {
	if u := c.Unjudged(); len(c.Breaches) == 0 && len(u) > 0 {
		return "every rule that was looked at held; looked at too seldom to judge: " + strings.Join(u, ", ")
	}
	if len(c.Breaches) == 0 {
		return "every rule held"
	}
	return "rules were broken"
}
