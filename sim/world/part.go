package world

import (
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
)

// Part cuts two groups from each other for a while: "both" ways, or only "in" to the first
// group or "out" of it. When refused, who sends into the cut is told at once that nobody
// takes the connection, as by a reset; else nothing comes back.
func (w *World) Part(one, two []ident.Addr, way string, refused bool, d time.Duration) {
	var cut [][2]ident.Addr
	for _, a := range one {
		for _, b := range two {
			if way != "out" {
				cut = append(cut, [2]ident.Addr{b, a})
			}
			if way != "in" {
				cut = append(cut, [2]ident.Addr{a, b})
			}
		}
	}
	w.cutFor(cut, d)
	if !refused {
		return
	}
	for _, c := range cut {
		w.Links.refused[c]++
	}
	w.After(d, func() {
		for _, c := range cut {
			w.Links.refused[c]--
		}
	})
}

// refuses tells whether what is sent that way is turned away at once.
func (l *Links) refuses(from, to ident.Addr) bool {
	way := [2]ident.Addr{from, to}
	return l.refused[way] > 0 && l.cuts[way] > 0
}
