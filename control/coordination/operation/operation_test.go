package operation_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/number"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
)

// A repeated operation acts once and a loose one again, of which nothing is stored; with
// and without the form kept from the operation before, the same is stored and said.
func TestRepeats(t *testing.T) {
	for _, keep := range []bool{false, true} {
		var value json.RawMessage
		var kept any
		for i, x := range []struct {
			op    ident.Op
			loose bool
			want  string
		}{{"a", false, "1"}, {"a", false, "1"}, {"b", true, "2"}, {"b", true, "3"}, {"a", false, "1"}, {"c", false, "4"}, {"c", false, "4"}} {
			v := number.Handlers().Apply(proposer.Context{Decoded: kept}, value, proposer.Operation{Op: x.op, Kind: "number/next", Repeatable: x.loose})
			must.Nil(t, v.Failure)
			must.Eq(t, `{"number":`+x.want+`}`, string(v.Body), must.Sprint(i))
			if v.Changed {
				value = v.Value
			}
			if keep {
				kept = v.Decoded
			}
		}
		must.Eq(t, `{"number":4}`, string(operation.State(value)))
		must.False(t, strings.Contains(string(value), `"b"`))
		must.True(t, json.Valid(value))
	}
}
