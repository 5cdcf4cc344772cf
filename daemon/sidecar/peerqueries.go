package sidecar

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/configcache"
)

const (
	// PeerStatePath is the path at which a sidecar serves its PeerState to peers.
	PeerStatePath = "/cottonarch/v1/peer"

	// peerQueryInterval is how often peers are queried, and maxPeersQueried how many at a time.
	peerQueryInterval = 250 * time.Millisecond
	maxPeersQueried   = 8
	// peerQueryTimeout bounds one query to a peer.
	peerQueryTimeout = 400 * time.Millisecond
)

// PeerState is a sidecar's state as reported to a peer that queries the sidecar. Sets is the sidecar's
// copy of the registry, omitted if the querying peer has an identical copy or does not want one.
type PeerState struct {
	// ConfigRevision is the newest revision that the sidecar holds.
	ConfigRevision ident.ConfigRevision `json:"manifest"`
	// NewestKnownRevision is the newest revision that some sidecar is known to hold.
	NewestKnownRevision ident.ConfigRevision `json:"heard"`
	// Joined reports whether the sidecar holds a lease.
	Joined bool         `json:"entered"`
	Sets   []record.Set `json:"sets,omitempty"`
}

// peerQuerier is the background loop that queries peers for a newer configuration, when no core
// responds or a newer revision is known but not held. While no core responds, the loop also queries
// peers for their copy of the registry.
type peerQuerier struct{ sidecar *Sidecar }

// run queries peers whenever a query is due, until Close.
func (q *peerQuerier) run() {
	ticker := time.NewTicker(peerQueryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-q.sidecar.done:
			return
		}
		if peers, wantRegistry, due := q.queryDue(); due {
			q.queryPeers(q.withSeeds(peers), wantRegistry)
		}
	}
}

// queryDue reports whether peers should be queried now, and returns the known peers and whether to
// request a peer's copy of the registry.
func (q *peerQuerier) queryDue() (peers []ident.Addr, wantRegistry, due bool) {
	s := q.sidecar
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.config.cache.ShouldAskPeers(now, s.lastCoreContact) {
		return nil, false, false
	}
	return s.peerAddrs(), s.config.cache.CoresSilent(now, s.lastCoreContact), true
}

// peerAddrs returns the addresses of the other sidecars in the registry; the caller must hold mu.
func (s *Sidecar) peerAddrs() []ident.Addr {
	live, lapsed := s.peersByLease()
	return append(live, lapsed...)
}

// peersByLease returns the addresses of the other sidecars in the registry: live holds those with a
// valid lease, lapsed those whose lease has lapsed and which may have been removed permanently. The
// caller must hold mu.
func (s *Sidecar) peersByLease() (live, lapsed []ident.Addr) {
	lapsedByAddr := map[ident.Addr]bool{}
	for _, set := range s.planner.Index.Sets() {
		for _, address := range set.Records {
			if address.Workload == nil || address.Workload.SidecarAddr == s.Settings.Addr {
				continue
			}
			addr := address.Workload.SidecarAddr
			onlyLapsed, known := lapsedByAddr[addr]
			lapsedByAddr[addr] = set.Lapsed && (onlyLapsed || !known)
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(lapsedByAddr)) {
		if lapsedByAddr[addr] {
			lapsed = append(lapsed, addr)
		} else {
			live = append(live, addr)
		}
	}
	return live, lapsed
}

// peersToNotify randomly selects the peers to notify of a new configuration. Peers with a lapsed lease
// are selected only if there are fewer peers with a valid lease than required acknowledgements. The
// caller must hold mu.
func (s *Sidecar) peersToNotify() []ident.Addr {
	live, lapsed := s.peersByLease()
	shuffle(live)
	shuffle(lapsed)
	peers := live[:min(len(live), configcache.MaxNotifiedPeers)]
	missing := max(0, configcache.RequiredAcks-len(peers))
	return append(peers, lapsed[:min(len(lapsed), missing)]...)
}

// withSeeds appends to peers the seeds that may be queried as peers now.
func (q *peerQuerier) withSeeds(peers []ident.Addr) []ident.Addr {
	for _, seed := range q.sidecar.Settings.Seeds {
		if !slices.Contains(peers, seed) && q.mayQuerySeed(seed) {
			peers = append(peers, seed)
		}
	}
	return peers
}

func (q *peerQuerier) mayQuerySeed(seed ident.Addr) bool {
	s := q.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cores.mayQuerySeed(s.clock(), seed)
}

func (q *peerQuerier) handleSeedResponse(seed ident.Addr, err error) {
	s := q.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cores.handleSeedResponse(s.clock(), seed, err)
}

// queryPeers queries randomly selected peers and waits for the responses. Only one of the peers is
// asked for its copy of the registry, because the copies of all peers would fill a slow link.
func (q *peerQuerier) queryPeers(peers []ident.Addr, wantRegistry bool) {
	shuffle(peers)
	var queries sync.WaitGroup
	for i, peer := range peers[:min(len(peers), maxPeersQueried)] {
		queries.Add(1)
		go func() {
			defer queries.Done()
			q.query(peer, wantRegistry && i == 0)
		}()
	}
	queries.Wait()
}

// query requests the state of one peer, merges the peer's copy of the registry, and fetches the peer's
// configuration if the configuration is newer.
func (q *peerQuerier) query(peer ident.Addr, wantRegistry bool) {
	s := q.sidecar
	ctx, cancel := context.WithTimeout(context.Background(), peerQueryTimeout)
	defer cancel()
	var state PeerState
	err := s.apiClient.Call(ctx, peer, http.MethodGet, s.peerStateQuery(wantRegistry), nil, &state)
	q.handleSeedResponse(peer, err)
	if err != nil {
		return
	}
	if q.mergeState(state) && s.fetchConfig(peer) == nil {
		s.count(counterConfigsFromPeers)
	}
}

// peerStateQuery returns the path and the query string of a request for a peer's state. If the peer's
// copy of the registry is wanted, the query string has the digest of the local copy, so that the peer
// does not send an identical copy.
func (s *Sidecar) peerStateQuery(wantRegistry bool) string {
	if !wantRegistry {
		return PeerStatePath + "?brief=1"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return PeerStatePath + "?have=" + registryDigest(s.planner.Index.Sets())
}

// mergeState merges a peer's state and reports whether the peer's configuration is newer and may be
// fetched.
func (q *peerQuerier) mergeState(state PeerState) (fetchable bool) {
	s := q.sidecar
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planner.Index.Merge(state.Sets) {
		s.configWatch.resync.Store(true)
		s.configWatch.redirectTo(s.lease.PollTarget())
	}
	now := s.clock()
	s.config.cache.HandlePeerAnswer(now, state.NewestKnownRevision, state.Joined)
	return state.ConfigRevision > s.config.cache.NewestHeld(s.planner.Revision()) && s.config.cache.AcceptsPeerConfig(now)
}

// registryDigest returns a hash of a copy of the registry, which tells a peer whether its own copy
// is the same.
func registryDigest(sets []record.Set) string {
	digest := fnv.New64a()
	for _, set := range sets {
		_, _ = fmt.Fprintf(digest, "%s %d %d %d %v\n", set.Author, set.LeaseEpoch, set.Seq, set.ConfigRevision, set.Lapsed)
	}
	return strconv.FormatUint(digest.Sum64(), 36)
}

func shuffle(addrs []ident.Addr) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}
