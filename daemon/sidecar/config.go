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

// partTimeout bounds how long one part of a configuration may take to come.
const partTimeout = 2 * time.Second

// configState is the configuration that this sidecar holds. Sidecar.mu guards it, but for
// fetching. A configuration is held as pending first, and becomes active when the cache says so.
// Invariant: pending has the revisions that are pending in the cache, and no others.
type configState struct {
	cache    *configcache.Cache
	active   storedConfig
	pending  map[ident.ConfigRevision]storedConfig
	fetching atomic.Int64 // fetches under way
}

func newConfigState(now monotime.Time) configState {
	return configState{cache: configcache.New(now), pending: map[ident.ConfigRevision]storedConfig{}}
}

// dropReplaced drops what is no longer pending in the cache.
func (c *configState) dropReplaced() {
	maps.DeleteFunc(c.pending, func(revision ident.ConfigRevision, _ storedConfig) bool { return !c.cache.IsPending(revision) })
}

// storedConfig is a configuration as it was stored, its compressed form for peers, the delta that
// it came by, nil if it came whole, and when it came.
type storedConfig struct {
	heldSince  monotime.Time
	raw        json.RawMessage
	compressed *delta.Compressed
	delta      *delta.Delta
}

// deltaFrom returns the delta that this configuration came by, to those who have the revision
// before it.
func (c storedConfig) deltaFrom(revision ident.ConfigRevision) *delta.Delta {
	if c.delta == nil || c.delta.From != revision {
		return nil
	}
	return c.delta
}

// fetchConfigOrCount fetches the configuration from another process; it counts a failure, and
// reports whether there was none.
func (s *Sidecar) fetchConfigOrCount(from ident.Addr) bool {
	if err := s.fetchConfig(from); err != nil {
		s.count(counterConfigFetchesFailed)
		return false
	}
	return true
}

// fetchConfig fetches the configuration from another process: as a delta to what is held here if
// the process has one, else whole, in bounded parts. A part of another revision begins it anew, in
// larger parts: at the latest when one part holds all, changes that follow quickly no longer keep it
// from coming.
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
			return nil // it came from elsewhere meanwhile
		}
		if part.Delta != nil {
			if fail := s.applyDelta(*part.Delta); fail == nil {
				return nil
			}
			s.count(counterDeltasRejected)
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

// fetchPart fetches the next part of an assembly. haveRevision names the configuration that a delta
// may start from, 0 if no delta is wanted.
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

// applyDelta applies a delta to the newest configuration that is held here, and accepts the
// result.
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
	s.count(counterDeltasApplied)
	return s.acceptVersion(version, &update)
}

// acceptWhole accepts a configuration that came whole.
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

// acceptVersion holds a confirmed configuration and tells peers of it; update is the delta that
// it came by, nil if it came whole.
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

// activatePending makes the newest pending configuration active that enough peers hold too; mu is
// held.
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
	s.verifyNewEndpoints() // their services may be configured now
	s.Log.Info("configuration active",
		zap.Uint64("revision", uint64(config.Revision)),
		zap.Int("routes", len(config.Routes)),
		zap.Duration("waited", now.Since(stored.heldSince)))
	s.renewer.wake()
}

// newestRevision is the revision of the newest configuration that is held here.
func (s *Sidecar) newestRevision() ident.ConfigRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, _ := s.newestConfig()
	return revision
}

// newestConfig is the newest configuration that is held here, active or pending; mu is held.
func (s *Sidecar) newestConfig() (ident.ConfigRevision, storedConfig) {
	if config := s.config.cache.Pending(); config != nil {
		return config.Revision, s.config.pending[config.Revision]
	}
	return s.planner.Revision(), s.config.active
}

// minRevision is the revision below which no configuration may become active here.
func (s *Sidecar) minRevision() ident.ConfigRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.MinRevision
}
