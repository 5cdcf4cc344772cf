package explore_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore"
	"cottonarch.example/cottonarch/explore/cluster"
)

// ciOptions is the bound of these tests; it counts states and walks, so it is the same everywhere.
func ciOptions(b cluster.Mutant) explore.Options {
	return explore.Options{Model: explore.Register, Members: 3, Keys: 2, Operators: 2, Depth: 40, States: 1500, Walks: 1600, Steps: 80, Seed: 1, Mutant: b}
}

// expectedRules names the invariants that show each break.
var expectedRules = map[cluster.Mutant][]string{
	"quorum": {cluster.RuleLost}, "replica": {cluster.RuleLost}, "offer": {cluster.RuleBase}, "lock": {cluster.RuleLock}, "clock": {cluster.RuleLock},
	"cell-keep": {cluster.RuleLock}, "mend": {cluster.RuleRepaired}, "soft": {cluster.RuleDisk}, "stop": {cluster.RuleStop}, "audit": {cluster.RuleLost, cluster.RuleOrder},
	"history": {cluster.RuleHistory}, "cell-fate": {cluster.RuleRejected}, "cell-twice": {cluster.RuleOrder}, "cell-old": {cluster.RuleStale},
	"cell-skip": {cluster.RuleHistory}, "cell-history": {cluster.RuleHistory},
}

// Every rule that can be broken on purpose is seen to be broken within the bound.
func TestEveryMutantIsFound(t *testing.T) {
	for _, name := range explore.MutantNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := explore.Run(ciOptions(cluster.Mutant(name)))
			last := runs[len(runs)-1]
			must.NotNil(t, last.Violation, must.Sprint(explore.Text(runs)))
			must.SliceContains(t, expectedRules[cluster.Mutant(name)], last.Violation.Rule, must.Sprint(explore.Text(runs)))
		})
	}
}

// What is not broken holds, within the very bound in which each break is found.
func TestNothingIsViolatedWithoutAMutant(t *testing.T) {
	done := map[string]bool{}
	for _, name := range explore.MutantNames() {
		o := ciOptions(cluster.Mutant(name)).Focused()
		o.Mutant = ""
		same := fmt.Sprint(o)
		if done[same] {
			continue
		}
		done[same] = true
		t.Run("as for "+name, func(t *testing.T) { checkHolds(t, o) })
	}
}

// The models hold with four members, and membership, which no break concerns, with three.
func TestModelsHold(t *testing.T) {
	for _, model := range explore.Models() {
		for members := 3; members <= 4; members++ {
			if members == 3 && model != explore.Membership {
				continue // with the breaks
			}
			t.Run(fmt.Sprintf("%s of %d", model, members), func(t *testing.T) {
				o := ciOptions("")
				o.Model, o.Members, o.States, o.Walks = model, members, 800, 150
				checkHolds(t, o)
			})
		}
	}
}

func checkHolds(t *testing.T, o explore.Options) {
	t.Parallel()
	must.Nil(t, o.Validate())
	runs := explore.Run(o)
	last := runs[len(runs)-1]
	must.Nil(t, last.Violation, must.Sprint(explore.Text(runs)))
	must.Eq(t, o.Walks, last.Walks)
	t.Log("\n" + explore.Text(runs))
}

// Bad options are refused with what is wrong with each.
func TestBadOptions(t *testing.T) {
	o := ciOptions("nope")
	o.Members, o.Model, o.Faults = 2, "none", map[cluster.Fault]int{"flood": 1}
	invalid := o.Validate()
	must.NotNil(t, invalid)
	must.Len(t, 4, invalid.Faults)
}
