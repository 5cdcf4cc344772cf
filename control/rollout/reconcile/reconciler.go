// Package reconcile compares a rollout with the configuration in force and determines the next
// operation that moves the configuration toward the desired state of the rollout.
package reconcile

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/rollout/state"
)

// minStepCalls is the number of calls that must have completed before a step is evaluated.
const minStepCalls = 20

// The reasons for a rollback. The texts are stored with the rollout and must not change.
const (
	reasonRemoved  = "the way or the service is no more in the manifest"
	reasonFailures = "%d of %d calls ended in a defect at %d%%"
)

// CallCounts holds the number of completed calls of a service and how many of the calls failed.
type CallCounts struct {
	Total  uint64 `json:"all"`
	Failed uint64 `json:"bad"`
}

// since returns the increase of the counts since a baseline. It reports false if a count is below
// the baseline, which means that the counts and the baseline come from different cores.
func (c CallCounts) since(baseline CallCounts) (CallCounts, bool) {
	if c.Total < baseline.Total || c.Failed < baseline.Failed {
		return CallCounts{}, false
	}
	return CallCounts{Total: c.Total - baseline.Total, Failed: c.Failed - baseline.Failed}, true
}

// stepObservation is the observation of one step of one generation of a rollout. A core that takes
// over the rollouts starts a new observation, so a single core observes a step for its whole
// duration.
type stepObservation struct {
	generation uint64
	step       int
	startedAt  monotime.Time
	baseline   CallCounts
}

// Reconciler observes the rollouts in progress. The observations are keyed by route name.
type Reconciler struct{ observations map[string]stepObservation }

// New returns a reconciler without observations.
func New() *Reconciler { return &Reconciler{observations: map[string]stepObservation{}} }

// CallCounter returns the call counts of a service as known to this core.
type CallCounter func(service ident.Service) CallCounts

// Next returns the next operation for a rollout. It reports false if no operation is due.
func (r *Reconciler) Next(
	now monotime.Time, rollout state.Rollout, config *validation.Config, callCounts CallCounter,
) (proposer.Operation, bool) {
	if config == nil || rollout.Phase != state.Running && rollout.Phase != state.RollingBack {
		delete(r.observations, rollout.Route)
		return proposer.Operation{}, false
	}
	route := findRoute(config, rollout.Route)
	if rollout.Phase == state.RollingBack {
		return r.rollBack(rollout, route, config), true
	}
	if route == nil || config.Services[rollout.To].Hostname == "" {
		return transition(rollout, state.RollingBack, rollout.Step, reasonRemoved), true
	}
	percent := rollout.Steps[rollout.Step]
	if targetShare(route, rollout) != percent*validation.OnePercent {
		delete(r.observations, rollout.Route)
		return proposeShare(rollout, config, percent), true
	}
	return r.evaluateStep(now, rollout, callCounts(rollout.To))
}

// evaluateStep evaluates a step whose share is in force: the rollout is rolled back if too many
// calls fail, and the step completes once its duration has passed and enough calls have completed.
func (r *Reconciler) evaluateStep(now monotime.Time, rollout state.Rollout, counts CallCounts) (proposer.Operation, bool) {
	observation, ok := r.observations[rollout.Route]
	if !ok || observation.generation != rollout.Generation || observation.step != rollout.Step {
		observation = stepObservation{rollout.Generation, rollout.Step, now, counts}
		r.observations[rollout.Route] = observation
	}
	ended, ok := counts.since(observation.baseline)
	if !ok {
		delete(r.observations, rollout.Route)
		return proposer.Operation{}, false
	}
	if ended.Total >= minStepCalls && float64(ended.Failed) > rollout.MaxFailureRatio*float64(ended.Total) {
		reason := fmt.Sprintf(reasonFailures, ended.Failed, ended.Total, rollout.Steps[rollout.Step])
		return transition(rollout, state.RollingBack, rollout.Step, reason), true
	}
	stepTime := time.Duration(rollout.StepSeconds * float64(time.Second))
	if now.Since(observation.startedAt) < stepTime || ended.Total < minStepCalls {
		return proposer.Operation{}, false
	}
	if rollout.Step == len(rollout.Steps)-1 {
		return transition(rollout, state.Done, rollout.Step, ""), true
	}
	return transition(rollout, state.Running, rollout.Step+1, ""), true
}

// rollBack returns the operation that routes all requests to the old service again, or, once the
// configuration in force does so, the operation that ends the rollout.
func (r *Reconciler) rollBack(rollout state.Rollout, route *validation.Route, config *validation.Config) proposer.Operation {
	delete(r.observations, rollout.Route)
	if route == nil || route.Service != rollout.To && targetShare(route, rollout) == 0 {
		return transition(rollout, state.RolledBack, rollout.Step, "")
	}
	return proposeShare(rollout, config, 0)
}

func findRoute(config *validation.Config, name string) *validation.Route {
	for i := range config.Routes {
		if config.Routes[i].Name == name {
			return &config.Routes[i]
		}
	}
	return nil
}

// targetShare returns the share of the route's requests that goes to the new service, in
// millionths.
func targetShare(route *validation.Route, rollout state.Rollout) int {
	if route.Service == rollout.To {
		return validation.FullShare
	}
	for _, split := range route.Split {
		if split.Service == rollout.To {
			return split.Millionths()
		}
	}
	return 0
}
