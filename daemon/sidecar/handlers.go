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

// maxMessageBytes bounds the request bodies that these handlers read.
const maxMessageBytes = 1 << 16

// heartbeatAck tells an endpoint the interval between heartbeats and how long after the last
// heartbeat the endpoint counts as unhealthy.
type heartbeatAck struct {
	IntervalMs    int64 `json:"beatEveryMs"`
	SilentAfterMs int64 `json:"silentAfterMs"`
}

// activeConfig is the active configuration as shown to operators.
type activeConfig struct {
	Revision ident.ConfigRevision `json:"epoch"`
	Config   json.RawMessage      `json:"manifest"`
}

// Paths returns the handlers for requests of endpoints, peers and operators.
func (s *Sidecar) Paths() server.Paths {
	return server.Paths{
		"/beat":             {http.MethodPost: s.handleHeartbeat},
		"/manifest":         {http.MethodGet: s.handleConfig},
		"/address/{key:.+}": {http.MethodGet: s.handleAddress},
		PeerStatePath:       {http.MethodGet: s.handlePeerState},
		RevisionNoticePath:  {http.MethodPost: s.handleRevisionNotice},
		mesh.CoresPath:      {http.MethodGet: s.handleCores},
		mesh.ConfigPartPath: {http.MethodGet: s.handleConfigPart},
	}
}

func (s *Sidecar) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat endpoint.Heartbeat
	if fail := response.DecodeBody(r, maxMessageBytes, &heartbeat); fail != nil {
		response.WriteError(w, fail)
		return
	}
	if fail := s.Heartbeat(heartbeat); fail != nil {
		response.WriteError(w, fail)
		return
	}
	response.WriteJSON(w, http.StatusOK, heartbeatAck{
		IntervalMs:    endpoint.HeartbeatInterval.Milliseconds(),
		SilentAfterMs: endpoint.HeartbeatTimeout.Milliseconds(),
	})
}

// handleConfig returns the active configuration.
func (s *Sidecar) handleConfig(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	config := activeConfig{Revision: s.planner.Revision(), Config: s.config.active.raw}
	s.mu.Unlock()
	if config.Revision == 0 {
		response.WriteError(w, failure.New(failure.NotFound, "no configuration is active yet"))
		return
	}
	response.WriteJSON(w, http.StatusOK, config)
}

// handleAddress looks up a registry record by its key.
func (s *Sidecar) handleAddress(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	s.mu.Lock()
	address, ok := s.planner.Index.Lookup(key)
	s.mu.Unlock()
	if !ok {
		response.WriteError(w, failure.New(failure.NotFound, "no registry record has the key %q", key))
		return
	}
	response.WriteJSON(w, http.StatusOK, address)
}

func (s *Sidecar) handlePeerState(w http.ResponseWriter, r *http.Request) {
	state := s.peerState()
	if query := r.URL.Query(); query.Get("brief") != "" || query.Get("have") == registryDigest(state.Sets) {
		state.Sets = nil
	}
	response.WriteJSON(w, http.StatusOK, state)
}

func (s *Sidecar) peerState() PeerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, _ := s.newestConfig()
	return PeerState{
		ConfigRevision:      revision,
		NewestKnownRevision: s.config.cache.NewestKnown(),
		Joined:              s.leaseHeld.Load(),
		Sets:                s.planner.Index.Sets(),
	}
}

func (s *Sidecar) handleCores(w http.ResponseWriter, _ *http.Request) {
	response.WriteJSON(w, http.StatusOK, core.KnownCores{Cores: s.usableCores()})
}

func (s *Sidecar) handleConfigPart(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	revision, held := s.newestConfig()
	s.mu.Unlock()
	if revision == 0 {
		response.WriteError(w, failure.New(failure.NotFound, "no configuration is held yet"))
		return
	}
	mesh.ServeConfigPart(w, r, mesh.ConfigSource{Revision: revision, Raw: held.raw, Compressed: held.compressed, DeltaFrom: held.deltaFrom})
}

func (s *Sidecar) handleRevisionNotice(w http.ResponseWriter, r *http.Request) {
	var notice RevisionNotice
	if fail := response.DecodeBody(r, maxMessageBytes, &notice); fail != nil {
		response.WriteError(w, fail)
		return
	}
	response.WriteJSON(w, http.StatusOK, s.ReceiveRevisionNotice(notice))
}
