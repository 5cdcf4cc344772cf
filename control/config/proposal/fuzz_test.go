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

// storedState returns the decoded state of the control key.
func (f *fixture) storedState(t *testing.T) (current proposal.State) {
	must.NoError(t, json.Unmarshal(operation.State(f.value), &current))
	return current
}

// For any two successive proposals on the version in force: an accepted configuration is accepted
// again from the store and increases the version; a repeat gets the same response; another proposal
// on the older version is rejected; and a rejected proposal changes nothing.
func FuzzProposals(f *testing.F) {
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
				continue // the API rejects a body that is not JSON
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
				continue // the configuration in force, sent again
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
