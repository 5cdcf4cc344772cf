package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	manifest "cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/mesh/configcache"
)

// applyConfig takes a confirmed manifest in: it is shown once peers have heard of it.
func (s *Sidecar) applyConfig(config *manifest.Config) {
	peers := s.shuffledPeers()
	if config == nil {
		return
	}
	if !s.configCache.Add(s.localTime(), config, s.router.Revision(), len(peers)) {
		s.showConfig()
		return
	}
	for _, p := range peers[:min(len(peers), configcache.MaxNotified)] {
		s.request(&p.process, 250*time.Millisecond, func(respond func(any)) {
			p.configAnnounced(config, func() { respond(true) })
		}, func(response any) {
			s.configCache.HandleAck(config.Revision, response != nil)
			s.showConfig()
		})
	}
	s.showConfig()
}

// configAnnounced takes a peer's word of an epoch; done is called once its manifest is here, which
// is taken from that peer if it does not come by itself.
func (s *Sidecar) configAnnounced(config *manifest.Config, done func()) {
	if config.Revision < s.router.MinRevision || s.world.Mutant == "deaf" {
		return // it may not be shown here, so it is not held either
	}
	s.configCache.ObservePeer(s.localTime(), config.Revision)
	if s.configCache.NewestHeld(s.router.Revision()) >= config.Revision {
		done()
		return
	}
	generation := s.generation
	s.world.After(configcache.PullDelay, func() {
		s.runInGeneration(generation, func() {
			s.applyConfig(config)
			done()
		})
	})
}

func (s *Sidecar) showConfig() {
	if config := s.configCache.TakeReady(s.localTime()); config != nil && s.router.Enforce(config) {
		s.world.Checker.ConfigShown(s.world.now, "sidecar "+string(s.Node), config, &s.shownRevision)
	}
}

// shuffledPeers lists the other sidecars in an order drawn anew.
func (s *Sidecar) shuffledPeers() []*Sidecar {
	var out []*Sidecar
	for _, i := range s.world.Rng.Perm(len(s.world.Sidecars)) {
		if s.world.Sidecars[i] != s {
			out = append(out, s.world.Sidecars[i])
		}
	}
	return out
}

// requestFromPeers asks peers while no core is heard.
func (s *Sidecar) requestFromPeers() {
	if s.world.Mutant == "deaf" {
		return
	}
	peers := s.shuffledPeers()
	for _, p := range peers[:min(len(peers), 8)] {
		s.request(&p.process, 400*time.Millisecond, func(respond func(any)) {
			config := p.router.Config()
			if n := p.configCache.Pending(); n != nil {
				config = n
			}
			respond(peerResponse{pollResponse{sets: p.router.Index.Sets(), config: config}, p.configCache.NewestKnown(), p.hasLease})
		}, func(response any) {
			got, ok := response.(peerResponse)
			if !ok {
				return
			}
			if s.router.Index.Merge(got.sets) {
				s.polledGeneration, s.polling = 0, false
				s.pollCount++
			}
			s.configCache.HandlePeerAnswer(s.localTime(), got.heardRevision, got.hasLease)
			if s.configCache.TrustsPeers(s.localTime()) {
				s.applyConfig(got.config)
			}
		})
	}
}

// peerResponse is what a peer tells.
type peerResponse struct {
	pollResponse
	heardRevision ident.Epoch
	hasLease      bool
}
