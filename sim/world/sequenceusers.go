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

// sequenceClients are clients that take numbers of sequences; they check that none is given
// twice or goes back.
type sequenceClients struct {
	world         *World
	sequenceCount int
	interval      time.Duration
	given         map[string]bool   // by sequence and number
	highest       map[string]uint64 // by sequence
}

// StartSequenceClients starts clients over a number of sequences, which take a number about once
// an interval.
func (w *World) StartSequenceClients(clients, sequenceCount int, interval time.Duration) {
	u := &sequenceClients{world: w, sequenceCount: sequenceCount, interval: interval, given: map[string]bool{}, highest: map[string]uint64{}}
	for range clients {
		w.After(w.randomUpTo(interval), u.take)
	}
}

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

func (u *sequenceClients) check(name string, number, highestBefore uint64) {
	u.world.Checker.Observe(invariant.SequenceRepeated)
	id := fmt.Sprint(name, "/", number)
	if u.given[id] || number <= highestBefore {
		u.world.Violate(invariant.SequenceRepeated, "%s gave %d, given before %v, newest confirmed before the call %d", name, number, u.given[id], highestBefore)
	}
	u.given[id] = true
	u.highest[name] = max(u.highest[name], number)
}
