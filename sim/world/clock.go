// Package world is a simulated mesh: the state machines of the daemons under virtual time, over
// disks and links that lose data. All that happens follows from a seed.
package world

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// event is work that is due at a time.
type event struct {
	at       monotime.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events, the earliest first.
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

// Clock is virtual time. Invariant: events of the same time run in the order in which they
// were scheduled, so a seed determines everything.
type Clock struct {
	now          monotime.Time
	lastSequence uint64
	queue        eventQueue
	Rng          *rand.Rand
}

// After schedules work after a delay.
func (c *Clock) After(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{c.now.Add(max(delay, 0)), c.lastSequence, run})
}

// Run runs all events up to a time.
func (c *Clock) Run(until monotime.Time) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
