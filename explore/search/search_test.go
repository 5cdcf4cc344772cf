package search_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore/search"
)

// jugs is a small system: two jugs of 3 and 5 that are filled, emptied and poured; that one
// holds 4 breaks its rule.
type jugs struct{ three, five int }

func (j *jugs) Choices() (out []search.Choice) {
	for _, kind := range []search.Kind{"fill", "empty", "pour"} {
		for member := 1; member <= 2; member++ {
			out = append(out, search.Choice{Kind: kind, Member: member})
		}
	}
	return out
}

func (j *jugs) Say(c search.Choice) string { return string(c.Kind) }

func (j *jugs) Apply(c search.Choice) {
	own, other, ownMost, otherMost := &j.three, &j.five, 3, 5
	if c.Member == 2 {
		own, other, ownMost, otherMost = other, own, otherMost, ownMost
	}
	switch c.Kind {
	case "fill":
		*own = ownMost
	case "empty":
		*own = 0
	case "pour":
		n := min(*own, otherMost-*other)
		*own, *other = *own-n, *other+n
	}
}

func (j *jugs) Hash() uint64 { return uint64(j.three*10 + j.five) }

func (j *jugs) Settle() {}

func (j *jugs) Breach() *search.Breach {
	if j.five == 4 {
		return &search.Breach{Rule: "four", Note: "the jug of five holds four"}
	}
	return nil
}

// calm is the same without a rule.
type calm struct{ jugs }

func (c *calm) Breach() *search.Breach { return nil }

// Breadth first the shortest run is found, whoever makes the runs.
func TestBreadthFindsTheShortest(t *testing.T) {
	for workers := 1; workers <= 3; workers++ {
		r := search.Breadth(func() search.System { return &jugs{} }, search.Bound{Depth: 20, States: 100, Workers: workers})
		must.NotNil(t, r.Breach)
		must.Len(t, 6, r.Trace)
	}
}

// Every state that can be reached is met once: 16 of the jugs' 24.
func TestBreadthMeetsEveryState(t *testing.T) {
	r := search.Breadth(func() search.System { return &calm{} }, search.Bound{Depth: 20, States: 100})
	must.True(t, r.Whole)
	must.Eq(t, 16, r.States)
	bounded := search.Breadth(func() search.System { return &calm{} }, search.Bound{Depth: 20, States: 10})
	must.False(t, bounded.Whole)
	must.Eq(t, 10, bounded.States)
}

// A walk finds it too, and its trace is reduced to no longer one than the shortest.
func TestWalksFindAndReduce(t *testing.T) {
	r := search.Walks(func() search.System { return &jugs{} }, search.Bound{Walks: 20000, Steps: 60, Seed: 3})
	must.NotNil(t, r.Breach)
	made, breach := search.Follow(func() search.System { return &jugs{} }, r.Trace)
	must.Eq(t, r.Breach, breach)
	must.Eq(t, r.Trace, made)
	for i := range r.Trace { // no choice can be left out
		less := append(append([]search.Choice{}, r.Trace[:i]...), r.Trace[i+1:]...)
		_, breach := search.Follow(func() search.System { return &jugs{} }, less)
		must.Nil(t, breach)
	}
}

// A search that is stopped ends.
func TestStop(t *testing.T) {
	b := search.Bound{Depth: 20, States: 100, Walks: 5, Steps: 5, Stop: func() bool { return true }}
	must.False(t, search.Breadth(func() search.System { return &calm{} }, b).Whole)
	must.Eq(t, 0, search.Walks(func() search.System { return &calm{} }, b).Walks)
}
