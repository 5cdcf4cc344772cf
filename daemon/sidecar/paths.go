package sidecar

import (
	"encoding/json"
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"

	"github.com/gorilla/mux"
)

// Paths is what endpoints, peers and operators may ask a sidecar.
func (s *Sidecar) Paths() server.Paths {
	return server.Paths{
		"/beat":               {"POST": s.handleHeartbeat},
		"/manifest":           {"GET": s.handleConfig},
		"/address/{key:.+}":   {"GET": s.handleAddress},
		"/cottonarch/v1/peer": {"GET": s.handlePeerState},
		"/cottonarch/v1/cores": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			response.WriteJSON(w, http.StatusOK, core.KnownCores{Cores: s.usableCores()})
		}},
		"/cottonarch/v1/part":  {"GET": s.handleConfigPart},
		"/cottonarch/v1/heard": {"POST": s.handleRevisionNotice},
	}
}

func (s *Sidecar) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat endpoint.Heartbeat
	if fail := response.DecodeBody(r, 1<<16, &heartbeat); fail != nil {
		response.WriteError(w, fail)
		return
	}
	if fail := s.Heartbeat(heartbeat); fail != nil {
		response.WriteError(w, fail)
		return
	}
	response.WriteJSON(w, http.StatusOK, map[string]any{"beatEveryMs": endpoint.HeartbeatInterval.Milliseconds(), "silentAfterMs": endpoint.HeartbeatTimeout.Milliseconds()})
}

// activeConfigOrNotFound gives the manifest in force, or says that there is none.
func (s *Sidecar) activeConfigOrNotFound(w http.ResponseWriter) (revision ident.Epoch, raw json.RawMessage) {
	s.mu.Lock()
	revision, raw = s.router.Revision(), s.activeConfig.raw
	s.mu.Unlock()
	if revision == 0 {
		response.WriteError(w, failure.New(failure.NotFound, "no manifest is in force yet"))
	}
	return
}

// handleConfig shows what is in force here.
func (s *Sidecar) handleConfig(w http.ResponseWriter, _ *http.Request) {
	if revision, raw := s.activeConfigOrNotFound(w); revision > 0 {
		response.WriteJSON(w, http.StatusOK, map[string]any{"epoch": revision, "manifest": raw})
	}
}

func (s *Sidecar) handleAddress(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	s.mu.Lock()
	address, ok := s.router.Index.Lookup(key)
	s.mu.Unlock()
	if !ok {
		response.WriteError(w, failure.New(failure.NotFound, "no address %q", key))
		return
	}
	response.WriteJSON(w, http.StatusOK, address)
}

func (s *Sidecar) handlePeerState(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	revision, _ := s.newestConfig()
	state := PeerState{ConfigRevision: revision, NewestKnownRevision: s.configCache.NewestKnown(), Joined: s.leaseHeld.Load(), Sets: s.router.Index.Sets()}
	s.mu.Unlock()
	if query := r.URL.Query(); query.Get("brief") != "" || query.Get("have") == registryDigest(state.Sets) {
		state.Sets = nil
	}
	response.WriteJSON(w, http.StatusOK, state)
}

func (s *Sidecar) handleConfigPart(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	revision, held := s.newestConfig()
	s.mu.Unlock()
	if revision == 0 {
		response.WriteError(w, failure.New(failure.NotFound, "no manifest is here yet"))
		return
	}
	mesh.ServeConfigPart(w, r, mesh.ConfigSource{Revision: revision, Raw: held.raw, Compressed: held.compressed, DeltaFrom: held.deltaFrom})
}

func (s *Sidecar) handleRevisionNotice(w http.ResponseWriter, r *http.Request) {
	var notice RevisionNotice
	if fail := response.DecodeBody(r, 1<<16, &notice); fail != nil {
		response.WriteError(w, fail)
		return
	}
	response.WriteJSON(w, http.StatusOK, s.ReceiveRevisionNotice(notice))
}

// HandleCaller takes every request of the callers' address.
func (s *Sidecar) HandleCaller(w http.ResponseWriter, r *http.Request) bool {
	s.ServeCaller(w, r)
	return true
}
