package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Direction says which messages a cut stops, seen from the machines that are cut off.
type Direction string

// The directions of a cut.
const (
	Inbound  Direction = "in"
	Outbound Direction = "out"
	BothWays Direction = "both"
)

// Directions lists the directions, for faults that draw one.
var Directions = []Direction{Inbound, Outbound, BothWays}

// link is one direction between two machines.
type link struct{ from, to ident.Addr }

// Links is the network. Invariant: a message between two machines is lost if its link is cut
// when it is sent.
type Links struct {
	BaseLatency, Jitter     time.Duration
	LossRate, DuplicateRate float64
	DelayRate               float64      // part of the messages that are delayed much longer
	cuts                    map[link]int // how many faults cut a link now
	refused                 map[link]int // how many of these tell the sender
	healCount               int
	LostMessages            int
	SentMessages            int
}

// longDelay bounds the additional latency of a message that is delayed much longer.
const longDelay = 800 * time.Millisecond

func newLinks() Links {
	return Links{BaseLatency: 200 * time.Microsecond, Jitter: 800 * time.Microsecond, cuts: map[link]int{}, refused: map[link]int{}}
}

// HealAll ends every cut and all losses, duplicates and delays.
func (l *Links) HealAll() {
	l.cuts = map[link]int{}
	l.healCount++
	l.LossRate, l.DuplicateRate, l.DelayRate = 0, 0, 0
}

// Open tells whether messages pass from one machine to another.
func (l *Links) Open(from, to ident.Addr) bool { return l.cuts[link{from, to}] == 0 }

// openBothWays tells whether requests and their responses pass between two machines.
func (l *Links) openBothWays(a, b ident.Addr) bool { return l.Open(a, b) && l.Open(b, a) }

// refusesAtOnce tells whether the link is cut so that the sender learns of it at once.
func (l *Links) refusesAtOnce(from, to ident.Addr) bool {
	return l.refused[link{from, to}] > 0 && l.cuts[link{from, to}] > 0
}

// linkDelay draws the latency of one message.
func (w *World) linkDelay() time.Duration {
	latency := w.Links.BaseLatency + time.Duration(w.Rng.Int64N(int64(w.Links.Jitter)+1))
	if w.Links.DelayRate > 0 && w.Rng.Float64() < w.Links.DelayRate {
		latency += time.Duration(w.Rng.Int64N(int64(longDelay)))
	}
	return latency
}

// transmit sends one datagram: it may be lost, delayed, duplicated or reordered.
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

// Isolate cuts machines off from all others for a while.
func (w *World) Isolate(isolated []ident.Addr, direction Direction, duration time.Duration) {
	inside := map[ident.Addr]bool{}
	for _, addr := range isolated {
		inside[addr] = true
	}
	var outside []ident.Addr
	for _, addr := range w.machineAddrs() {
		if !inside[addr] {
			outside = append(outside, addr)
		}
	}
	w.cutFor(linksBetween(isolated, outside, direction), duration)
}

// Partition cuts two groups of machines from each other for a while.
func (w *World) Partition(left, right []ident.Addr, duration time.Duration) {
	w.cutFor(linksBetween(left, right, BothWays), duration)
}

// PartitionDirected cuts two groups of machines from each other for a while, in a direction
// seen from the first group. When refused, whoever sends into the cut learns at once that
// nobody takes the connection, as by a reset; otherwise nothing comes back.
func (w *World) PartitionDirected(first, second []ident.Addr, direction Direction, refused bool, duration time.Duration) {
	cut := linksBetween(first, second, direction)
	w.cutFor(cut, duration)
	if !refused {
		return
	}
	for _, l := range cut {
		w.Links.refused[l]++
	}
	w.After(duration, func() {
		for _, l := range cut {
			w.Links.refused[l]--
		}
	})
}

// linksBetween lists the links between two groups in a direction seen from the first.
func linksBetween(first, second []ident.Addr, direction Direction) []link {
	var links []link
	for _, a := range first {
		for _, b := range second {
			if direction != Outbound {
				links = append(links, link{b, a})
			}
			if direction != Inbound {
				links = append(links, link{a, b})
			}
		}
	}
	return links
}

// cutFor cuts links for a while; several faults may cut one link at the same time.
func (w *World) cutFor(cut []link, duration time.Duration) {
	for _, l := range cut {
		w.Links.cuts[l]++
	}
	healCount := w.Links.healCount
	w.After(duration, func() {
		if w.Links.healCount != healCount {
			return // everything was healed meanwhile
		}
		for _, l := range cut {
			if w.Links.cuts[l]--; w.Links.cuts[l] <= 0 {
				delete(w.Links.cuts, l)
			}
		}
	})
}
