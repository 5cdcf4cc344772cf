package world

import (
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/mutant"
)

func (w *World) quorumOverride() int {
	if w.Mutant == "quorum" {
		return 1
	}
	return 0
}

// stateMachine is the book of all operations, with the one that is broken on purpose.
func (w *World) stateMachine() proposer.StateMachine {
	return mutant.Handlers(string(w.Mutant), w.HistoryRetention)
}
