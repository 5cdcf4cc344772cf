package holder

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/hashing"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

const (
	// minAvoidance is how long a core that failed is avoided; each further failure doubles it, up
	// to maxAvoidance.
	minAvoidance = 2 * time.Second
	maxAvoidance = 16 * time.Second
	// maxFallbacks is how many other cores a renewal goes to beside the registrar while that is
	// in doubt.
	maxFallbacks = 2
)

// Distance ranks the cores by how far they are from a sidecar.
type Distance int

// The distances, nearest first.
const (
	// SameZone is the distance of a core in the sidecar's zone.
	SameZone Distance = iota
	// OtherZone is that of a core in another zone.
	OtherZone
	// Unlisted is that of a process that no core lists: it may be gone, or not be a core.
	Unlisted
)

// Distances returns the distance of a core, by the list that a core has given.
func Distances(ownZone ident.Zone, cores []record.CoreLocation) func(ident.Addr) Distance {
	zones := map[ident.Addr]ident.Zone{}
	for _, core := range cores {
		zones[core.Addr] = core.Zone
	}
	return func(addr ident.Addr) Distance {
		switch zone, listed := zones[addr]; {
		case !listed:
			return Unlisted
		case zone != ownZone:
			return OtherZone
		default:
			return SameZone
		}
	}
}

// RendezvousWeight ranks a core for a node by rendezvous hashing: each node has an order of the
// cores of its own, which changes little when a core comes or goes.
func RendezvousWeight(node ident.Node, core ident.Addr) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(core))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(node))
	return hashing.Mix(hash.Sum64())
}

// avoidance is how long a core is avoided.
type avoidance struct {
	until    monotime.Time
	duration time.Duration
	silent   bool // it gave no answer
}

// choice chooses the registrar. Invariants: it is the first of the cores that are not avoided,
// by distance and then by weight. While all are avoided, those that were not silent go first, so
// that one which answers is kept to, and then those that were not tried for longest.
type choice struct {
	registrar  ident.Addr
	allAvoided bool         // the registrar is avoided, like every other core
	lastFailed bool         // the last renewal that ended had failed
	fallbacks  []ident.Addr // other cores that a renewal goes to
	cores      []record.CoreLocation
	avoidances map[ident.Addr]avoidance
	lastTried  map[ident.Addr]monotime.Time
}

func newChoice() choice {
	return choice{avoidances: map[ident.Addr]avoidance{}, lastTried: map[ident.Addr]monotime.Time{}}
}

// The ranks of a candidate by its last answers.
const (
	rankUsable = iota
	rankAvoided
	rankSilent
)

// candidate is a core that may become the registrar.
type candidate struct {
	addr      ident.Addr
	rank      int
	lastTried monotime.Time // of a silent one, else 0
	distance  Distance
	weight    uint64
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.lastTried, b.lastTried),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(b.weight, a.weight))
}

// ChooseRegistrar chooses the registrar of the cores that are known, "" when there is none, and
// the fallbacks while it is in doubt.
func (c *choice) ChooseRegistrar(now monotime.Time, node ident.Node, ownZone ident.Zone, cores []ident.Addr) ident.Addr {
	c.registrar, c.allAvoided, c.fallbacks = "", false, nil
	candidates := c.candidates(now, node, ownZone, cores)
	if len(candidates) == 0 {
		return ""
	}
	slices.SortFunc(candidates, compareCandidates)
	c.registrar, c.allAvoided = candidates[0].addr, candidates[0].rank != rankUsable
	if c.allAvoided || c.lastFailed {
		c.fallbacks = c.chooseFallbacks(candidates[1:])
	}
	return c.registrar
}

func (c *choice) candidates(now monotime.Time, node ident.Node, ownZone ident.Zone, cores []ident.Addr) []candidate {
	distance := Distances(ownZone, c.cores)
	candidates := make([]candidate, 0, len(cores))
	for _, addr := range cores {
		core := candidate{addr: addr, distance: distance(addr), weight: RendezvousWeight(node, addr)}
		if avoidance := c.avoidances[addr]; avoidance.until.After(now) {
			core.rank = rankAvoided
			if avoidance.silent {
				core.rank, core.lastTried = rankSilent, c.lastTried[addr]
			}
		}
		candidates = append(candidates, core)
	}
	return candidates
}

// chooseFallbacks chooses those that were not tried for longest; a core of the own zone goes
// first, as a network partition between zones leaves it in reach.
func (c *choice) chooseFallbacks(others []candidate) []ident.Addr {
	slices.SortStableFunc(others, func(a, b candidate) int {
		return cmp.Compare(c.lastTried[a.addr], c.lastTried[b.addr])
	})
	nearest := slices.IndexFunc(others, func(core candidate) bool { return core.distance == SameZone })
	if nearest > 0 {
		moveToFront(others, nearest)
	}
	var fallbacks []ident.Addr
	for _, core := range others[:min(len(others), maxFallbacks)] {
		fallbacks = append(fallbacks, core.addr)
	}
	return fallbacks
}

// moveToFront moves the candidate at an index to the front and keeps the order of the others.
func moveToFront(candidates []candidate, index int) {
	moved := candidates[index]
	copy(candidates[1:index+1], candidates[:index])
	candidates[0] = moved
}

// Registrar is the registrar that was chosen last.
func (c *choice) Registrar() ident.Addr { return c.registrar }

// Targets lists the cores that a renewal goes to now: the registrar, and the fallbacks.
func (c *choice) Targets() []ident.Addr { return append([]ident.Addr{c.registrar}, c.fallbacks...) }

// noteTried notes that a renewal goes to the targets.
func (c *choice) noteTried(now monotime.Time) {
	for _, core := range c.Targets() {
		c.lastTried[core] = now
	}
}

// avoid avoids a core for a while.
func (c *choice) avoid(now monotime.Time, core ident.Addr, silent bool) {
	entry := c.avoidances[core]
	entry.silent = silent
	entry.duration = min(max(2*entry.duration, minAvoidance), maxAvoidance)
	entry.until = now.Add(entry.duration)
	c.avoidances[core] = entry
}

// notSilent notes that a core that is avoided answers after all.
func (c *choice) notSilent(core ident.Addr) {
	if entry, avoided := c.avoidances[core]; avoided {
		entry.silent = false
		c.avoidances[core] = entry
	}
}

// trust ends the avoidance of a core that answered well.
func (c *choice) trust(core ident.Addr) {
	delete(c.avoidances, core)
	c.lastFailed = false
}
