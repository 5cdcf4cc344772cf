package explore_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore"
	"cottonarch.example/cottonarch/explore/cluster"
)

// ciOptions returns the options of these tests. The limits count states and walks instead of time, so
// that the results are the same on every machine.
func ciOptions(mutant cluster.Mutant) explore.Options {
	return explore.Options{Model: explore.Register, Members: 3, Keys: 2, Operators: 2, Depth: 40, States: 1500, Walks: 1600, Steps: 80, Seed: 1, Mutant: mutant}
}

// expectedRules holds the rules that detect each mutant.
var expectedRules = map[cluster.Mutant][]string{
	"quorum": {cluster.RuleLostWrite}, "replica": {cluster.RuleLostWrite}, "offer": {cluster.RuleBaseConflict}, "lock": {cluster.RuleMutualExclusion}, "clock": {cluster.RuleMutualExclusion},
	"cell-keep": {cluster.RuleMutualExclusion}, "mend": {cluster.RuleNotRepaired}, "soft": {cluster.RuleDiskError}, "stop": {cluster.RuleDroppedOperations}, "audit": {cluster.RuleLostWrite, cluster.RuleRevisionConflict},
	"history": {cluster.RuleIncompleteHistory}, "cell-fate": {cluster.RuleRejectedApplied}, "cell-twice": {cluster.RuleRevisionConflict}, "cell-old": {cluster.RuleStaleRead},
	"cell-skip": {cluster.RuleIncompleteHistory}, "cell-history": {cluster.RuleIncompleteHistory},
}

// The search detects every mutant within the limits, by an expected rule.
func TestEveryMutantIsDetected(t *testing.T) {
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

// Without a mutant no rule is violated, within the same limits within which each mutant is detected.
func TestNoViolationWithoutMutant(t *testing.T) {
	done := map[string]bool{}
	for _, name := range explore.MutantNames() {
		o := ciOptions(cluster.Mutant(name)).NarrowedToMutant()
		o.Mutant = ""
		key := fmt.Sprint(o)
		if done[key] {
			continue
		}
		done[key] = true
		t.Run("as for "+name, func(t *testing.T) { checkNoViolation(t, o) })
	}
}

// No rule is violated in any model with four members, and in the membership model, which no mutant
// covers, with three.
func TestModelsBreakNoRule(t *testing.T) {
	for _, model := range explore.Models() {
		for members := 3; members <= 4; members++ {
			if members == 3 && model != explore.Membership {
				continue // covered by TestNoViolationWithoutMutant
			}
			t.Run(fmt.Sprintf("%s of %d", model, members), func(t *testing.T) {
				o := ciOptions("")
				o.Model, o.Members, o.States, o.Walks = model, members, 800, 150
				checkNoViolation(t, o)
			})
		}
	}
}

// checkNoViolation checks that the options are valid and that the search finds no violation.
func checkNoViolation(t *testing.T, o explore.Options) {
	t.Parallel()
	must.Nil(t, o.Validate())
	runs := explore.Run(o)
	last := runs[len(runs)-1]
	must.Nil(t, last.Violation, must.Sprint(explore.Text(runs)))
	must.Eq(t, o.Walks, last.Walks)
	t.Log("\n" + explore.Text(runs))
}

// Validate reports every invalid option, not only the first.
func TestValidateListsEveryInvalidOption(t *testing.T) {
	o := ciOptions("nope")
	o.Members, o.Model, o.Faults = 2, "none", map[cluster.Fault]int{"flood": 1}
	invalid := o.Validate()
	must.NotNil(t, invalid)
	must.Len(t, 4, invalid.Faults)
}
