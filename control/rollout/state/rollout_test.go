package state_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/rollout/state"
)

// fixture holds the value of one rollout's control key.
type fixture struct{ value json.RawMessage }

// apply executes an operation and returns the rollout in its response.
func (f *fixture) apply(t *testing.T, kind string, args any) (state.Rollout, *failure.Error) {
	t.Helper()
	result := state.Handlers().Apply(proposer.Context{}, f.value, proposer.Operation{Kind: kind, Args: operation.Encode(args)})
	if result.Changed {
		f.value = result.Value
	}
	var current state.Rollout
	if result.Failure == nil {
		must.NoError(t, json.Unmarshal(result.Body, &current))
	}
	return current, result.Failure
}

// Requests with values out of bounds are rejected; values that a request omits get defaults.
func TestRequestsAreValidated(t *testing.T) {
	valid := state.Rollout{Route: "r", From: "a", To: "b"}
	for i, change := range []func(*state.Rollout){
		func(r *state.Rollout) { r.Route = "" },
		func(r *state.Rollout) { r.From = "" },
		func(r *state.Rollout) { r.To = "" },
		func(r *state.Rollout) { r.To = r.From },
		func(r *state.Rollout) { r.Steps = []int{0, 100} },
		func(r *state.Rollout) { r.Steps = []int{50} },
		func(r *state.Rollout) { r.Steps = []int{50, 50, 100} },
		func(r *state.Rollout) { r.Steps = []int{60, 50, 100} },
		func(r *state.Rollout) {
			for percent := 50; percent <= 100; percent++ {
				r.Steps = append(r.Steps, percent)
			}
		},
		func(r *state.Rollout) { r.StepSeconds = 0.4 },
		func(r *state.Rollout) { r.StepSeconds = 86401 },
		func(r *state.Rollout) { r.MaxFailureRatio = -0.1 },
		func(r *state.Rollout) { r.MaxFailureRatio = 1.1 },
	} {
		requested := valid
		change(&requested)
		_, err := (&fixture{}).apply(t, state.StartKind, requested)
		must.NotNil(t, err, must.Sprint(i))
		must.Eq(t, failure.Invalid, err.Kind, must.Sprint(i))
	}
	started, err := (&fixture{}).apply(t, state.StartKind, valid)
	must.Nil(t, err)
	must.Eq(
		t,
		state.Rollout{
			Route:           "r",
			From:            "a",
			To:              "b",
			Steps:           []int{5, 25, 50, 100},
			StepSeconds:     10,
			MaxFailureRatio: 0.05,
			Phase:           state.Running,
			Generation:      1,
		},
		started,
	)
}

// Guards against two cores that both make a transition, and against invalid transitions: a
// transition applies once, from the step and phase it names, to an allowed phase. A new rollout
// starts only after the previous rollout has ended.
func TestTransitionsAreAppliedOnce(t *testing.T) {
	f := &fixture{}
	_, err := f.apply(t, state.ReadKind, struct{}{})
	must.Eq(t, failure.NotFound, err.Kind)
	requested := state.Rollout{Route: "r", From: "a", To: "b", Steps: []int{10, 100}}
	_, err = f.apply(t, state.StartKind, requested)
	must.Nil(t, err)
	_, err = f.apply(t, state.StartKind, requested)
	must.Eq(t, failure.Conflict, err.Kind)

	forward := state.Transition{Generation: 1, Step: 0, Phase: state.Running, NextStep: 1, NextPhase: state.Running}
	current, err := f.apply(t, state.TransitionKind, forward)
	must.Nil(t, err)
	must.Eq(t, 1, current.Step)
	_, err = f.apply(t, state.TransitionKind, forward)
	must.Eq(t, failure.Conflict, err.Kind)

	for i, invalid := range []state.Transition{
		{Generation: 1, Step: 1, Phase: state.Running, NextStep: 0, NextPhase: state.Running},
		{Generation: 1, Step: 1, Phase: state.Running, NextStep: 2, NextPhase: state.Running},
		{Generation: 1, Step: 1, Phase: state.Running, NextStep: 1, NextPhase: state.RolledBack},
	} {
		_, err = f.apply(t, state.TransitionKind, invalid)
		must.NotNil(t, err, must.Sprint(i))
		must.Eq(t, failure.Invalid, err.Kind, must.Sprint(i))
	}
	for _, phase := range []state.Phase{state.RollingBack, state.RolledBack} {
		current, err = f.apply(
			t,
			state.TransitionKind,
			state.Transition{Generation: 1, Step: 1, Phase: current.Phase, NextStep: 1, NextPhase: phase, Reason: "r"},
		)
		must.Nil(t, err)
		must.Eq(t, phase, current.Phase)
		must.Eq(t, "r", current.Reason)
	}
	current, err = f.apply(t, state.StartKind, requested)
	must.Nil(t, err)
	must.Eq(t, 2, current.Generation)
	must.Eq(t, "", current.Reason)
}
