package sidecar

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/configcache"
)

// peerAddrs lists the peers that are known; mu is held.
func (s *Sidecar) peerAddrs() []ident.Addr {
	var peers []ident.Addr
	for _, set := range s.router.Index.Sets() {
		for _, address := range set.Records {
			if address.Workload != nil && address.Workload.SidecarAddr != s.Settings.Addr && !slices.Contains(peers, address.Workload.SidecarAddr) {
				peers = append(peers, address.Workload.SidecarAddr)
			}
		}
	}
	return peers
}

// runPeerQueries is the duty of asking peers, while no core is heard, for a newer manifest
// and for their registry.
func (s *Sidecar) runPeerQueries() {
	ticker := time.NewTicker(peerQueryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.done:
			return
		}
		now := s.clock()
		s.mu.Lock()
		isolated := s.configCache.ShouldAskPeers(now, s.lastCoreContact, s.router.Revision())
		if !isolated {
			s.mu.Unlock()
			continue
		}
		peers, wantRegistry := s.peerAddrs(), s.configCache.CoresSilent(now, s.lastCoreContact)
		s.mu.Unlock()
		for _, seed := range s.Settings.Seeds {
			if !slices.Contains(peers, seed) && s.mayQuerySeed(seed) {
				peers = append(peers, seed)
			}
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		var queries sync.WaitGroup
		for i, peer := range peers[:min(len(peers), maxPeersAsked)] {
			queries.Add(1)
			go func() {
				defer queries.Done()
				// The registry of one of them will do, and only while no core gives it: that
				// of all would fill a small link.
				s.queryPeer(peer, wantRegistry && i == 0)
			}()
		}
		queries.Wait()
	}
}

// mayQuerySeed tells whether a seed may be asked as a peer now. Seeds may be cores: until one has
// answered as a sidecar it is asked seldom, as all sidecars of a herd ask the same seeds.
func (s *Sidecar) mayQuerySeed(seed ident.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if !s.sidecarSeeds[seed] && s.notPeerUntil[seed].After(now) {
		return false
	}
	s.notPeerUntil[seed] = now.Add(unknownSeedInterval)
	return true
}

// noteSeedAnswer takes what the answer of a seed tells of it: a core knows no peers.
func (s *Sidecar) noteSeedAnswer(seed ident.Addr, err error) {
	if !slices.Contains(s.Settings.Seeds, seed) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fail := (*failure.Error)(nil); err == nil {
		s.sidecarSeeds[seed] = true
	} else if failure.As(err, &fail) && fail.Kind == failure.NotFound {
		delete(s.sidecarSeeds, seed)
		s.notPeerUntil[seed] = s.clock().Add(coreSeedInterval)
	}
}

// queryPeer asks one peer for what it holds, and for its registry if that is wanted.
func (s *Sidecar) queryPeer(peer ident.Addr, wantRegistry bool) {
	ctx, cancel := context.WithTimeout(context.Background(), peerQueryTimeout)
	defer cancel()
	var state PeerState
	path := "/cottonarch/v1/peer?brief=1"
	if wantRegistry {
		s.mu.Lock()
		path = "/cottonarch/v1/peer?have=" + registryDigest(s.router.Index.Sets())
		s.mu.Unlock()
	}
	err := s.apiClient.Call(ctx, peer, "GET", path, nil, &state)
	s.noteSeedAnswer(peer, err)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.router.Index.Merge(state.Sets) {
		s.resyncRegistry.Store(true)
		s.redirectWatch(s.lease.Followed())
	}
	now := s.clock()
	s.configCache.HandlePeerAnswer(now, state.NewestKnownRevision, state.Joined)
	newer := state.ConfigRevision > s.configCache.NewestHeld(s.router.Revision()) && s.configCache.TrustsPeers(now)
	s.mu.Unlock()
	if newer && s.fetchConfig(peer) == nil {
		s.Metrics.Add("manifests_from_peers", 1)
	}
}

// registryDigest stands for a copy of the registry: equal copies have equal ones.
func registryDigest(sets []record.Set) string {
	digest := fnv.New64a()
	for _, set := range sets {
		_, _ = fmt.Fprintf(digest, "%s %d %d %d %v\n", set.Author, set.LeaseEpoch, set.Seq, set.ConfigRevision, set.Lapsed)
	}
	return strconv.FormatUint(digest.Sum64(), 36)
}

// PeerState is what a sidecar tells a peer that is cut from the core. Sets is left out when
// the asker has the same or does not want them. Manifest is the newest
// epoch that it holds, Heard the newest that it knows some sidecar to hold.
type PeerState struct {
	ConfigRevision      ident.Epoch  `json:"manifest"`
	NewestKnownRevision ident.Epoch  `json:"heard"`
	Joined              bool         `json:"entered"`
	Sets                []record.Set `json:"sets,omitempty"`
}

// RevisionNotice is how a sidecar tells a peer of an epoch that it holds and is about to show.
type RevisionNotice struct {
	Revision ident.Epoch `json:"epoch"`
	From     ident.Addr  `json:"from"`
}

// RevisionAck is the return: whether the peer holds it too.
type RevisionAck struct {
	Held bool `json:"held"`
}

// notifyPeer tells one peer of an epoch.
func (s *Sidecar) notifyPeer(peer ident.Addr, revision ident.Epoch) {
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	var ack RevisionAck
	err := s.apiClient.Call(ctx, peer, "POST", "/cottonarch/v1/heard", RevisionNotice{Revision: revision, From: s.Settings.Addr}, &ack)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configCache.HandleAck(revision, err == nil && ack.Held)
	s.activatePending()
}

// ReceiveRevisionNotice takes a peer's word of an epoch. The manifest is taken from that peer if it does
// not come by itself; the return is true once it is here.
func (s *Sidecar) ReceiveRevisionNotice(notice RevisionNotice) RevisionAck {
	held := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.configCache.NewestHeld(s.router.Revision()) >= notice.Revision
	}
	s.mu.Lock()
	belowFloor := notice.Revision < s.router.MinRevision // it may not be shown here, so it is not held either
	if !belowFloor {
		s.configCache.ObservePeer(s.clock(), notice.Revision)
	}
	s.mu.Unlock()
	if belowFloor || held() {
		return RevisionAck{!belowFloor}
	}
	s.sleep(configcache.PullDelay)
	// A fetch that is under way brings it, or something newer.
	for n := 0; n < maxFetchWaits && !held() && s.fetchesInFlight.Load() > 0; n++ {
		s.sleep(10 * time.Millisecond)
	}
	if !held() && s.fetchesInFlight.Load() == 0 {
		if err := s.fetchConfig(notice.From); err != nil {
			s.Metrics.Add("manifest_fetches_failed", 1)
		}
	}
	return RevisionAck{held()}
}
