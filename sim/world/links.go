package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Direction is the direction of the messages that a cut drops, as seen from the machines that are
// cut off.
type Direction string

// The directions of a cut.
const (
	Inbound  Direction = "in"
	Outbound Direction = "out"
	BothWays Direction = "both"
)

// Directions lists all directions, for faults that choose one at random.
var Directions = []Direction{Inbound, Outbound, BothWays}

// link is the link from one machine to another, in one direction.
type link struct{ from, to ident.Addr }

// Links is the simulated network. Invariant: a message is lost if its link is cut when the message
// is sent.
type Links struct {
	BaseLatency, Jitter     time.Duration
	LossRate, DuplicateRate float64
	DelayRate               float64      // fraction of messages with an additional delay of up to longDelay
	cuts                    map[link]int // number of faults that cut a link now
	refused                 map[link]int // number of faults that cut a link and refuse connections now
	healCount               int
	LostMessages            int
	SentMessages            int
}

// longDelay bounds the additional latency of the messages that Links.DelayRate selects.
const longDelay = 800 * time.Millisecond

func newLinks() Links {
	return Links{BaseLatency: 200 * time.Microsecond, Jitter: 800 * time.Microsecond, cuts: map[link]int{}, refused: map[link]int{}}
}

// HealAll ends every cut and sets the loss, duplicate and delay rates to 0.
func (l *Links) HealAll() {
	l.cuts = map[link]int{}
	l.healCount++
	l.LossRate, l.DuplicateRate, l.DelayRate = 0, 0, 0
}

// Open reports whether the link from one machine to another is not cut.
func (l *Links) Open(from, to ident.Addr) bool { return l.cuts[link{from, to}] == 0 }

// openBothWays reports whether the links between two machines are open in both directions, so that
// requests and responses pass.
func (l *Links) openBothWays(a, b ident.Addr) bool { return l.Open(a, b) && l.Open(b, a) }

// refusesConnections reports whether the link is cut by a fault that refuses connections, so that
// the sender learns of the cut immediately.
func (l *Links) refusesConnections(from, to ident.Addr) bool {
	return l.refused[link{from, to}] > 0 && l.cuts[link{from, to}] > 0
}

// linkDelay returns a random latency for one message.
func (w *World) linkDelay() time.Duration {
	latency := w.Links.BaseLatency + time.Duration(w.Rng.Int64N(int64(w.Links.Jitter)+1))
	if w.Links.DelayRate > 0 && w.Rng.Float64() < w.Links.DelayRate {
		latency += time.Duration(w.Rng.Int64N(int64(longDelay)))
	}
	return latency
}

// transmit sends one datagram, which may be lost, delayed, duplicated or reordered.
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

// Isolate cuts machines off from all other machines, in a direction and for a duration.
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

// Partition cuts all links between two groups of machines for a duration.
func (w *World) Partition(left, right []ident.Addr, duration time.Duration) {
	w.cutFor(linksBetween(left, right, BothWays), duration)
}

// PartitionDirected cuts the links between two groups of machines for a duration, in a direction
// as seen from the first group. With refused, connections over a cut link are refused
// immediately, as by a reset; otherwise messages are dropped silently.
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

// linksBetween returns the links between two groups, in a direction as seen from the first group.
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

// cutFor cuts links for a duration. Several faults may cut the same link at the same time.
func (w *World) cutFor(cut []link, duration time.Duration) {
	for _, l := range cut {
		w.Links.cuts[l]++
	}
	healCount := w.Links.healCount
	w.After(duration, func() {
		if w.Links.healCount != healCount {
			return // HealAll has already removed the cuts
		}
		for _, l := range cut {
			if w.Links.cuts[l]--; w.Links.cuts[l] <= 0 {
				delete(w.Links.cuts, l)
			}
		}
	})
}
