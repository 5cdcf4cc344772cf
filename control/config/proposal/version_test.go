package proposal_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/history"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// proposeOnVersion proposes on a base version.
func (f *fixture) proposeOnVersion(kind proposal.Kind, base uint64, body string) proposer.Result {
	args := proposal.Args{Kind: kind, BaseVersion: &base, AllowUnknown: true, Body: json.RawMessage(body)}
	return f.apply(proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Args: operation.Encode(args)})
}

// fullConfig returns a document with two services and two routes.
func fullConfig(version int, extra string) string {
	return fmt.Sprintf(
		`{"release":%d,"services":{"a":{},"b":{}},"ways":{"v":{"host":"v","service":"a"},"w":{"host":"h","service":"a"}}%s}`,
		version,
		extra,
	)
}

// newFixture returns a control key with a configuration of version 7.
func newFixture(t *testing.T) *fixture {
	f := &fixture{}
	must.Nil(t, f.proposeOnVersion(proposal.FullConfig, 0, fullConfig(7, "")).Failure)
	return f
}

type testProposal struct {
	kind proposal.Kind
	base uint64
	body string
}

// All orders of five proposals, each sent twice, some based on the newest version and some on other
// versions: of different proposals on one base, one is accepted; a repeat of an accepted proposal
// gets the same response; a rejected proposal changes nothing.
func TestProposalsOnOneBase(t *testing.T) {
	proposals := []testProposal{
		{proposal.FullConfig, 7, fullConfig(9, `,"x":"A"`)}, {proposal.FullConfig, 7, fullConfig(9, `,"x":"B"`)},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"services":{"C":{}}}}`},
		{proposal.FullConfig, 9, fullConfig(11, `,"x":"D"`)}, {proposal.ItemPatch, 8, `{"release":9,"upsert":{"services":{"E":{}}}}`},
	}
	var permute func(left []int, then func([]int))
	permute = func(left []int, then func([]int)) {
		if len(left) == 0 {
			then(nil)
		}
		for i, next := range left {
			rest := append(append([]int{}, left[:i]...), left[i+1:]...)
			permute(rest, func(order []int) { then(append([]int{next}, order...)) })
		}
	}
	orders := 0
	permute([]int{0, 1, 2, 3, 4}, func(order []int) {
		orders++
		f, acceptedBodies, currentVersion := newFixture(t), map[int]string{}, uint64(7)
		for round := range 2 { // every proposal once, then every proposal again
			for _, i := range order {
				proposed, before := proposals[i], string(f.value)
				result := f.proposeOnVersion(proposed.kind, proposed.base, proposed.body)
				if past, ok := acceptedBodies[i]; ok {
					must.Nil(t, result.Failure)
					must.Eq(t, past, string(result.Body))
					must.Eq(t, before, string(f.value))
					continue
				}
				if proposed.base != currentVersion {
					must.NotNil(t, result.Failure)
					must.Eq(t, failure.Conflict, result.Failure.Kind)
					must.Eq(t, failure.NotExecuted, result.Failure.Outcome)
					must.Eq(t, before, string(f.value))
					continue
				}
				must.Nil(t, result.Failure, must.Sprint(order, round, i))
				var accepted proposal.Accepted
				must.NoError(t, json.Unmarshal(result.Body, &accepted))
				must.Eq(t, proposal.Accepted{Revision: f.read().Revision, Version: f.read().Version}, accepted)
				currentVersion = f.read().Version
				must.Greater(t, proposed.base, currentVersion)
				acceptedBodies[i] = string(result.Body)
			}
		}
		acceptedByBase := map[uint64]int{}
		for i := range acceptedBodies {
			acceptedByBase[proposals[i].base]++
		}
		for base, accepted := range acceptedByBase {
			must.Eq(t, 1, accepted, must.Sprintf("base %d, order %v", base, order))
		}
	})
	must.Eq(t, 120, orders)
}

// The configuration in force is accepted again whatever the order of its fields and its base.
// Another document with the same version is rejected.
func TestRepeatOfCurrentConfig(t *testing.T) {
	f := newFixture(t)
	for _, base := range []uint64{0, 7, 3} {
		result := f.proposeOnVersion(
			proposal.FullConfig,
			base,
			`{"ways":{"w":{"service":"a","host":"h"},"v":{"host":"v","service":"a"}}, "services":{"b":{},"a":{}}, "release":7}`,
		)
		must.Nil(t, result.Failure)
		must.Eq(t, `{"epoch":1,"release":7}`, string(result.Body), must.Sprint(base))
	}
	must.Eq(t, 1, f.revision)
	must.Eq(t, failure.Conflict, f.proposeOnVersion(proposal.FullConfig, 0, fullConfig(7, `,"x":1`)).Failure.Kind)
	must.Eq(t, failure.Invalid, f.proposeOnVersion(proposal.FullConfig, 7, fullConfig(7, `,"x":1`)).Failure.Kind)
	// Accepted and then replaced: a repeat is still accepted, and changes nothing.
	must.Nil(t, f.proposeOnVersion(proposal.ItemPatch, 7, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure)
	must.Nil(t, f.proposeOnVersion(proposal.ItemPatch, 8, `{"release":9,"remove":{"services":["c"]}}`).Failure)
	for _, repeated := range []testProposal{
		{proposal.FullConfig, 0, fullConfig(7, "")},
		{proposal.ItemPatch, 7, `{"upsert":{"services":{"c":{}}},"release":8}`},
	} {
		result := f.proposeOnVersion(repeated.kind, repeated.base, repeated.body)
		must.Nil(t, result.Failure)
		must.False(t, result.Changed)
	}
	// The same body on another base, or of another kind, is another proposal.
	must.Eq(t, failure.Conflict, f.proposeOnVersion(proposal.ItemPatch, 6, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure.Kind)
	must.Eq(t, failure.Conflict, f.proposeOnVersion(proposal.MergePatch, 7, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure.Kind)
	must.Eq(t, 9, f.read().Version)
	must.Eq(t, 3, f.revision)
}

// The log holds accepted proposals for a bounded number of changes. The outcome of an older
// proposal is unknown, whether the proposal was accepted or not: the log cannot prove a Conflict.
func TestAcceptedProposalLogIsBounded(t *testing.T) {
	f := newFixture(t)
	for i := uint64(8); i < 8+300; i++ {
		must.Nil(t, f.proposeOnVersion(proposal.ItemPatch, i-1, fmt.Sprintf(`{"release":%d}`, i)).Failure)
	}
	must.Nil(
		t,
		f.proposeOnVersion(proposal.ItemPatch, 7+300-history.MaxEntries, fmt.Sprintf(`{"release":%d}`, 8+300-history.MaxEntries)).Failure,
	)
	must.Eq(
		t,
		failure.Conflict,
		f.proposeOnVersion(
			proposal.ItemPatch,
			7+300-history.MaxEntries,
			fmt.Sprintf(`{"release":%d}`, 9+300-history.MaxEntries),
		).Failure.Kind,
	)
	for _, version := range []int{8, 9} {
		result := f.proposeOnVersion(
			proposal.ItemPatch,
			7+299-history.MaxEntries,
			fmt.Sprintf(`{"release":%d}`, version+299-history.MaxEntries),
		)
		must.Eq(t, failure.UnknownOutcome, result.Failure.Kind)
		must.Eq(t, failure.OutcomeUnknown, result.Failure.Outcome)
		must.False(t, result.Changed)
	}
	must.Eq(t, 301, f.revision)
}

// Each of these faults in a patch or a whole configuration rejects the proposal and leaves the
// stored configuration unchanged.
func TestInvalidItemPatches(t *testing.T) {
	for _, invalid := range []testProposal{
		{proposal.FullConfig, 7, fullConfig(7, "")[:20]},
		{proposal.FullConfig, 7, fullConfig(6, "")},
		{proposal.FullConfig, 7, fullConfig(7, `,"x":1`)},
		{proposal.FullConfig, 7, strings.Replace(fullConfig(8, ""), `"release":8,`, "", 1)},
		{proposal.FullConfig, 7, fullConfig(8, "") + "x"},
		{proposal.FullConfig, 7, strings.Replace(fullConfig(8, ""), `"service":"a"`, `"service":"c"`, 1)},
		{proposal.FullConfig, 7, `{"release":"8"}`}, {proposal.FullConfig, 7, `{"release":8.5}`}, {proposal.FullConfig, 7, `{"release":null}`},
		{proposal.ItemPatch, 7, `{"upsert":{"services":{"c":{}}}}`},
		{proposal.ItemPatch, 7, `{"release":7,"upsert":{"services":{"c":{}}}}`},
		{proposal.ItemPatch, 7, `{"release":8`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":[]}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":[]}}`},
		{proposal.ItemPatch, 7, `{"release":8,"remove":{"ways":"w"}}`},
		{proposal.ItemPatch, 7, `{"release":8,"remove":{"ways":[1]}}`},
		{proposal.ItemPatch, 7, `{"release":8,"remove":{"services":["a"]}}`}, // routes refer to service a
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"w":{"host":"h"}}}}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"h","service":"a"}}}}`}, // the host of route w
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"c"}}}}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"a","timeoutMs":0}}}}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"a","repeat":"thrice"}}}}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","split":[{"service":"a","weight":-1}]}}}}`},
		{"other", 7, `{"release":8}`},
	} {
		f := newFixture(t)
		before := string(f.value)
		result := f.proposeOnVersion(invalid.kind, invalid.base, invalid.body)
		must.NotNil(t, result.Failure, must.Sprint(invalid))
		must.True(
			t,
			result.Failure.Kind == failure.Invalid || result.Failure.Kind == failure.Malformed,
			must.Sprint(invalid, result.Failure),
		)
		must.Eq(t, failure.NotExecuted, result.Failure.Outcome)
		must.Eq(t, before, string(f.value))
	}
}

// An item patch replaces whole items, removes items, ignores names that do not exist, and
// keeps everything else as the operator sent it.
func TestItemPatch(t *testing.T) {
	f := &fixture{}
	base := `{"release":1,"note":[1.50,null],"services":{"a":{"x":{"y":1e3}},"b":{}},` +
		`"ways":{"v":{"host":"v","service":"a","tries":1},"w":{"host":"h","service":"b"}},"limits":{"headMs":5}}`
	itemPatch := `{"release":4,"other":1,"upsert":{"ways":{"v":{"host":"v","service":"a","hue":"<"},` +
		`"new":{"host":"v","pathStart":"/n/","service":"a"}},"limits":{"idleMs":6}},` +
		`"remove":{"ways":["w","none"],"services":["b"],"things":["t"]}}`
	patched := `{"release":4,"note":[1.5,null],"services":{"a":{"x":{"y":1000}}},` +
		`"ways":{"v":{"host":"v","service":"a","hue":"<"},"new":{"host":"v","pathStart":"/n/","service":"a"}},` +
		`"limits":{"headMs":5,"idleMs":6}}`
	must.Nil(t, f.proposeOnVersion(proposal.FullConfig, 0, base).Failure)
	must.Nil(t, f.proposeOnVersion(proposal.ItemPatch, 1, itemPatch).Failure)
	var got, want any
	must.NoError(t, json.Unmarshal(f.read().Document, &got))
	must.NoError(t, json.Unmarshal([]byte(patched), &want))
	must.Eq(t, want, got)
	must.StrContains(t, string(f.read().Document), "1.50")
}

// A merge patch of a configuration with unknown fields keeps them and the version, and is
// validated leniently. A version below the version in force is rejected even without a base
// version.
func TestMergePatchesWithoutBaseVersion(t *testing.T) {
	f := &fixture{}
	must.Nil(t, f.proposeOnVersion(proposal.FullConfig, 0, fullConfig(7, `,"x":1`)).Failure)
	must.Nil(t, f.proposeOnRevision("1", `{"ways":{"w":{"service":"b"}}}`, true, nil).Failure)
	must.Eq(t, 7, f.read().Version)
	must.StrContains(t, string(f.read().Document), `"x":1`)
	must.NotNil(t, f.proposeOnRevision("2", `{"release":6}`, true, nil).Failure)
	must.NotNil(t, f.proposeOnRevision("3", fullConfig(8, `,"x":1`), false, nil).Failure)
	must.Nil(t, f.proposeOnRevision("4", validConfig, false, nil).Failure)
	must.Eq(t, 7, f.read().Version)
	must.Eq(t, ident.ConfigRevision(3), f.read().Revision)
	must.Eq(t, failure.Invalid, f.proposeOnVersion(proposal.FullConfig, 7, fullConfig(7, "")).Failure.Kind)
	must.Nil(t, f.proposeOnVersion(proposal.FullConfig, 7, fullConfig(8, "")).Failure)
}

// A read of the revision returns the revision of the newest configuration, after accepted and after
// rejected proposals.
func TestReadRevisionReturnsTheNewest(t *testing.T) {
	f := &fixture{}
	readRevision := func() ident.ConfigRevision {
		result := f.apply(proposer.Operation{Op: "x", Key: proposal.Key, Kind: "manifest/epoch"})
		must.False(t, result.Changed)
		var accepted proposal.Accepted
		must.NoError(t, json.Unmarshal(result.Body, &accepted))
		return accepted.Revision
	}
	must.Eq(t, 0, readRevision())
	for i := range 20 {
		version := f.read().Version
		result := f.proposeOnVersion(proposal.ItemPatch, version, fmt.Sprintf(`{"release":%d}`, version+uint64(i%3)))
		must.Eq(t, i%3 == 0, result.Failure != nil)
		must.Eq(t, f.read().Revision, readRevision())
	}
	must.Eq(t, 13, readRevision())
}

func BenchmarkReadRevision500(b *testing.B) {
	state := proposal.State{Revision: 1, Document: operation.Encode(strings.Repeat("x", 100_000))}
	f := &fixture{value: operation.Encode(operation.Value{State: operation.Encode(state)}), revision: 1}
	for b.Loop() {
		if result := f.apply(proposer.Operation{Key: proposal.Key, Kind: "manifest/epoch"}); result.Failure != nil {
			b.Fatal(result.Failure)
		}
	}
}

func BenchmarkItemPatch500(b *testing.B) {
	f := &fixture{}
	document := `{"release":1,"services":{"a":{},"b":{}},"ways":{` + routeList(500) + `}}`
	if result := f.proposeOnVersion(proposal.FullConfig, 0, document); result.Failure != nil {
		b.Fatal(result.Failure)
	}
	version := uint64(1)
	for b.Loop() {
		version++
		itemPatch := fmt.Sprintf(`{"release":%d,"remove":{"ways":["r-0001eef"]}}`, version)
		if result := f.proposeOnVersion(proposal.ItemPatch, version-1, itemPatch); result.Failure != nil {
			b.Fatal(result.Failure)
		}
	}
}
