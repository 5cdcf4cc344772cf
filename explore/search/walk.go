package search

import "math/rand/v2"

// walkCoverage records which states and classes of choices the walks have covered, to guide later
// walks to others.
type walkCoverage struct {
	seen        map[uint64]bool
	classCounts map[choiceClass]int
}

// choiceClass groups choices that differ only in the message, the client, the key, the mask or the
// span.
type choiceClass struct {
	kind          Kind
	member, other int
	operation     string
}

// classOf returns the class of a choice.
func classOf(choice Choice) choiceClass {
	return choiceClass{choice.Kind, choice.Member, choice.Other, choice.Operation}
}

// RandomWalks runs random walks until a violation. Each step selects two random choices and applies the
// choice whose class was applied less often. A walk that visits no new state for maxStaleSteps steps
// ends early.
func RandomWalks(newSystem Factory, limits Limits) Report {
	coverage := walkCoverage{seen: map[uint64]bool{}, classCounts: map[choiceClass]int{}}
	r := Report{ChoiceCounts: map[Kind]int{}}
	for i := 0; i < limits.Walks && r.Violation == nil && !limits.stopRequested(); i++ {
		r.Trace, r.Violation = coverage.walk(newSystem, limits, uint64(i), &r)
		r.Walks++
	}
	r.WalkStates = len(coverage.seen)
	r.shortenTrace(newSystem)
	return r
}

// maxStaleSteps is the number of consecutive steps without a new state after which a walk ends.
const maxStaleSteps = 40

// walk runs the walk with a number.
func (w *walkCoverage) walk(newSystem Factory, limits Limits, number uint64, r *Report) (trace []Choice, violation *Violation) {
	rng := rand.New(rand.NewPCG(limits.Seed, number))
	system := newSystem()
	for staleSteps := 0; len(trace) < limits.Steps && staleSteps < maxStaleSteps; {
		choices := system.Choices()
		if len(choices) == 0 {
			break
		}
		choice := w.chooseRandom(rng, nonFaultPercent(number), choices)
		system.Apply(choice)
		trace = append(trace, choice)
		r.ChoiceCounts[choice.Kind]++
		w.classCounts[classOf(choice)]++
		if system.Violation() != nil {
			return trace, system.Violation()
		}
		staleSteps++
		if hash := system.Hash(); !w.seen[hash] {
			w.seen[hash] = true
			staleSteps = 0
		}
	}
	system.Settle()
	return trace, system.Violation()
}

// nonFaultPercent returns the percentage of choices that are no fault, for the walk with a number. The
// percentage differs between walks, so that faults are frequent in some walks and rare in others.
func nonFaultPercent(number uint64) int {
	return minNonFaultPercent + int(number%nonFaultPercentLevels)*nonFaultPercentStep
}

const (
	minNonFaultPercent    = 55
	nonFaultPercentLevels = 5
	nonFaultPercentStep   = 10
)

// chooseRandom decides by the percentage of the walk whether the next choice is a fault, and returns,
// of two random candidates, the choice whose class was applied less often.
func (w *walkCoverage) chooseRandom(rng *rand.Rand, nonFaultPercent int, choices []Choice) Choice {
	var nonFaults, faults []Choice
	for _, choice := range choices {
		if choice.Fault {
			faults = append(faults, choice)
			continue
		}
		nonFaults = append(nonFaults, choice)
	}
	candidates := nonFaults
	if len(nonFaults) == 0 || len(faults) > 0 && rng.IntN(100) >= nonFaultPercent {
		candidates = faults
	}
	first, second := candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))]
	if w.classCounts[classOf(second)] < w.classCounts[classOf(first)] {
		return second
	}
	return first
}
