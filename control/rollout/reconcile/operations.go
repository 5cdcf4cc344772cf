package reconcile

import (
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/rollout/state"
)

// configPatch is a JSON merge patch that sets the destinations of routes, keyed by route name.
type configPatch struct {
	Routes map[string]routePatch `json:"ways"`
}

// routePatch sets the services of a route. Without a split, all requests go to Service.
type routePatch struct {
	Service string         `json:"service"`
	Split   map[string]int `json:"split"` // percentages by service; null removes the split
}

// transition returns the operation that changes a rollout to the given step and phase.
func transition(rollout state.Rollout, next state.Phase, step int, reason string) proposer.Operation {
	args := state.Transition{
		Generation: rollout.Generation,
		Step:       rollout.Step,
		Phase:      rollout.Phase,
		NextStep:   step,
		NextPhase:  next,
		Reason:     reason,
	}
	return proposer.Operation{Key: state.Key(rollout.Route), Kind: state.TransitionKind, Args: operation.Encode(args)}
}

// proposeShare returns the operation that sends a percentage of the route's requests to the new
// service. The proposal names the examined revision as its base, so the proposal never overwrites
// a concurrent change.
func proposeShare(rollout state.Rollout, config *validation.Config, percent int) proposer.Operation {
	patch := routePatch{Service: string(rollout.From)}
	switch {
	case percent == 100:
		patch.Service = string(rollout.To)
	case percent > 0:
		patch.Split = map[string]int{string(rollout.To): percent}
	}
	base := config.Revision
	body := operation.Encode(configPatch{map[string]routePatch{rollout.Route: patch}})
	args := proposal.Args{Partial: true, BaseRevision: &base, Body: body}
	return proposer.Operation{Key: proposal.Key, Kind: proposal.ProposeKind, Args: operation.Encode(args)}
}
