package search_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore/search"
)

// jugs is the water pouring puzzle: two jugs of 3 and 5 units can be filled, emptied and poured into
// each other. The system violates its rule when the jug of 5 holds 4 units.
type jugs struct{ three, five int }

func (j *jugs) Choices() (out []search.Choice) {
	for _, kind := range []search.Kind{"fill", "empty", "pour"} {
		for member := 1; member <= 2; member++ {
			out = append(out, search.Choice{Kind: kind, Member: member})
		}
	}
	return out
}

func (j *jugs) Describe(choice search.Choice) string { return string(choice.Kind) }

func (j *jugs) Apply(choice search.Choice) {
	own, other, ownCapacity, otherCapacity := &j.three, &j.five, 3, 5
	if choice.Member == 2 {
		own, other, ownCapacity, otherCapacity = other, own, otherCapacity, ownCapacity
	}
	switch choice.Kind {
	case "fill":
		*own = ownCapacity
	case "empty":
		*own = 0
	case "pour":
		n := min(*own, otherCapacity-*other)
		*own, *other = *own-n, *other+n
	}
}

func (j *jugs) Hash() uint64 { return uint64(j.three*10 + j.five) }

func (j *jugs) Settle() {}

func (j *jugs) Violation() *search.Violation {
	if j.five == 4 {
		return &search.Violation{Rule: "four", Note: "the jug of five holds four"}
	}
	return nil
}

// jugsWithoutRule is the puzzle without a rule, so that the search never ends with a violation.
type jugsWithoutRule struct{ jugs }

func (j *jugsWithoutRule) Violation() *search.Violation { return nil }

// The breadth-first search finds a shortest trace, with any number of workers.
func TestBreadthFirstFindsShortestTrace(t *testing.T) {
	for workers := 1; workers <= 3; workers++ {
		r := search.BreadthFirst(func() search.System { return &jugs{} }, search.Limits{Depth: 20, States: 100, Workers: workers})
		must.NotNil(t, r.Violation)
		must.Len(t, 6, r.Trace)
	}
}

// The breadth-first search visits every reachable state once: 16 of the 24 states of the jugs. A limit
// of 10 states ends the search as incomplete.
func TestBreadthFirstVisitsEveryState(t *testing.T) {
	r := search.BreadthFirst(func() search.System { return &jugsWithoutRule{} }, search.Limits{Depth: 20, States: 100})
	must.True(t, r.Complete)
	must.Eq(t, 16, r.States)
	bounded := search.BreadthFirst(func() search.System { return &jugsWithoutRule{} }, search.Limits{Depth: 20, States: 10})
	must.False(t, bounded.Complete)
	must.Eq(t, 10, bounded.States)
}

// Random walks find the violation, and the trace is shortened until every choice is necessary.
func TestRandomWalksFindAndShortenTrace(t *testing.T) {
	r := search.RandomWalks(func() search.System { return &jugs{} }, search.Limits{Walks: 20000, Steps: 60, Seed: 3})
	must.NotNil(t, r.Violation)
	followed, violation := search.Follow(func() search.System { return &jugs{} }, r.Trace)
	must.Eq(t, r.Violation, violation)
	must.Eq(t, r.Trace, followed)
	for i := range r.Trace { // every choice is necessary
		candidate := append(append([]search.Choice{}, r.Trace[:i]...), r.Trace[i+1:]...)
		_, violation := search.Follow(func() search.System { return &jugs{} }, candidate)
		must.Nil(t, violation)
	}
}

// A true result of Limits.Stop ends both searches.
func TestStopEndsSearch(t *testing.T) {
	limits := search.Limits{Depth: 20, States: 100, Walks: 5, Steps: 5, Stop: func() bool { return true }}
	must.False(t, search.BreadthFirst(func() search.System { return &jugsWithoutRule{} }, limits).Complete)
	must.Eq(t, 0, search.RandomWalks(func() search.System { return &jugsWithoutRule{} }, limits).Walks)
}
