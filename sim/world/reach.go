package world

import (
	"cottonarch.example/cottonarch/base/ident"
)

// The causes for which nobody can make a sidecar know an epoch.
const (
	causeDown       = "its being down"
	causeFrozen     = "its being frozen"
	causeCut        = "being cut off from all"
	causeNoSource   = "being cut off from all that know"
	causeNoMajority = "a majority of cores"
	causeDayEnd     = "the day ended"
)

// unreachableCause tells why nobody can make the sidecar know the epoch now, "" if somebody can: it
// runs, and over running processes, by links open both ways, it is joined to one that
// has the epoch or to a majority of well cores, who can read it.
func (w *World) unreachableCause(sidecar *Sidecar, revision ident.Epoch) string {
	switch {
	case !sidecar.running:
		return causeDown
	case sidecar.frozen:
		return causeFrozen
	}
	seen := map[ident.Addr]bool{sidecar.Addr: true}
	reached := []ident.Addr{sidecar.Addr}
	cores := 0
	for next := 0; next < len(reached); next++ {
		a := reached[next]
		visit := func(b ident.Addr, p *process) bool {
			if seen[b] || !p.running || p.frozen || !w.Links.Open(a, b) || !w.Links.Open(b, a) {
				return false
			}
			seen[b] = true
			reached = append(reached, b)
			return true
		}
		for _, c := range w.Cores {
			if !visit(c.Addr, &c.process) {
				continue
			}
			cores++
			if c.configRevision() >= revision || w.reachesMajority(c) {
				return ""
			}
		}
		for _, other := range w.Sidecars {
			if visit(other.Addr, &other.process) && other.router.Revision() >= revision {
				return ""
			}
		}
	}
	switch {
	case len(reached) == 1:
		return causeCut
	case cores == 0:
		return causeNoSource
	}
	return causeNoMajority
}

// HasMajority tells whether a majority of the voters is well and joined.
func (w *World) HasMajority() bool {
	for _, c := range w.Cores {
		if c.Healthy() && w.reachesMajority(c) {
			return true
		}
	}
	return false
}

// Undisturbed tells whether no link is cut, and no core is down, frozen or slow.
func (w *World) Undisturbed() bool {
	for _, c := range w.Cores {
		if !c.running || c.frozen || c.diskFailed || c.DiskDelay > 0 {
			return false
		}
	}
	return len(w.Links.cuts) == 0
}

// reachesMajority tells whether this core and the well voters that it has open links to are a
// majority.
func (w *World) reachesMajority(c *Core) bool {
	if c.node == nil {
		return false
	}
	reachable := 0
	for _, voter := range c.node.Membership().Voters {
		if !voter.Counted {
			continue
		}
		for _, other := range w.Cores {
			if other.node != nil && other.node.Disk == voter.Disk && other.Healthy() && (other == c || w.Links.Open(c.Addr, other.Addr) && w.Links.Open(other.Addr, c.Addr)) {
				reachable++
			}
		}
	}
	return c.node.Membership().Epoch > 0 && reachable >= c.node.Membership().Majority()
}
