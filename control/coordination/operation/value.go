package operation

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// maxPastOperations bounds the past operations that a key remembers.
const maxPastOperations = 64

// PastOperation is one past operation with its response.
type PastOperation struct {
	Op   ident.OperationID `json:"op"`
	Body json.RawMessage   `json:"body,omitempty"`
}

// Value is the stored value of every control key. Invariant: the effects of PastOperations
// are in State.
type Value struct {
	State          json.RawMessage `json:"state,omitempty"`
	PastOperations []PastOperation `json:"ops,omitempty"`
}

// decodedValue is a value with the decoded form of its state, which a proposer retains
// between operations. Invariant: it is not changed once a proposer retains it.
type decodedValue struct {
	value Value
	state any
}

// decodeValue returns the retained form of a value if there is one, else it decodes the value.
func decodeValue(retained any, value json.RawMessage) (*decodedValue, *failure.Error) {
	if decoded, ok := retained.(*decodedValue); ok {
		return decoded, nil
	}
	decoded := &decodedValue{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &decoded.value); err != nil {
			return nil, failure.New(failure.Corrupted, "value: %v", err)
		}
	}
	return decoded, nil
}

// find returns the past operation with an identifier.
func (v Value) find(id ident.OperationID) (PastOperation, bool) {
	for _, past := range v.PastOperations {
		if past.Op == id {
			return past, true
		}
	}
	return PastOperation{}, false
}

// remember returns the value with an operation added to the past ones; the slice of v stays
// as it is.
func (v Value) remember(past PastOperation) Value {
	v.PastOperations = append(slices.Clip(v.PastOperations), past)
	if len(v.PastOperations) > maxPastOperations {
		v.PastOperations = v.PastOperations[len(v.PastOperations)-maxPastOperations:]
	}
	return v
}

// encode returns what json.Marshal does. A value without past operations is composed by hand:
// its state is JSON already and need not be scanned again.
func (v Value) encode() (json.RawMessage, error) {
	if len(v.PastOperations) > 0 {
		return json.Marshal(v)
	}
	const open, end = `{"state":`, `}`
	encoded := make(json.RawMessage, 0, len(open)+len(v.State)+len(end))
	encoded = append(encoded, open...)
	encoded = append(encoded, v.State...)
	return append(encoded, end...), nil
}

// State returns the state within a stored value, nil if there is none.
func State(value json.RawMessage) json.RawMessage {
	var current Value
	if len(value) == 0 || json.Unmarshal(value, &current) != nil {
		return nil
	}
	return current.State
}
