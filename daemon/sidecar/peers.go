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

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"cottonarch.example/cottonarch/mesh/witness"
)

// gates lists the peers that are known; mu is held.
func (s *Sidecar) gates() []ident.Addr {
	var out []ident.Addr
	for _, set := range s.path.Index.Sets() {
		for _, a := range set.Records {
			if a.Workload != nil && a.Workload.Gate != s.Boot.Addr && !slices.Contains(out, a.Workload.Gate) {
				out = append(out, a.Workload.Gate)
			}
		}
	}
	return out
}

// neighbours is the duty of asking peers, while no core is heard, for a newer manifest
// and for their registry.
func (s *Sidecar) neighbours() {
	t := time.NewTicker(peersEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.done:
			return
		}
		now := s.clock()
		s.mu.Lock()
		lonely := s.wit.Lonely(now, s.lastCore, s.path.Epoch())
		if !lonely {
			s.mu.Unlock()
			continue
		}
		gates, alone := s.gates(), s.wit.Alone(now, s.lastCore)
		s.mu.Unlock()
		for _, a := range s.Boot.Seeds {
			if !slices.Contains(gates, a) && s.seedPeer(a) {
				gates = append(gates, a)
			}
		}
		rand.Shuffle(len(gates), func(i, j int) { gates[i], gates[j] = gates[j], gates[i] })
		var out sync.WaitGroup
		for i, g := range gates[:min(len(gates), peersMost)] {
			out.Add(1)
			go func() {
				defer out.Done()
				// The registry of one of them will do, and only while no core gives it: that
				// of all would fill a small link.
				s.askPeer(g, alone && i == 0)
			}()
		}
		out.Wait()
	}
}

// seedPeer tells whether a seed may be asked as a peer now. Seeds may be cores: until one has
// answered as a sidecar it is asked seldom, as all sidecars of a herd ask the same seeds.
func (s *Sidecar) seedPeer(a ident.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if !s.sides[a] && s.noPeer[a].After(now) {
		return false
	}
	s.noPeer[a] = now.Add(seedEvery)
	return true
}

// seedSaid takes what the answer of a seed tells of it: a core knows no peers.
func (s *Sidecar) seedSaid(a ident.Addr, err error) {
	if !slices.Contains(s.Boot.Seeds, a) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := (*failure.Error)(nil); err == nil {
		s.sides[a] = true
	} else if failure.Find(err, &d) && d.Kind == failure.Missing {
		delete(s.sides, a)
		s.noPeer[a] = s.clock().Add(coreEvery)
	}
}

// askPeer asks one peer for what it holds, and for its registry if that is wanted.
func (s *Sidecar) askPeer(g ident.Addr, registry bool) {
	ctx, stop := context.WithTimeout(context.Background(), peerLimit)
	defer stop()
	var p Peer
	question := "/cottonarch/v1/peer?brief=1"
	if registry {
		s.mu.Lock()
		question = "/cottonarch/v1/peer?have=" + sum(s.path.Index.Sets())
		s.mu.Unlock()
	}
	err := s.pool.Ask(ctx, g, "GET", question, nil, &p)
	s.seedSaid(g, err)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.path.Index.Merge(p.Sets) {
		s.refeed.Store(true)
		s.point(s.lease.Followed())
	}
	now := s.clock()
	s.wit.Prior(now, p.Heard, p.Entered)
	newer := p.Manifest > s.wit.Holds(s.path.Epoch()) && s.wit.Believes(now)
	s.mu.Unlock()
	if newer && s.fetch(g) == nil {
		s.Board.Add("manifests_from_peers", 1)
	}
}

// sum stands for a copy of the registry: equal copies have equal ones.
func sum(sets []record.Set) string {
	h := fnv.New64a()
	for _, s := range sets {
		_, _ = fmt.Fprintf(h, "%s %d %d %d %v\n", s.Author, s.LeaseEpoch, s.Seq, s.Built, s.Lapsed)
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

// Peer is what a sidecar tells a peer that is cut from the core. Sets is left out when
// the asker has the same or does not want them. Manifest is the newest
// epoch that it holds, Heard the newest that it knows some sidecar to hold.
type Peer struct {
	Manifest ident.Epoch  `json:"manifest"`
	Heard    ident.Epoch  `json:"heard"`
	Entered  bool         `json:"entered"`
	Sets     []record.Set `json:"sets,omitempty"`
}

// Heard is how a sidecar tells a peer of an epoch that it holds and is about to show.
type Heard struct {
	Epoch ident.Epoch `json:"epoch"`
	From  ident.Addr  `json:"from"`
}

// Held is the return: whether the peer holds it too.
type Held struct {
	Held bool `json:"held"`
}

// tell tells one peer of an epoch.
func (s *Sidecar) tell(g ident.Addr, e ident.Epoch) {
	ctx, stop := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer stop()
	var got Held
	err := s.pool.Ask(ctx, g, "POST", "/cottonarch/v1/heard", Heard{Epoch: e, From: s.Boot.Addr}, &got)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wit.Said(e, err == nil && got.Held)
	s.show()
}

// Hear takes a peer's word of an epoch. The manifest is taken from that peer if it does
// not come by itself; the return is true once it is here.
func (s *Sidecar) Hear(h Heard) Held {
	here := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.wit.Holds(s.path.Epoch()) >= h.Epoch
	}
	s.mu.Lock()
	low := h.Epoch < s.path.Floor // it may not be shown here, so it is not held either
	if !low {
		s.wit.Hear(s.clock(), h.Epoch)
	}
	s.mu.Unlock()
	if low || here() {
		return Held{!low}
	}
	s.pause(witness.Pull)
	// A fetch that is under way brings it, or something newer.
	for n := 0; n < pullWaits && !here() && s.fetching.Load() > 0; n++ {
		s.pause(10 * time.Millisecond)
	}
	if !here() && s.fetching.Load() == 0 {
		if err := s.fetch(h.From); err != nil {
			s.Board.Add("manifest_fetches_failed", 1)
		}
	}
	return Held{here()}
}
