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

// averages are the mean results of several simulations.
type averages struct{ score, earned, firstRank, worstWindows, crossZone, rejectedLate, hops float64 }

func mean(scenario scenario, policy policy, seeds uint64) (average averages) {
	n := float64(seeds)
	for seed := range seeds {
		result := simulate(scenario, policy, seed+1)
		average.score += result.score() / n
		average.earned += result.earnedShare() / n
		average.firstRank += result.rank(1) / n
		average.worstWindows += result.worstWindows() / n
		average.crossZone += result.crossZoneKB / result.allKB / n
		average.rejectedLate += float64(result.rejectedLate) / float64(result.calls) / n
		average.hops += float64(result.hops) / float64(result.calls) / n
	}
	return average
}

var (
	legacyPolicy  = policy{name: "legacy", balancer: "legacy"}
	currentPolicy = policy{name: "current", balancer: "current", admission: true}
)

// Simulates each scenario with the legacy balancer without admission queues, and with the current
// balancer and admission queues. With the current policy, many more requests must be served within
// their target, requests of the higher rank must earn nearly all of their value, and rejections
// must come early.
func TestMoreRequestsInTimeThanLegacy(t *testing.T) {
	for _, testCase := range []struct {
		name   string
		base   scenario
		gain   float64 // minimum ratio of requests served within their target, compared with the legacy policy
		rank1  float64 // minimum earned share of the higher rank
		score  float64
		change func(*scenario)
	}{
		{"calm small", smallMesh, 1.03, 0.97, 0.96, func(*scenario) {}},
		{"calm large", largeMesh, 1.2, 0.97, 0.97, func(*scenario) {}},
		{"burst small", smallMesh, 1.12, 0.95, 0.91, func(scenario *scenario) { scenario.burst = 1.7 }},
		{"burst large", largeMesh, 1.3, 0.95, 0.91, func(scenario *scenario) { scenario.burst = 1.7 }},
		{"overload small", smallMesh, 2, 0.88, 0.70, func(scenario *scenario) { scenario.load = 1.4 }},
		{"overload large", largeMesh, 2, 0.88, 0.70, func(scenario *scenario) { scenario.load = 1.4 }},
		{"slow large", largeMesh, 1.2, 0.96, 0.96, func(scenario *scenario) {
			scenario.faults = []fault{{servers: 8, from: 3 * time.Second, to: 10 * time.Second, slowdown: 5}}
		}},
		{"failing small", smallMesh, 1.03, 0.96, 0.95, func(scenario *scenario) {
			scenario.faults = []fault{{servers: 1, from: 3 * time.Second, to: 10 * time.Second, failureRate: 0.5}}
		}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			scenario := modified(testCase.base, testCase.change)
			scenario.length = 13 * time.Second
			legacy, current := simulate(scenario, legacyPolicy, 11), simulate(scenario, currentPolicy, 11)
			must.Eq(t, legacy.calls, current.calls)
			t.Logf("in time: %d, legacy %d, of %d; score: %.3f, legacy %.3f; rank 1: %.3f, legacy %.3f", current.onTime, legacy.onTime,
				current.calls, current.score(), legacy.score(), current.rank(1), legacy.rank(1))
			must.Greater(t, testCase.gain*float64(legacy.onTime), float64(current.onTime),
				must.Sprintf("%d of %d in time, legacy %d", current.onTime, current.calls, legacy.onTime))
			must.Greater(t, testCase.rank1, current.rank(1))
			must.Greater(t, testCase.score, current.score())
			must.LessEq(t, current.calls/20, current.rejectedLate)
		})
	}
}

// With a cost per byte between zones, most large responses stay in their zone, and the score does
// not drop.
func TestCrossZoneCostKeepsResponsesInTheZone(t *testing.T) {
	scenario, priced := largeMesh, currentPolicy
	scenario.length = 8 * time.Second
	priced.tuneBalancer = func(s *loadbalancer.Settings) { s.CrossZoneCostPerKB = time.Millisecond }
	unpricedResult, pricedResult := simulate(scenario, currentPolicy, 3), simulate(scenario, priced, 3)
	must.Less(t, unpricedResult.crossZoneKB/4, pricedResult.crossZoneKB)
	must.Greater(t, unpricedResult.score()-0.01, pricedResult.score())
}

// A simulation is fully determined by its seed.
func TestSameSeedSameRun(t *testing.T) {
	scenario := modified(smallMesh, func(scenario *scenario) { scenario.load, scenario.length = 1.2, 4*time.Second })
	must.Eq(t, fmt.Sprint(*simulate(scenario, currentPolicy, 5)), fmt.Sprint(*simulate(scenario, currentPolicy, 5)))
}

// BenchmarkTable prints the averages of all scenarios and policies. ADMISSION_TABLE=tune selects
// the policies with varied settings instead; ADMISSION_SCENARIOS restricts the run to the named
// scenarios.
func BenchmarkTable(*testing.B) {
	policies := []policy{
		{name: "random", balancer: "random"},
		{name: "legacy", balancer: "legacy"},
		{name: "random+queue", balancer: "random", admission: true},
		{name: "legacy+queue", balancer: "legacy", admission: true},
		{name: "current", balancer: "current", admission: true},
	}
	if os.Getenv("ADMISSION_TABLE") == "tune" {
		policies = tunedPolicies
	}
	names, all := scenarios()
	if only := os.Getenv("ADMISSION_SCENARIOS"); only != "" {
		var selectedNames []string
		var selected []scenario
		for i, name := range names {
			if strings.Contains(only, name) {
				selectedNames, selected = append(selectedNames, name), append(selected, all[i])
			}
		}
		names, all = selectedNames, selected
	}
	fmt.Printf("%-14s %-12s %6s %6s %6s %6s %6s %6s %6s\n", "scenario", "policy", "score", "value", "rank1", "worst", "cross", "late", "hops")
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
		fmt.Printf("%-14s %-12s %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %6.2f\n", names[i/len(policies)], policy.name, average.score,
			average.earned, average.firstRank, average.worstWindows, average.crossZone, average.rejectedLate, average.hops)
	}
	for _, policy := range policies {
		fmt.Printf("%-12s %.4f\n", policy.name, sums[policy.name])
	}
}

var tunedPolicies = []policy{
	{name: "default", balancer: "current", admission: true},
	{name: "sample3", balancer: "current", admission: true, tuneBalancer: func(s *loadbalancer.Settings) { s.SampleSize = 3 }},
	{
		name:         "cross1",
		balancer:     "current",
		admission:    true,
		tuneBalancer: func(s *loadbalancer.Settings) { s.CrossZoneCostPerKB = time.Millisecond },
	},
	{name: "margin1", balancer: "current", admission: true, tuneAdmission: func(s *admission.Settings) { s.RunTimeMargin = 1 }},
	{name: "extra0", balancer: "current", admission: true, tuneAdmission: func(s *admission.Settings) { s.ExtraRequests = 0 }},
	{name: "extra2", balancer: "current", admission: true, tuneAdmission: func(s *admission.Settings) { s.ExtraRequests = 2 }},
	{name: "attempts3", balancer: "current", admission: true, maxAttempts: 3},
	{name: "retry2", balancer: "current", admission: true, tuneAdmission: func(s *admission.Settings) { s.MinRetryAfter = 60 * ms }},
}
