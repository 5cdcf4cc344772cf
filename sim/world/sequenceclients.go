package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

// sequenceClients are clients that take numbers from sequences, and check that no sequence repeats
// a number or returns a lower number.
type sequenceClients struct {
	world         *World
	sequenceCount int
	interval      time.Duration
	given         map[string]bool   // by sequence and number
	highest       map[string]uint64 // by sequence
}

// StartSequenceClients starts clients that share a number of sequences; each takes a number about
// once per interval.
func (w *World) StartSequenceClients(clients, sequenceCount int, interval time.Duration) {
	u := &sequenceClients{world: w, sequenceCount: sequenceCount, interval: interval, given: map[string]bool{}, highest: map[string]uint64{}}
	for range clients {
		w.After(w.randomUpTo(interval), u.take)
	}
}

// take takes the next number of a random sequence.
func (u *sequenceClients) take() {
	w := u.world
	if w.ClientsStopped {
		return
	}
	name := fmt.Sprintf("n%d", w.Rng.IntN(u.sequenceCount))
	highestBefore := u.highest[name]
	w.request(proposer.Operation{Key: ident.Key("number/" + name), Kind: sequence.NextKind}, func(result *node.Result) {
		var state sequence.State
		if succeeded(result, &state) {
			u.check(name, state.Last, highestBefore)
		}
		w.After(w.jittered(u.interval), u.take)
	})
}

// check checks and records a number. highestBefore is the highest number of the sequence that was
// known when the request was sent.
func (u *sequenceClients) check(name string, number, highestBefore uint64) {
	u.world.Checker.Observe(invariant.SequenceRepeated)
	id := fmt.Sprint(name, "/", number)
	if u.given[id] || number <= highestBefore {
		u.world.Violate(invariant.SequenceRepeated, "sequence %s returned number %d (returned before: %v; highest number known before the request: %d)", name, number, u.given[id], highestBefore)
	}
	u.given[id] = true
	u.highest[name] = max(u.highest[name], number)
}
