package cluster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore/cluster"
	"cottonarch.example/cottonarch/explore/search"
)

// testSettings returns settings that allow two faults of each kind.
func testSettings() cluster.Settings {
	faults := map[cluster.Fault]int{}
	for _, f := range cluster.Faults() {
		faults[f] = 2
	}
	return cluster.Settings{Members: 3, Spares: 1, Keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}, Clients: 2, Operations: 4, Proposers: 2,
		Waits: []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond}, Faults: faults, ImmediateSelfDelivery: true}
}

// The same choices must lead to the same state, and Hash and Violation must not change the state.
func TestRunsAreDeterministic(t *testing.T) {
	for _, ring := range []bool{false, true} {
		for seed := range uint64(20) {
			settings := testSettings()
			settings.Ring = ring
			rng := rand.New(rand.NewPCG(seed, 1))
			first, second := settings.Factory()(), settings.Factory()()
			for range 60 {
				choices := first.Choices()
				must.Eq(t, choices, second.Choices())
				if len(choices) == 0 {
					break
				}
				c := choices[rng.IntN(len(choices))]
				first.Apply(c)
				first.Hash()
				first.Violation()
				second.Apply(c)
				must.Eq(t, first.Hash(), second.Hash())
			}
		}
	}
}

// Deliveries to two members that do not affect each other must lead to states with equal hashes in
// either order, so that the search explores the common state once.
func TestIndependentDeliveriesConverge(t *testing.T) {
	settings := testSettings()
	settings.Members, settings.Spares, settings.ImmediateSelfDelivery = 5, 0, false
	hash := func(order []int) uint64 {
		system := settings.Factory()()
		apply := func(want search.Kind, other int) {
			for _, c := range system.Choices() {
				if c.Kind == want && (other == 0 || c.Other == other) {
					system.Apply(c)
					return
				}
			}
			t.Fatal("no choice has the requested kind and member")
		}
		apply("ask", 0)
		for _, to := range order {
			apply("late", to)
		}
		return system.Hash()
	}
	must.Eq(t, hash([]int{3, 4}), hash([]int{4, 3}))
	must.NotEq(t, hash([]int{3, 4}), hash([]int{3, 5}))
}

// Without faults, no invariant may be violated and the run must settle.
func TestSettlesWithoutFaults(t *testing.T) {
	settings := testSettings()
	settings.Faults = nil
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		system := settings.Factory()()
		for range 30 {
			choices := system.Choices()
			if len(choices) == 0 {
				break
			}
			system.Apply(choices[rng.IntN(len(choices))])
		}
		system.Settle()
		must.Nil(t, system.Violation())
	}
}

// Validate must reject unknown kinds of key and too many members.
func TestValidateRejectsInvalidSettings(t *testing.T) {
	settings := testSettings()
	must.Nil(t, settings.Validate())
	settings.Keys = []cluster.KeyKind{"none"}
	must.NotNil(t, settings.Validate())
	settings = testSettings()
	settings.Members = 40
	must.NotNil(t, settings.Validate())
}
