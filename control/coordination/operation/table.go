// Package operation implements the part of the state machine that all control keys share: it
// dispatches operations to handlers by kind and deduplicates repeated operations.
package operation

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Result is the result of a handler. Invariants: State is the new state as compact JSON, or nil if
// the operation did not change the state; Decoded, if set, is the decoded form of the state after
// the operation, which is passed to the next handler in its context.
type Result struct {
	State   json.RawMessage
	Body    json.RawMessage
	Failure *failure.Error
	Decoded any
}

// Rejected returns the result of an operation that was rejected with err.
func Rejected(err *failure.Error) Result { return Result{Failure: err} }

// Handler executes one kind of operation.
type Handler func(context proposer.Context, state, args json.RawMessage) Result

// Table maps operation kinds to handlers.
type Table map[string]Handler

// The operation kinds that Apply treats specially. They are spelled out here because the packages
// that declare them import this package.
var (
	// reexecutedKinds lists the kinds whose response is valid for a duration that starts at the
	// operation, such as a lease. A repeat is executed again, because the caller measures the
	// duration from the repeat.
	reexecutedKinds = map[string]bool{"lock/claim": true}
	// statelessKinds lists the kinds whose handlers use only the revision of the value. These
	// operations are frequent and the value may be large, so the value is not decoded for them.
	statelessKinds = map[string]bool{"manifest/epoch": true}
	// idempotentKinds lists the kinds whose handlers recognize a repeat by its arguments. Their
	// operations are not stored as past operations, and a repeat is executed again.
	idempotentKinds = map[string]bool{"group/put": true, "share/enter": true}
)

// Apply executes an operation on the value of its key. A repeat of a stored past operation returns
// the first response and changes nothing.
func (t Table) Apply(context proposer.Context, value json.RawMessage, op proposer.Operation) proposer.Result {
	handler, ok := t[op.Kind]
	if !ok {
		return proposer.Result{Failure: failure.New(failure.Malformed, "unknown operation kind %q", op.Kind)}
	}
	if statelessKinds[op.Kind] {
		result := handler(context, nil, op.Args)
		return proposer.Result{Body: result.Body, Failure: result.Failure, Decoded: context.Decoded}
	}
	current, err := decodeValue(context.Decoded, value)
	if err != nil {
		return proposer.Result{Failure: err}
	}
	remember := op.Op != "" && !op.Repeatable && !reexecutedKinds[op.Kind] && !idempotentKinds[op.Kind]
	if remember {
		if past, ok := current.value.findPastOperation(op.Op); ok {
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
		next = next.withPastOperation(PastOperation{op.Op, result.Body})
	}
	return encodeResult(next, result)
}

// encodeResult encodes the new value and returns the result of an operation that changed the state.
func encodeResult(next Value, result Result) proposer.Result {
	encoded, err := next.encode()
	if err != nil {
		return proposer.Result{Failure: failure.New(failure.Malformed, "value: %v", err)}
	}
	return proposer.Result{Value: encoded, Changed: true, Body: result.Body, Decoded: &decodedValue{next, result.Decoded}}
}
