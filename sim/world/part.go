package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// PartitionDirected cuts two groups from each other for a while: "both" ways, or only "in" to the first
// group or "out" of it. When refused, who sends into the cut is told at once that nobody
// takes the connection, as by a reset; else nothing comes back.
func (w *World) PartitionDirected(first, second []ident.Addr, direction string, refused bool, duration time.Duration) {
	var cut [][2]ident.Addr
	for _, a := range first {
		for _, b := range second {
			if direction != "out" {
				cut = append(cut, [2]ident.Addr{b, a})
			}
			if direction != "in" {
				cut = append(cut, [2]ident.Addr{a, b})
			}
		}
	}
	w.cutFor(cut, duration)
	if !refused {
		return
	}
	for _, c := range cut {
		w.Links.refused[c]++
	}
	w.After(duration, func() {
		for _, c := range cut {
			w.Links.refused[c]--
		}
	})
}

// refusesAtOnce tells whether what is sent that way is turned away at once.
func (l *Links) refusesAtOnce(from, to ident.Addr) bool {
	link := [2]ident.Addr{from, to}
	return l.refused[link] > 0 && l.cuts[link] > 0
}
