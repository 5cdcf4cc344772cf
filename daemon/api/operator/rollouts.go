package operator

import (
	"encoding/json"
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	rollout "cottonarch.example/cottonarch/control/rollout/state"
	"cottonarch.example/cottonarch/wire/response"
)

// maxRolloutBytes is the maximum size of the body of a request that starts a rollout.
const maxRolloutBytes = 64 << 10

// readRollout responds with the newest rollout of a route.
func (h handlers) readRollout(w http.ResponseWriter, r *http.Request) {
	h.execute(w, r, proposer.Operation{Key: rollout.Key(routeName(r)), Kind: rollout.ReadKind})
}

// startRollout starts a rollout of a route from its current service to another service.
func (h handlers) startRollout(w http.ResponseWriter, r *http.Request) {
	var requested rollout.Rollout
	if err := response.DecodeBody(r, maxRolloutBytes, &requested); err != nil {
		response.WriteError(w, err)
		return
	}
	requested.Route = routeName(r)
	config, err := h.core.NewestConfig(r.Context(), requestTimeout)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	for _, route := range config.Parsed.Routes {
		if route.Name == requested.Route {
			requested.From = route.Service
		}
	}
	if _, ok := config.Parsed.Services[requested.To]; requested.From == "" || !ok {
		response.WriteError(w, failure.New(failure.NotFound, "route %q or service %q does not exist", requested.Route, requested.To))
		return
	}
	h.execute(w, r, proposer.Operation{Key: rollout.Key(requested.Route), Kind: rollout.StartKind, Args: operation.Encode(requested)})
}

// rollBack begins to roll a route back to its previous service.
func (h handlers) rollBack(w http.ResponseWriter, r *http.Request) {
	key := rollout.Key(routeName(r))
	result := h.core.Execute(r.Context(), proposer.Operation{Key: key, Kind: rollout.ReadKind}, requestTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	var current rollout.Rollout
	if err := json.Unmarshal(result.Body, &current); err != nil {
		response.WriteError(w, failure.New(failure.Corrupted, "cannot decode the state of rollout %q: %v", key, err))
		return
	}
	h.execute(w, r, proposer.Operation{Key: key, Kind: rollout.TransitionKind, Args: operation.Encode(rollout.Transition{
		Generation: current.Generation,
		Step:       current.Step,
		Phase:      current.Phase,
		NextStep:   current.Step,
		NextPhase:  rollout.RollingBack,
		Reason:     "an operator took it back",
	})})
}
