package operation

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// maxPastOperations is the number of past operations that are stored with a key to detect repeats.
const maxPastOperations = 64

// PastOperation is the identifier of an executed operation with its response.
type PastOperation struct {
	Op   ident.OperationID `json:"op"`
	Body json.RawMessage   `json:"body,omitempty"`
}

// Value is the stored value of a control key. Invariant: State includes the effects of all
// PastOperations.
type Value struct {
	State          json.RawMessage `json:"state,omitempty"`
	PastOperations []PastOperation `json:"ops,omitempty"`
}

// decodedValue is a value with the decoded form of its state. A proposer retains the decoded value
// between operations. Invariant: a retained decoded value is immutable.
type decodedValue struct {
	value Value
	state any
}

// decodeValue returns the retained decoded value if present. Otherwise it decodes value.
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

// findPastOperation returns the past operation with the given identifier.
func (v Value) findPastOperation(id ident.OperationID) (PastOperation, bool) {
	for _, past := range v.PastOperations {
		if past.Op == id {
			return past, true
		}
	}
	return PastOperation{}, false
}

// withPastOperation returns a copy of the value with a past operation appended. The slice of v is
// not modified.
func (v Value) withPastOperation(past PastOperation) Value {
	v.PastOperations = append(slices.Clip(v.PastOperations), past)
	if len(v.PastOperations) > maxPastOperations {
		v.PastOperations = v.PastOperations[len(v.PastOperations)-maxPastOperations:]
	}
	return v
}

// encode returns the same bytes as json.Marshal. A value without past operations is concatenated
// directly, because its state is JSON already and does not need to be scanned again.
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

// State returns the state within a stored value, or nil if the value is empty or cannot be decoded.
func State(value json.RawMessage) json.RawMessage {
	var current Value
	if len(value) == 0 || json.Unmarshal(value, &current) != nil {
		return nil
	}
	return current.State
}
