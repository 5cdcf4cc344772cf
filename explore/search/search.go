// Package search explores the orders of a deterministic system's choices: all orders up to a limit by a
// breadth-first search that remembers visited states, and longer orders by guided random walks.
package search

import (
	"fmt"
	"slices"
	"time"
)

// Kind is the kind of a choice.
type Kind string

// Choice is one possible next step of a system. Invariant: the same choices from the same initial state
// lead to the same state, so a list of choices determines a whole run.
type Choice struct {
	Kind Kind `json:"kind"`
	// Fault says that the choice is a fault. The number of faults in a run is limited.
	Fault bool `json:"fault,omitempty"`
	// Member and Other are numbers of members, from 1; 0 means none.
	Member int `json:"member,omitempty"`
	Other  int `json:"other,omitempty"`
	// Client is the number of a client, from 1; Key is the index of a key.
	Client int `json:"client,omitempty"`
	Key    int `json:"key,omitempty"`
	// Operation is the operation that a client requests.
	Operation string `json:"deed,omitempty"`
	// Message identifies a message in transit by the hash of its content.
	Message uint64 `json:"message,omitempty"`
	// Mask has one bit per unsynced write; a set bit means that the write survives.
	Mask uint64 `json:"mask,omitempty"`
	// Span is the time that passes.
	Span time.Duration `json:"span,omitempty"`
}

// Violation describes an invariant that a run violated.
type Violation struct {
	Rule string `json:"rule"`
	Note string `json:"note"`
}

// String formats the violation as its rule and its note.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Note) }

// System is one run of the explored system. Invariants: Choices returns the choices in a fixed order;
// two systems of one Factory with the same Hash have the same choices and, after the same choice, again
// the same Hash.
type System interface {
	// Choices lists the possible next choices.
	Choices() []Choice
	// Describe describes a choice, before it is applied.
	Describe(Choice) string
	// Apply executes one of the choices.
	Apply(Choice)
	// Hash identifies the state.
	Hash() uint64
	// Violation returns the violation of the run so far, or nil.
	Violation() *Violation
	// Settle completes the run without further faults, to check the invariants of a settled state.
	Settle()
}

// Factory returns a new system in its initial state.
type Factory func() System

// Limits bound the searches. 0 States or 0 Walks is a limit of zero, not the absence of a limit.
type Limits struct {
	// Depth is the maximum number of choices of a run in the breadth-first search.
	Depth int
	// States is the maximum number of states that the breadth-first search remembers.
	States int
	// Walks is the number of random walks, Steps the maximum number of choices in each.
	Walks, Steps int
	Seed         uint64
	// Workers is the number of concurrent runs. The result does not depend on Workers.
	Workers int
	// Stop, if set, is called between runs; a true result ends the search early.
	Stop func() bool
}

// Report holds the result of the searches.
type Report struct {
	// States counts the distinct states that the breadth-first search visited, Runs its runs.
	States, Runs int
	// Depth is the number of choices up to which the search tried every order. Complete says that the
	// search explored every reachable state, so that a higher limit would find no further state.
	Depth    int
	Complete bool
	// Walks counts the random walks, WalkStates the distinct states that the walks visited.
	Walks, WalkStates int
	// ChoiceCounts counts the applied choices of all runs by kind.
	ChoiceCounts map[Kind]int
	// Trace and Violation describe the shortest run found that violates an invariant.
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

// stopRequested reports whether the search must end early.
func (l Limits) stopRequested() bool { return l.Stop != nil && l.Stop() }

// Follow applies the choices of a trace, skips choices that are not possible, and settles the system
// unless there was a violation. Follow returns the applied choices and the violation.
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

// Shorten removes choices from a trace as long as the remaining choices still violate the same rule,
// first in large chunks, then one by one.
func Shorten(newSystem Factory, trace []Choice, rule string) []Choice {
	for chunkSize := max(1, len(trace)/2); chunkSize > 0; {
		shorter := removeChunks(newSystem, trace, rule, chunkSize)
		if len(shorter) == len(trace) {
			chunkSize /= 2
			continue
		}
		trace = shorter
	}
	return trace
}

// removeChunks removes every chunk of chunkSize consecutive choices without which the trace still
// violates the rule.
func removeChunks(newSystem Factory, trace []Choice, rule string, chunkSize int) []Choice {
	for start := 0; start+chunkSize <= len(trace); {
		candidate := append(append([]Choice{}, trace[:start]...), trace[start+chunkSize:]...)
		followed, violation := Follow(newSystem, candidate)
		if violation != nil && violation.Rule == rule {
			trace = followed
			continue
		}
		start += chunkSize
	}
	return trace
}
