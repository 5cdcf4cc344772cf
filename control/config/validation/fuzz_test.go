package validation_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/merge"
	"cottonarch.example/cottonarch/control/config/patch"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/mesh/routetable"
)

// documentSeeds are manifests, some of them with faults.
var documentSeeds = []string{
	`{}`, `null`, `[]`, `{"release":1}x`, `{"release":1e400}`, `{"release":-0.0,"services":{}}`,
	`{"release":7,"limits":{"headBytes":16384,"bodyBytes":67108864,"headMs":3000,"idleMs":15000},"services":{"a":{"connections":100,"checkPath":"/health"},"b":{}},
"ways":{"v":{"host":"v.example","pathStart":"/x/","service":"a","repeat":"one_shot","rank":1,"aimMs":250,"timeoutMs":600,"tries":2},
"w":{"host":"*","split":[{"service":"a","weight":90},{"service":"b","weight":10}],"repeat":"repeatable"}}}`,
	`{"services":{"a":{"allowance":{"part":0.1,"callers":{"x":2}}}},"ways":{"w":{"host":"h:80","service":"a","split":{"b":50},"urgent":true}}}`,
	`{"services":{"a":{},"a":{}},"ways":{"w":{"host":"H.","service":"a","unknown":{"kept":[1,2,3]}}}}`,
	`{"services":{"é":{}},"ways":{"<w>":{"host":"h","service":"é","timeoutMs":0.0000001}}}`,
}

// stored is a tree as the control key keeps it and every reader gets it back.
func stored(t *testing.T, tree map[string]any) map[string]any {
	raw, err := json.Marshal(tree)
	must.NoError(t, err)
	back, d := decode.Parse(raw)
	must.Nil(t, d)
	again, err := json.Marshal(back)
	must.NoError(t, err)
	must.Eq(t, string(raw), string(again))
	return back
}

// Whatever bytes an operator sends: they are read or refused, what is read stands the same
// after it was stored, what the strict check takes the loose one takes as the same, and a
// manifest that was accepted is accepted again, as the same, from the store.
func FuzzManifest(f *testing.F) {
	for _, seed := range documentSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		tree, d := decode.Parse(raw)
		if d != nil {
			return
		}
		back := stored(t, tree)
		strictConfig, strictErr := validation.Strict(tree)
		lenientConfig, lenientErr := validation.Lenient(tree)
		must.Eq(t, lenientConfig == nil, lenientErr != nil)
		if strictErr == nil {
			must.Nil(t, lenientErr)
			must.Eq(t, strictConfig, lenientConfig)
		}
		again, d := validation.Lenient(back)
		must.Eq(t, lenientErr == nil, d == nil)
		must.Eq(t, lenientConfig, again)
		if lenientErr == nil {
			routetable.New(lenientConfig)
		}
	})
}

// Whatever an operator lays over a manifest: a change or a part that is laid over twice
// does what it did the first time, changes neither of its inputs, and leaves a tree that
// can be stored.
func FuzzChange(f *testing.F) {
	for _, seed := range documentSeeds {
		for _, part := range []string{`{"release":9,"upsert":{"services":{"c":{}}},"remove":{"ways":["w"]}}`, `{"ways":{"w":null},"services":{"a":{"x":{"y":null}}}}`,
			`{"upsert":{"ways":[]},"remove":{"ways":{}}}`, `{"remove":{"release":["x"]},"upsert":{"limits":{"headBytes":1}}}`} {
			f.Add([]byte(seed), []byte(part))
		}
	}
	f.Fuzz(func(t *testing.T, raw, over []byte) {
		base, d := decode.Parse(raw)
		if d != nil {
			return
		}
		part, d := decode.Parse(over)
		if d != nil {
			return
		}
		before := stored(t, base)
		stored(t, merge.Merge(base, part))
		must.Eq(t, stored(t, merge.Merge(base, part)), stored(t, merge.Merge(merge.Merge(base, part), part)))
		if next, d := patch.Apply(base, part, true); d == nil {
			once := stored(t, next)
			twice, d := patch.Apply(next, part, true)
			must.Nil(t, d)
			must.Eq(t, once, stored(t, twice))
		}
		must.Eq(t, before, stored(t, base))
	})
}
