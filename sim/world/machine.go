package world

import (
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/broken"
)

func (w *World) need() int {
	if w.Break == "quorum" {
		return 1
	}
	return 0
}

// machine is the book of all operations, with the one that is broken on purpose.
func (w *World) machine() proposer.StateMachine { return broken.Book(string(w.Break), w.History) }
