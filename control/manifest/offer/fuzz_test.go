package offer_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/manifest/walk"
)

// held is the state as it is stored.
func (s *state) held(t *testing.T) (h offer.Held) {
	must.NoError(t, json.Unmarshal(operation.State(s.value), &h))
	return h
}

// Whatever two operators send, one after the other, on the release in force: what is taken
// is accepted again from the store and raises the release, the same offer again is given
// the same yes, another on the older release is refused, and what is refused leaves no trace.
func FuzzOffers(f *testing.F) {
	for _, kind := range []string{string(offer.Whole), string(offer.Change), string(offer.Part), "other"} {
		f.Add(kind, []byte(whole(9, "")), string(offer.Change), []byte(`{"release":11,"upsert":{"services":{"c":{}}}}`))
		f.Add(kind, []byte(`{"release":9,"ways":{"w":null}}`), kind, []byte(`{"release":9007199254740992}`))
		f.Add(kind, []byte(`{"release":8,"remove":{"ways":["v"]},"é":"\ud800"}`), kind, []byte(`{"release":9e0,"upsert":{"x":{}}}`))
	}
	f.Fuzz(func(t *testing.T, kind string, body []byte, nextKind string, nextBody []byte) {
		s := begun(t)
		for _, one := range []bid{{offer.Kind(kind), 0, string(body)}, {offer.Kind(nextKind), 0, string(nextBody)}} {
			before := s.held(t)
			if !json.Valid([]byte(one.body)) {
				continue // the surfaces refuse it before it is an offer
			}
			first := s.build(one.kind, before.Release, one.body)
			after := s.held(t)
			if first.Failure != nil {
				must.Eq(t, before, after)
				continue
			}
			tree, d := walk.Parse(after.Manifest)
			must.Nil(t, d)
			m, d := check.Loose(tree)
			must.Nil(t, d)
			must.Eq(t, after.Release, m.Release)
			if !first.Changed {
				continue // the manifest in force, once more
			}
			must.Greater(t, before.Release, after.Release)
			again := s.build(one.kind, before.Release, one.body)
			must.Nil(t, again.Failure)
			must.False(t, again.Changed)
			must.Eq(t, string(first.Body), string(again.Body))
			must.NotNil(t, s.build(offer.Whole, before.Release, whole(int(after.Release)+1, `,"late":1`)).Failure)
			must.Eq(t, after, s.held(t))
		}
	})
}
