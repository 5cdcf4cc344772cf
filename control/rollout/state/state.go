// Package state is the machine of a roll-out: one control key a way.
package state

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Prefix is where the roll-outs' control keys lie.
const Prefix = "rollout/"

// Key is the control key of a way's roll-out.
func Key(route string) ident.Key { return ident.Key(Prefix + route) }

// Phase is how far a roll-out is.
type Phase string

// The phases. Invariant: Done and Back are final until a new roll-out begins.
const (
	Running     Phase = "running"
	RollingBack Phase = "backing" // the way is being put back
	Done        Phase = "done"
	RolledBack  Phase = "back"
)

// Rollout is the state. Invariants: Steps rise and end with 100; At only rises while
// Running; every change names the At and Phase that it builds on, so that two cores
// that both believe they hold the duty can't both make it.
type Rollout struct {
	Route           string        `json:"way"`
	From            ident.Service `json:"from"`
	To              ident.Service `json:"to"`
	Steps           []int         `json:"steps"`
	StepSeconds     float64       `json:"stepS"`
	MaxFailureRatio float64       `json:"mostDefects"`
	Step            int           `json:"at"`
	Phase           Phase         `json:"phase"`
	Reason          string        `json:"why,omitempty"`
	Generation      uint64        `json:"round"`
}

// Transition is a change of a roll-out under way.
type Transition struct {
	Generation uint64 `json:"round"`
	Step       int    `json:"at"`
	Phase      Phase  `json:"phase"`
	// NextStep and NextPhase are what it becomes.
	NextStep  int    `json:"nextAt"`
	NextPhase Phase  `json:"nextPhase"`
	Reason    string `json:"why,omitempty"`
}

// nextPhases lists which phase may follow which.
var nextPhases = map[Phase][]Phase{Running: {Running, RollingBack, Done}, RollingBack: {RolledBack}}

// Handlers are the handlers.
func Handlers() operation.Table {
	return operation.Table{"rollout/begin": start, "rollout/move": applyTransition, "rollout/read": read}
}

func start(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current, requested Rollout
	if err := operation.Decode(rawState, rawArgs, &current, &requested); err != nil {
		return operation.Rejected(err)
	}
	if current.Phase == Running || current.Phase == RollingBack {
		return operation.Rejected(failure.New(failure.Conflict, "a roll-out of %q is %s", current.Route, current.Phase))
	}
	if len(requested.Steps) == 0 {
		requested.Steps = []int{5, 25, 50, 100}
	}
	if requested.StepSeconds == 0 {
		requested.StepSeconds = 10
	}
	if requested.MaxFailureRatio == 0 {
		requested.MaxFailureRatio = 0.05
	}
	stepsRise := slices.IsSorted(requested.Steps) && len(slices.Compact(slices.Clone(requested.Steps))) == len(requested.Steps)
	if !stepsRise || requested.Steps[0] < 1 || requested.Steps[len(requested.Steps)-1] != 100 || len(requested.Steps) > 50 {
		return operation.Rejected(failure.New(failure.Invalid, "steps must rise from 1 at least to 100"))
	}
	if requested.Route == "" || requested.From == "" || requested.To == "" || requested.From == requested.To || requested.StepSeconds < 0.5 || requested.StepSeconds > 86400 || requested.MaxFailureRatio < 0 || requested.MaxFailureRatio > 1 {
		return operation.Rejected(failure.New(failure.Invalid, "a roll-out needs a way, a service other than the way's, stepS from 0.5 to 86400 and mostDefects from 0 to 1"))
	}
	requested.Step, requested.Phase, requested.Reason, requested.Generation = 0, Running, "", current.Generation+1
	return operation.Result{State: operation.Encode(requested), Body: operation.Encode(requested)}
}

func applyTransition(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current Rollout
	var transition Transition
	if err := operation.Decode(rawState, rawArgs, &current, &transition); err != nil {
		return operation.Rejected(err)
	}
	if current.Generation != transition.Generation || current.Step != transition.Step || current.Phase != transition.Phase {
		return operation.Rejected(failure.New(failure.Conflict, "the roll-out is at step %d, %s", current.Step, current.Phase))
	}
	if !slices.Contains(nextPhases[current.Phase], transition.NextPhase) || transition.NextStep < current.Step || transition.NextStep >= len(current.Steps) {
		return operation.Rejected(failure.New(failure.Invalid, "no way from %s to %s", current.Phase, transition.NextPhase))
	}
	current.Step, current.Phase = transition.NextStep, transition.NextPhase
	if transition.Reason != "" {
		current.Reason = transition.Reason
	}
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(current)}
}

func read(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	var current Rollout
	var noArgs struct{}
	if err := operation.Decode(rawState, rawArgs, &current, &noArgs); err != nil {
		return operation.Rejected(err)
	}
	if current.Route == "" {
		return operation.Rejected(failure.New(failure.NotFound, "there was no roll-out"))
	}
	return operation.Result{Body: operation.Encode(current)}
}
