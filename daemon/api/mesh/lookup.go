package mesh

import (
	"net/http"

	"github.com/gorilla/mux"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/registry"
	"cottonarch.example/cottonarch/wire/response"
)

// registryState is the registry as this core has it.
type registryState struct {
	sets  []record.Set
	stale bool // no majority is heard: the records may be old
}

// lookup looks a record of the registry up, by its server id, namespace/hostname or
// network/ip:port. A core that hears no majority says neither that it is there nor that it is not.
func (h handlers) lookup(w http.ResponseWriter, r *http.Request) {
	state, fail := runStep(h.core, func(now monotime.Time) (registryState, node.Effects) {
		return registryState{sets: h.core.Leases().ChangesSince(0), stale: h.core.Node().StaleAt(now)}, node.Effects{}
	})
	if fail == nil && state.stale {
		fail = failure.New(failure.NoMajority, "this core hears no majority").WithRetryAfter(retryAfterSeconds)
	}
	if fail != nil {
		response.WriteError(w, fail)
		return
	}
	key := mux.Vars(r)["key"]
	index := registry.New()
	index.Merge(state.sets)
	address, ok := index.Lookup(key)
	if !ok {
		response.WriteError(w, failure.New(failure.NotFound, "no address %q", key))
		return
	}
	response.WriteJSON(w, http.StatusOK, address)
}
