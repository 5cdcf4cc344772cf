// Package world is the simulated mesh: the daemons' own step functions under virtual
// time, a seed, lossy disks and lossy links.
package world

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

type event struct {
	at       monotime.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for the heap.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for the heap.
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Clock is virtual time. Invariant: events of the same moment run in the order they
// were made, so a seed fixes everything.
type Clock struct {
	now          monotime.Time
	lastSequence uint64
	queue        eventQueue
	Rng          *rand.Rand
}

// After runs do later.
func (c *Clock) After(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{c.now.Add(max(delay, 0)), c.lastSequence, run})
}

// Run runs all events up to the moment.
func (c *Clock) Run(until monotime.Time) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// Links is the network. Invariant: a message between two machines is lost when the
// cut says so at the time it is sent.
type Links struct {
	BaseLatency, Jitter     time.Duration
	LossRate, DuplicateRate float64
	DelayRate               float64               // part of messages that are held up much longer
	cuts                    map[[2]ident.Addr]int // how many faults cut this direction now
	refused                 map[[2]ident.Addr]int // how many of these tell the sender
	healCount               int
	LostMessages            int
	SentMessages            int
}

// HealAll heals every cut.
func (l *Links) HealAll() {
	l.cuts = map[[2]ident.Addr]int{}
	l.healCount++
	l.LossRate, l.DuplicateRate, l.DelayRate = 0, 0, 0
}

// Open tells whether the direction is open.
func (l *Links) Open(from, to ident.Addr) bool { return l.cuts[[2]ident.Addr{from, to}] == 0 }

func (w *World) linkDelay() time.Duration {
	latency := w.Links.BaseLatency + time.Duration(w.Rng.Int64N(int64(w.Links.Jitter)+1))
	if w.Links.DelayRate > 0 && w.Rng.Float64() < w.Links.DelayRate {
		latency += time.Duration(w.Rng.Int64N(int64(800 * time.Millisecond)))
	}
	return latency
}

// transmit sends one datagram-like message: it may be lost, late, doubled or reordered.
func (w *World) transmit(from, to ident.Addr, deliver func()) {
	w.Links.SentMessages++
	if !w.Links.Open(from, to) || w.Rng.Float64() < w.Links.LossRate {
		w.Links.LostMessages++
		return
	}
	w.After(w.linkDelay(), deliver)
	if w.Rng.Float64() < w.Links.DuplicateRate {
		w.After(w.linkDelay(), deliver)
	}
}
