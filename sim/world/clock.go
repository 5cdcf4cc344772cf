// Package world is the simulated mesh: the daemons' own step functions under virtual
// time, a seed, lossy disks and lossy links.
package world

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

type event struct {
	at  monotime.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is for the heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for the heap.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Clock is virtual time. Invariant: events of the same moment run in the order they
// were made, so a seed fixes everything.
type Clock struct {
	now monotime.Time
	seq uint64
	due events
	Rng *rand.Rand
}

// After runs do later.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.due, event{c.now.Add(max(d, 0)), c.seq, do})
}

// Run runs all events up to the moment.
func (c *Clock) Run(until monotime.Time) {
	for len(c.due) > 0 && c.due[0].at <= until {
		e := heap.Pop(&c.due).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// Links is the network. Invariant: a message between two machines is lost when the
// cut says so at the time it is sent.
type Links struct {
	Base, Jitter time.Duration
	Lose, Double float64
	Late         float64               // part of messages that are held up much longer
	cuts         map[[2]ident.Addr]int // how many faults cut this direction now
	refused      map[[2]ident.Addr]int // how many of these tell the sender
	heals        int
	Lost         int
	Sent         int
}

// Heal heals every cut.
func (l *Links) Heal() {
	l.cuts = map[[2]ident.Addr]int{}
	l.heals++
	l.Lose, l.Double, l.Late = 0, 0, 0
}

// Open tells whether the direction is open.
func (l *Links) Open(from, to ident.Addr) bool { return l.cuts[[2]ident.Addr{from, to}] == 0 }

func (w *World) delay() time.Duration {
	d := w.Links.Base + time.Duration(w.Rng.Int64N(int64(w.Links.Jitter)+1))
	if w.Links.Late > 0 && w.Rng.Float64() < w.Links.Late {
		d += time.Duration(w.Rng.Int64N(int64(800 * time.Millisecond)))
	}
	return d
}

// carry sends one datagram-like message: it may be lost, late, doubled or reordered.
func (w *World) carry(from, to ident.Addr, do func()) {
	w.Links.Sent++
	if !w.Links.Open(from, to) || w.Rng.Float64() < w.Links.Lose {
		w.Links.Lost++
		return
	}
	w.After(w.delay(), do)
	if w.Rng.Float64() < w.Links.Double {
		w.After(w.delay(), do)
	}
}
