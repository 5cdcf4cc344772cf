package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/mesh/configcache"
)

// partTimeout is how long one part of a manifest may take to come.
const partTimeout = 2 * time.Second

// fetchConfig takes a manifest: as a delta from what is here if the giver has one, else whole, in
// bounded parts. A part of another epoch begins it anew.
func (s *Sidecar) fetchConfig(from ident.Addr) error {
	s.fetchesInFlight.Add(1)
	defer s.fetchesInFlight.Add(-1)
	haveRevision := s.newestRevision()
	var assembly configAssembly
	for !assembly.complete() {
		part, err := s.fetchPart(from, len(assembly.data), haveRevision)
		if err != nil {
			return err
		}
		if part.Revision <= s.newestRevision() {
			return nil // it came by another way meanwhile
		}
		if part.Delta != nil {
			if fail := s.applyDelta(*part.Delta); fail == nil {
				return nil
			}
			s.Metrics.Add("deltas_refused", 1)
			haveRevision = 0 // ask for the whole
			continue
		}
		if fail := assembly.add(part); fail != nil {
			return fail
		}
	}
	raw, fail := assembly.bytes()
	if fail != nil {
		return fail
	}
	return s.acceptWhole(assembly.revision, raw)
}

// fetchPart asks for one part; have names the epoch here, 0 if no delta will do.
func (s *Sidecar) fetchPart(from ident.Addr, offset int, haveRevision ident.Epoch) (part mesh.ConfigPart, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	path := fmt.Sprintf("/cottonarch/v1/part?at=%d&packed=1", offset)
	if haveRevision > 0 {
		path += fmt.Sprintf("&have=%d", uint64(haveRevision))
	}
	err = s.apiClient.Call(ctx, from, "GET", path, nil, &part)
	return part, err
}

// applyDelta lays a delta over what is held here.
func (s *Sidecar) applyDelta(update delta.Delta) *failure.Error {
	s.mu.Lock()
	haveRevision, base := s.newestConfig()
	s.mu.Unlock()
	if update.To <= haveRevision {
		return nil
	}
	if update.From != haveRevision {
		return failure.New(failure.BadResponse, "a delta from revision %d, not from %d", update.From, haveRevision)
	}
	version, fail := update.Apply(base.raw)
	if fail != nil {
		return fail
	}
	s.Metrics.Add("deltas_applied", 1)
	return s.acceptVersion(version, &update)
}

func (s *Sidecar) acceptWhole(revision ident.Epoch, raw []byte) error {
	tree, fail := decode.Parse(raw)
	if fail != nil {
		return fail
	}
	if fail := s.acceptVersion(delta.Snapshot{Revision: revision, Tree: tree, Raw: raw}, nil); fail != nil {
		return fail
	}
	return nil
}

// acceptVersion holds a confirmed manifest and tells peers of it; change is the delta that it came by.
func (s *Sidecar) acceptVersion(version delta.Snapshot, update *delta.Delta) *failure.Error {
	config, fail := validation.Lenient(version.Tree)
	if fail != nil {
		return fail
	}
	config.Revision = version.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.peerAddrs()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if s.configCache.Add(s.clock(), config, s.router.Revision(), len(peers)) {
		s.pendingConfig = storedConfig{raw: version.Raw, compressed: delta.NewCompressed(version.Raw), delta: update}
		for _, peer := range peers[:min(len(peers), configcache.MaxNotified)] {
			go s.notifyPeer(peer, version.Revision)
		}
	}
	s.activatePending()
	return nil
}

// activatePending puts the manifest that is held in force, once peers hold it too; mu is held.
func (s *Sidecar) activatePending() {
	config := s.configCache.TakeReady(s.clock())
	if config == nil {
		return
	}
	pending := s.pendingConfig
	s.pendingConfig = storedConfig{}
	if !s.router.Enforce(config) {
		return
	}
	s.activeConfig = pending
	if config.Limits != (validation.Limits{}) {
		s.limits.Store(&config.Limits)
	}
	s.configActive.Store(true)
	s.Log.Info("manifest", zap.Uint64("epoch", uint64(config.Revision)), zap.Int("ways", len(config.Routes)))
	s.notify(s.renewNow)
}

// newestRevision is the epoch of the newest manifest here.
func (s *Sidecar) newestRevision() ident.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, _ := s.newestConfig()
	return revision
}

// newestConfig is the newest manifest here, in force or not yet; mu is held.
func (s *Sidecar) newestConfig() (ident.Epoch, storedConfig) {
	if config := s.configCache.Pending(); config != nil && s.pendingConfig.raw != nil {
		return config.Revision, s.pendingConfig
	}
	return s.router.Revision(), s.activeConfig
}
