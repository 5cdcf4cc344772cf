package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/mesh/configcache"
)

// partTimeout bounds the fetch of one part of a configuration.
const partTimeout = 2 * time.Second

// configState holds the configurations of this sidecar. Sidecar.mu guards all fields but fetching.
// A received configuration is pending first and becomes active when the cache allows it. Invariant:
// pending has exactly the revisions that are pending in the cache.
type configState struct {
	cache    *configcache.Cache
	active   storedConfig
	pending  map[ident.ConfigRevision]storedConfig
	fetching atomic.Int64 // number of fetches in progress
}

func newConfigState(now monotime.Time) configState {
	return configState{cache: configcache.New(now), pending: map[ident.ConfigRevision]storedConfig{}}
}

// dropReplaced drops the configurations that are no longer pending in the cache.
func (c *configState) dropReplaced() {
	maps.DeleteFunc(c.pending, func(revision ident.ConfigRevision, _ storedConfig) bool { return !c.cache.IsPending(revision) })
}

// storedConfig is a configuration as stored, with the time of its arrival, its compressed form for
// peers, and the delta through which it arrived, nil if it was fetched whole.
type storedConfig struct {
	heldSince  monotime.Time
	raw        json.RawMessage
	compressed *delta.Compressed
	delta      *delta.Delta
}

// deltaFrom returns the delta from the given revision to this configuration, or nil if this
// configuration did not arrive as a delta from that revision.
func (c storedConfig) deltaFrom(revision ident.ConfigRevision) *delta.Delta {
	if c.delta == nil || c.delta.From != revision {
		return nil
	}
	return c.delta
}

// fetchConfigOrCount fetches the configuration from another process and reports whether the fetch
// succeeded; a failure is counted.
func (s *Sidecar) fetchConfigOrCount(from ident.Addr) bool {
	if err := s.fetchConfig(from); err != nil {
		s.count(counterConfigFetchesFailed)
		return false
	}
	return true
}

// fetchConfig fetches the configuration from another process: as a delta to the newest
// configuration held here if the process has such a delta, otherwise whole, in parts of bounded
// size. A part of another revision restarts the fetch with larger parts. The fetch therefore ends
// even while the configuration changes frequently, at the latest when one part holds all of it.
func (s *Sidecar) fetchConfig(from ident.Addr) error {
	s.config.fetching.Add(1)
	defer s.config.fetching.Add(-1)
	haveRevision := s.newestRevision()
	assembly := configAssembly{partBytes: mesh.DefaultPartBytes}
	for !assembly.complete() {
		part, err := s.fetchPart(from, assembly, haveRevision)
		if err != nil {
			return err
		}
		if part.Revision <= s.newestRevision() {
			return nil // another source delivered the configuration in the meantime
		}
		if part.Delta != nil {
			if fail := s.applyDelta(*part.Delta); fail == nil {
				return nil
			}
			s.count(counterDeltasRejected)
			haveRevision = 0 // fetch the whole configuration instead
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

// fetchPart fetches the next part of an assembly. haveRevision is the revision to which a delta is
// accepted; 0 requests the whole configuration.
func (s *Sidecar) fetchPart(from ident.Addr, assembly configAssembly, haveRevision ident.ConfigRevision) (part mesh.ConfigPart, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	path := fmt.Sprintf("%s?at=%d&bytes=%d&packed=1", mesh.ConfigPartPath, len(assembly.data), assembly.partBytes)
	if haveRevision > 0 {
		path += fmt.Sprintf("&have=%d", uint64(haveRevision))
	}
	err = s.apiClient.Call(ctx, from, http.MethodGet, path, nil, &part)
	return part, err
}

// applyDelta applies a delta to the newest configuration held here and accepts the result.
func (s *Sidecar) applyDelta(update delta.Delta) *failure.Error {
	s.mu.Lock()
	haveRevision, base := s.newestConfig()
	s.mu.Unlock()
	if update.To <= haveRevision {
		return nil
	}
	if update.From != haveRevision {
		return failure.New(failure.BadResponse, "the delta applies to revision %d, but revision %d is held", update.From, haveRevision)
	}
	version, fail := update.Apply(base.raw)
	if fail != nil {
		return fail
	}
	s.count(counterDeltasApplied)
	return s.acceptVersion(version, &update)
}

// acceptWhole accepts a configuration that was fetched whole.
func (s *Sidecar) acceptWhole(revision ident.ConfigRevision, raw []byte) error {
	tree, fail := decode.Parse(raw)
	if fail != nil {
		return fail
	}
	if fail := s.acceptVersion(delta.Snapshot{Revision: revision, Tree: tree, Raw: raw}, nil); fail != nil {
		return fail
	}
	return nil
}

// acceptVersion stores a confirmed configuration as pending and notifies peers of it. update is the
// delta through which the configuration arrived, nil if it was fetched whole.
func (s *Sidecar) acceptVersion(version delta.Snapshot, update *delta.Delta) *failure.Error {
	config, fail := validation.Lenient(version.Tree)
	if fail != nil {
		return fail
	}
	config.Revision = version.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.peersToNotify()
	now := s.clock()
	if s.config.cache.Add(now, config, s.planner.Revision(), len(peers)) {
		s.config.pending[version.Revision] = storedConfig{
			heldSince: now, raw: version.Raw, compressed: delta.NewCompressed(version.Raw), delta: update,
		}
		s.config.dropReplaced()
		for _, peer := range peers {
			go s.notifyPeer(peer, version.Revision)
		}
	}
	s.activatePending()
	return nil
}

// activatePending activates the newest pending configuration that the cache releases, because
// enough peers hold it or the wait for their acknowledgements has ended; the caller must hold mu.
func (s *Sidecar) activatePending() {
	now := s.clock()
	config := s.config.cache.TakeReady(now)
	if config == nil {
		return
	}
	stored := s.config.pending[config.Revision]
	s.config.dropReplaced()
	if !s.planner.Enforce(config) {
		return
	}
	s.config.active = stored
	if config.Limits != (validation.Limits{}) {
		s.bodies.limits.Store(&config.Limits)
	}
	s.configActive.Store(true)
	s.verifyNewEndpoints() // the new configuration may include services of endpoints that are not verified yet
	s.Log.Info("configuration activated",
		zap.Uint64("revision", uint64(config.Revision)),
		zap.Int("routes", len(config.Routes)),
		zap.Duration("waited", now.Since(stored.heldSince)))
	s.renewer.wake()
}

// newestRevision returns the revision of the newest configuration held here.
func (s *Sidecar) newestRevision() ident.ConfigRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, _ := s.newestConfig()
	return revision
}

// newestConfig returns the newest configuration held here, pending or active; the caller must hold
// mu.
func (s *Sidecar) newestConfig() (ident.ConfigRevision, storedConfig) {
	if config := s.config.cache.Pending(); config != nil {
		return config.Revision, s.config.pending[config.Revision]
	}
	return s.planner.Revision(), s.config.active
}

// minRevision returns the lowest revision that may become active here.
func (s *Sidecar) minRevision() ident.ConfigRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.MinRevision
}
