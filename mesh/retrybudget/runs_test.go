package retrybudget

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/quota"
)

const step = 5 * time.Millisecond

// model simulates a chain of services in which each run makes 1.4 calls on average to the next
// service. Unlike the budgets, the model knows which runs are repeats.
type model struct {
	rng           *rand.Rand
	now           monotime.Time
	schedule      [][]func() // scheduled actions by step
	budgets       []*Budget
	endpointNodes [][]int         // by service
	failureRates  [][]float64     // by service and endpoint
	runTime       []time.Duration // by service
	unguarded     bool            // nested calls and runs are not reported to the budgets
	earlyCalls    bool            // runs make their calls during the first tenth of their run time
	limits        Limits

	requests, repeats    [][]monotime.Time // by service; repeats are attempts that reach an endpoint after the first attempt
	runCount, failedRuns int
}

func serviceAt(index int) validation.Service {
	return validation.Service{Hostname: ident.Service(rune('a' + index)), RetryRatio: DefaultRatio}
}

// scheduleAfter schedules an action after a delay of at least one step.
func (m *model) scheduleAfter(d time.Duration, do func()) {
	i := int(m.now)/int(step) + max(1, int(d/step))
	if i < len(m.schedule) {
		m.schedule[i] = append(m.schedule[i], do)
	}
}

// request makes a request from a node to a service. nested reports whether an endpoint makes the
// request, and fromRepeat whether the run of that endpoint is a repeat.
func (m *model) request(node, service int, nested, fromRepeat bool) {
	if !nested || m.limits.CountNested {
		m.requests[service] = append(m.requests[service], m.now)
	}
	budget, callee, chance := m.budgets[node], serviceAt(service), 0.0
	if nested && !m.unguarded {
		chance = budget.CountNestedRequest(m.now, callee, "c")
	} else {
		budget.CountRequest(m.now, callee, "c")
	}
	m.attempt(node, service, chance, fromRepeat, 0, 0)
}

// attempt makes an attempt of a request. chance is the probability that the attempt is a repeat,
// runs the number of earlier attempts that reached an endpoint, and rejections the number of
// attempts that were rejected at the destination.
func (m *model) attempt(node, service int, chance float64, fromRepeat bool, runs, rejections int) {
	m.scheduleAfter(step, func() {
		endpoint := m.rng.IntN(len(m.endpointNodes[service]))
		destination := m.budgets[m.endpointNodes[service][endpoint]]
		if runs > 0 {
			chance = 1
		}
		if !m.unguarded && !destination.BeginRun(m.now, chance) {
			if rejections < 4 {
				m.attempt(node, service, chance, fromRepeat, runs, rejections+1)
			}
			return
		}
		repeat := fromRepeat || runs > 0
		if m.runCount++; repeat {
			m.repeats[service] = append(m.repeats[service], m.now)
		}
		runTime := m.runTime[service]/2 + time.Duration(m.rng.Int64N(int64(m.runTime[service])))
		m.callNext(service, m.endpointNodes[service][endpoint], runTime, repeat)
		m.scheduleAfter(runTime, func() {
			if !m.unguarded {
				destination.EndRun(chance)
			}
			if m.rng.Float64() >= m.failureRates[service][endpoint] {
				return
			}
			m.failedRuns++
			if runs < 2 && m.budgets[node].AllowRetry(m.now, serviceAt(service), "c") {
				m.attempt(node, service, chance, fromRepeat, runs+1, rejections)
			}
		})
	})
}

// callNext makes the calls of a run to the next service.
func (m *model) callNext(service, node int, runTime time.Duration, repeat bool) {
	if service+1 >= len(m.endpointNodes) {
		return
	}
	span := runTime
	if m.earlyCalls {
		span /= 10
	}
	for n := 1 + int(m.rng.Float64()+0.4); n > 0; n-- {
		m.scheduleAfter(time.Duration(m.rng.Int64N(int64(span))), func() { m.request(node, service+1, true, repeat) })
	}
}

// worstExcess returns by how much the repeats of a service exceed the limit in the worst window,
// and the end of that window. The requests may lag behind by up to one window.
func (m *model) worstExcess(service int) (worst float64, at monotime.Time) {
	count := func(list []monotime.Time, from, to monotime.Time) int {
		return sort.Search(len(list), func(i int) bool { return list[i] > to }) - sort.Search(len(list), func(i int) bool { return list[i] > from })
	}
	window := m.limits.Window
	for i, end := range m.repeats[service] {
		if i%3 > 0 { // checks every third window end only
			continue
		}
		repeats := count(m.repeats[service], end.Add(-window), end)
		requests := 0
		for _, lag := range []time.Duration{0, window / 2, window} {
			requests = max(requests, count(m.requests[service], end.Add(-window-lag), end.Add(-lag)))
		}
		if excess := float64(repeats) - m.limits.Ratio*float64(requests) - float64(m.limits.Extra); worst == 0 || excess > worst {
			worst, at = excess, end
		}
	}
	return worst, at
}

// scenario describes a mesh, its traffic and its failures.
type scenario struct {
	name          string
	endpoints     []int     // by service
	rates         []float64 // client requests per second, by service
	extra         int
	length        time.Duration
	failureRate   func(rng *rand.Rand) float64
	trafficFactor func(at time.Duration) float64
}

// steady is a constant traffic factor.
func steady(time.Duration) float64 { return 1 }

// burst is a traffic factor with a period of sixteen seconds: one for eight seconds, six for the
// next four seconds, and zero for the last four seconds.
func burst(at time.Duration) float64 {
	switch x := at % (16 * time.Second); {
	case x > 8*time.Second && x < 12*time.Second:
		return 6
	case x >= 12*time.Second:
		return 0
	}
	return 1
}

// fixedRate gives all endpoints the same failure rate.
func fixedRate(rate float64) func(*rand.Rand) float64 {
	return func(*rand.Rand) float64 { return rate }
}

// randomRate gives each endpoint a failure rate between 5% and 100%.
func randomRate(rng *rand.Rand) float64 { return 0.05 + 0.95*rng.Float64() }

var scenarios = []scenario{
	{"nine, calm", []int{3, 3, 3}, []float64{60, 20, 20}, 60, 50 * time.Second, fixedRate(0.01), steady},
	{"nine, all fail some", []int{3, 3, 3}, []float64{60, 20, 20}, 60, 60 * time.Second, randomRate, steady},
	{"nine, bursts", []int{3, 3, 3}, []float64{60, 20, 20}, 60, 60 * time.Second, fixedRate(0.5), burst},
	{"fifteen, all fail", []int{5, 5, 5}, []float64{40, 10, 10}, 50, 60 * time.Second, fixedRate(1), burst},
	{"many, two services", []int{53, 16}, []float64{600, 200}, 178, 40 * time.Second, randomRate, steady},
	{"many, all fail some", []int{36, 21, 27}, []float64{400, 130, 110}, 208, 40 * time.Second, randomRate, steady},
	{"many, fail and burst", []int{36, 21, 27}, []float64{100, 30, 30}, 208, 40 * time.Second, fixedRate(1), burst},
	{"many, a tenth fails", []int{36, 21, 27}, []float64{400, 130, 110}, 208, 40 * time.Second, fixedRate(0.1), steady},
}

// newModel creates the nodes of a scenario, each with a budget and one endpoint.
func newModel(scenario scenario, seed uint64, unguarded, countNested bool) *model {
	m := &model{
		rng:        rand.New(rand.NewPCG(seed, 7)),
		unguarded:  unguarded,
		earlyCalls: seed%4 >= 2,
		schedule:   make([][]func(), int(scenario.length/step)),
		limits:     Limits{Extra: scenario.extra, CountNested: countNested}.WithDefaults(),
		runTime:    []time.Duration{110 * time.Millisecond, 60 * time.Millisecond, 40 * time.Millisecond},
		requests:   make([][]monotime.Time, len(scenario.endpoints)),
		repeats:    make([][]monotime.Time, len(scenario.endpoints)),
	}
	nodes := 0
	for _, n := range scenario.endpoints {
		var endpointNodes []int
		var failureRates []float64
		for range n {
			endpointNodes, failureRates = append(endpointNodes, nodes), append(failureRates, scenario.failureRate(m.rng))
			nodes++
		}
		m.endpointNodes, m.failureRates = append(m.endpointNodes, endpointNodes), append(m.failureRates, failureRates)
	}
	for range nodes {
		budget := New(0, m.limits)
		budget.SetShare(quota.FairShare(scenario.extra, nodes))
		m.budgets = append(m.budgets, budget)
	}
	return m
}

// simulate runs a scenario.
func simulate(scenario scenario, seed uint64, unguarded, countNested bool) *model {
	m := newModel(scenario, seed, unguarded, countNested)
	for i := range m.schedule {
		m.now = monotime.Time(i) * monotime.Time(step)
		if i%8 == 0 {
			for _, budget := range m.budgets {
				budget.Tick(m.now)
				budget.ShareRenewed(m.now)
			}
		}
		m.arrive(scenario)
		for _, do := range m.schedule[i] {
			do()
		}
		m.schedule[i] = nil
	}
	return m
}

// arrive makes the client requests of one step.
func (m *model) arrive(scenario scenario) {
	for service, rate := range scenario.rates {
		for x := rate * scenario.trafficFactor(time.Duration(m.now)) * step.Seconds(); x > 0; x-- {
			if m.rng.Float64() < x {
				m.request(m.rng.IntN(len(m.budgets)), service, false, false)
			}
		}
	}
}

// Repeated runs that call other services keep every service within the limits, although no sidecar
// sees which call belongs to which run. Without BeginRun and CountNestedRequest, the limits are
// exceeded.
func TestNestedCallsOfRepeatsAreCounted(t *testing.T) {
	exceeded := 0
	for i, scenario := range scenarios {
		for seed := range uint64(4) {
			countNested := seed%2 == 0
			for _, unguarded := range []bool{false, true} {
				if unguarded && seed > 1 {
					continue
				}
				m := simulate(scenario, uint64(i)*10+seed, unguarded, countNested)
				for service := range m.endpointNodes {
					excess, at := m.worstExcess(service)
					t.Logf("%-22s seed %d unguarded %5v nested %5v service %d: %6d requests %6d repeats, excess %7.1f at %v", scenario.name,
						seed, unguarded, countNested, service, len(m.requests[service]), len(m.repeats[service]), excess, time.Duration(at))
					if excess > 0 && unguarded {
						exceeded++
					}
					if !unguarded {
						must.LessEq(t, 0, excess, must.Sprintf("%s seed %d service %d at %v", scenario.name, seed, service, time.Duration(at)))
					}
				}
			}
		}
	}
	must.Positive(t, exceeded)
}
