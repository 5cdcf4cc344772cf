package operation_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// A repeated operation is executed once. A repeatable operation is executed again and is not stored
// as a past operation. The results are the same with and without the retained decoded form.
func TestRepeats(t *testing.T) {
	for _, keepDecoded := range []bool{false, true} {
		var value json.RawMessage
		var decoded any
		for i, step := range []struct {
			op         ident.OperationID
			repeatable bool
			want       string
		}{{"a", false, "1"}, {"a", false, "1"}, {"b", true, "2"}, {"b", true, "3"}, {"a", false, "1"}, {"c", false, "4"}, {"c", false, "4"}} {
			op := proposer.Operation{Op: step.op, Kind: "number/next", Repeatable: step.repeatable}
			result := sequence.Handlers().Apply(proposer.Context{Decoded: decoded}, value, op)
			must.Nil(t, result.Failure)
			must.Eq(t, `{"number":`+step.want+`}`, string(result.Body), must.Sprint(i))
			if result.Changed {
				value = result.Value
			}
			if keepDecoded {
				decoded = result.Decoded
			}
		}
		must.Eq(t, `{"number":4}`, string(operation.State(value)))
		must.False(t, strings.Contains(string(value), `"b"`))
		must.True(t, json.Valid(value))
	}
}
