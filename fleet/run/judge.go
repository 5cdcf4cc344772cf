package run

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/stand/caller"
)

// judge fills the checkers from the books and the ledgers.
func (f *Fleet) judge(from, until monotime.Time) {
	asked := map[string]ident.Service{}
	unsafe := map[string]bool{}
	fates := map[caller.Fate]check.Fate{caller.Served: check.Served, caller.NotRun: check.NotRun, caller.Unknown: check.Unknown, caller.Dropped: check.Unknown, caller.Wrong: check.Unknown}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.book.All() {
		asked[t.ID], unsafe[t.ID] = t.Kind.Service, t.Kind.Method != "GET"
		f.Check.Calls = append(f.Check.Calls, &check.Call{ID: t.ID, Service: t.Kind.Service, Unsafe: t.Kind.Method != "GET", Began: f.at(t.Began), Ended: f.at(t.Began.Add(t.Took)), Fate: fates[t.Fate], Why: t.Note, Whole: true})
		f.Counts["calls "+string(t.Fate)]++
		var why struct {
			Defect string `json:"defect"`
		}
		if (t.Fate == caller.NotRun || t.Fate == caller.Unknown) && json.Unmarshal([]byte(t.Note), &why) == nil {
			f.Counts["  "+string(t.Fate)+" "+why.Defect]++
		}
		if t.Fate == caller.Wrong {
			f.Check.Break(f.at(t.Began), "wrong-return", "%s got %d %.200s", t.ID, t.Code, t.Note)
		}
		f.dropped(t)
	}
	first := f.Deployment.Kinds[0].Service
	for _, r := range f.ledger.All() {
		want, ok := asked[r.ID]
		if !ok && strings.HasSuffix(r.ID, "-on") {
			want, ok = first, true
			f.Counts["onward calls run"]++
		}
		if !ok {
			continue
		}
		var left monotime.Time
		if t, gone := f.left[r.Server]; gone {
			left = f.at(t)
		}
		var lost monotime.Time
		for _, o := range f.lost[r.Server] {
			if r.At.After(o.from) && (o.to.IsZero() || r.At.Before(o.to)) {
				lost = f.at(o.from)
			}
		}
		f.Check.Ran(check.Run{ID: r.ID, Server: r.Server, Service: r.Service, Asked: want, At: f.at(r.At), LeftAt: left, LostAt: lost, Unsafe: unsafe[r.ID]})
		f.Counts["runs"]++
	}
	f.Check.Finish(from.Add(2*time.Second), until)
}

// dropped judges a request that its own machine's sidecar gave no whole return to. It is
// excused only while that sidecar was killed, frozen or, for one that came after a
// planned stop, not there to take it.
func (f *Fleet) dropped(t caller.Told) {
	const rule = "dropped-in-stop"
	node, _, _ := strings.Cut(t.ID, "-")
	if t.Fate != caller.Dropped {
		f.Check.Look(rule)
		return
	}
	out := f.hit(node, t.Began, t.Began.Add(t.Took))
	switch {
	case out[killed]:
		f.Check.Excuse(rule, killed)
	case out[frozen]:
		f.Check.Excuse(rule, frozen)
	case out[stopped] && strings.Contains(t.Note, ": connect: "): // no connection: nothing was taken
		f.Check.Excuse(rule, "coming after a planned stop")
	default:
		f.Check.Look(rule)
		f.Check.Break(f.at(t.Began), rule, "%s was dropped: %s", t.ID, t.Note)
	}
}

// Text is the report.
func (f *Fleet) Text() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	var names []string
	for n := range f.Counts {
		if !strings.HasPrefix(n, "epoch ") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&b, "%-24s %d\n", n, f.Counts[n])
	}
	if n := len(f.Spread); n > 0 {
		slices.Sort(f.Spread)
		fmt.Fprintf(&b, "in force after confirm   median %v, 99%% %v, most %v, of %d node epochs\n", f.Spread[n/2].Round(time.Millisecond), f.Spread[n*99/100].Round(time.Millisecond), f.Spread[n-1].Round(time.Millisecond), n)
	}
	took := map[caller.Fate][]time.Duration{}
	for _, t := range f.book.All() {
		took[t.Fate] = append(took[t.Fate], t.Took)
	}
	for _, fate := range []caller.Fate{caller.Served, caller.NotRun, caller.Unknown} {
		took := took[fate]
		n := len(took)
		if n == 0 {
			continue
		}
		slices.Sort(took)
		fmt.Fprintf(&b, "%-8s in              median %v, 99%% %v, most %v\n", fate, took[n/2].Round(100*time.Microsecond), took[n*99/100].Round(100*time.Microsecond), took[n-1].Round(time.Millisecond))
	}
	b.WriteString(f.Check.Text())
	b.WriteString(f.Check.Verdict() + "\n")
	for i, x := range f.Check.Breaches {
		if i >= 20 {
			break
		}
		fmt.Fprintf(&b, "breach at %.1fs: %s: %s\n", time.Duration(x.At).Seconds(), x.Rule, x.Note)
	}
	return b.String()
}
