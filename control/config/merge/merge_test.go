package merge_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/config/merge"
)

// Checks the examples of RFC 7396, appendix A, in which both documents are objects.
func TestExamplesOfTheRFC(t *testing.T) {
	for _, example := range [][3]string{
		{`{"a":"b"}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"b"}`, `{"b":"c"}`, `{"a":"b","b":"c"}`},
		{`{"a":"b"}`, `{"a":null}`, `{}`},
		{`{"a":"b","b":"c"}`, `{"a":null}`, `{"b":"c"}`},
		{`{"a":["b"]}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"c"}`, `{"a":["b"]}`, `{"a":["b"]}`},
		{`{"a":{"b":"c"}}`, `{"a":{"b":"d","c":null}}`, `{"a":{"b":"d"}}`},
		{`{"a":[{"b":"c"}]}`, `{"a":[1]}`, `{"a":[1]}`},
		{`{"e":null}`, `{"a":1}`, `{"a":1,"e":null}`},
		{`{}`, `{"a":{"bb":{"ccc":null}}}`, `{"a":{"bb":{}}}`},
	} {
		base, overlay := parse(t, example[0]), parse(t, example[1])
		merged, err := json.Marshal(merge.Merge(base, overlay))
		must.NoError(t, err)
		must.Eq(t, example[2], string(merged), must.Sprint(example))
		must.Eq(t, parse(t, example[0]), base, must.Sprint("the base was changed"))
		must.Eq(t, parse(t, example[1]), overlay, must.Sprint("the overlay was changed"))
	}
}

func parse(t *testing.T, raw string) (document map[string]any) {
	t.Helper()
	must.NoError(t, json.Unmarshal([]byte(raw), &document))
	return document
}
