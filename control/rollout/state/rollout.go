// Package state implements the state machine of rollouts. A rollout moves the requests of a route
// from one service to another in steps; each route has a control key of its own.
package state

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Prefix is the common prefix of the control keys of rollouts.
const Prefix = "rollout/"

// The kinds of operations on a rollout.
const (
	StartKind      = "rollout/begin"
	TransitionKind = "rollout/move"
	ReadKind       = "rollout/read"
)

// Defaults and bounds of the values in a request to start a rollout.
const (
	defaultStepSeconds     = 10
	defaultMaxFailureRatio = 0.05
	minStepSeconds         = 0.5
	maxStepSeconds         = 86400
	maxSteps               = 50
)

var defaultSteps = []int{5, 25, 50, 100}

// Key returns the control key of a route's rollout.
func Key(route string) ident.Key { return ident.Key(Prefix + route) }

// Phase is the phase of a rollout.
type Phase string

// The phases. Done and RolledBack are final until a new rollout starts.
const (
	Running     Phase = "running"
	RollingBack Phase = "backing"
	Done        Phase = "done"
	RolledBack  Phase = "back"
)

// nextPhases lists the phases that may follow each phase.
var nextPhases = map[Phase][]Phase{Running: {Running, RollingBack, Done}, RollingBack: {RolledBack}}

// Rollout is the state of the newest rollout of a route. Invariants: Steps are strictly increasing
// and end with 100; Step never decreases while the phase is Running; every transition names the
// step and the phase from which it starts, so that if two cores both consider themselves
// responsible for the rollout, only one of the cores can make the transition.
type Rollout struct {
	Route string        `json:"way"`
	From  ident.Service `json:"from"`
	To    ident.Service `json:"to"`
	// Steps are the successive percentages of requests that go to To.
	Steps []int `json:"steps"`
	// StepSeconds is the minimum duration of a step.
	StepSeconds float64 `json:"stepS"`
	// MaxFailureRatio is the ratio of failed calls above which the rollout is rolled back.
	MaxFailureRatio float64 `json:"mostDefects"`
	// Step is the index of the current step.
	Step  int   `json:"at"`
	Phase Phase `json:"phase"`
	// Reason explains why the rollout was rolled back.
	Reason string `json:"why,omitempty"`
	// Generation counts the rollouts of the route.
	Generation uint64 `json:"round"`
}

// Transition changes the step and phase of a rollout in progress.
type Transition struct {
	Generation uint64 `json:"round"`
	Step       int    `json:"at"`
	Phase      Phase  `json:"phase"`
	NextStep   int    `json:"nextAt"`
	NextPhase  Phase  `json:"nextPhase"`
	Reason     string `json:"why,omitempty"`
}

// Handlers returns the handlers of the operations on a rollout.
func Handlers() operation.Table {
	return operation.Table{StartKind: start, TransitionKind: applyTransition, ReadKind: read}
}

// start starts a rollout unless a rollout of the route is in progress.
func start(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, requested, err := operation.DecodeAs[Rollout, Rollout](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if current.Phase == Running || current.Phase == RollingBack {
		return operation.Rejected(failure.New(failure.Conflict, "the rollout of route %q is in progress (phase %q)", current.Route, current.Phase))
	}
	requested.setDefaults()
	if err := requested.validate(); err != nil {
		return operation.Rejected(err)
	}
	requested.Step, requested.Phase, requested.Reason, requested.Generation = 0, Running, "", current.Generation+1
	return operation.Result{State: operation.Encode(requested), Body: operation.Encode(requested)}
}

func (r *Rollout) setDefaults() {
	if len(r.Steps) == 0 {
		r.Steps = slices.Clone(defaultSteps)
	}
	if r.StepSeconds == 0 {
		r.StepSeconds = defaultStepSeconds
	}
	if r.MaxFailureRatio == 0 {
		r.MaxFailureRatio = defaultMaxFailureRatio
	}
}

func (r *Rollout) validate() *failure.Error {
	rising := slices.IsSorted(r.Steps) && len(slices.Compact(slices.Clone(r.Steps))) == len(r.Steps)
	if !rising || r.Steps[0] < 1 || r.Steps[len(r.Steps)-1] != 100 || len(r.Steps) > maxSteps {
		return failure.New(failure.Invalid, "steps must be strictly increasing percentages from 1 or more up to 100")
	}
	servicesValid := r.From != "" && r.To != "" && r.From != r.To
	stepSecondsValid := r.StepSeconds >= minStepSeconds && r.StepSeconds <= maxStepSeconds
	ratioValid := r.MaxFailureRatio >= 0 && r.MaxFailureRatio <= 1
	if r.Route == "" || !servicesValid || !stepSecondsValid || !ratioValid {
		return failure.New(failure.Invalid,
			"a rollout needs a route, two different services, stepS from %v to %v and mostDefects from 0 to 1",
			minStepSeconds, maxStepSeconds)
	}
	return nil
}

// applyTransition changes the step and phase of a rollout if the rollout is in the generation,
// step and phase from which the transition starts.
func applyTransition(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, transition, err := operation.DecodeAs[Rollout, Transition](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if current.Generation != transition.Generation || current.Step != transition.Step || current.Phase != transition.Phase {
		return operation.Rejected(failure.New(failure.Conflict, "the rollout is at step %d in phase %q", current.Step, current.Phase))
	}
	phaseAllowed := slices.Contains(nextPhases[current.Phase], transition.NextPhase)
	if !phaseAllowed || transition.NextStep < current.Step || transition.NextStep >= len(current.Steps) {
		return operation.Rejected(failure.New(failure.Invalid, "a rollout cannot change from phase %q to phase %q", current.Phase, transition.NextPhase))
	}
	current.Step, current.Phase = transition.NextStep, transition.NextPhase
	if transition.Reason != "" {
		current.Reason = transition.Reason
	}
	return operation.Result{State: operation.Encode(current), Body: operation.Encode(current)}
}

func read(_ proposer.Context, rawState, rawArgs json.RawMessage) operation.Result {
	current, _, err := operation.DecodeAs[Rollout, struct{}](rawState, rawArgs)
	if err != nil {
		return operation.Rejected(err)
	}
	if current.Route == "" {
		return operation.Rejected(failure.New(failure.NotFound, "the route has no rollout"))
	}
	return operation.Result{Body: operation.Encode(current)}
}
