// Package reconcile works out the difference between a roll-out's wanted state and the
// manifest in force, one operation at a time.
package reconcile

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/rollout/state"
)

// minCalls is how many ended calls a verdict on a step rests on.
const minCalls = 20

// CallCounts counts a service's ended calls and those of them that ended in a failure.
type CallCounts struct {
	Total  uint64 `json:"all"`
	Failed uint64 `json:"bad"`
}

// stepWatch is where a step stands. Invariant: it is of one round, step and phase, and is
// begun anew by whoever takes the duty over, so a step is watched for its whole time
// by one core.
type stepWatch struct {
	generation uint64
	step       int
	startedAt  monotime.Time
	baseline   CallCounts
}

// Reconciler is the duty's memory.
type Reconciler struct{ watches map[string]stepWatch }

// New makes one without memory.
func New() *Reconciler { return &Reconciler{watches: map[string]stepWatch{}} }

// Next gives the next operation for a roll-out, if one is due.
func (rec *Reconciler) Next(now monotime.Time, wanted state.Rollout, config *validation.Config, callCounts func(ident.Service) CallCounts) (proposer.Operation, bool) {
	if config == nil || wanted.Phase != state.Running && wanted.Phase != state.RollingBack {
		delete(rec.watches, wanted.Route)
		return proposer.Operation{}, false
	}
	var route *validation.Route
	for i := range config.Routes {
		if config.Routes[i].Name == wanted.Route {
			route = &config.Routes[i]
		}
	}
	if wanted.Phase == state.RollingBack {
		return rec.rollBack(wanted, route, config)
	}
	if route == nil || config.Services[wanted.To].Hostname == "" {
		return transition(wanted, state.RollingBack, wanted.Step, "the way or the service is no more in the manifest")
	}
	wantedPercent := wanted.Steps[wanted.Step]
	if shareOfTarget(route, wanted) != wantedPercent*validation.OnePercent {
		delete(rec.watches, wanted.Route)
		return proposeShare(wanted, config, wantedPercent)
	}
	watch, ok := rec.watches[wanted.Route]
	if !ok || watch.generation != wanted.Generation || watch.step != wanted.Step {
		watch = stepWatch{wanted.Generation, wanted.Step, now, callCounts(wanted.To)}
		rec.watches[wanted.Route] = watch
	}
	counts := callCounts(wanted.To)
	total, failed := counts.Total-watch.baseline.Total, counts.Failed-watch.baseline.Failed
	if counts.Total < watch.baseline.Total || counts.Failed < watch.baseline.Failed { // another core's sums
		delete(rec.watches, wanted.Route)
		return proposer.Operation{}, false
	}
	if total >= minCalls && float64(failed) > wanted.MaxFailureRatio*float64(total) {
		return transition(wanted, state.RollingBack, wanted.Step, fmt.Sprintf("%d of %d calls ended in a defect at %d%%", failed, total, wantedPercent))
	}
	if now.Since(watch.startedAt) < time.Duration(wanted.StepSeconds*float64(time.Second)) || total < minCalls {
		return proposer.Operation{}, false
	}
	if wanted.Step == len(wanted.Steps)-1 {
		return transition(wanted, state.Done, wanted.Step, "")
	}
	return transition(wanted, state.Running, wanted.Step+1, "")
}

// shareOfTarget is the share of the way that goes to the new service now, in millionths.
func shareOfTarget(route *validation.Route, wanted state.Rollout) int {
	if route.Service == wanted.To {
		return validation.FullShare
	}
	for _, split := range route.Split {
		if split.Service == wanted.To {
			return split.Millionths()
		}
	}
	return 0
}

func (rec *Reconciler) rollBack(wanted state.Rollout, route *validation.Route, config *validation.Config) (proposer.Operation, bool) {
	delete(rec.watches, wanted.Route)
	if route == nil || route.Service != wanted.To && shareOfTarget(route, wanted) == 0 {
		return transition(wanted, state.RolledBack, wanted.Step, "")
	}
	return proposeShare(wanted, config, 0)
}

func transition(wanted state.Rollout, next state.Phase, step int, reason string) (proposer.Operation, bool) {
	return proposer.Operation{Key: state.Key(wanted.Route), Kind: "rollout/move", Args: operation.Encode(state.Transition{
		Generation: wanted.Generation, Step: wanted.Step, Phase: wanted.Phase, NextStep: step, NextPhase: next, Reason: reason})}, true
}

// proposeShare offers the part of a manifest that brings the way to a share, on the epoch that
// was looked at, so it never overwrites what an operator did meanwhile.
func proposeShare(wanted state.Rollout, config *validation.Config, percent int) (proposer.Operation, bool) {
	routePatch := map[string]any{"service": string(wanted.From), "split": nil}
	switch {
	case percent == 100:
		routePatch["service"] = string(wanted.To)
	case percent > 0:
		routePatch["split"] = map[string]any{string(wanted.To): percent}
	}
	base := config.Revision
	body, _ := json.Marshal(map[string]any{"ways": map[string]any{wanted.Route: routePatch}})
	return proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Args: operation.Encode(proposal.Args{Partial: true, BaseRevision: &base, Body: body})}, true
}
