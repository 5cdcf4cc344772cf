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

// documentSeeds are configuration documents, some of which are invalid.
var documentSeeds = []string{
	`{}`, `null`, `[]`, `{"release":1}x`, `{"release":1e400}`, `{"release":-0.0,"services":{}}`,
	`{"release":7,"limits":{"headBytes":16384,"bodyBytes":67108864,"headMs":3000,"idleMs":15000},` +
		`"services":{"a":{"connections":100,"checkPath":"/health"},"b":{}},
"ways":{"v":{"host":"v.example","pathStart":"/x/","service":"a","repeat":"one_shot","rank":1,"aimMs":250,"timeoutMs":600,"tries":2},
"w":{"host":"*","split":[{"service":"a","weight":90},{"service":"b","weight":10}],"repeat":"repeatable"}}}`,
	`{"services":{"a":{"allowance":{"part":0.1,"callers":{"x":2}}}},` +
		`"ways":{"w":{"host":"h:80","service":"a","split":{"b":50},"urgent":true}}}`,
	`{"services":{"a":{},"a":{}},"ways":{"w":{"host":"H.","service":"a","unknown":{"kept":[1,2,3]}}}}`,
	`{"services":{"é":{}},"ways":{"<w>":{"host":"h","service":"é","timeoutMs":0.0000001}}}`,
}

// storeAndRead returns the document as readers of the control key get it, and checks that encoding
// the document again does not change it.
func storeAndRead(t *testing.T, document map[string]any) map[string]any {
	raw, err := json.Marshal(document)
	must.NoError(t, err)
	back, parseErr := decode.Parse(raw)
	must.Nil(t, parseErr)
	again, err := json.Marshal(back)
	must.NoError(t, err)
	must.Eq(t, string(raw), string(again))
	return back
}

// For any input from an operator: the input is accepted or rejected without a panic; a document
// reads the same after being stored; Lenient accepts every document that Strict accepts, with the
// same result; and an accepted configuration is accepted again from the store, with the same
// result.
func FuzzConfig(f *testing.F) {
	for _, seed := range documentSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		document, err := decode.Parse(raw)
		if err != nil {
			return
		}
		back := storeAndRead(t, document)
		strictConfig, strictErr := validation.Strict(document)
		lenientConfig, lenientErr := validation.Lenient(document)
		must.Eq(t, lenientConfig == nil, lenientErr != nil)
		if strictErr == nil {
			must.Nil(t, lenientErr)
			must.Eq(t, strictConfig, lenientConfig)
		}
		again, err := validation.Lenient(back)
		must.Eq(t, lenientErr == nil, err == nil)
		must.Eq(t, lenientConfig, again)
		if lenientErr == nil {
			routetable.New(lenientConfig)
		}
	})
}

// For any patch of any configuration: applying a merge patch or an item patch twice has the same
// effect as applying it once, does not change the inputs, and results in a document that can be
// stored.
func FuzzPatches(f *testing.F) {
	for _, seed := range documentSeeds {
		for _, itemPatch := range []string{
			`{"release":9,"upsert":{"services":{"c":{}}},"remove":{"ways":["w"]}}`,
			`{"ways":{"w":null},"services":{"a":{"x":{"y":null}}}}`,
			`{"upsert":{"ways":[]},"remove":{"ways":{}}}`,
			`{"remove":{"release":["x"]},"upsert":{"limits":{"headBytes":1}}}`,
		} {
			f.Add([]byte(seed), []byte(itemPatch))
		}
	}
	f.Fuzz(func(t *testing.T, raw, over []byte) {
		base, err := decode.Parse(raw)
		if err != nil {
			return
		}
		itemPatch, err := decode.Parse(over)
		if err != nil {
			return
		}
		before := storeAndRead(t, base)
		storeAndRead(t, merge.Merge(base, itemPatch))
		must.Eq(t, storeAndRead(t, merge.Merge(base, itemPatch)), storeAndRead(t, merge.Merge(merge.Merge(base, itemPatch), itemPatch)))
		if next, err := patch.Apply(base, itemPatch, true); err == nil {
			once := storeAndRead(t, next)
			twice, err := patch.Apply(next, itemPatch, true)
			must.Nil(t, err)
			must.Eq(t, once, storeAndRead(t, twice))
		}
		must.Eq(t, before, storeAndRead(t, base))
	})
}
