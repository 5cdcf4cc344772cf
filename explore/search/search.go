// Package search explores a deterministic system over all orders of its choices: breadth
// first with visited states remembered, and by guided random walks beyond that bound.
package search

import (
	"fmt"
	"slices"
	"time"
)

// Kind is the kind of a choice.
type Kind string

// Choice is one thing that may happen next. Invariant: the same choices from the same
// beginning lead to the same state, so a list of them is a whole run.
type Choice struct {
	Kind Kind `json:"kind"`
	// Fault says that the choice is a fault, of which there is a bounded number.
	Fault bool `json:"fault,omitempty"`
	// Member and Other are members by number, from 1; 0 is none.
	Member int `json:"member,omitempty"`
	Other  int `json:"other,omitempty"`
	// Client is a client by number, from 1; Key is the index of a key.
	Client int `json:"client,omitempty"`
	Key    int `json:"key,omitempty"`
	// Deed is what a client asks for.
	Deed string `json:"deed,omitempty"`
	// Message names a message on its way by the hash of what it says.
	Message uint64 `json:"message,omitempty"`
	// Mask has one bit for each unsynced write that is kept.
	Mask uint64 `json:"mask,omitempty"`
	// Span is how much time passes.
	Span time.Duration `json:"span,omitempty"`
}

// Breach is an invariant that does not hold.
type Breach struct {
	Rule string `json:"rule"`
	Note string `json:"note"`
}

// String tells rule and note.
func (b Breach) String() string { return fmt.Sprintf("%s: %s", b.Rule, b.Note) }

// System is one run of what is explored. Invariants: Choices lists in a fixed order; two systems of one
// Factory with the same Hash have the same choices and, after each of them, the same Hash.
type System interface {
	// Choices lists what may happen next.
	Choices() []Choice
	// Say tells a choice in words, before it is applied.
	Say(Choice) string
	// Apply makes one of the choices.
	Apply(Choice)
	// Hash names the state.
	Hash() uint64
	// Breach is the invariant that the run so far has broken, nil if none.
	Breach() *Breach
	// Settle ends the run without further faults, to check what must hold in the end.
	Settle()
}

// Factory makes a system in its first state.
type Factory func() System

// Bound says how far the search goes; 0 of States or Walks is none.
type Bound struct {
	// Depth is how many choices long a run of the breadth-first search is.
	Depth int
	// States is how many states the breadth-first search remembers at most.
	States int
	// Walks is how many random walks follow, of Steps choices each.
	Walks, Steps int
	Seed         uint64
	// Workers is how many runs are made at a time; what is found does not depend on it.
	Workers int
	// Stop, when set, is asked between runs and ends the search early.
	Stop func() bool
}

// Report is what searches did.
type Report struct {
	// States counts the different states met breadth first, Runs the runs made for them.
	States, Runs int
	// Depth is the number of choices up to which every order was tried; Whole says that no
	// state was left unexplored, so more depth would show nothing new.
	Depth int
	Whole bool
	// Walks and Met count the random walks and the different states they met.
	Walks, Met int
	// Taken counts the choices made, by kind, over all runs.
	Taken map[Kind]int
	// Trace and Breach are the shortest run found that broke an invariant.
	Trace  []Choice
	Breach *Breach
}

// reduce makes the trace of a breach shorter, if there is one.
func (r *Report) reduce(begin Factory) {
	if r.Breach == nil {
		return
	}
	trace := Reduce(begin, r.Trace, r.Breach.Rule)
	if made, breach := Follow(begin, trace); breach != nil {
		r.Trace, r.Breach = made, breach
	}
}

func (b Bound) stopped() bool { return b.Stop != nil && b.Stop() }

// Follow makes those choices of a trace that are possible, and settles unless something
// broke before. It gives the choices made and the breach.
func Follow(begin Factory, trace []Choice) (made []Choice, breach *Breach) {
	s := begin()
	for _, c := range trace {
		if !slices.Contains(s.Choices(), c) {
			continue
		}
		s.Apply(c)
		made = append(made, c)
		if s.Breach() != nil {
			return made, s.Breach()
		}
	}
	s.Settle()
	return made, s.Breach()
}

// Reduce leaves out choices of a trace without which the same rule still breaks, first many
// at a time, then one by one.
func Reduce(begin Factory, trace []Choice, rule string) []Choice {
	for span := max(1, len(trace)/2); span > 0; {
		less := shorter(begin, trace, rule, span)
		if len(less) == len(trace) {
			span /= 2
			continue
		}
		trace = less
	}
	return trace
}

// shorter leaves out span choices in a row wherever the rule still breaks without them.
func shorter(begin Factory, trace []Choice, rule string, span int) []Choice {
	for at := 0; at+span <= len(trace); {
		less := append(append([]Choice{}, trace[:at]...), trace[at+span:]...)
		made, breach := Follow(begin, less)
		if breach != nil && breach.Rule == rule {
			trace = made
			continue
		}
		at += span
	}
	return trace
}
