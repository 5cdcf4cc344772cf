package admission_test

import (
	"cottonarch.example/cottonarch/base/monotime"
)

// event is a scheduled action of the simulation. Events with the same time run in the order of
// seq.
type event struct {
	at  monotime.Time
	seq int
	run func()
}

// events is a heap of scheduled events.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }
