package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/delta"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/witness"
)

// partWait is how long one part of a manifest may take to come.
const partWait = 2 * time.Second

// fetch takes a manifest: as a delta from what is here if the giver has one, else whole, in
// bounded parts. A part of another epoch begins it anew.
func (s *Sidecar) fetch(from ident.Addr) error {
	s.fetching.Add(1)
	defer s.fetching.Add(-1)
	have := s.heldEpoch()
	var whole parts
	for !whole.done() {
		p, err := s.askPart(from, len(whole.data), have)
		if err != nil {
			return err
		}
		if p.Epoch <= s.heldEpoch() {
			return nil // it came by another way meanwhile
		}
		if p.Delta != nil {
			if d := s.apply(*p.Delta); d == nil {
				return nil
			}
			s.Board.Add("deltas_refused", 1)
			have = 0 // ask for the whole
			continue
		}
		if d := whole.take(p); d != nil {
			return d
		}
	}
	raw, d := whole.raw()
	if d != nil {
		return d
	}
	return s.enforce(whole.epoch, raw)
}

// askPart asks for one part; have names the epoch here, 0 if no delta will do.
func (s *Sidecar) askPart(from ident.Addr, at int, have ident.Epoch) (p mesh.Part, err error) {
	ctx, stop := context.WithTimeout(context.Background(), partWait)
	defer stop()
	path := fmt.Sprintf("/cottonarch/v1/part?at=%d&packed=1", at)
	if have > 0 {
		path += fmt.Sprintf("&have=%d", uint64(have))
	}
	err = s.pool.Ask(ctx, from, "GET", path, nil, &p)
	return p, err
}

// apply lays a delta over what is held here.
func (s *Sidecar) apply(change delta.Delta) *failure.Error {
	s.mu.Lock()
	have, base := s.holds()
	s.mu.Unlock()
	if change.To <= have {
		return nil
	}
	if change.From != have {
		return failure.New(failure.BadResponse, "a delta from revision %d, not from %d", change.From, have)
	}
	v, d := change.Apply(base.raw)
	if d != nil {
		return d
	}
	s.Board.Add("deltas_applied", 1)
	return s.take(v, &change)
}

func (s *Sidecar) enforce(epoch ident.Epoch, raw []byte) error {
	tree, d := walk.Parse(raw)
	if d != nil {
		return d
	}
	if d := s.take(delta.Version{Epoch: epoch, Tree: tree, Raw: raw}, nil); d != nil {
		return d
	}
	return nil
}

// take holds a confirmed manifest and tells peers of it; change is the delta that it came by.
func (s *Sidecar) take(v delta.Version, change *delta.Delta) *failure.Error {
	m, d := check.Loose(v.Tree)
	if d != nil {
		return d
	}
	m.Epoch = v.Epoch
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.gates()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if s.wit.Take(s.clock(), m, s.path.Epoch(), len(peers)) {
		s.next = stored{raw: v.Raw, packed: delta.Pack(v.Raw), change: change}
		for _, g := range peers[:min(len(peers), witness.Ask)] {
			go s.tell(g, v.Epoch)
		}
	}
	s.show()
	return nil
}

// show puts the manifest that is held in force, once peers hold it too; mu is held.
func (s *Sidecar) show() {
	m := s.wit.Due(s.clock())
	if m == nil {
		return
	}
	next := s.next
	s.next = stored{}
	if !s.path.Enforce(m) {
		return
	}
	s.shown = next
	if m.Limits != (check.Limits{}) {
		s.limits.Store(&m.Limits)
	}
	s.inUse.Store(true)
	s.Log.Info("manifest", zap.Uint64("epoch", uint64(m.Epoch)), zap.Int("ways", len(m.Ways)))
	s.kick(s.push)
}

// heldEpoch is the epoch of the newest manifest here.
func (s *Sidecar) heldEpoch() ident.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch, _ := s.holds()
	return epoch
}

// holds is the newest manifest here, in force or not yet; mu is held.
func (s *Sidecar) holds() (ident.Epoch, stored) {
	if m := s.wit.Next(); m != nil && s.next.raw != nil {
		return m.Epoch, s.next
	}
	return s.path.Epoch(), s.shown
}
