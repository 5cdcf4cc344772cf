package reconcile_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
	"cottonarch.example/cottonarch/control/rollout/state"
)

// fixture is a rollout of route r from service a to service b, with the inputs of the reconciler.
type fixture struct {
	t          *testing.T
	reconciler *reconcile.Reconciler
	now        monotime.Time
	rollout    state.Rollout
	route      validation.Route
	counts     reconcile.CallCounts
}

func newFixture(t *testing.T) *fixture {
	return &fixture{
		t:          t,
		reconciler: reconcile.New(),
		now:        monotime.Time(time.Hour),
		rollout: state.Rollout{
			Route:           "r",
			From:            "a",
			To:              "b",
			Steps:           []int{10, 100},
			StepSeconds:     5,
			MaxFailureRatio: 0.1,
			Phase:           state.Running,
			Generation:      1,
		},
		route: validation.Route{Name: "r", Service: "a"},
	}
}

// next returns the reconciler's next operation, or false if no operation is due.
func (f *fixture) next() (proposer.Operation, bool) {
	config := &validation.Config{
		Revision: 7,
		Services: map[ident.Service]validation.Service{"a": {Hostname: "a"}, "b": {Hostname: "b"}},
		Routes:   []validation.Route{{Name: "other", Service: "a"}, f.route},
	}
	return f.reconciler.Next(f.now, f.rollout, config, func(ident.Service) reconcile.CallCounts { return f.counts })
}

// mustWait checks that no operation is due.
func (f *fixture) mustWait() {
	f.t.Helper()
	op, due := f.next()
	must.False(f.t, due, must.Sprint(op.Kind, string(op.Args)))
}

// mustPropose checks that the next operation proposes a patch whose base is the revision of the
// configuration that the reconciler examined.
func (f *fixture) mustPropose(patch string) {
	f.t.Helper()
	op, due := f.next()
	must.True(f.t, due)
	must.Eq(f.t, proposal.ProposeKind, op.Kind)
	var args proposal.Args
	must.NoError(f.t, json.Unmarshal(op.Args, &args))
	must.True(f.t, args.Partial)
	must.Eq(f.t, 7, *args.BaseRevision)
	must.Eq(f.t, patch, string(args.Body))
}

// mustTransition checks that the next operation is a transition to the given step and phase.
func (f *fixture) mustTransition(step int, phase state.Phase) {
	f.t.Helper()
	op, due := f.next()
	must.True(f.t, due)
	must.Eq(f.t, state.TransitionKind, op.Kind)
	var transition state.Transition
	must.NoError(f.t, json.Unmarshal(op.Args, &transition))
	must.Eq(f.t, step, transition.NextStep)
	must.Eq(f.t, phase, transition.NextPhase)
	must.Eq(f.t, phase == state.RollingBack, transition.Reason != "")
}

// applyFirstStep changes the route as the proposal of the first step does: 10 percent of the calls
// go to service b.
func (f *fixture) applyFirstStep() {
	f.route.Split = []validation.WeightedService{{Service: "b", Percent: 10}}
}

// A rollout without failures completes its steps in order: the share of each step is proposed, and
// stays in force for the duration of the step and the minimum number of calls before the share of
// the next step is proposed.
func TestStepsWithoutFailures(t *testing.T) {
	f := newFixture(t)
	f.mustPropose(`{"ways":{"r":{"service":"a","split":{"b":10}}}}`)
	f.applyFirstStep()
	f.mustWait()
	f.counts.Total = 100
	f.mustWait() // the duration of the step has not passed
	f.now = f.now.Add(6 * time.Second)
	f.mustTransition(1, state.Running)
	f.rollout.Step = 1
	f.mustPropose(`{"ways":{"r":{"service":"b","split":null}}}`)
	f.route.Service, f.route.Split = "b", nil
	f.mustWait()
	f.now = f.now.Add(6 * time.Second)
	f.mustWait() // too few calls since the step began
	f.counts.Total += 20
	f.mustTransition(1, state.Done)
	f.rollout.Phase = state.Done
	f.mustWait()
}

// Too many failed calls roll the rollout back, but only after the minimum number of calls. The
// route must return to the old service before the rollout ends.
func TestFailuresRollBack(t *testing.T) {
	f := newFixture(t)
	f.applyFirstStep()
	f.counts = reconcile.CallCounts{Total: 1000, Failed: 900} // calls before the step
	f.mustWait()
	f.counts = reconcile.CallCounts{Total: 1019, Failed: 919}
	f.mustWait()
	f.counts = reconcile.CallCounts{Total: 1030, Failed: 903}
	f.mustWait() // exactly the allowed failure ratio
	f.counts.Failed++
	f.mustTransition(0, state.RollingBack)
	f.rollout.Phase = state.RollingBack
	f.mustPropose(`{"ways":{"r":{"service":"a","split":null}}}`)
	f.route.Split = nil
	f.mustTransition(0, state.RolledBack)
}

// Call counts below the baseline of the observation come from another core and must restart the
// observation of the step. A new generation of the rollout must restart the observation, too.
func TestStepObservationRestarts(t *testing.T) {
	f := newFixture(t)
	f.applyFirstStep()
	f.counts = reconcile.CallCounts{Total: 500}
	f.mustWait()
	f.now = f.now.Add(6 * time.Second)
	f.counts = reconcile.CallCounts{Total: 40}
	f.mustWait() // the observation is dropped
	f.mustWait() // a new observation starts
	f.counts.Total += 20
	f.mustWait()
	f.rollout.Generation++
	f.now = f.now.Add(6 * time.Second)
	f.mustWait()
}

// A rollout whose route or target service is missing from the configuration is rolled back.
func TestRemovedRouteOrService(t *testing.T) {
	f := newFixture(t)
	f.route.Name = "renamed"
	f.mustTransition(0, state.RollingBack)
	f.rollout.Phase = state.RollingBack
	f.mustTransition(0, state.RolledBack)

	f = newFixture(t)
	f.rollout.To = "none"
	f.mustTransition(0, state.RollingBack)
}
