// Package world simulates a mesh: the state machines of the daemons run in virtual time, on
// simulated disks and links that lose data. A run is deterministic for a given seed.
package world

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// event is a function that runs at a point in virtual time.
type event struct {
	at       monotime.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events, ordered by time and then by scheduling order.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Clock is the virtual clock and scheduler. Invariant: events with the same time run in the order
// in which they were scheduled, so that a run is deterministic for a given seed.
type Clock struct {
	now          monotime.Time
	lastSequence uint64
	queue        eventQueue
	Rng          *rand.Rand
}

// After schedules a function to run after a delay. A negative delay counts as 0.
func (c *Clock) After(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{c.now.Add(max(delay, 0)), c.lastSequence, run})
}

// Run runs all events up to and including a time, and advances the clock to that time.
func (c *Clock) Run(until monotime.Time) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
