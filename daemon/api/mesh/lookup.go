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

// registryState is this core's copy of the registry.
type registryState struct {
	sets  []record.Set
	stale bool // the records may be outdated, because this core may lack the newest state
}

// lookup returns a record of the registry by its server ID, namespace/hostname or network/ip:port.
// A stale core responds with NoMajority whether or not its registry contains the record.
func (h handlers) lookup(w http.ResponseWriter, r *http.Request) {
	state, fail := runStep(h.core, func(now monotime.Time) (registryState, node.Effects) {
		return registryState{sets: h.core.Leases().ChangesSince(0), stale: h.core.Node().StaleAt(now)}, node.Effects{}
	})
	if fail == nil && state.stale {
		fail = failure.New(failure.NoMajority, "this core has no connection to a majority of the cores").WithRetryAfter(retryAfterSeconds)
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
		response.WriteError(w, failure.New(failure.NotFound, "the registry contains no address %q", key))
		return
	}
	response.WriteJSON(w, http.StatusOK, address)
}
