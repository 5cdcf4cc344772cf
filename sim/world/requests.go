package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// The default time that a core has for an operation, and the default time after which the client
// stops waiting for the response.
const (
	operationBudget  = 4 * time.Second
	operationTimeout = 6 * time.Second
)

// connectLatency is the time after which a client learns that the connection to a stopped core is
// refused.
const connectLatency = time.Millisecond

// request sends an operation to a random core, as a client of the control plane does. end is
// called with the result, or with nil if no response arrived in time.
func (w *World) request(op proposer.Operation, end func(*node.Result)) {
	w.requestWithin(op, operationBudget, operationTimeout, end)
}

// requestWithin is like request, with a given time budget of the core and timeout of the client.
func (w *World) requestWithin(op proposer.Operation, budget, timeout time.Duration, end func(*node.Result)) {
	core := w.Cores[w.Rng.IntN(len(w.Cores))]
	ended := false
	began := w.now
	finish := func(result *node.Result) {
		if ended {
			return
		}
		ended = true
		if result != nil && result.Failure == nil {
			w.OperationTimes = append(w.OperationTimes, w.now.Since(began))
		}
		w.counters.countOperation(result)
		end(result)
	}
	if !core.running {
		w.After(connectLatency, func() { finish(&node.Result{Failure: failure.New(failure.Unreachable, "the core is down")}) })
		return
	}
	generation := core.generation
	w.After(timeout, func() { finish(nil) })
	core.disconnects = append(core.disconnects, func() { finish(nil) })
	w.After(w.linkDelay(), func() {
		if core.generation != generation || !core.running {
			return
		}
		core.handleMessage(generation, core.messageCost, func() {
			core.Submit(op, budget, func(result node.Result) {
				w.After(w.linkDelay(), func() { finish(&result) })
			})
		})
	})
}

// countOperation counts the result of an operation. A nil result means that no response
// arrived in time.
func (n *counters) countOperation(result *node.Result) {
	switch {
	case result == nil || result.Failure != nil && result.Failure.Outcome == failure.OutcomeUnknown:
		n.operationsUnknown++
	case result.Failure != nil:
		n.operationsRejected++
	default:
		n.operationsSucceeded++
	}
}

// succeeded reports whether an operation succeeded, and decodes its response into body.
func succeeded(result *node.Result, body any) bool {
	return result != nil && result.Failure == nil && json.Unmarshal(result.Body, body) == nil
}

// failedWith reports whether an operation ended with a failure of the given kind.
func failedWith(result *node.Result, kind failure.Kind) bool {
	return result != nil && result.Failure != nil && result.Failure.Kind == kind
}

// notExecuted reports whether an operation certainly had no effect.
func notExecuted(result *node.Result) bool {
	return result != nil && result.Failure != nil && result.Failure.Outcome == failure.NotExecuted
}
