// Package operation is the state machine under every control key: it finds the handler of an
// operation by its kind and makes repeats harmless.
package operation

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// opsMax is how many past operations a key remembers.
const maxPastOperations = 64

// PastOperation is one past operation with its response.
type PastOperation struct {
	Op   ident.OperationID `json:"op"`
	Body json.RawMessage   `json:"body,omitempty"`
}

// Value is the value of every control key. Invariant: Past holds only operations
// whose effect is in State.
type Value struct {
	State          json.RawMessage `json:"state,omitempty"`
	PastOperations []PastOperation `json:"ops,omitempty"`
}

// Result is what a handler makes of an operation. Invariants: State is new if and only if
// it is not nil, and is JSON without spaces; Decoded, when set, is the decoded form of the
// state that is then in force, which the next handler finds in its context.
type Result struct {
	State   json.RawMessage
	Body    json.RawMessage
	Failure *failure.Error
	Decoded any
}

// decodedValue is a value with the decoded form of its state, as kept between operations. Invariant:
// neither it nor its Past are changed once they are kept.
type decodedValue struct {
	value Value
	state any
}

// Handler serves one kind of operation.
type Handler func(context proposer.Context, state, args json.RawMessage) Result

// Table is a table of handlers.
type Table map[string]Handler

// executedAgain lists the operations whose response says how long from now on something holds. A repeat
// of one is served anew: the old response would be counted from the repeat on.
var executedAgain = map[string]bool{"lock/claim": true}

// stateless lists the operations that need nothing of the value but its revision: it may be large,
// and they come often.
var stateless = map[string]bool{"manifest/epoch": true}

// selfIdentifying lists the operations that tell a repeat by what they carry: no operation of theirs is
// remembered, and a repeat is served anew.
var selfIdentifying = map[string]bool{"group/put": true, "share/enter": true}

// Apply serves an operation.
func (t Table) Apply(context proposer.Context, value json.RawMessage, op proposer.Operation) proposer.Result {
	handler, ok := t[op.Kind]
	if !ok {
		return proposer.Result{Failure: failure.New(failure.Malformed, "no deed %q", op.Kind)}
	}
	if stateless[op.Kind] {
		result := handler(context, nil, op.Args)
		return proposer.Result{Body: result.Body, Failure: result.Failure, Decoded: context.Decoded}
	}
	current, ok := context.Decoded.(*decodedValue)
	if !ok {
		current = &decodedValue{}
		if len(value) > 0 {
			if err := json.Unmarshal(value, &current.value); err != nil {
				return proposer.Result{Failure: failure.New(failure.Damaged, "page: %v", err)}
			}
		}
	}
	next := current.value
	remember := op.Op != "" && !op.Repeatable && !executedAgain[op.Kind] && !selfIdentifying[op.Kind]
	if remember {
		for _, past := range next.PastOperations {
			if past.Op == op.Op {
				return proposer.Result{Body: past.Body, Decoded: current}
			}
		}
	}
	context.Decoded = current.state
	result := handler(context, next.State, op.Args)
	if result.Decoded == nil && result.State == nil {
		result.Decoded = current.state
	}
	if result.Failure != nil || result.State == nil {
		return proposer.Result{Body: result.Body, Failure: result.Failure, Decoded: &decodedValue{current.value, result.Decoded}}
	}
	next.State = result.State
	if remember {
		next.PastOperations = append(slices.Clip(next.PastOperations), PastOperation{op.Op, result.Body})
		if len(next.PastOperations) > maxPastOperations {
			next.PastOperations = next.PastOperations[len(next.PastOperations)-maxPastOperations:]
		}
	}
	out, err := next.encode()
	if err != nil {
		return proposer.Result{Failure: failure.New(failure.Malformed, "page: %v", err)}
	}
	return proposer.Result{Value: out, Changed: true, Body: result.Body, Decoded: &decodedValue{next, result.Decoded}}
}

// encode is json.Marshal but for a value of state alone, which needs no second pass over a
// state that is JSON already.
func (v Value) encode() (json.RawMessage, error) {
	if len(v.PastOperations) > 0 {
		return json.Marshal(v)
	}
	out := make(json.RawMessage, 0, len(v.State)+12)
	return append(append(append(out, `{"state":`...), v.State...), '}'), nil
}

// State reads the state out of a value.
func State(value json.RawMessage) json.RawMessage {
	var current Value
	if len(value) == 0 || json.Unmarshal(value, &current) != nil {
		return nil
	}
	return current.State
}

// Decode decodes state and args; an error says which was wrong.
func Decode(state, args json.RawMessage, stateInto, argsInto any) *failure.Error {
	if len(state) > 0 {
		if err := json.Unmarshal(state, stateInto); err != nil {
			return failure.New(failure.Damaged, "state: %v", err)
		}
	}
	if len(args) > 0 {
		if err := json.Unmarshal(args, argsInto); err != nil {
			return failure.New(failure.Malformed, "%v", err)
		}
	}
	return nil
}

// Encode encodes what cannot fail to encode.
func Encode(v any) json.RawMessage {
	out, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return out
}

// Rejected makes a result of an error.
func Rejected(err *failure.Error) Result { return Result{Failure: err} }
