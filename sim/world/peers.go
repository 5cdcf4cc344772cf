package world

import (
	"time"

	manifest "cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/witness"
)

// enforce takes a confirmed manifest in: it is shown once peers have heard of it.
func (s *Side) enforce(m *manifest.Manifest) {
	peers := s.peers()
	if m == nil {
		return
	}
	if !s.wit.Take(s.clock(), m, s.path.Epoch(), len(peers)) {
		s.show()
		return
	}
	for _, p := range peers[:min(len(peers), witness.Ask)] {
		s.ask(&p.proc, 250*time.Millisecond, func(say func(any)) {
			p.hear(m, func() { say(true) })
		}, func(v any) {
			s.wit.Said(m.Epoch, v != nil)
			s.show()
		})
	}
	s.show()
}

// hear takes a peer's word of an epoch; done is called once its manifest is here, which
// is taken from that peer if it does not come by itself.
func (s *Side) hear(m *manifest.Manifest, done func()) {
	if m.Epoch < s.path.Floor || s.w.Break == "deaf" {
		return // it may not be shown here, so it is not held either
	}
	s.wit.Hear(s.clock(), m.Epoch)
	if s.wit.Holds(s.path.Epoch()) >= m.Epoch {
		done()
		return
	}
	gen := s.gen
	s.w.After(witness.Pull, func() {
		s.run(gen, func() {
			s.enforce(m)
			done()
		})
	})
}

func (s *Side) show() {
	if m := s.wit.Due(s.clock()); m != nil && s.path.Enforce(m) {
		s.w.Check.Shown(s.w.now, "sidecar "+string(s.Node), m, &s.shown)
	}
}

// peers lists the other sidecars in an order drawn anew.
func (s *Side) peers() []*Side {
	var out []*Side
	for _, i := range s.w.Rng.Perm(len(s.w.Sides)) {
		if s.w.Sides[i] != s {
			out = append(out, s.w.Sides[i])
		}
	}
	return out
}

// neighbours asks peers while no core is heard.
func (s *Side) neighbours() {
	if s.w.Break == "deaf" {
		return
	}
	peers := s.peers()
	for _, p := range peers[:min(len(peers), 8)] {
		s.ask(&p.proc, 400*time.Millisecond, func(say func(any)) {
			m := p.path.Manifest()
			if n := p.wit.Next(); n != nil {
				m = n
			}
			say(word{told{sets: p.path.Index.Sets(), m: m}, p.wit.Heard(), p.entered})
		}, func(v any) {
			got, ok := v.(word)
			if !ok {
				return
			}
			if s.path.Index.Merge(got.sets) {
				s.mark, s.polling = 0, false
				s.polls++
			}
			s.wit.Prior(s.clock(), got.heard, got.entered)
			if s.wit.Believes(s.clock()) {
				s.enforce(got.m)
			}
		})
	}
}

// word is what a peer tells.
type word struct {
	told
	heard   ident.Epoch
	entered bool
}
