package world

import "cottonarch.example/cottonarch/base/ident"

// The causes for which no process can deliver a configuration to a sidecar.
const (
	causeDown       = "its being down"
	causeFrozen     = "its being frozen"
	causeCut        = "being cut off from all"
	causeNoSource   = "being cut off from all that know"
	causeNoMajority = "a majority of cores"
	causeRunEnd     = "the day ended"
)

// unreachableCause returns why no process can now deliver the revision to the sidecar, or "" if a
// process can. The revision can be delivered if the sidecar runs and is connected, over running
// processes and links open both ways, to a process that has the revision or to a majority of
// healthy cores, which can read the revision.
func (w *World) unreachableCause(sidecar *Sidecar, revision ident.ConfigRevision) string {
	switch {
	case !sidecar.running:
		return causeDown
	case sidecar.frozen:
		return causeFrozen
	}
	search := reachability{world: w, seen: map[ident.Addr]bool{sidecar.Addr: true}, reached: []ident.Addr{sidecar.Addr}}
	switch {
	case search.reachSource(revision):
		return ""
	case len(search.reached) == 1:
		return causeCut
	case search.cores == 0:
		return causeNoSource
	}
	return causeNoMajority
}

// reachability is a breadth-first search over running processes and open links.
type reachability struct {
	world   *World
	seen    map[ident.Addr]bool
	reached []ident.Addr
	cores   int // number of reached cores
}

// reachSource reports whether the search reaches a process that has the revision, or a core with a
// majority.
func (r *reachability) reachSource(revision ident.ConfigRevision) bool {
	for next := 0; next < len(r.reached); next++ {
		from := r.reached[next]
		for _, c := range r.world.Cores {
			if !r.visit(from, c.Addr, &c.process) {
				continue
			}
			r.cores++
			if c.configRevision() >= revision || r.world.reachesMajority(c) {
				return true
			}
		}
		for _, s := range r.world.Sidecars {
			if r.visit(from, s.Addr, &s.process) && s.router.Revision() >= revision {
				return true
			}
		}
	}
	return false
}

// visit reports whether a process is reached from an address and was not reached before, and marks
// the process as reached.
func (r *reachability) visit(from, to ident.Addr, p *process) bool {
	if r.seen[to] || !p.running || p.frozen || !r.world.Links.openBothWays(from, to) {
		return false
	}
	r.seen[to] = true
	r.reached = append(r.reached, to)
	return true
}

// HasMajority reports whether some healthy core reaches a majority of the voters, all healthy.
func (w *World) HasMajority() bool {
	for _, c := range w.Cores {
		if c.Healthy() && w.reachesMajority(c) {
			return true
		}
	}
	return false
}

// CoresAndLinksHealthy reports whether no link is cut, and every core runs, is not frozen and has a
// working disk without delay.
func (w *World) CoresAndLinksHealthy() bool {
	for _, c := range w.Cores {
		if !c.running || c.frozen || c.diskFailed || c.DiskDelay > 0 {
			return false
		}
	}
	return len(w.Links.cuts) == 0
}

// reachesMajority reports whether a core and the healthy voters with open links to that core are a
// majority.
func (w *World) reachesMajority(c *Core) bool {
	if c.node == nil {
		return false
	}
	membership := c.node.Membership()
	reachable := 0
	for _, voter := range membership.Voters {
		if !voter.Counted {
			continue
		}
		for _, other := range w.Cores {
			if other.node != nil && other.node.Disk == voter.Disk && other.Healthy() && (other == c || w.Links.openBothWays(c.Addr, other.Addr)) {
				reachable++
			}
		}
	}
	return membership.Epoch > 0 && reachable >= membership.Majority()
}
