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
	"cottonarch.example/cottonarch/mesh/loadbalancer"
)

var (
	mixedKinds = []requestKind{
		{name: "lookup", share: 0.55, rank: 1, work: 59 * ms, spread: 0.8, tailFactor: 3, target: 300 * ms, deadline: 1200 * ms, worth: 2, lateWorth: 0.6, bytes: 1500},
		{name: "booking", share: 0.15, rank: 1, work: 140 * ms, spread: 0.5, tailFactor: 5, target: 600 * ms, deadline: 1500 * ms, worth: 2, lateWorth: 0.2, unsafe: true, bytes: 5000},
		{name: "pull", share: 0.3, rank: 2, work: 120 * ms, spread: 0.3, tailFactor: 5, target: 500 * ms, deadline: 2000 * ms, worth: 1, lateWorth: 0.3, bytes: 90000},
	}
	smallMesh = scenario{clients: 9, servers: 6, zones: 3, kinds: mixedKinds, speeds: []float64{0.5, 1, 1, 1.5}, load: 0.75, wave: 0.2, burst: 1, batch: 2, length: 20 * time.Second}
	largeMesh = scenario{clients: 69, servers: 53, zones: 4, kinds: mixedKinds, speeds: []float64{0.7, 0.7, 1.6}, load: 0.75, wave: 0.2, burst: 1, batch: 2, length: 20 * time.Second}
)

func modified(scenario scenario, change func(*scenario)) scenario { change(&scenario); return scenario }

// scenarios are the scenarios: each for few and for many.
func scenarios() (names []string, all []scenario) {
	add := func(name string, change func(*scenario)) {
		for i, base := range []scenario{smallMesh, largeMesh} {
			names = append(names, fmt.Sprint([]string{"few ", "many "}[i], name))
			all = append(all, modified(base, change))
		}
	}
	faultyServers := func(base *scenario) int { return max(1, base.servers/7) }
	add("calm", func(*scenario) {})
	add("full", func(base *scenario) { base.load = 0.9 })
	add("burst", func(base *scenario) { base.burst = 1.7 })
	add("over", func(base *scenario) { base.load = 1.4 })
	add("slow", func(base *scenario) {
		base.faults = []fault{{servers: faultyServers(base), from: 6 * time.Second, to: 13 * time.Second, slowdown: 5}}
	})
	add("ill", func(base *scenario) {
		base.faults = []fault{{servers: faultyServers(base), from: 6 * time.Second, to: 13 * time.Second, failureRate: 0.5}}
	})
	add("cold", func(base *scenario) { base.slowStart = 3 * time.Second })
	add("reset", func(base *scenario) { base.burst, base.resetWhenFull = 1.7, true })
	return names, all
}

// averages are the means of some runs.
type averages struct{ score, earned, firstRank, worstWindows, crossZone, rejectedLate, hops float64 }

func mean(scenario scenario, policy policy, seeds uint64) (average averages) {
	n := float64(seeds)
	for seed := range seeds {
		result := simulate(scenario, policy, seed+1)
		average.score += result.score() / n
		average.earned += result.earnedShare() / n
		average.firstRank += result.rank(1) / n
		average.worstWindows += result.worstWindows() / n
		average.crossZone += result.crossKB / result.allKB / n
		average.rejectedLate += float64(result.rejectedLate) / float64(result.calls) / n
		average.hops += float64(result.hops) / float64(result.calls) / n
	}
	return average
}

var (
	legacyPolicy  = policy{name: "former", balancer: "former"}
	currentPolicy = policy{name: "told+bay", balancer: "told", admission: true}
)

// Each day is played with the choice and the endpoints' own queues as they were, and as
// they are: many more requests are served within their aim, the higher rank nearly all,
// and what is turned away is turned away early.
func TestMoreRequestsInTimeThanLegacy(t *testing.T) {
	for _, testCase := range []struct {
		name   string
		day    scenario
		gain   float64 // times as many served within their aim, at least
		rank1  float64 // part of the higher rank's worth, at least
		score  float64
		change func(*scenario)
	}{
		{"calm few", smallMesh, 1.03, 0.97, 0.96, func(*scenario) {}},
		{"calm many", largeMesh, 1.2, 0.97, 0.97, func(*scenario) {}},
		{"burst few", smallMesh, 1.12, 0.95, 0.91, func(scenario *scenario) { scenario.burst = 1.7 }},
		{"burst many", largeMesh, 1.3, 0.95, 0.91, func(scenario *scenario) { scenario.burst = 1.7 }},
		{"over few", smallMesh, 2, 0.88, 0.70, func(scenario *scenario) { scenario.load = 1.4 }},
		{"over many", largeMesh, 2, 0.88, 0.70, func(scenario *scenario) { scenario.load = 1.4 }},
		{"slow many", largeMesh, 1.2, 0.96, 0.96, func(scenario *scenario) {
			scenario.faults = []fault{{servers: 8, from: 3 * time.Second, to: 10 * time.Second, slowdown: 5}}
		}},
		{"ill few", smallMesh, 1.03, 0.96, 0.95, func(scenario *scenario) {
			scenario.faults = []fault{{servers: 1, from: 3 * time.Second, to: 10 * time.Second, failureRate: 0.5}}
		}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			scenario := modified(testCase.day, testCase.change)
			scenario.length = 13 * time.Second
			legacy, current := simulate(scenario, legacyPolicy, 11), simulate(scenario, currentPolicy, 11)
			must.Eq(t, legacy.calls, current.calls)
			t.Logf("in time %d, were %d of %d; score %.3f, was %.3f; rank 1 %.3f, was %.3f", current.onTime, legacy.onTime, current.calls, current.score(), legacy.score(), current.rank(1), legacy.rank(1))
			must.Greater(t, testCase.gain*float64(legacy.onTime), float64(current.onTime), must.Sprintf("%d of %d in time, were %d", current.onTime, current.calls, legacy.onTime))
			must.Greater(t, testCase.rank1, current.rank(1))
			must.Greater(t, testCase.score, current.score())
			must.LessEq(t, current.calls/20, current.rejectedLate)
		})
	}
}

// With a price on bytes between districts most large returns stay near, and no worth is
// lost for it.
func TestPricedBytesStayInTheZone(t *testing.T) {
	scenario, priced := largeMesh, currentPolicy
	scenario.length = 8 * time.Second
	priced.tuneBalancer = func(s *loadbalancer.Settings) { s.CrossZoneCostPerKB = time.Millisecond }
	unpricedResult, pricedResult := simulate(scenario, currentPolicy, 3), simulate(scenario, priced, 3)
	must.Less(t, unpricedResult.crossKB/4, pricedResult.crossKB)
	must.Greater(t, unpricedResult.score()-0.01, pricedResult.score())
}

// A run is fixed by its seed.
func TestSameSeedSameRun(t *testing.T) {
	scenario := modified(smallMesh, func(scenario *scenario) { scenario.load, scenario.length = 1.2, 4*time.Second })
	must.Eq(t, fmt.Sprint(*simulate(scenario, currentPolicy, 5)), fmt.Sprint(*simulate(scenario, currentPolicy, 5)))
}

// BenchmarkTable prints the figures of all scenarios and policies, or with BAY_TABLE=tune
// those of settings; BAY_DAYS names some of the days.
func BenchmarkTable(*testing.B) {
	policies := []policy{
		{name: "blind", balancer: "blind"},
		{name: "former", balancer: "former"},
		{name: "blind+bay", balancer: "blind", admission: true},
		{name: "former+bay", balancer: "former", admission: true},
		{name: "told+bay", balancer: "told", admission: true},
	}
	if os.Getenv("BAY_TABLE") == "tune" {
		policies = tunedPolicies
	}
	names, all := scenarios()
	if only := os.Getenv("BAY_DAYS"); only != "" {
		var selectedNames []string
		var selected []scenario
		for i, n := range names {
			if strings.Contains(only, n) {
				selectedNames, selected = append(selectedNames, n), append(selected, all[i])
			}
		}
		names, all = selectedNames, selected
	}
	fmt.Printf("%-14s %-12s %6s %6s %6s %6s %6s %6s %6s\n", "day", "policy", "score", "worth", "rank1", "worst", "cross", "late", "hops")
	sums, results := map[string]float64{}, make([]averages, len(all)*len(policies))
	var group sync.WaitGroup
	semaphore := make(chan bool, 4)
	for i := range results {
		semaphore <- true
		group.Go(func() {
			scenario := all[i/len(policies)]
			results[i] = mean(scenario, policies[i%len(policies)], map[bool]uint64{true: 6, false: 2}[scenario.servers < 10])
			<-semaphore
		})
	}
	group.Wait()
	for i, average := range results {
		policy := policies[i%len(policies)]
		sums[policy.name] += (average.score + average.worstWindows) / 2 / float64(len(all))
		fmt.Printf("%-14s %-12s %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.2f\n", names[i/len(policies)], policy.name, average.score, average.earned, average.firstRank, average.worstWindows, average.crossZone, average.rejectedLate, average.hops)
	}
	for _, policy := range policies {
		fmt.Printf("%-12s %.4f\n", policy.name, sums[policy.name])
	}
}

var tunedPolicies = []policy{
	{name: "usual", balancer: "told", admission: true},
	{name: "draws3", balancer: "told", admission: true, tuneBalancer: func(s *loadbalancer.Settings) { s.SampleSize = 3 }},
	{name: "cross1", balancer: "told", admission: true, tuneBalancer: func(s *loadbalancer.Settings) { s.CrossZoneCostPerKB = time.Millisecond }},
	{name: "margin1", balancer: "told", admission: true, tuneAdmission: func(s *admission.Settings) { s.Margin = 1 }},
	{name: "extra0", balancer: "told", admission: true, tuneAdmission: func(s *admission.Settings) { s.Extra = 0 }},
	{name: "extra2", balancer: "told", admission: true, tuneAdmission: func(s *admission.Settings) { s.Extra = 2 }},
	{name: "most3", balancer: "told", admission: true, maxAttempts: 3},
	{name: "retry2", balancer: "told", admission: true, tuneAdmission: func(s *admission.Settings) { s.MinRetryAfter = 60 * ms }},
}
