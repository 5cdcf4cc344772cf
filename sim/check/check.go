// Package check holds one checker for each line of "What must never happen".
package check

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
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
	Began, Ended moment.Moment
	Fate         Fate
	Why          string
	Whole        bool // some endpoint gave its whole return
	Done         func()
}

// Run is one line of an endpoint's ledger.
type Run struct {
	ID             string
	Server         ident.Server
	Service, Asked ident.Service
	At, LeftAt     moment.Moment
	Unsafe         bool
}

// Breach is one rule broken.
type Breach struct {
	Rule string
	At   moment.Moment
	Note string
}

// Rules names every rule, in the order of the brief.
var Rules = []string{"double-run", "false-not-run", "late-to-leaver", "wrong-service", "wrong-return", "manifest-late", "manifest-back",
	"manifest-turned", "dropped-in-stop", "further-tries", "lock-shared", "number-repeated", "stale-read", "watch-forgotten", "slow-recovery", "not-mended", "audit", "disk", "invalid", "damaged"}

// Bounds are the times of the brief, with what "about" leaves.
const (
	leaverMax   = 2 * time.Second
	ManifestMax = 2 * time.Second
	fallBackMax = 250 * time.Millisecond
	recoverMax  = 15 * time.Second
)

// Check gathers what happened. Invariant: nothing in it is read by what is checked.
type Check struct {
	Breaches []Breach
	Calls    []*Call
	Runs     []Run
	tries    map[ident.Service][]moment.Moment
	Seen     map[string]int // how often each rule was looked at
	marks    map[string]string
	Losses   []moment.Moment
}

// New makes one.
func New() *Check {
	return &Check{tries: map[ident.Service][]moment.Moment{}, Seen: map[string]int{}, marks: map[string]string{}}
}

// Break notes a breach.
func (c *Check) Break(at moment.Moment, rule, form string, args ...any) {
	c.Breaches = append(c.Breaches, Breach{rule, at, fmt.Sprintf(form, args...)})
}

// Ran takes a run of an endpoint.
func (c *Check) Ran(r Run) {
	c.Runs = append(c.Runs, r)
	c.Seen["wrong-service"]++
	if r.Service != r.Asked {
		c.Break(r.At, "wrong-service", "%s meant for %s was run by %s of %s", r.ID, r.Asked, r.Server, r.Service)
	}
	if r.LeftAt != 0 {
		c.Seen["late-to-leaver"]++
		if r.At.Since(r.LeftAt) > leaverMax {
			c.Break(r.At, "late-to-leaver", "%s reached %s %v after its leaving was confirmed", r.ID, r.Server, r.At.Since(r.LeftAt))
		}
	}
}

// Try takes a further try.
func (c *Check) Try(at moment.Moment, s ident.Service) { c.tries[s] = append(c.tries[s], at) }

// Shown takes a manifest that a node has put in force or shows.
func (c *Check) Shown(at moment.Moment, who string, m *check.Manifest, last *ident.Epoch) {
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
func (c *Check) Finish(from, until moment.Moment) {
	count := map[string]int{}
	first := map[string]moment.Moment{}
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

// further checks every window of ten seconds that ends at a further try.
func (c *Check) further() {
	calls := map[ident.Service][]moment.Moment{}
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

func lower(list []moment.Moment, x moment.Moment) int {
	i, _ := slices.BinarySearch(list, x)
	return i
}

// recovery: a quarter of normal must be served again within recoverMax of each loss.
func (c *Check) recovery(from, until moment.Moment) {
	const width = 2 * time.Second
	rate := func(lo, hi moment.Moment) float64 {
		n := 0
		for _, k := range c.Calls {
			if k.Fate == Served && k.Ended >= lo && k.Ended < hi {
				n++
			}
		}
		return float64(n) / hi.Since(lo).Seconds()
	}
	normal := rate(from, from.Add(5*time.Second))
	for _, at := range c.Losses {
		if at.Add(recoverMax) > until {
			continue
		}
		c.Seen["slow-recovery"]++
		if got := rate(at.Add(recoverMax-width), at.Add(recoverMax)); got < normal/4 {
			c.Break(at.Add(recoverMax), "slow-recovery", "%.0f of %.0f a second after the loss at %v", got, normal, time.Duration(at))
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
	for _, r := range Rules {
		word := "held"
		if bad[r] > 0 {
			word = "BROKEN"
		}
		fmt.Fprintf(&b, "%-18s %-7s looked at %d, broken %d\n", r, word, c.Seen[r], bad[r])
	}
	return b.String()
}
