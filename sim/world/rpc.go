package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/core/node"
)

// rpcResult is the result of a request to another process: a value, a failure that the server
// returned, or lost if no response arrived.
type rpcResult[T any] struct {
	value   T
	failure *failure.Error
	lost    bool
}

// rpc sends a request from a sidecar to another process. The request or the response may be lost.
// serve runs in the server and responds at most once. done runs in the sidecar once, at the latest
// after the timeout, unless the sidecar has restarted.
func rpc[T any](s *Sidecar, server *process, timeout time.Duration, serve func(respond func(T, *failure.Error)), done func(rpcResult[T])) {
	rpcWithCost(s, server, server.messageCost, timeout, serve, done)
}

// rpcWithCost is like rpc, with a given processing time of the request at the server.
func rpcWithCost[T any](s *Sidecar, server *process, cost, timeout time.Duration, serve func(respond func(T, *failure.Error)), done func(rpcResult[T])) {
	w, generation, ended := s.world, s.generation, false
	end := func(r rpcResult[T]) {
		if !ended {
			ended = true
			s.runInGeneration(generation, func() { done(r) })
		}
	}
	reportLost := func() { end(rpcResult[T]{lost: true}) }
	w.After(timeout, reportLost)
	if !server.running {
		w.After(connectLatency, reportLost)
		return
	}
	from, to, serverGeneration := s.Addr, server.Addr, server.generation
	if !w.Links.openBothWays(from, to) {
		if w.Links.refusesConnections(from, to) {
			w.After(connectLatency, reportLost)
		}
		return
	}
	w.After(w.linkDelay(), func() {
		server.handleMessage(serverGeneration, cost, func() {
			serve(func(value T, failed *failure.Error) {
				if w.Links.Open(to, from) {
					w.After(w.linkDelay(), func() { end(rpcResult[T]{value: value, failure: failed}) })
				}
			})
		})
	})
}

// respondResult returns a callback that responds with the result of an operation. The callback does
// not respond if the result can't be decoded.
func respondResult[T any](respond func(T, *failure.Error)) func(node.Result) {
	return func(result node.Result) {
		var value T
		if result.Failure != nil {
			respond(value, result.Failure)
		} else if json.Unmarshal(result.Body, &value) == nil {
			respond(value, nil)
		}
	}
}
