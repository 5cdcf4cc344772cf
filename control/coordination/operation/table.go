// Package operation is the state machine under every control key: it dispatches operations to
// their handlers by kind, and executes a repeated operation only once.
package operation

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Result is the result of a handler. Invariants: State is nil if the operation did not change
// the state, else the new state as JSON without spaces; Decoded, when set, is the decoded form
// of the state after the operation, which the next handler finds in its context.
type Result struct {
	State   json.RawMessage
	Body    json.RawMessage
	Failure *failure.Error
	Decoded any
}

// Rejected returns the result of an operation that was rejected.
func Rejected(err *failure.Error) Result { return Result{Failure: err} }

// Handler executes operations of one kind.
type Handler func(context proposer.Context, state, args json.RawMessage) Result

// Table maps the kinds of operations to their handlers.
type Table map[string]Handler

// The kinds of operations that Apply treats specially, in full, as the packages that own them
// import this one.
var (
	// executedAgain lists the kinds whose response says for how long from now on something
	// holds. A repeat is executed again, since its caller counts from the repeat.
	executedAgain = map[string]bool{"lock/claim": true}
	// stateless lists the kinds whose handlers use nothing but the revision of the value. They
	// are frequent and the value may be large, so it is not decoded for them.
	stateless = map[string]bool{"manifest/epoch": true}
	// selfIdentifying lists the kinds whose handlers recognise a repeat by its arguments. Their
	// operations are not remembered, and a repeat is executed again.
	selfIdentifying = map[string]bool{"group/put": true, "share/enter": true}
)

// Apply executes an operation on the value of its key. A repeat of a remembered operation
// returns the first response and changes nothing.
func (t Table) Apply(context proposer.Context, value json.RawMessage, op proposer.Operation) proposer.Result {
	handler, ok := t[op.Kind]
	if !ok {
		return proposer.Result{Failure: failure.New(failure.Malformed, "unknown operation %q", op.Kind)}
	}
	if stateless[op.Kind] {
		result := handler(context, nil, op.Args)
		return proposer.Result{Body: result.Body, Failure: result.Failure, Decoded: context.Decoded}
	}
	current, err := decodeValue(context.Decoded, value)
	if err != nil {
		return proposer.Result{Failure: err}
	}
	remember := op.Op != "" && !op.Repeatable && !executedAgain[op.Kind] && !selfIdentifying[op.Kind]
	if remember {
		if past, ok := current.value.find(op.Op); ok {
			return proposer.Result{Body: past.Body, Decoded: current}
		}
	}
	context.Decoded = current.state
	result := handler(context, current.value.State, op.Args)
	if result.Decoded == nil && result.State == nil {
		result.Decoded = current.state
	}
	if result.Failure != nil || result.State == nil {
		return proposer.Result{Body: result.Body, Failure: result.Failure, Decoded: &decodedValue{current.value, result.Decoded}}
	}
	next := current.value
	next.State = result.State
	if remember {
		next = next.remember(PastOperation{op.Op, result.Body})
	}
	return encodeResult(next, result)
}

// encodeResult returns the result of an operation that changed the value.
func encodeResult(next Value, result Result) proposer.Result {
	encoded, err := next.encode()
	if err != nil {
		return proposer.Result{Failure: failure.New(failure.Malformed, "value: %v", err)}
	}
	return proposer.Result{Value: encoded, Changed: true, Body: result.Body, Decoded: &decodedValue{next, result.Decoded}}
}
