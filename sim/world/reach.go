package world

import (
	"cottonarch.example/cottonarch/kernel/ident"
)

// The causes for which nobody can make a sidecar know an epoch.
const (
	causeDown    = "its being down"
	causeFrozen  = "its being frozen"
	causeCut     = "being cut off from all"
	causeUntold  = "being cut off from all that know"
	causeNoMajor = "a majority of cores"
	causeDayEnd  = "the day ended"
)

// out tells why nobody can make the sidecar know the epoch now, "" if somebody can: it
// runs, and over running processes, by links open both ways, it is joined to one that
// has the epoch or to a majority of well cores, who can read it.
func (w *World) out(s *Side, e ident.Epoch) string {
	switch {
	case !s.up:
		return causeDown
	case s.frozen:
		return causeFrozen
	}
	seen := map[ident.Addr]bool{s.Addr: true}
	list := []ident.Addr{s.Addr}
	cores := 0
	for at := 0; at < len(list); at++ {
		a := list[at]
		near := func(b ident.Addr, p *proc) bool {
			if seen[b] || !p.up || p.frozen || !w.Links.Open(a, b) || !w.Links.Open(b, a) {
				return false
			}
			seen[b] = true
			list = append(list, b)
			return true
		}
		for _, c := range w.Cores {
			if !near(c.Addr, &c.proc) {
				continue
			}
			cores++
			if c.epoch() >= e || w.quorate(c) {
				return ""
			}
		}
		for _, o := range w.Sides {
			if near(o.Addr, &o.proc) && o.path.Epoch() >= e {
				return ""
			}
		}
	}
	switch {
	case len(list) == 1:
		return causeCut
	case cores == 0:
		return causeUntold
	}
	return causeNoMajor
}

// Quorate tells whether a majority of the voters is well and joined.
func (w *World) Quorate() bool {
	for _, c := range w.Cores {
		if c.Well() && w.quorate(c) {
			return true
		}
	}
	return false
}

// Calm tells whether no link is cut, and no core is down, frozen or slow.
func (w *World) Calm() bool {
	for _, c := range w.Cores {
		if !c.up || c.frozen || c.broken || c.Slow > 0 {
			return false
		}
	}
	return len(w.Links.cuts) == 0
}

// quorate tells whether this core and the well voters that it has open links to are a
// majority.
func (w *World) quorate(c *Core) bool {
	if c.node == nil {
		return false
	}
	got := 0
	for _, v := range c.node.Membership().Voters {
		if !v.Counted {
			continue
		}
		for _, o := range w.Cores {
			if o.node != nil && o.node.Disk == v.Disk && o.Well() && (o == c || w.Links.Open(c.Addr, o.Addr) && w.Links.Open(o.Addr, c.Addr)) {
				got++
			}
		}
	}
	return c.node.Membership().Epoch > 0 && got >= c.node.Membership().Majority()
}
