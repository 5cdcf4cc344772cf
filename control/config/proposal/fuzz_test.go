package proposal_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
)

// storedState is the state as it is stored.
func (s *fixture) storedState(t *testing.T) (current proposal.State) {
	must.NoError(t, json.Unmarshal(operation.State(s.value), &current))
	return current
}

// Whatever two operators send, one after the other, on the release in force: what is taken
// is accepted again from the store and raises the release, the same offer again is given
// the same yes, another on the older release is refused, and what is refused leaves no trace.
func FuzzOffers(f *testing.F) {
	for _, kind := range []string{string(proposal.FullConfig), string(proposal.ItemPatch), string(proposal.MergePatch), "other"} {
		f.Add(kind, []byte(fullConfig(9, "")), string(proposal.ItemPatch), []byte(`{"release":11,"upsert":{"services":{"c":{}}}}`))
		f.Add(kind, []byte(`{"release":9,"ways":{"w":null}}`), kind, []byte(`{"release":9007199254740992}`))
		f.Add(kind, []byte(`{"release":8,"remove":{"ways":["v"]},"é":"\ud800"}`), kind, []byte(`{"release":9e0,"upsert":{"x":{}}}`))
	}
	f.Fuzz(func(t *testing.T, kind string, body []byte, nextKind string, nextBody []byte) {
		s := newFixture(t)
		for _, proposed := range []testProposal{{proposal.Kind(kind), 0, string(body)}, {proposal.Kind(nextKind), 0, string(nextBody)}} {
			before := s.storedState(t)
			if !json.Valid([]byte(proposed.body)) {
				continue // the surfaces refuse it before it is an offer
			}
			first := s.proposeOnVersion(proposed.kind, before.Version, proposed.body)
			after := s.storedState(t)
			if first.Failure != nil {
				must.Eq(t, before, after)
				continue
			}
			tree, err := decode.Parse(after.Document)
			must.Nil(t, err)
			config, err := validation.Lenient(tree)
			must.Nil(t, err)
			must.Eq(t, after.Version, config.Version)
			if !first.Changed {
				continue // the manifest in force, once more
			}
			must.Greater(t, before.Version, after.Version)
			again := s.proposeOnVersion(proposed.kind, before.Version, proposed.body)
			must.Nil(t, again.Failure)
			must.False(t, again.Changed)
			must.Eq(t, string(first.Body), string(again.Body))
			must.NotNil(t, s.proposeOnVersion(proposal.FullConfig, before.Version, fullConfig(int(after.Version)+1, `,"late":1`)).Failure)
			must.Eq(t, after, s.storedState(t))
		}
	})
}
