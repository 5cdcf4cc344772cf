package search

import "math/rand/v2"

// walkGuide remembers what walks have met, to lead later ones elsewhere.
type walkGuide struct {
	seen        map[uint64]bool
	classCounts map[choiceClass]int
}

// choiceClass groups choices that differ in their message alone.
type choiceClass struct {
	kind          Kind
	member, other int
	operation     string
}

// classOf is the class of a choice.
func classOf(choice Choice) choiceClass {
	return choiceClass{choice.Kind, choice.Member, choice.Other, choice.Operation}
}

// RandomWalks makes random walks until a violation. Each step draws two choices and takes the one
// whose class was taken less often; a walk that meets no new state for long ends early.
func RandomWalks(newSystem Factory, limits Limits) Report {
	g := walkGuide{seen: map[uint64]bool{}, classCounts: map[choiceClass]int{}}
	r := Report{ChoiceCounts: map[Kind]int{}}
	for i := 0; i < limits.Walks && r.Violation == nil && !limits.stopRequested(); i++ {
		r.Trace, r.Violation = g.walk(newSystem, limits, uint64(i), &r)
		r.Walks++
	}
	r.WalkStates = len(g.seen)
	r.shortenTrace(newSystem)
	return r
}

// maxStaleSteps is how many steps in a row may meet nothing new before a walk ends.
const maxStaleSteps = 40

// walk makes the walk with a number.
func (g *walkGuide) walk(newSystem Factory, limits Limits, number uint64, r *Report) (trace []Choice, violation *Violation) {
	rng := rand.New(rand.NewPCG(limits.Seed, number))
	system := newSystem()
	for staleSteps := 0; len(trace) < limits.Steps && staleSteps < maxStaleSteps; {
		choices := system.Choices()
		if len(choices) == 0 {
			break
		}
		choice := g.draw(rng, calmPercent(number), choices)
		system.Apply(choice)
		trace = append(trace, choice)
		r.ChoiceCounts[choice.Kind]++
		g.classCounts[classOf(choice)]++
		if system.Violation() != nil {
			return trace, system.Violation()
		}
		staleSteps++
		if hash := system.Hash(); !g.seen[hash] {
			g.seen[hash] = true
			staleSteps = 0
		}
	}
	system.Settle()
	return trace, system.Violation()
}

// calmPercent is how many choices in a hundred are no fault, in the walk with a number: some
// walks are full of faults, others have long spells between them.
func calmPercent(number uint64) int {
	return minCalmPercent + int(number%calmPercentLevels)*calmPercentStep
}

const (
	minCalmPercent    = 55
	calmPercentLevels = 5
	calmPercentStep   = 10
)

// draw draws a fault or not by the walk's percentage, and of two choices the one of the class
// that was taken less often.
func (g *walkGuide) draw(rng *rand.Rand, calmPercent int, choices []Choice) Choice {
	var calmChoices, faults []Choice
	for _, choice := range choices {
		if choice.Fault {
			faults = append(faults, choice)
			continue
		}
		calmChoices = append(calmChoices, choice)
	}
	candidates := calmChoices
	if len(calmChoices) == 0 || len(faults) > 0 && rng.IntN(100) >= calmPercent {
		candidates = faults
	}
	first, second := candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))]
	if g.classCounts[classOf(second)] < g.classCounts[classOf(first)] {
		return second
	}
	return first
}
