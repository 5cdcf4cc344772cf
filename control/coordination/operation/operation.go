// Package operation is the state machine under every control key: it finds the handler of an
// operation by its kind and makes repeats harmless.
package operation

import (
	"encoding/json"
	"slices"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
)

// opsMax is how many past operations a key remembers.
const maxPast = 64

// Past is one past operation with its response.
type Past struct {
	Op   ident.Op        `json:"op"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Value is the value of every control key. Invariant: Past holds only operations
// whose effect is in State.
type Value struct {
	State json.RawMessage `json:"state,omitempty"`
	Past  []Past          `json:"ops,omitempty"`
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

// openValue is a value with the decoded form of its state, as kept between operations. Invariant:
// neither it nor its Past are changed once they are kept.
type openValue struct {
	value   Value
	decoded any
}

// Handler serves one kind of operation.
type Handler func(context proposer.Context, state, args json.RawMessage) Result

// Table is a table of handlers.
type Table map[string]Handler

// servedAnew lists the operations whose response says how long from now on something holds. A repeat
// of one is served anew: the old response would be counted from the repeat on.
var servedAnew = map[string]bool{"lock/claim": true}

// stateless lists the operations that need nothing of the value but its revision: it may be large,
// and they come often.
var stateless = map[string]bool{"manifest/epoch": true}

// selfIdentifying lists the operations that tell a repeat by what they carry: no operation of theirs is
// remembered, and a repeat is served anew.
var selfIdentifying = map[string]bool{"group/put": true, "share/enter": true}

// Apply serves an operation.
func (b Table) Apply(context proposer.Context, value json.RawMessage, op proposer.Operation) proposer.Result {
	handle, ok := b[op.Kind]
	if !ok {
		return proposer.Result{Failure: failure.New(failure.Malformed, "no deed %q", op.Kind)}
	}
	if stateless[op.Kind] {
		result := handle(context, nil, op.Args)
		return proposer.Result{Body: result.Body, Failure: result.Failure, Decoded: context.Decoded}
	}
	held, ok := context.Decoded.(*openValue)
	if !ok {
		held = &openValue{}
		if len(value) > 0 {
			if err := json.Unmarshal(value, &held.value); err != nil {
				return proposer.Result{Failure: failure.New(failure.Damaged, "page: %v", err)}
			}
		}
	}
	current := held.value
	remember := op.Op != "" && !op.Repeatable && !servedAnew[op.Kind] && !selfIdentifying[op.Kind]
	if remember {
		for _, past := range current.Past {
			if past.Op == op.Op {
				return proposer.Result{Body: past.Body, Decoded: held}
			}
		}
	}
	context.Decoded = held.decoded
	result := handle(context, current.State, op.Args)
	if result.Decoded == nil && result.State == nil {
		result.Decoded = held.decoded
	}
	if result.Failure != nil || result.State == nil {
		return proposer.Result{Body: result.Body, Failure: result.Failure, Decoded: &openValue{held.value, result.Decoded}}
	}
	current.State = result.State
	if remember {
		current.Past = append(slices.Clip(current.Past), Past{op.Op, result.Body})
		if len(current.Past) > maxPast {
			current.Past = current.Past[len(current.Past)-maxPast:]
		}
	}
	out, err := current.encode()
	if err != nil {
		return proposer.Result{Failure: failure.New(failure.Malformed, "page: %v", err)}
	}
	return proposer.Result{Value: out, Changed: true, Body: result.Body, Decoded: &openValue{current, result.Decoded}}
}

// encode is json.Marshal but for a value of state alone, which needs no second pass over a
// state that is JSON already.
func (p Value) encode() (json.RawMessage, error) {
	if len(p.Past) > 0 {
		return json.Marshal(p)
	}
	out := make(json.RawMessage, 0, len(p.State)+12)
	return append(append(append(out, `{"state":`...), p.State...), '}'), nil
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
func Decode(state, args json.RawMessage, s, a any) *failure.Error {
	if len(state) > 0 {
		if err := json.Unmarshal(state, s); err != nil {
			return failure.New(failure.Damaged, "state: %v", err)
		}
	}
	if len(args) > 0 {
		if err := json.Unmarshal(args, a); err != nil {
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
func Rejected(d *failure.Error) Result { return Result{Failure: d} }
