package allowance

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const step = 5 * time.Millisecond

// model is a chain of services; each run of one makes 1.4 calls at the next. It knows
// which run is a repeat, which the trees do not.
type model struct {
	rng   *rand.Rand
	now   monotime.Time
	plan  [][]func() // what is to be done, by step
	trees []*Tree
	homes [][]int // service: the nodes of its endpoints
	sick  [][]float64
	work  []time.Duration
	blind bool // the guard is off
	early bool // runs make their calls in their first tenth
	terms Terms

	asked, again [][]monotime.Time // requests and arrivals beyond the first
	runs, bad    int
}

func service(s int) check.Service {
	return check.Service{Hostname: ident.Service(rune('a' + s)), Part: Ratio}
}

func (m *model) after(d time.Duration, do func()) {
	i := int(m.now)/int(step) + max(1, int(d/step))
	if i < len(m.plan) {
		m.plan[i] = append(m.plan[i], do)
	}
}

// call is one request; heavy says that it was made by a repeat.
func (m *model) call(from, s int, inner, heavy bool) {
	if !inner || m.terms.Inner {
		m.asked[s] = append(m.asked[s], m.now)
	}
	t, svc, chance := m.trees[from], service(s), 0.0
	if inner && !m.blind {
		chance = t.Inner(m.now, svc, "c")
	} else {
		t.Call(m.now, svc, "c")
	}
	m.try(from, s, chance, heavy, 0, 0)
}

// try sends once; runs are those that arrived, free the tries that a gate turned away.
func (m *model) try(from, s int, chance float64, heavy bool, runs, free int) {
	m.after(step, func() {
		k := m.rng.IntN(len(m.homes[s]))
		at := m.trees[m.homes[s][k]]
		if runs > 0 {
			chance = 1
		}
		if !m.blind && !at.Begin(m.now, chance) {
			if free < 4 {
				m.try(from, s, chance, heavy, runs, free+1)
			}
			return
		}
		repeat := heavy || runs > 0
		if m.runs++; repeat {
			m.again[s] = append(m.again[s], m.now)
		}
		long := m.work[s]/2 + time.Duration(m.rng.Int64N(int64(m.work[s])))
		if s+1 < len(m.homes) {
			span := long
			if m.early {
				span /= 10
			}
			for n := 1 + int(m.rng.Float64()+0.4); n > 0; n-- {
				m.after(time.Duration(m.rng.Int64N(int64(span))), func() { m.call(m.homes[s][k], s+1, true, repeat) })
			}
		}
		m.after(long, func() {
			if !m.blind {
				at.End(chance)
			}
			if m.rng.Float64() >= m.sick[s][k] {
				return
			}
			m.bad++
			if runs < 2 && m.trees[from].Again(m.now, service(s), "c") {
				m.try(from, s, chance, heavy, runs+1, free)
			}
		})
	})
}

// over gives the worst of all windows: arrivals beyond the first, less what is allowed.
func (m *model) over(s int) (worst float64, at monotime.Time) {
	count := func(list []monotime.Time, from, to monotime.Time) int {
		return sort.Search(len(list), func(i int) bool { return list[i] > to }) - sort.Search(len(list), func(i int) bool { return list[i] > from })
	}
	w := m.terms.Window
	for i, end := range m.again[s] {
		if i%3 > 0 { // every third will do
			continue
		}
		n := count(m.again[s], end.Add(-w), end)
		most := 0
		for _, back := range []time.Duration{0, w / 2, w} {
			most = max(most, count(m.asked[s], end.Add(-w-back), end.Add(-back)))
		}
		if x := float64(n) - m.terms.Ratio*float64(most) - float64(m.terms.Extra); worst == 0 || x > worst {
			worst, at = x, end
		}
	}
	return worst, at
}

type scene struct {
	name  string
	homes []int     // endpoints of each service
	rates []float64 // requests of clients a second
	extra int
	span  time.Duration
	sick  func(rng *rand.Rand) float64
	crowd func(at time.Duration) float64
}

func steady(time.Duration) float64 { return 1 }

// burst is six times the traffic for four seconds of every sixteen, and nothing for the
// four after.
func burst(at time.Duration) float64 {
	switch x := at % (16 * time.Second); {
	case x > 8*time.Second && x < 12*time.Second:
		return 6
	case x >= 12*time.Second:
		return 0
	}
	return 1
}

func always(p float64) func(*rand.Rand) float64 { return func(*rand.Rand) float64 { return p } }

// any is an endpoint that fails 5 to 100 hundredths of its runs.
func any5(rng *rand.Rand) float64 { return 0.05 + 0.95*rng.Float64() }

var scenes = []scene{
	{"nine, calm", []int{3, 3, 3}, []float64{60, 20, 20}, 60, 50 * time.Second, always(0.01), steady},
	{"nine, all fail some", []int{3, 3, 3}, []float64{60, 20, 20}, 60, 60 * time.Second, any5, steady},
	{"nine, bursts", []int{3, 3, 3}, []float64{60, 20, 20}, 60, 60 * time.Second, always(0.5), burst},
	{"fifteen, all fail", []int{5, 5, 5}, []float64{40, 10, 10}, 50, 60 * time.Second, always(1), burst},
	{"many, two services", []int{53, 16}, []float64{600, 200}, 178, 40 * time.Second, any5, steady},
	{"many, all fail some", []int{36, 21, 27}, []float64{400, 130, 110}, 208, 40 * time.Second, any5, steady},
	{"many, fail and burst", []int{36, 21, 27}, []float64{100, 30, 30}, 208, 40 * time.Second, always(1), burst},
	{"many, a tenth fails", []int{36, 21, 27}, []float64{400, 130, 110}, 208, 40 * time.Second, always(0.1), steady},
}

func play(sc scene, seed uint64, blind, inner bool) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 7)), blind: blind, early: seed%4 >= 2, plan: make([][]func(), int(sc.span/step)), terms: Terms{Extra: sc.extra, Inner: inner}.Whole(),
		work: []time.Duration{110 * time.Millisecond, 60 * time.Millisecond, 40 * time.Millisecond}}
	nodes := 0
	for _, n := range sc.homes {
		var list []int
		var sick []float64
		for range n {
			list, sick = append(list, nodes), append(sick, sc.sick(m.rng))
			nodes++
		}
		m.homes, m.sick = append(m.homes, list), append(m.sick, sick)
	}
	m.asked, m.again = make([][]monotime.Time, len(m.homes)), make([][]monotime.Time, len(m.homes))
	for range nodes {
		t := New(0, m.terms)
		t.Grant(share.Fair(sc.extra, nodes))
		m.trees = append(m.trees, t)
	}
	for i := range m.plan {
		m.now = monotime.Time(i) * monotime.Time(step)
		if i%8 == 0 {
			for _, t := range m.trees {
				t.Tick(m.now)
				t.Renewed(m.now)
			}
		}
		for s, rate := range sc.rates {
			for x := rate * sc.crowd(time.Duration(m.now)) * step.Seconds(); x > 0; x-- {
				if m.rng.Float64() < x {
					m.call(m.rng.IntN(nodes), s, false, false)
				}
			}
		}
		for _, do := range m.plan[i] {
			do()
		}
		m.plan[i] = nil
	}
	return m
}

// Endpoints that call others from repeated runs keep every service within its bound,
// though no sidecar sees which call belongs to which run; and it is the guard that does
// it, for without it the bound breaks.
func TestRepeatsBelowAreCounted(t *testing.T) {
	broken := 0
	for i, sc := range scenes {
		for seed := range uint64(4) {
			inner := seed%2 == 0
			for _, blind := range []bool{false, true} {
				if blind && seed > 1 {
					continue
				}
				m := play(sc, uint64(i)*10+seed, blind, inner)
				for s := range m.homes {
					over, at := m.over(s)
					t.Logf("%-22s seed %d blind %5v inner %5v service %d: %6d asked %6d again, over by %7.1f at %v", sc.name, seed, blind, inner, s, len(m.asked[s]), len(m.again[s]), over, time.Duration(at))
					if over > 0 && blind {
						broken++
					}
					if !blind {
						must.LessEq(t, 0, over, must.Sprintf("%s seed %d service %d at %v", sc.name, seed, s, time.Duration(at)))
					}
				}
			}
		}
	}
	must.Positive(t, broken)
}
