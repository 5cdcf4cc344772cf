package search

import "math/rand/v2"

// guide remembers what walks have met, to lead later ones elsewhere.
type guide struct {
	seen  map[uint64]bool
	taken map[choiceClass]int
}

// choiceClass groups choices that differ in their message alone.
type choiceClass struct {
	kind          Kind
	member, other int
	deed          string
}

func class(c Choice) choiceClass { return choiceClass{c.Kind, c.Member, c.Other, c.Deed} }

// Walks makes random walks until a breach. Each step draws two choices and keeps the one
// whose class was taken less often; a walk that meets no new state for long ends early.
func Walks(begin Factory, b Bound) Report {
	g := guide{seen: map[uint64]bool{}, taken: map[choiceClass]int{}}
	r := Report{Taken: map[Kind]int{}}
	for i := 0; i < b.Walks && r.Breach == nil && !b.stopped(); i++ {
		r.Trace, r.Breach = g.walk(begin, b, uint64(i), &r)
		r.Walks++
	}
	r.Met = len(g.seen)
	r.reduce(begin)
	return r
}

// staleMax is how many steps in a row may meet nothing new before a walk ends.
const staleMax = 40

func (g *guide) walk(begin Factory, b Bound, number uint64, r *Report) (trace []Choice, breach *Breach) {
	rng := rand.New(rand.NewPCG(b.Seed, number))
	s := begin()
	for stale := 0; len(trace) < b.Steps && stale < staleMax; {
		choices := s.Choices()
		if len(choices) == 0 {
			break
		}
		c := g.draw(rng, share(number), choices)
		s.Apply(c)
		trace = append(trace, c)
		r.Taken[c.Kind]++
		g.taken[class(c)]++
		if s.Breach() != nil {
			return trace, s.Breach()
		}
		stale++
		if h := s.Hash(); !g.seen[h] {
			g.seen[h] = true
			stale = 0
		}
	}
	s.Settle()
	return trace, s.Breach()
}

// share is how many choices in a hundred go to what is no fault, in a walk of a number:
// some walks are full of faults, others have long spells between them.
func share(number uint64) int { return sharesLeast + int(number%shares)*shareStep }

const (
	sharesLeast = 55
	shares      = 5
	shareStep   = 10
)

// draw takes a fault or not by the walk's share, and of two choices the one of the class
// that was taken less often.
func (g *guide) draw(rng *rand.Rand, share int, choices []Choice) Choice {
	var calm, faults []Choice
	for _, c := range choices {
		if c.Fault {
			faults = append(faults, c)
			continue
		}
		calm = append(calm, c)
	}
	from := calm
	if len(calm) == 0 || len(faults) > 0 && rng.IntN(100) >= share {
		from = faults
	}
	one, two := from[rng.IntN(len(from))], from[rng.IntN(len(from))]
	if g.taken[class(two)] < g.taken[class(one)] {
		return two
	}
	return one
}
