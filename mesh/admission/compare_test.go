package admission_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/pick"
)

var (
	mixed = []kind{
		{name: "lookup", share: 0.55, rank: 1, work: 59 * ms, spread: 0.8, tail: 3, aim: 300 * ms, until: 1200 * ms, worth: 2, late: 0.6, bytes: 1500},
		{name: "booking", share: 0.15, rank: 1, work: 140 * ms, spread: 0.5, tail: 5, aim: 600 * ms, until: 1500 * ms, worth: 2, late: 0.2, unsafe: true, bytes: 5000},
		{name: "pull", share: 0.3, rank: 2, work: 120 * ms, spread: 0.3, tail: 5, aim: 500 * ms, until: 2000 * ms, worth: 1, late: 0.3, bytes: 90000},
	}
	few  = day{sides: 9, servers: 6, districts: 3, kinds: mixed, speeds: []float64{0.5, 1, 1, 1.5}, load: 0.75, swing: 0.2, burst: 1, clump: 2, length: 20 * time.Second}
	many = day{sides: 69, servers: 53, districts: 4, kinds: mixed, speeds: []float64{0.7, 0.7, 1.6}, load: 0.75, swing: 0.2, burst: 1, clump: 2, length: 20 * time.Second}
)

func with(d day, change func(*day)) day { change(&d); return d }

// days are the scenarios: each for few and for many.
func days() (names []string, out []day) {
	add := func(name string, change func(*day)) {
		for i, d := range []day{few, many} {
			names = append(names, fmt.Sprint([]string{"few ", "many "}[i], name))
			out = append(out, with(d, change))
		}
	}
	part := func(d *day) int { return max(1, d.servers/7) }
	add("calm", func(*day) {})
	add("full", func(d *day) { d.load = 0.9 })
	add("burst", func(d *day) { d.burst = 1.7 })
	add("over", func(d *day) { d.load = 1.4 })
	add("slow", func(d *day) {
		d.troubles = []trouble{{servers: part(d), from: 6 * time.Second, to: 13 * time.Second, slow: 5}}
	})
	add("ill", func(d *day) {
		d.troubles = []trouble{{servers: part(d), from: 6 * time.Second, to: 13 * time.Second, fail: 0.5}}
	})
	add("cold", func(d *day) { d.cold = 3 * time.Second })
	add("reset", func(d *day) { d.burst, d.reset = 1.7, true })
	return names, out
}

// figures are the means of some runs.
type figures struct{ score, part, top, worst, cross, late, hops float64 }

func mean(d day, p policy, seeds uint64) (f figures) {
	n := float64(seeds)
	for s := range seeds {
		t := run(d, p, s+1)
		f.score += t.score() / n
		f.part += t.part() / n
		f.top += t.rank(1) / n
		f.worst += t.worst() / n
		f.cross += t.crossKB / t.allKB / n
		f.late += float64(t.heldLate) / float64(t.calls) / n
		f.hops += float64(t.hops) / float64(t.calls) / n
	}
	return f
}

var (
	was = policy{name: "former", pick: "former"}
	is  = policy{name: "told+bay", pick: "told", bay: true}
)

// Each day is played with the choice and the endpoints' own queues as they were, and as
// they are: many more requests are served within their aim, the higher rank nearly all,
// and what is turned away is turned away early.
func TestBetterThanBeforeByCount(t *testing.T) {
	for _, c := range []struct {
		name   string
		day    day
		gain   float64 // times as many served within their aim, at least
		rank1  float64 // part of the higher rank's worth, at least
		score  float64
		change func(*day)
	}{
		{"calm few", few, 1.03, 0.97, 0.96, func(*day) {}},
		{"calm many", many, 1.2, 0.97, 0.97, func(*day) {}},
		{"burst few", few, 1.12, 0.95, 0.91, func(d *day) { d.burst = 1.7 }},
		{"burst many", many, 1.3, 0.95, 0.91, func(d *day) { d.burst = 1.7 }},
		{"over few", few, 2, 0.88, 0.70, func(d *day) { d.load = 1.4 }},
		{"over many", many, 2, 0.88, 0.70, func(d *day) { d.load = 1.4 }},
		{"slow many", many, 1.2, 0.96, 0.96, func(d *day) {
			d.troubles = []trouble{{servers: 8, from: 3 * time.Second, to: 10 * time.Second, slow: 5}}
		}},
		{"ill few", few, 1.03, 0.96, 0.95, func(d *day) {
			d.troubles = []trouble{{servers: 1, from: 3 * time.Second, to: 10 * time.Second, fail: 0.5}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := with(c.day, c.change)
			d.length = 13 * time.Second
			a, b := run(d, was, 11), run(d, is, 11)
			must.Eq(t, a.calls, b.calls)
			t.Logf("in time %d, were %d of %d; score %.3f, was %.3f; rank 1 %.3f, was %.3f", b.onTime, a.onTime, b.calls, b.score(), a.score(), b.rank(1), a.rank(1))
			must.Greater(t, c.gain*float64(a.onTime), float64(b.onTime), must.Sprintf("%d of %d in time, were %d", b.onTime, b.calls, a.onTime))
			must.Greater(t, c.rank1, b.rank(1))
			must.Greater(t, c.score, b.score())
			must.LessEq(t, b.calls/20, b.heldLate)
		})
	}
}

// With a price on bytes between districts most large returns stay near, and no worth is
// lost for it.
func TestPricedBytesStayNear(t *testing.T) {
	d, dear := many, is
	d.length = 8 * time.Second
	dear.set = func(s *pick.Settings) { s.Cross = time.Millisecond }
	a, b := run(d, is, 3), run(d, dear, 3)
	must.Less(t, a.crossKB/4, b.crossKB)
	must.Greater(t, a.score()-0.01, b.score())
}

// A run is fixed by its seed.
func TestSameSeedSameRun(t *testing.T) {
	d := with(few, func(d *day) { d.load, d.length = 1.2, 4*time.Second })
	must.Eq(t, fmt.Sprint(*run(d, is, 5)), fmt.Sprint(*run(d, is, 5)))
}

// BenchmarkTable prints the figures of all scenarios and policies, or with BAY_TABLE=tune
// those of settings; BAY_DAYS names some of the days.
func BenchmarkTable(*testing.B) {
	policies := []policy{
		{name: "blind", pick: "blind"},
		{name: "former", pick: "former"},
		{name: "blind+bay", pick: "blind", bay: true},
		{name: "former+bay", pick: "former", bay: true},
		{name: "told+bay", pick: "told", bay: true},
	}
	if os.Getenv("BAY_TABLE") == "tune" {
		policies = tunes
	}
	names, all := days()
	if only := os.Getenv("BAY_DAYS"); only != "" {
		var some []string
		var kept []day
		for i, n := range names {
			if strings.Contains(only, n) {
				some, kept = append(some, n), append(kept, all[i])
			}
		}
		names, all = some, kept
	}
	fmt.Printf("%-14s %-12s %6s %6s %6s %6s %6s %6s %6s\n", "day", "policy", "score", "worth", "rank1", "worst", "cross", "late", "hops")
	sums, got := map[string]float64{}, make([]figures, len(all)*len(policies))
	var group sync.WaitGroup
	gate := make(chan bool, 4)
	for i := range got {
		gate <- true
		group.Go(func() {
			d := all[i/len(policies)]
			got[i] = mean(d, policies[i%len(policies)], map[bool]uint64{true: 6, false: 2}[d.servers < 10])
			<-gate
		})
	}
	group.Wait()
	for i, f := range got {
		p := policies[i%len(policies)]
		sums[p.name] += (f.score + f.worst) / 2 / float64(len(all))
		fmt.Printf("%-14s %-12s %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.2f\n", names[i/len(policies)], p.name, f.score, f.part, f.top, f.worst, f.cross, f.late, f.hops)
	}
	for _, p := range policies {
		fmt.Printf("%-12s %.4f\n", p.name, sums[p.name])
	}
}

var tunes = []policy{
	{name: "usual", pick: "told", bay: true},
	{name: "draws3", pick: "told", bay: true, set: func(s *pick.Settings) { s.Draws = 3 }},
	{name: "cross1", pick: "told", bay: true, set: func(s *pick.Settings) { s.Cross = time.Millisecond }},
	{name: "margin1", pick: "told", bay: true, bays: func(s *admission.Settings) { s.Margin = 1 }},
	{name: "extra0", pick: "told", bay: true, bays: func(s *admission.Settings) { s.Extra = 0 }},
	{name: "extra2", pick: "told", bay: true, bays: func(s *admission.Settings) { s.Extra = 2 }},
	{name: "most3", pick: "told", bay: true, most: 3},
	{name: "retry2", pick: "told", bay: true, bays: func(s *admission.Settings) { s.MinRetryAfter = 60 * ms }},
}
