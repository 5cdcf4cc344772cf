package quorum_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

var (
	ownBallot   = ident.Ballot{Epoch: 3, Proposer: "a"}
	otherBallot = ident.Ballot{Epoch: 2, Proposer: "b"}
)

// roundTrip encodes a patch as JSON and returns the decoded patch.
func roundTrip(t *testing.T, p *quorum.Patch) *quorum.Patch {
	raw, err := json.Marshal(p)
	must.NoError(t, err)
	out := &quorum.Patch{}
	must.NoError(t, json.Unmarshal(raw, out))
	return out
}

// A patch reproduces the next value byte for byte from its base, wherever the two values differ and
// whichever characters lie at the boundaries of the difference. Middle, the text of the patch, is at
// most half as long as the next value.
func TestPatchReproducesValue(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	parts := []string{"a", `"`, `\`, "ä", "日本", "🚀", "<&>", "\u2028", "aaaa", ",", "\x00", "\xff"}
	text := func(n int) string {
		var b strings.Builder
		for range n {
			b.WriteString(parts[rng.IntN(len(parts))])
		}
		return b.String()
	}
	patches, withoutPatch := 0, 0
	for i := range 20000 {
		baseValue := text(rng.IntN(900))
		from, to := rng.IntN(len(baseValue)+1), rng.IntN(len(baseValue)+1)
		if from > to {
			from, to = to, from
		}
		next := baseValue[:from] + text(rng.IntN(30)) + baseValue[to:]
		base := quorum.Record{Promised: ownBallot, Accepted: ownBallot, Revision: 7, Value: []byte(baseValue)}
		if i%2 == 0 {
			base.Accepted = otherBallot
		}
		p := quorum.Diff(base, ownBallot, []byte(next))
		if p == nil {
			withoutPatch++
			continue
		}
		patches++
		must.LessEq(t, len(next)/2, len(p.Middle))
		got, ok := roundTrip(t, p).Apply(base, ownBallot)
		must.True(t, ok)
		must.Eq(t, next, string(got))
	}
	must.Positive(t, withoutPatch)
	must.Greater(t, 2000, patches)
}

// If two values differ in several places, for example in counts at the front and in a history at the
// end, the patch reproduces the next value byte for byte, and the size of the patch grows only with
// the number of differences.
func TestPatchInPiecesReproducesValue(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	parts := []string{"ä", "日本", "🚀", "way", `"host":"h.example"`, "500", ","}
	patchesInPieces := 0
	for i := range 300 {
		var items []string
		for j := range 300 {
			items = append(
				items,
				fmt.Sprintf(`"r-%x":{"host":"h%d.example","timeoutMs":500,"hue":"%s"}`, rng.Uint32(), j, parts[rng.IntN(len(parts))]),
			)
		}
		baseValue := []byte(strings.Join(items, ","))
		edits := 1 + rng.IntN(6)
		for range edits {
			n := rng.IntN(len(items))
			items[n] = fmt.Sprintf(`"n-%x":%q`, rng.Uint32(), parts[rng.IntN(len(parts))])
		}
		next := []byte(strings.Join(items, ","))
		base := quorum.Record{Promised: ownBallot, Accepted: ownBallot, Revision: 7, Value: baseValue}
		p := quorum.Diff(base, ownBallot, next)
		must.NotNil(t, p, must.Sprint(i))
		got, ok := roundTrip(t, p).Apply(base, ownBallot)
		must.True(t, ok)
		must.Eq(t, string(next), string(got))
		if p.Pieces == nil {
			continue
		}
		patchesInPieces++
		must.Negative(t, p.Prefix)
		raw, err := json.Marshal(p)
		must.NoError(t, err)
		must.Less(t, 200+400*edits, len(raw), must.Sprint(i))
		for name, edit := range map[string]func(*quorum.Patch){
			"piece beyond end of base": func(p *quorum.Patch) { p.Pieces[0].Offset = len(baseValue) - p.Pieces[0].Length + 1 },
			"negative piece offset":    func(p *quorum.Patch) { p.Pieces[0].Offset = -1 },
			"negative piece length":    func(p *quorum.Patch) { p.Pieces[0].Length = -1 },
			"piece longer than base":   func(p *quorum.Patch) { p.Pieces[0].Length = 1 << 62 },
			"shifted piece":            func(p *quorum.Patch) { p.Pieces[0].Offset++ },
			"pieces without marker":    func(p *quorum.Patch) { p.Prefix = 0 },
		} {
			altered := roundTrip(t, p)
			edit(altered)
			_, ok := altered.Apply(base, ownBallot)
			must.False(t, ok, must.Sprint(name))
		}
	}
	must.Greater(t, 200, patchesInPieces)
}

// A patch is not applied to any record but its base.
func TestPatchAppliesOnlyToItsBase(t *testing.T) {
	long := strings.Repeat("0123456789", 100)
	base := quorum.Record{Promised: ownBallot, Accepted: ownBallot, Revision: 7, Value: []byte(long)}
	next := []byte(long[:500] + "x" + long[500:])
	for name, edit := range map[string]func(*quorum.Record, *quorum.Patch){
		"an older revision":       func(record *quorum.Record, _ *quorum.Patch) { record.Revision-- },
		"a newer revision":        func(record *quorum.Record, _ *quorum.Patch) { record.Revision++ },
		"another ballot":          func(record *quorum.Record, _ *quorum.Patch) { record.Accepted = otherBallot },
		"no record":               func(record *quorum.Record, _ *quorum.Patch) { *record = quorum.Record{} },
		"one byte changed":        func(record *quorum.Record, _ *quorum.Patch) { record.Value = append([]byte("1"), record.Value[1:]...) },
		"a shorter value":         func(record *quorum.Record, _ *quorum.Patch) { record.Value = record.Value[:20] },
		"prefix longer by one":    func(_ *quorum.Record, p *quorum.Patch) { p.Prefix++ },
		"negative prefix":         func(_ *quorum.Record, p *quorum.Patch) { p.Prefix = -1 },
		"negative suffix":         func(_ *quorum.Record, p *quorum.Patch) { p.Suffix = -1 },
		"suffix longer than base": func(_ *quorum.Record, p *quorum.Patch) { p.Suffix = 1 << 62 },
		"another base ballot":     func(_ *quorum.Record, p *quorum.Patch) { p.BaseBallot = &otherBallot },
	} {
		record, p := base, quorum.Diff(base, ownBallot, next)
		must.NotNil(t, p)
		edit(&record, p)
		_, ok := p.Apply(record, ownBallot)
		must.False(t, ok, must.Sprint(name))
	}
	_, ok := (*quorum.Patch)(nil).Apply(base, ownBallot)
	must.False(t, ok)
	must.Nil(t, quorum.Diff(base, ownBallot, []byte(strings.Repeat("x", 1000))), must.Sprint("a value with nothing in common with the base"))
	must.Nil(t, quorum.Diff(base, ownBallot, []byte("short")), must.Sprint("a short value"))
}

// Measures the JSON encoding and decoding of a batch with one request whose value of 10 KB is sent
// whole or as a patch.
func BenchmarkBatch(b *testing.B) {
	var list []string
	for i := range 300 {
		list = append(list, fmt.Sprintf("[%q,%q,%d]", fmt.Sprintf("%x", i), fmt.Sprintf("%016x", i*0x9e3779b97f4a7c1), i))
	}
	value := []byte(`{"state":{"f":1,"l":[` + strings.Join(list, ",") + `],"n":300}}`)
	next := []byte(strings.Replace(string(value), `],"n":300`, `,["a1","0123456789abcdef",301]],"n":301`, 1))
	base := quorum.Record{Accepted: ownBallot, Revision: 7, Value: value}
	request := quorum.Request{Kind: quorum.Accept, Round: 9, Membership: 1, Key: "group/g.", Ballot: ownBallot, Revision: 8}
	for _, encoding := range []string{"whole", "patch"} {
		b.Run(encoding, func(b *testing.B) {
			size := 0
			for b.Loop() {
				sent := request
				if sent.Value = next; encoding == "patch" {
					sent.Value, sent.Patch = nil, quorum.Diff(base, ownBallot, next)
				}
				raw, _ := json.Marshal([]quorum.Request{sent})
				size = len(raw)
				var back []quorum.Request
				if json.Unmarshal(raw, &back) != nil {
					b.Fatal("batch is not valid JSON")
				}
				if encoding == "patch" {
					if _, ok := back[0].Patch.Apply(base, ownBallot); !ok {
						b.Fatal("patch does not apply to its base")
					}
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// Measures Diff for a value of 100 KB that differs at the front, in the middle and at the end.
func BenchmarkDiffInPieces(b *testing.B) {
	var list []string
	for i := range 1000 {
		list = append(
			list,
			fmt.Sprintf(`"r-%016x":{"host":"jepu%d.example","pathStart":"/lepu%d/","timeoutMs":500}`, uint64(i)*0x9e3779b97f4a7c15, i%9, i),
		)
	}
	value := []byte(`{"n":300,"l":{` + strings.Join(list, ",") + `},"end":300}`)
	next := []byte(strings.Replace(strings.ReplaceAll(string(value), `:300`, `:301`), "jepu5", "jepu7", 1))
	base := quorum.Record{Accepted: ownBallot, Revision: 7, Value: value}
	for b.Loop() {
		if p := quorum.Diff(base, ownBallot, next); p == nil || p.Pieces == nil {
			b.Fatal("Diff returned no patch in pieces")
		}
	}
	b.ReportMetric(float64(len(value)), "bytes")
}
