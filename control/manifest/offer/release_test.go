package offer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/chain"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// build offers on a base release, as the users' platform does.
func (s *state) build(kind offer.Kind, base uint64, body string) proposer.Result {
	v := offer.Handlers().Apply(proposer.Context{Revision: s.rev}, s.value, proposer.Operation{Key: offer.Key, Kind: "manifest/offer",
		Args: operation.Encode(offer.Args{Kind: kind, BaseRelease: &base, Loose: true, Body: json.RawMessage(body)})})
	if v.Changed {
		s.value = v.Value
		s.rev++
	}
	return v
}

func whole(release int, extra string) string {
	return fmt.Sprintf(`{"release":%d,"services":{"a":{},"b":{}},"ways":{"v":{"host":"v","service":"a"},"w":{"host":"h","service":"a"}}%s}`, release, extra)
}

func begun(t *testing.T) *state {
	s := &state{}
	must.Nil(t, s.build(offer.Whole, 0, whole(7, "")).Failure)
	return s
}

type bid struct {
	kind offer.Kind
	base uint64
	body string
}

// All orders of five offers, of which some build on the newest release, some are repeats
// and some build on others: of two different changes on one base one is taken, a repeat
// of a taken one is told the epoch it was given, and what was turned away leaves no trace.
func TestOffersOnOneBase(t *testing.T) {
	bids := []bid{
		{offer.Whole, 7, whole(9, `,"x":"A"`)}, {offer.Whole, 7, whole(9, `,"x":"B"`)},
		{offer.Change, 7, `{"release":8,"upsert":{"services":{"C":{}}}}`},
		{offer.Whole, 9, whole(11, `,"x":"D"`)}, {offer.Change, 8, `{"release":9,"upsert":{"services":{"E":{}}}}`},
	}
	var orders func(left []int, then func([]int))
	orders = func(left []int, then func([]int)) {
		if len(left) == 0 {
			then(nil)
		}
		for i, x := range left {
			rest := append(append([]int{}, left[:i]...), left[i+1:]...)
			orders(rest, func(o []int) { then(append([]int{x}, o...)) })
		}
	}
	n := 0
	orders([]int{0, 1, 2, 3, 4}, func(order []int) {
		n++
		s, won, now := begun(t), map[int]string{}, uint64(7)
		for round := range 2 { // every offer once, then every one again
			for _, i := range order {
				b, before := bids[i], string(s.value)
				v := s.build(b.kind, b.base, b.body)
				if past, ok := won[i]; ok {
					must.Nil(t, v.Failure)
					must.Eq(t, past, string(v.Body))
					must.Eq(t, before, string(s.value))
					continue
				}
				if b.base != now {
					must.NotNil(t, v.Failure)
					must.Eq(t, failure.Conflict, v.Failure.Kind)
					must.Eq(t, failure.NotExecuted, v.Failure.Outcome)
					must.Eq(t, before, string(s.value))
					continue
				}
				must.Nil(t, v.Failure, must.Sprint(order, round, i))
				var yes offer.Yes
				must.NoError(t, json.Unmarshal(v.Body, &yes))
				must.Eq(t, offer.Yes{Epoch: s.read().Epoch, Release: s.read().Release}, yes)
				now = s.read().Release
				must.Greater(t, b.base, now)
				won[i] = string(v.Body)
			}
		}
		of := map[uint64]int{}
		for i := range won {
			of[bids[i].base]++
		}
		for base, n := range of {
			must.Eq(t, 1, n, must.Sprintf("base %d, order %v", base, order))
		}
	})
	must.Eq(t, 120, n)
}

// A whole manifest that is the newest one is a yes whatever the order of its fields and
// its base; the same release with another content is not.
func TestExactRepeat(t *testing.T) {
	s := begun(t)
	for _, base := range []uint64{0, 7, 3} {
		v := s.build(offer.Whole, base, `{"ways":{"w":{"service":"a","host":"h"},"v":{"host":"v","service":"a"}}, "services":{"b":{},"a":{}}, "release":7}`)
		must.Nil(t, v.Failure)
		must.Eq(t, `{"epoch":1,"release":7}`, string(v.Body), must.Sprint(base))
	}
	must.Eq(t, 1, s.rev)
	must.Eq(t, failure.Conflict, s.build(offer.Whole, 0, whole(7, `,"x":1`)).Failure.Kind)
	must.Eq(t, failure.Invalid, s.build(offer.Whole, 7, whole(7, `,"x":1`)).Failure.Kind)
	// Taken and then overtaken: a repeat is still a yes, and changes nothing.
	must.Nil(t, s.build(offer.Change, 7, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure)
	must.Nil(t, s.build(offer.Change, 8, `{"release":9,"remove":{"services":["c"]}}`).Failure)
	for _, b := range []bid{{offer.Whole, 0, whole(7, "")}, {offer.Change, 7, `{"upsert":{"services":{"c":{}}},"release":8}`}} {
		v := s.build(b.kind, b.base, b.body)
		must.Nil(t, v.Failure)
		must.False(t, v.Changed)
	}
	// The same change on another base, or as another kind, is another change.
	must.Eq(t, failure.Conflict, s.build(offer.Change, 6, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure.Kind)
	must.Eq(t, failure.Conflict, s.build(offer.Part, 7, `{"release":8,"upsert":{"services":{"c":{}}}}`).Failure.Kind)
	must.Eq(t, 9, s.read().Release)
	must.Eq(t, 3, s.rev)
}

// What was taken is remembered for a window of changes. Behind it a proposal is told that
// its fate is unknown, whether it was taken or not; a conflict would be a guess.
func TestMemoryOfTakenIsBounded(t *testing.T) {
	s := begun(t)
	for i := uint64(8); i < 8+300; i++ {
		must.Nil(t, s.build(offer.Change, i-1, fmt.Sprintf(`{"release":%d}`, i)).Failure)
	}
	must.Nil(t, s.build(offer.Change, 7+300-chain.Window, fmt.Sprintf(`{"release":%d}`, 8+300-chain.Window)).Failure)
	must.Eq(t, failure.Conflict, s.build(offer.Change, 7+300-chain.Window, fmt.Sprintf(`{"release":%d}`, 9+300-chain.Window)).Failure.Kind)
	for _, release := range []int{8, 9} {
		v := s.build(offer.Change, 7+299-chain.Window, fmt.Sprintf(`{"release":%d}`, release+299-chain.Window))
		must.Eq(t, failure.UnknownOutcome, v.Failure.Kind)
		must.Eq(t, failure.OutcomeUnknown, v.Failure.Outcome)
		must.False(t, v.Changed)
	}
	must.Eq(t, 301, s.rev)
}

// Every fault of a change or a whole manifest turns it away and leaves the newest alone.
func TestBadChanges(t *testing.T) {
	for _, b := range []bid{
		{offer.Whole, 7, whole(7, "")[:20]}, {offer.Whole, 7, whole(6, "")}, {offer.Whole, 7, whole(7, `,"x":1`)}, {offer.Whole, 7, strings.Replace(whole(8, ""), `"release":8,`, "", 1)},
		{offer.Whole, 7, whole(8, "") + "x"}, {offer.Whole, 7, strings.Replace(whole(8, ""), `"service":"a"`, `"service":"c"`, 1)},
		{offer.Whole, 7, `{"release":"8"}`}, {offer.Whole, 7, `{"release":8.5}`}, {offer.Whole, 7, `{"release":null}`},
		{offer.Change, 7, `{"upsert":{"services":{"c":{}}}}`}, {offer.Change, 7, `{"release":7,"upsert":{"services":{"c":{}}}}`}, {offer.Change, 7, `{"release":8`},
		{offer.Change, 7, `{"release":8,"upsert":[]}`}, {offer.Change, 7, `{"release":8,"upsert":{"ways":[]}}`}, {offer.Change, 7, `{"release":8,"remove":{"ways":"w"}}`}, {offer.Change, 7, `{"release":8,"remove":{"ways":[1]}}`},
		{offer.Change, 7, `{"release":8,"remove":{"services":["a"]}}`}, // ways go there
		{offer.Change, 7, `{"release":8,"upsert":{"ways":{"w":{"host":"h"}}}}`},
		{offer.Change, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"h","service":"a"}}}}`}, // as way w
		{offer.Change, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"c"}}}}`},
		{offer.Change, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"a","timeoutMs":0}}}}`},
		{offer.Change, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","service":"a","repeat":"thrice"}}}}`},
		{offer.Change, 7, `{"release":8,"upsert":{"ways":{"x":{"host":"x","split":[{"service":"a","weight":-1}]}}}}`},
		{"other", 7, `{"release":8}`},
	} {
		s := begun(t)
		before := string(s.value)
		v := s.build(b.kind, b.base, b.body)
		must.NotNil(t, v.Failure, must.Sprint(b))
		must.True(t, v.Failure.Kind == failure.Invalid || v.Failure.Kind == failure.Malformed, must.Sprint(b, v.Failure))
		must.Eq(t, failure.NotExecuted, v.Failure.Outcome)
		must.Eq(t, before, string(s.value))
	}
}

// A change puts items in whole, takes items away, passes over names that are not there,
// and leaves everything else as it was sent.
func TestChange(t *testing.T) {
	s := &state{}
	must.Nil(t, s.build(offer.Whole, 0, `{"release":1,"note":[1.50,null],"services":{"a":{"x":{"y":1e3}},"b":{}},"ways":{"v":{"host":"v","service":"a","tries":1},"w":{"host":"h","service":"b"}},"limits":{"headMs":5}}`).Failure)
	must.Nil(t, s.build(offer.Change, 1, `{"release":4,"other":1,"upsert":{"ways":{"v":{"host":"v","service":"a","hue":"<"},"new":{"host":"v","pathStart":"/n/","service":"a"}},"limits":{"idleMs":6}},"remove":{"ways":["w","none"],"services":["b"],"things":["t"]}}`).Failure)
	var got, want any
	must.NoError(t, json.Unmarshal(s.read().Manifest, &got))
	must.NoError(t, json.Unmarshal([]byte(`{"release":4,"note":[1.5,null],"services":{"a":{"x":{"y":1000}}},"ways":{"v":{"host":"v","service":"a","hue":"<"},"new":{"host":"v","pathStart":"/n/","service":"a"}},"limits":{"headMs":5,"idleMs":6}}`), &want))
	must.Eq(t, want, got)
	must.StrContains(t, string(s.read().Manifest), "1.50")
}

// A part on the own interface keeps what a loose manifest holds, its release too, and is
// looked at loosely; a release below the one in force is refused there as well.
func TestOwnInterfaceBesidesReleases(t *testing.T) {
	s := &state{}
	must.Nil(t, s.build(offer.Whole, 0, whole(7, `,"x":1`)).Failure)
	must.Nil(t, s.offer("1", `{"ways":{"w":{"service":"b"}}}`, true, nil).Failure)
	must.Eq(t, 7, s.read().Release)
	must.StrContains(t, string(s.read().Manifest), `"x":1`)
	must.NotNil(t, s.offer("2", `{"release":6}`, true, nil).Failure)
	must.NotNil(t, s.offer("3", whole(8, `,"x":1`), false, nil).Failure)
	must.Nil(t, s.offer("4", good, false, nil).Failure)
	must.Eq(t, 7, s.read().Release)
	must.Eq(t, ident.Epoch(3), s.read().Epoch)
	must.Eq(t, failure.Invalid, s.build(offer.Whole, 7, whole(7, "")).Failure.Kind)
	must.Nil(t, s.build(offer.Whole, 7, whole(8, "")).Failure)
}

// The epoch that is told is that of the newest manifest, after every offer of any fate.
func TestEpochIsThatOfTheNewest(t *testing.T) {
	s := &state{}
	tell := func() ident.Epoch {
		v := offer.Handlers().Apply(proposer.Context{Revision: s.rev}, s.value, proposer.Operation{Op: "x", Key: offer.Key, Kind: "manifest/epoch"})
		must.False(t, v.Changed)
		var yes offer.Yes
		must.NoError(t, json.Unmarshal(v.Body, &yes))
		return yes.Epoch
	}
	must.Eq(t, 0, tell())
	for i := range 20 {
		now := s.read().Release
		v := s.build(offer.Change, now, fmt.Sprintf(`{"release":%d}`, now+uint64(i%3)))
		must.Eq(t, i%3 == 0, v.Failure != nil)
		must.Eq(t, s.read().Epoch, tell())
	}
	must.Eq(t, 13, tell())
}

func BenchmarkEpoch500(b *testing.B) {
	s := &state{value: operation.Encode(operation.Value{State: operation.Encode(offer.Held{Epoch: 1, Manifest: operation.Encode(strings.Repeat("x", 100_000))})}), rev: 1}
	for b.Loop() {
		if v := offer.Handlers().Apply(proposer.Context{Revision: s.rev}, s.value, proposer.Operation{Key: offer.Key, Kind: "manifest/epoch"}); v.Failure != nil {
			b.Fatal(v.Failure)
		}
	}
}

func BenchmarkChange500(b *testing.B) {
	s := &state{}
	var ways []string
	for i := range 500 {
		ways = append(ways, fmt.Sprintf(`"r-%07x":{"host":"jepu%d.example","pathStart":"/lepu%d/ny%d/","repeat":"repeatable","timeoutMs":500,"aimMs":200,"rank":2,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"tries":2}`, i*7919, i%9, i, i))
	}
	if v := s.build(offer.Whole, 0, `{"release":1,"services":{"a":{},"b":{}},"ways":{`+strings.Join(ways, ",")+`}}`); v.Failure != nil {
		b.Fatal(v.Failure)
	}
	n := uint64(1)
	for b.Loop() {
		n++
		if v := s.build(offer.Change, n-1, fmt.Sprintf(`{"release":%d,"remove":{"ways":["r-0001eef"]}}`, n)); v.Failure != nil {
			b.Fatal(v.Failure)
		}
	}
}
