package check_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/change"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/merge"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/mesh/way"
)

// wholeSeeds are manifests, some of them with faults.
var wholeSeeds = []string{
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
	back, d := walk.Parse(raw)
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
	for _, seed := range wholeSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		tree, d := walk.Parse(raw)
		if d != nil {
			return
		}
		back := stored(t, tree)
		strict, strictFaults := check.Read(tree)
		loose, looseFaults := check.Loose(tree)
		must.Eq(t, loose == nil, looseFaults != nil)
		if strictFaults == nil {
			must.Nil(t, looseFaults)
			must.Eq(t, strict, loose)
		}
		again, d := check.Loose(back)
		must.Eq(t, looseFaults == nil, d == nil)
		must.Eq(t, loose, again)
		if looseFaults == nil {
			way.Build(loose)
		}
	})
}

// Whatever an operator lays over a manifest: a change or a part that is laid over twice
// does what it did the first time, changes neither of its inputs, and leaves a tree that
// can be stored.
func FuzzChange(f *testing.F) {
	for _, seed := range wholeSeeds {
		for _, part := range []string{`{"release":9,"upsert":{"services":{"c":{}}},"remove":{"ways":["w"]}}`, `{"ways":{"w":null},"services":{"a":{"x":{"y":null}}}}`,
			`{"upsert":{"ways":[]},"remove":{"ways":{}}}`, `{"remove":{"release":["x"]},"upsert":{"limits":{"headBytes":1}}}`} {
			f.Add([]byte(seed), []byte(part))
		}
	}
	f.Fuzz(func(t *testing.T, raw, over []byte) {
		base, d := walk.Parse(raw)
		if d != nil {
			return
		}
		part, d := walk.Parse(over)
		if d != nil {
			return
		}
		before := stored(t, base)
		stored(t, merge.Merge(base, part))
		must.Eq(t, stored(t, merge.Merge(base, part)), stored(t, merge.Merge(merge.Merge(base, part), part)))
		if next, d := change.Apply(base, part, true); d == nil {
			once := stored(t, next)
			twice, d := change.Apply(next, part, true)
			must.Nil(t, d)
			must.Eq(t, once, stored(t, twice))
		}
		must.Eq(t, before, stored(t, base))
	})
}
