package cluster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore/cluster"
	"cottonarch.example/cottonarch/explore/search"
)

// testSettings allow two faults of each kind.
func testSettings() cluster.Settings {
	faults := map[cluster.Fault]int{}
	for _, f := range cluster.Faults() {
		faults[f] = 2
	}
	return cluster.Settings{Members: 3, Spares: 1, Keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}, Clients: 2, Operations: 4, Proposers: 2,
		Waits: []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond}, Faults: faults, ImmediateSelfDelivery: true}
}

// The same choices lead to the same state, and looking at a state does not change it.
func TestSameChoicesSameState(t *testing.T) {
	for _, ring := range []bool{false, true} {
		for seed := range uint64(20) {
			set := testSettings()
			set.Ring = ring
			rng := rand.New(rand.NewPCG(seed, 1))
			one, two := set.Factory()(), set.Factory()()
			for range 60 {
				choices := one.Choices()
				must.Eq(t, choices, two.Choices())
				if len(choices) == 0 {
					break
				}
				c := choices[rng.IntN(len(choices))]
				one.Apply(c)
				one.Hash()
				one.Violation()
				two.Apply(c)
				must.Eq(t, one.Hash(), two.Hash())
			}
		}
	}
}

// Deliveries to two members that have nothing to do with each other lead to one state in either
// order, so the search goes on from it once.
func TestIndependentChoicesMeet(t *testing.T) {
	set := testSettings()
	set.Members, set.Spares, set.ImmediateSelfDelivery = 5, 0, false
	hash := func(order []int) uint64 {
		s := set.Factory()()
		apply := func(want search.Kind, other int) {
			for _, c := range s.Choices() {
				if c.Kind == want && (other == 0 || c.Other == other) {
					s.Apply(c)
					return
				}
			}
			t.Fatal("no such choice")
		}
		apply("ask", 0)
		for _, to := range order {
			apply("late", to)
		}
		return s.Hash()
	}
	must.Eq(t, hash([]int{3, 4}), hash([]int{4, 3}))
	must.NotEq(t, hash([]int{3, 4}), hash([]int{3, 5}))
}

// Without faults every client gets a response in the end, and nothing is violated.
func TestSettlesWithoutFaults(t *testing.T) {
	set := testSettings()
	set.Faults = nil
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := set.Factory()()
		for range 30 {
			choices := s.Choices()
			if len(choices) == 0 {
				break
			}
			s.Apply(choices[rng.IntN(len(choices))])
		}
		s.Settle()
		must.Nil(t, s.Violation())
	}
}

// Settings that no cluster can have are refused.
func TestBadSettings(t *testing.T) {
	set := testSettings()
	must.Nil(t, set.Validate())
	set.Keys = []cluster.KeyKind{"none"}
	must.NotNil(t, set.Validate())
	set = testSettings()
	set.Members = 40
	must.NotNil(t, set.Validate())
}
