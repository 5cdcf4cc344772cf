package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/core/node"
)

// reply is what comes of a request to another process: a value, a failure that the server
// answered, or nothing in time.
type reply[T any] struct {
	value   T
	failure *failure.Error
	lost    bool
}

// rpc sends a request of a sidecar to another process: the request may be lost, and so may the
// response. serve runs in the server and responds at most once; done runs in the sidecar and
// takes a lost reply after the timeout.
func rpc[T any](s *Sidecar, server *process, timeout time.Duration, serve func(respond func(T, *failure.Error)), done func(reply[T])) {
	rpcWithCost(s, server, server.messageCost, timeout, serve, done)
}

// rpcWithCost is rpc for a request whose processing takes the server a time of its own.
func rpcWithCost[T any](s *Sidecar, server *process, cost, timeout time.Duration, serve func(respond func(T, *failure.Error)), done func(reply[T])) {
	w, generation, ended := s.world, s.generation, false
	end := func(r reply[T]) {
		if !ended {
			ended = true
			s.runInGeneration(generation, func() { done(r) })
		}
	}
	lose := func() { end(reply[T]{lost: true}) }
	w.After(timeout, lose)
	if !server.running {
		w.After(connectLatency, lose)
		return
	}
	from, to, serverGeneration := s.Addr, server.Addr, server.generation
	if !w.Links.openBothWays(from, to) {
		if w.Links.refusesAtOnce(from, to) {
			w.After(connectLatency, lose)
		}
		return
	}
	w.After(w.linkDelay(), func() {
		server.handleMessage(serverGeneration, cost, func() {
			serve(func(value T, failed *failure.Error) {
				if w.Links.Open(to, from) {
					w.After(w.linkDelay(), func() { end(reply[T]{value: value, failure: failed}) })
				}
			})
		})
	})
}

// respondResult responds with the result of an operation, as far as it can be decoded.
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
