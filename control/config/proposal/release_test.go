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

// proposeOnVersion offers on a base release, as the users' platform does.
func (s *fixture) proposeOnVersion(kind proposal.Kind, base uint64, body string) proposer.Result {
	result := proposal.Handlers().Apply(proposer.Context{Revision: s.revision}, s.value, proposer.Operation{Key: proposal.Key, Kind: "manifest/offer",
		Args: operation.Encode(proposal.Args{Kind: kind, BaseVersion: &base, AllowUnknown: true, Body: json.RawMessage(body)})})
	if result.Changed {
		s.value = result.Value
		s.revision++
	}
	return result
}

func fullConfig(version int, extra string) string {
	return fmt.Sprintf(`{"release":%d,"services":{"a":{},"b":{}},"ways":{"v":{"host":"v","service":"a"},"w":{"host":"h","service":"a"}}%s}`, version, extra)
}

func newFixture(t *testing.T) *fixture {
	s := &fixture{}
	must.Nil(t, s.proposeOnVersion(proposal.FullConfig, 0, fullConfig(7, "")).Failure)
	return s
}

type testProposal struct {
	kind proposal.Kind
	base uint64
	body string
}

// All orders of five offers, of which some build on the newest release, some are repeats
// and some build on others: of two different changes on one base one is taken, a repeat
// of a taken one is told the epoch it was given, and what was turned away leaves no trace.
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
		for i, x := range left {
			rest := append(append([]int{}, left[:i]...), left[i+1:]...)
			permute(rest, func(o []int) { then(append([]int{x}, o...)) })
		}
	}
	n := 0
	permute([]int{0, 1, 2, 3, 4}, func(order []int) {
		n++
		s, acceptedBodies, currentVersion := newFixture(t), map[int]string{}, uint64(7)
		for round := range 2 { // every offer once, then every one again
			for _, i := range order {
				b, before := proposals[i], string(s.value)
				result := s.proposeOnVersion(b.kind, b.base, b.body)
				if past, ok := acceptedBodies[i]; ok {
					must.Nil(t, result.Failure)
					must.Eq(t, past, string(result.Body))
					must.Eq(t, before, string(s.value))
					continue
				}
				if b.base != currentVersion {
					must.NotNil(t, result.Failure)
					must.Eq(t, failure.Conflict, result.Failure.Kind)
					must.Eq(t, failure.NotExecuted, result.Failure.Outcome)
					must.Eq(t, before, string(s.value))
					continue
				}
				must.Nil(t, result.Failure, must.Sprint(order, round, i))
				var accepted proposal.Accepted
				must.NoError(t, json.Unmarshal(result.Body, &accepted))
				must.Eq(t, proposal.Accepted{Revision: s.read().Revision, Version: s.read().Version}, accepted)
				currentVersion = s.read().Version
				must.Greater(t, b.base, currentVersion)
				acceptedBodies[i] = string(result.Body)
			}
		}
		acceptedByBase := map[uint64]int{}
		for i := range acceptedBodies {
			acceptedByBase[proposals[i].base]++
		}
		for base, n := range acceptedByBase {
			must.Eq(t, 1, n, must.Sprintf("base %d, order %v", base, order))
		}
	})
	must.Eq(t, 120, n)
}

// A whole manifest that is the newest one is a yes whatever the order of its fields and
// its base; the same release with another content is not.
func TestExactRepeat(t *testing.T) {
	s := newFixture(t)
	for _, base := range []uint64{0, 7, 3} {
		result := s.proposeOnVersion(proposal.FullConfig, base, `{"ways":{"w":{"service":"a","host":"h"},"v":{"host":"v","service":"a"}}, "services":{"b":{},"a":{}}, "release":7}`)
		must.Nil(t, result.Failure)
		must.Eq(t, `{"epoch":1,"release":7}`, string(result.Body), must.Sprint(base))
	}
	must.Eq(t, 1, s.revision)
	must.Eq(t, failure.Conflict, s.proposeOnVersion(proposal.FullConfig, 0, fullConfig(7, `,"x":1`)).Failure.Kind)
	must.Eq(t, failure.Invalid, s.proposeOnVersion(proposal.FullConfig, 7, fullConfig(7, `,"x":1`)).Failure.Kind)
	// Taken and then overtaken: a repeat is still a yes, and changes nothing.
	must.Nil(t, s.proposeOnVersion(proposal.ItemPatch, 7, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure)
	must.Nil(t, s.proposeOnVersion(proposal.ItemPatch, 8, `{"release":9,"remove":{"services":["c"]}}`).Failure)
	for _, b := range []testProposal{{proposal.FullConfig, 0, fullConfig(7, "")}, {proposal.ItemPatch, 7, `{"upsert":{"services":{"c":{}}},"release":8}`}} {
		result := s.proposeOnVersion(b.kind, b.base, b.body)
		must.Nil(t, result.Failure)
		must.False(t, result.Changed)
	}
	// The same change on another base, or as another kind, is another change.
	must.Eq(t, failure.Conflict, s.proposeOnVersion(proposal.ItemPatch, 6, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure.Kind)
	must.Eq(t, failure.Conflict, s.proposeOnVersion(proposal.MergePatch, 7, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure.Kind)
	must.Eq(t, 9, s.read().Version)
	must.Eq(t, 3, s.revision)
}

// What was taken is remembered for a window of changes. Behind it a proposal is told that
// its fate is unknown, whether it was taken or not; a conflict would be a guess.
func TestMemoryOfAcceptedIsBounded(t *testing.T) {
	s := newFixture(t)
	for i := uint64(8); i < 8+300; i++ {
		must.Nil(t, s.proposeOnVersion(proposal.ItemPatch, i-1, fmt.Sprintf(`{"release":%d}`, i)).Failure)
	}
	must.Nil(t, s.proposeOnVersion(proposal.ItemPatch, 7+300-history.MaxEntries, fmt.Sprintf(`{"release":%d}`, 8+300-history.MaxEntries)).Failure)
	must.Eq(t, failure.Conflict, s.proposeOnVersion(proposal.ItemPatch, 7+300-history.MaxEntries, fmt.Sprintf(`{"release":%d}`, 9+300-history.MaxEntries)).Failure.Kind)
	for _, version := range []int{8, 9} {
		result := s.proposeOnVersion(proposal.ItemPatch, 7+299-history.MaxEntries, fmt.Sprintf(`{"release":%d}`, version+299-history.MaxEntries))
		must.Eq(t, failure.UnknownOutcome, result.Failure.Kind)
		must.Eq(t, failure.OutcomeUnknown, result.Failure.Outcome)
		must.False(t, result.Changed)
	}
	must.Eq(t, 301, s.revision)
}

// Every fault of a change or a whole manifest turns it away and leaves the newest alone.
func TestBadItemPatches(t *testing.T) {
	for _, b := range []testProposal{
		{proposal.FullConfig, 7, fullConfig(7, "")[:20]}, {proposal.FullConfig, 7, fullConfig(6, "")}, {proposal.FullConfig, 7, fullConfig(7, `,"x":1`)}, {proposal.FullConfig, 7, strings.Replace(fullConfig(8, ""), `"release":8,`, "", 1)},
		{proposal.FullConfig, 7, fullConfig(8, "") + "x"}, {proposal.FullConfig, 7, strings.Replace(fullConfig(8, ""), `"service":"a"`, `"service":"c"`, 1)},
		{proposal.FullConfig, 7, `{"release":"8"}`}, {proposal.FullConfig, 7, `{"release":8.5}`}, {proposal.FullConfig, 7, `{"release":null}`},
		{proposal.ItemPatch, 7, `{"upsert":{"services":{"c":{}}}}`}, {proposal.ItemPatch, 7, `{"release":7,"upsert":{"services":{"c":{}}}}`}, {proposal.ItemPatch, 7, `{"release":8`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":[]}`}, {proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":[]}}`}, {proposal.ItemPatch, 7, `{"release":8,"remove":{"ways":"w"}}`}, {proposal.ItemPatch, 7, `{"release":8,"remove":{"ways":[1]}}`},
		{proposal.ItemPatch, 7, `{"release":8,"remove":{"services":["a"]}}`}, // ways go there
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"w":{"host":"h"}}}}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"h","service":"a"}}}}`}, // as way w
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"c"}}}}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"a","timeoutMs":0}}}}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"a","repeat":"thrice"}}}}`},
		{proposal.ItemPatch, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","split":[{"service":"a","weight":-1}]}}}}`},
		{"other", 7, `{"release":8}`},
	} {
		s := newFixture(t)
		before := string(s.value)
		result := s.proposeOnVersion(b.kind, b.base, b.body)
		must.NotNil(t, result.Failure, must.Sprint(b))
		must.True(t, result.Failure.Kind == failure.Invalid || result.Failure.Kind == failure.Malformed, must.Sprint(b, result.Failure))
		must.Eq(t, failure.NotExecuted, result.Failure.Outcome)
		must.Eq(t, before, string(s.value))
	}
}

// A change puts items in whole, takes items away, passes over names that are not there,
// and leaves everything else as it was sent.
func TestItemPatch(t *testing.T) {
	s := &fixture{}
	must.Nil(t, s.proposeOnVersion(proposal.FullConfig, 0, `{"release":1,"note":[1.50,null],"services":{"a":{"x":{"y":1e3}},"b":{}},"ways":{"v":{"host":"v","service":"a","tries":1},"w":{"host":"h","service":"b"}},"limits":{"headMs":5}}`).Failure)
	must.Nil(t, s.proposeOnVersion(proposal.ItemPatch, 1, `{"release":4,"other":1,"upsert":{"ways":{"v":{"host":"v","service":"a","hue":"<"},"new":{"host":"v","pathStart":"/n/","service":"a"}},"limits":{"idleMs":6}},"remove":{"ways":["w","none"],"services":["b"],"things":["t"]}}`).Failure)
	var got, want any
	must.NoError(t, json.Unmarshal(s.read().Document, &got))
	must.NoError(t, json.Unmarshal([]byte(`{"release":4,"note":[1.5,null],"services":{"a":{"x":{"y":1000}}},"ways":{"v":{"host":"v","service":"a","hue":"<"},"new":{"host":"v","pathStart":"/n/","service":"a"}},"limits":{"headMs":5,"idleMs":6}}`), &want))
	must.Eq(t, want, got)
	must.StrContains(t, string(s.read().Document), "1.50")
}

// A part on the own interface keeps what a loose manifest holds, its release too, and is
// looked at loosely; a release below the one in force is refused there as well.
func TestOwnInterfaceBesidesVersions(t *testing.T) {
	s := &fixture{}
	must.Nil(t, s.proposeOnVersion(proposal.FullConfig, 0, fullConfig(7, `,"x":1`)).Failure)
	must.Nil(t, s.proposeOnRevision("1", `{"ways":{"w":{"service":"b"}}}`, true, nil).Failure)
	must.Eq(t, 7, s.read().Version)
	must.StrContains(t, string(s.read().Document), `"x":1`)
	must.NotNil(t, s.proposeOnRevision("2", `{"release":6}`, true, nil).Failure)
	must.NotNil(t, s.proposeOnRevision("3", fullConfig(8, `,"x":1`), false, nil).Failure)
	must.Nil(t, s.proposeOnRevision("4", validConfig, false, nil).Failure)
	must.Eq(t, 7, s.read().Version)
	must.Eq(t, ident.Epoch(3), s.read().Revision)
	must.Eq(t, failure.Invalid, s.proposeOnVersion(proposal.FullConfig, 7, fullConfig(7, "")).Failure.Kind)
	must.Nil(t, s.proposeOnVersion(proposal.FullConfig, 7, fullConfig(8, "")).Failure)
}

// The epoch that is told is that of the newest manifest, after every offer of any fate.
func TestRevisionIsThatOfTheNewest(t *testing.T) {
	s := &fixture{}
	readRevision := func() ident.Epoch {
		result := proposal.Handlers().Apply(proposer.Context{Revision: s.revision}, s.value, proposer.Operation{Op: "x", Key: proposal.Key, Kind: "manifest/epoch"})
		must.False(t, result.Changed)
		var accepted proposal.Accepted
		must.NoError(t, json.Unmarshal(result.Body, &accepted))
		return accepted.Revision
	}
	must.Eq(t, 0, readRevision())
	for i := range 20 {
		version := s.read().Version
		result := s.proposeOnVersion(proposal.ItemPatch, version, fmt.Sprintf(`{"release":%d}`, version+uint64(i%3)))
		must.Eq(t, i%3 == 0, result.Failure != nil)
		must.Eq(t, s.read().Revision, readRevision())
	}
	must.Eq(t, 13, readRevision())
}

func BenchmarkEpoch500(b *testing.B) {
	s := &fixture{value: operation.Encode(operation.Value{State: operation.Encode(proposal.State{Revision: 1, Document: operation.Encode(strings.Repeat("x", 100_000))})}), revision: 1}
	for b.Loop() {
		if result := proposal.Handlers().Apply(proposer.Context{Revision: s.revision}, s.value, proposer.Operation{Key: proposal.Key, Kind: "manifest/epoch"}); result.Failure != nil {
			b.Fatal(result.Failure)
		}
	}
}

func BenchmarkChange500(b *testing.B) {
	s := &fixture{}
	var routes []string
	for i := range 500 {
		routes = append(routes, fmt.Sprintf(`"r-%07x":{"host":"jepu%d.example","pathStart":"/lepu%d/ny%d/","repeat":"repeatable","timeoutMs":500,"aimMs":200,"rank":2,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"tries":2}`, i*7919, i%9, i, i))
	}
	if result := s.proposeOnVersion(proposal.FullConfig, 0, `{"release":1,"services":{"a":{},"b":{}},"ways":{`+strings.Join(routes, ",")+`}}`); result.Failure != nil {
		b.Fatal(result.Failure)
	}
	n := uint64(1)
	for b.Loop() {
		n++
		if result := s.proposeOnVersion(proposal.ItemPatch, n-1, fmt.Sprintf(`{"release":%d,"remove":{"ways":["r-0001eef"]}}`, n)); result.Failure != nil {
			b.Fatal(result.Failure)
		}
	}
}
