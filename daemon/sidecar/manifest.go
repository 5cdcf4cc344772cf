package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/witness"
)

// fetch takes a manifest in bounded parts. A part of another epoch begins it anew.
func (s *Sidecar) fetch(from ident.Addr) error {
	s.fetching.Add(1)
	defer s.fetching.Add(-1)
	var raw []byte
	var epoch ident.Epoch
	for epoch == 0 || len(raw) < cap(raw) {
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		var p mesh.Part
		err := s.pool.Ask(ctx, from, "GET", fmt.Sprintf("/cottonarch/v1/part?at=%d", len(raw)), nil, &p)
		stop()
		if err != nil {
			return err
		}
		if p.Epoch != epoch {
			if p.At != 0 {
				raw, epoch = nil, 0
				continue
			}
			if p.Size <= 0 || p.Size > 2*check.BytesMax {
				return defect.New(defect.BadReturn, "a manifest of %d bytes", p.Size)
			}
			epoch, raw = p.Epoch, make([]byte, 0, p.Size)
		}
		if p.At != len(raw) || p.Size != cap(raw) || len(p.Data) == 0 || len(raw)+len(p.Data) > cap(raw) {
			return defect.New(defect.BadReturn, "a part of the manifest does not fit")
		}
		raw = append(raw, p.Data...)
	}
	return s.enforce(epoch, raw)
}

func (s *Sidecar) enforce(epoch ident.Epoch, raw []byte) error {
	tree, d := walk.Parse(raw)
	if d != nil {
		return d
	}
	m, d := check.Loose(tree)
	if d != nil {
		return d
	}
	m.Epoch = epoch
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.gates()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if s.wit.Take(s.clock(), m, s.path.Epoch(), len(peers)) {
		s.next = raw
		for _, g := range peers[:min(len(peers), witness.Ask)] {
			go s.tell(g, epoch)
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
	raw := s.next
	s.next = nil
	if !s.path.Enforce(m) {
		return
	}
	s.raw = raw
	if m.Limits != (check.Limits{}) {
		s.limits.Store(&m.Limits)
	}
	s.inUse.Store(true)
	s.Log.Info("manifest", zap.Uint64("epoch", uint64(m.Epoch)), zap.Int("ways", len(m.Ways)))
	s.kick(s.push)
}

// holds is the newest manifest here, in force or not yet; mu is held.
func (s *Sidecar) holds() (ident.Epoch, json.RawMessage) {
	if m := s.wit.Next(); m != nil && s.next != nil {
		return m.Epoch, s.next
	}
	return s.path.Epoch(), s.raw
}
