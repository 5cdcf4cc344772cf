// Package reconcile compares a rollout with the configuration in force and works out the
// next operation that brings the configuration towards the rollout's wanted state.
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

// minCalls is how many calls must have ended before a step is judged.
const minCalls = 20

// The reasons for rolling back. They are stored with the rollout, so their text is kept.
const (
	reasonRemoved  = "the way or the service is no more in the manifest"
	reasonFailures = "%d of %d calls ended in a defect at %d%%"
)

// CallCounts counts the calls of a service that have ended, and those that failed.
type CallCounts struct {
	Total  uint64 `json:"all"`
	Failed uint64 `json:"bad"`
}

// minus returns what was counted since a baseline. It reports false if a count is below the
// baseline, which then comes from another core.
func (c CallCounts) minus(baseline CallCounts) (CallCounts, bool) {
	if c.Total < baseline.Total || c.Failed < baseline.Failed {
		return CallCounts{}, false
	}
	return CallCounts{Total: c.Total - baseline.Total, Failed: c.Failed - baseline.Failed}, true
}

// stepWatch is the observation of one step of one generation of a rollout. A core that takes
// the rollouts over starts a new one, so one core observes a step for its whole time.
type stepWatch struct {
	generation uint64
	step       int
	startedAt  monotime.Time
	baseline   CallCounts
}

// Reconciler holds the observations of the rollouts under way, by route.
type Reconciler struct{ watches map[string]stepWatch }

// New returns a reconciler without observations.
func New() *Reconciler { return &Reconciler{watches: map[string]stepWatch{}} }

// CallCounter returns the counts of a service at this core.
type CallCounter func(service ident.Service) CallCounts

// Next returns the next operation for a rollout; it reports false if none is due.
func (r *Reconciler) Next(
	now monotime.Time, rollout state.Rollout, config *validation.Config, callCounts CallCounter,
) (proposer.Operation, bool) {
	if config == nil || rollout.Phase != state.Running && rollout.Phase != state.RollingBack {
		delete(r.watches, rollout.Route)
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
	if shareOfTarget(route, rollout) != percent*validation.OnePercent {
		delete(r.watches, rollout.Route)
		return proposeShare(rollout, config, percent), true
	}
	return r.judgeStep(now, rollout, callCounts(rollout.To))
}

// judgeStep decides on a step whose share is in force: it is rolled back if too many calls
// fail, and completed once its time is over.
func (r *Reconciler) judgeStep(now monotime.Time, rollout state.Rollout, counts CallCounts) (proposer.Operation, bool) {
	watch, ok := r.watches[rollout.Route]
	if !ok || watch.generation != rollout.Generation || watch.step != rollout.Step {
		watch = stepWatch{rollout.Generation, rollout.Step, now, counts}
		r.watches[rollout.Route] = watch
	}
	ended, ok := counts.minus(watch.baseline)
	if !ok {
		delete(r.watches, rollout.Route)
		return proposer.Operation{}, false
	}
	if ended.Total >= minCalls && float64(ended.Failed) > rollout.MaxFailureRatio*float64(ended.Total) {
		reason := fmt.Sprintf(reasonFailures, ended.Failed, ended.Total, rollout.Steps[rollout.Step])
		return transition(rollout, state.RollingBack, rollout.Step, reason), true
	}
	stepTime := time.Duration(rollout.StepSeconds * float64(time.Second))
	if now.Since(watch.startedAt) < stepTime || ended.Total < minCalls {
		return proposer.Operation{}, false
	}
	if rollout.Step == len(rollout.Steps)-1 {
		return transition(rollout, state.Done, rollout.Step, ""), true
	}
	return transition(rollout, state.Running, rollout.Step+1, ""), true
}

// rollBack returns the operation that gives the route back to the old service, or the one
// that ends the rollout once that is in force.
func (r *Reconciler) rollBack(rollout state.Rollout, route *validation.Route, config *validation.Config) proposer.Operation {
	delete(r.watches, rollout.Route)
	if route == nil || route.Service != rollout.To && shareOfTarget(route, rollout) == 0 {
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

// shareOfTarget returns the part of the route that goes to the new service, in millionths.
func shareOfTarget(route *validation.Route, rollout state.Rollout) int {
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
