package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/configcache"
)

const (
	announceTimeout = 250 * time.Millisecond
	peerTimeout     = 400 * time.Millisecond
	// maxQueriedPeers bounds the number of peers that a sidecar queries at a time.
	maxQueriedPeers = 8
)

// addConfig adds a confirmed configuration to the cache and announces it to peers. The
// configuration is enforced once enough peers have it. A nil configuration has no effect.
func (s *Sidecar) addConfig(config *validation.Config) {
	peers := s.shuffledPeers()
	if config == nil {
		return
	}
	if !s.configCache.Add(s.localTime(), config, s.router.Revision(), len(peers)) {
		s.enforceReadyConfig()
		return
	}
	for _, p := range peers[:min(len(peers), configcache.MaxNotifiedPeers)] {
		rpc(s, &p.process, announceTimeout, func(respond func(struct{}, *failure.Error)) {
			p.handleConfigAnnouncement(config, func() { respond(struct{}{}, nil) })
		}, func(r rpcResult[struct{}]) {
			s.configCache.HandleAck(config.Revision, !r.lost)
			s.enforceReadyConfig()
		})
	}
	s.enforceReadyConfig()
}

// handleConfigAnnouncement handles a peer's announcement of a configuration. If the sidecar does not
// have the configuration yet, the sidecar adds the configuration after the fetch delay, as if fetched
// from that peer. done is called once the sidecar has the configuration.
func (s *Sidecar) handleConfigAnnouncement(config *validation.Config, done func()) {
	if config.Revision < s.router.MinRevision || s.world.Mutant == MutantIgnoreUpdates {
		return // a configuration that must not be enforced is not cached either
	}
	s.configCache.ObservePeer(s.localTime(), config.Revision)
	if s.configCache.NewestHeld(s.router.Revision()) >= config.Revision {
		done()
		return
	}
	generation := s.generation
	s.world.After(configcache.PeerFetchDelay, func() {
		s.runInGeneration(generation, func() {
			s.addConfig(config)
			done()
		})
	})
}

// enforceReadyConfig enforces the newest cached configuration that is ready, if there is any.
func (s *Sidecar) enforceReadyConfig() {
	if config := s.configCache.TakeReady(s.localTime()); config != nil && s.router.Enforce(config) {
		s.world.Checker.ConfigShown(s.world.now, "sidecar "+string(s.Node), config, &s.enforcedRevision)
	}
}

// shuffledPeers returns the other sidecars in a random order.
func (s *Sidecar) shuffledPeers() []*Sidecar {
	var peers []*Sidecar
	for _, i := range s.world.Rng.Perm(len(s.world.Sidecars)) {
		if s.world.Sidecars[i] != s {
			peers = append(peers, s.world.Sidecars[i])
		}
	}
	return peers
}

// peerResponse is the response of a sidecar to a peer that reaches no core.
type peerResponse struct {
	sets        []record.Set
	config      *validation.Config
	newestKnown ident.ConfigRevision
	hasLease    bool
}

// queryPeers requests the registry and configuration of some peers, while no core is reached.
func (s *Sidecar) queryPeers() {
	if s.world.Mutant == MutantIgnoreUpdates {
		return
	}
	peers := s.shuffledPeers()
	for _, p := range peers[:min(len(peers), maxQueriedPeers)] {
		rpc(s, &p.process, peerTimeout, func(respond func(peerResponse, *failure.Error)) {
			respond(p.servePeerQuery(), nil)
		}, func(r rpcResult[peerResponse]) {
			if !r.lost {
				s.handlePeerResponse(r.value)
			}
		})
	}
}

// servePeerQuery returns the registry, the newest configuration and the lease state for a peer.
func (s *Sidecar) servePeerQuery() peerResponse {
	config := s.router.Config()
	if pending := s.configCache.Pending(); pending != nil {
		config = pending
	}
	return peerResponse{s.router.Index.Sets(), config, s.configCache.NewestKnown(), s.hasLease}
}

// handlePeerResponse merges a peer's registry and adds its configuration, if the cache accepts
// configurations from peers.
func (s *Sidecar) handlePeerResponse(response peerResponse) {
	if s.router.Index.Merge(response.sets) {
		s.feed.restart()
	}
	s.configCache.HandlePeerAnswer(s.localTime(), response.newestKnown, response.hasLease)
	if s.configCache.AcceptsPeerConfig(s.localTime()) {
		s.addConfig(response.config)
	}
}
