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
	// maxAskedPeers is how many peers a sidecar asks at a time.
	maxAskedPeers = 8
)

// applyConfig takes in a confirmed configuration, if any; it is shown once enough peers have
// it.
func (s *Sidecar) applyConfig(config *validation.Config) {
	peers := s.shuffledPeers()
	if config == nil {
		return
	}
	if !s.configCache.Add(s.localTime(), config, s.router.Revision(), len(peers)) {
		s.showConfig()
		return
	}
	for _, p := range peers[:min(len(peers), configcache.MaxNotifiedPeers)] {
		rpc(s, &p.process, announceTimeout, func(respond func(struct{}, *failure.Error)) {
			p.configAnnounced(config, func() { respond(struct{}{}, nil) })
		}, func(r reply[struct{}]) {
			s.configCache.HandleAck(config.Revision, !r.lost)
			s.showConfig()
		})
	}
	s.showConfig()
}

// configAnnounced takes a peer's announcement of a configuration; done is called once the
// configuration is here. It is taken from that peer if it does not come by itself.
func (s *Sidecar) configAnnounced(config *validation.Config, done func()) {
	if config.Revision < s.router.MinRevision || s.world.Mutant == MutantIgnoreUpdates {
		return // it may not be shown here, so it is not cached either
	}
	s.configCache.ObservePeer(s.localTime(), config.Revision)
	if s.configCache.NewestHeld(s.router.Revision()) >= config.Revision {
		done()
		return
	}
	generation := s.generation
	s.world.After(configcache.PeerFetchDelay, func() {
		s.runInGeneration(generation, func() {
			s.applyConfig(config)
			done()
		})
	})
}

// showConfig puts the configuration that is ready, if any, in force.
func (s *Sidecar) showConfig() {
	if config := s.configCache.TakeReady(s.localTime()); config != nil && s.router.Enforce(config) {
		s.world.Checker.ConfigShown(s.world.now, "sidecar "+string(s.Node), config, &s.shownRevision)
	}
}

// shuffledPeers lists the other sidecars in a random order.
func (s *Sidecar) shuffledPeers() []*Sidecar {
	var peers []*Sidecar
	for _, i := range s.world.Rng.Perm(len(s.world.Sidecars)) {
		if s.world.Sidecars[i] != s {
			peers = append(peers, s.world.Sidecars[i])
		}
	}
	return peers
}

// peerResponse is what a sidecar answers to a peer that hears no core.
type peerResponse struct {
	sets        []record.Set
	config      *validation.Config
	newestKnown ident.ConfigRevision
	hasLease    bool
}

// askPeers asks some peers for their registry and configuration, while no core is heard.
func (s *Sidecar) askPeers() {
	if s.world.Mutant == MutantIgnoreUpdates {
		return
	}
	peers := s.shuffledPeers()
	for _, p := range peers[:min(len(peers), maxAskedPeers)] {
		rpc(s, &p.process, peerTimeout, func(respond func(peerResponse, *failure.Error)) {
			respond(p.answerPeer(), nil)
		}, func(r reply[peerResponse]) {
			if !r.lost {
				s.peerAnswered(r.value)
			}
		})
	}
}

func (s *Sidecar) answerPeer() peerResponse {
	config := s.router.Config()
	if pending := s.configCache.Pending(); pending != nil {
		config = pending
	}
	return peerResponse{s.router.Index.Sets(), config, s.configCache.NewestKnown(), s.hasLease}
}

func (s *Sidecar) peerAnswered(response peerResponse) {
	if s.router.Index.Merge(response.sets) {
		s.feed.restart()
	}
	s.configCache.HandlePeerAnswer(s.localTime(), response.newestKnown, response.hasLease)
	if s.configCache.AcceptsPeerConfig(s.localTime()) {
		s.applyConfig(response.config)
	}
}
