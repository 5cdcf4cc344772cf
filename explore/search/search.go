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

// Choice is one thing that may happen next. Invariant: the same choices from the same first state
// lead to the same state, so a list of them is a whole run.
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
	// Operation is what a client asks for.
	Operation string `json:"deed,omitempty"`
	// Message identifies a message in transit by the hash of its content.
	Message uint64 `json:"message,omitempty"`
	// Mask has one bit for each unsynced write that is kept.
	Mask uint64 `json:"mask,omitempty"`
	// Span is how much time passes.
	Span time.Duration `json:"span,omitempty"`
}

// Violation is an invariant that does not hold.
type Violation struct {
	Rule string `json:"rule"`
	Note string `json:"note"`
}

// String returns the rule and the note.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Note) }

// System is one run of what is explored. Invariants: Choices lists in a fixed order; two systems
// of one Factory with the same Hash have the same choices and, after each of them, the same Hash.
type System interface {
	// Choices lists what may happen next.
	Choices() []Choice
	// Describe describes a choice, before it is applied.
	Describe(Choice) string
	// Apply makes one of the choices.
	Apply(Choice)
	// Hash identifies the state.
	Hash() uint64
	// Violation is the invariant that the run so far has broken, nil if none.
	Violation() *Violation
	// Settle ends the run without further faults, to check what must hold in the end.
	Settle()
}

// Factory makes a system in its first state.
type Factory func() System

// Limits say how far searches go; 0 States or Walks are none.
type Limits struct {
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
	// Depth is the number of choices up to which every order was tried; Complete says that no
	// state was left unexplored, so more depth would show nothing new.
	Depth    int
	Complete bool
	// Walks counts the random walks, WalkStates the different states that they met.
	Walks, WalkStates int
	// ChoiceCounts counts the choices made, by kind, over all runs.
	ChoiceCounts map[Kind]int
	// Trace and Breach are the shortest run found that broke an invariant.
	Trace     []Choice
	Violation *Violation
}

// shortenTrace shortens the trace of a violation, if there is one.
func (r *Report) shortenTrace(newSystem Factory) {
	if r.Violation == nil {
		return
	}
	trace := Shorten(newSystem, r.Trace, r.Violation.Rule)
	if followed, violation := Follow(newSystem, trace); violation != nil {
		r.Trace, r.Violation = followed, violation
	}
}

// stopRequested tells whether the search is to end early.
func (b Limits) stopRequested() bool { return b.Stop != nil && b.Stop() }

// Follow makes those choices of a trace that are possible, and settles unless something was
// violated before. It returns the choices made and the violation.
func Follow(newSystem Factory, trace []Choice) (followed []Choice, violation *Violation) {
	system := newSystem()
	for _, choice := range trace {
		if !slices.Contains(system.Choices(), choice) {
			continue
		}
		system.Apply(choice)
		followed = append(followed, choice)
		if system.Violation() != nil {
			return followed, system.Violation()
		}
	}
	system.Settle()
	return followed, system.Violation()
}

// Shorten leaves out choices of a trace without which the same rule is still violated, first many
// at a time, then one by one.
func Shorten(newSystem Factory, trace []Choice, rule string) []Choice {
	for span := max(1, len(trace)/2); span > 0; {
		shorter := removeSpans(newSystem, trace, rule, span)
		if len(shorter) == len(trace) {
			span /= 2
			continue
		}
		trace = shorter
	}
	return trace
}

// removeSpans leaves out span choices in a row wherever the rule is still violated without them.
func removeSpans(newSystem Factory, trace []Choice, rule string, span int) []Choice {
	for start := 0; start+span <= len(trace); {
		candidate := append(append([]Choice{}, trace[:start]...), trace[start+span:]...)
		followed, violation := Follow(newSystem, candidate)
		if violation != nil && violation.Rule == rule {
			trace = followed
			continue
		}
		start += span
	}
	return trace
}
