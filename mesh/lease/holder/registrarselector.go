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
	// minAvoidance is how long a core is avoided after its first failure; each further failure
	// doubles the duration, up to maxAvoidance.
	minAvoidance = 2 * time.Second
	maxAvoidance = 16 * time.Second
	// maxFallbacks is how many cores besides the registrar a renewal is sent to while the registrar
	// may be unavailable.
	maxFallbacks = 2
)

// Distance ranks cores by their distance from a sidecar.
type Distance int

// The distances, nearest first.
const (
	// SameZone is the distance of a core in the sidecar's zone.
	SameZone Distance = iota
	// OtherZone is the distance of a core in another zone.
	OtherZone
	// Unlisted is the distance of a process that is not in the list of cores: the process may have
	// ended, or may not be a core.
	Unlisted
)

// Distances returns a function that returns the distance of a core, according to a list of cores.
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

// RendezvousWeight returns the weight of a core for a node by rendezvous hashing: each node has its
// own order of the cores, which changes little when a core is added or removed.
func RendezvousWeight(node ident.Node, core ident.Addr) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(core))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(node))
	return hashing.Mix(hash.Sum64())
}

// avoidance is the period for which a core is avoided after a failure.
type avoidance struct {
	until    monotime.Time
	duration time.Duration
	silent   bool // the core did not respond
}

// registrarSelector chooses the registrar. Invariants: the registrar is the first core that is not
// avoided, ordered by distance and then by weight. While all cores are avoided, cores that responded
// precede silent cores, so that a core that responds stays the registrar; silent cores are ordered by
// the time of the last attempt, oldest first.
type registrarSelector struct {
	registrar  ident.Addr
	allAvoided bool         // every core, including the registrar, is avoided
	lastFailed bool         // the renewal that completed last had failed
	fallbacks  []ident.Addr // further cores that a renewal is sent to
	cores      []record.CoreLocation
	avoidances map[ident.Addr]avoidance
	lastTried  map[ident.Addr]monotime.Time
}

func newRegistrarSelector() registrarSelector {
	return registrarSelector{avoidances: map[ident.Addr]avoidance{}, lastTried: map[ident.Addr]monotime.Time{}}
}

// The ranks of a candidate by its recent responses, best first.
const (
	rankUsable = iota
	rankAvoided
	rankSilent
)

// candidate is a core that may become the registrar.
type candidate struct {
	addr      ident.Addr
	rank      int
	lastTried monotime.Time // set for silent cores only
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

// ChooseRegistrar chooses and returns the registrar among the known cores, "" if no core is known.
// While the registrar may be unavailable, ChooseRegistrar also chooses the fallbacks.
func (s *registrarSelector) ChooseRegistrar(now monotime.Time, node ident.Node, ownZone ident.Zone, cores []ident.Addr) ident.Addr {
	s.registrar, s.allAvoided, s.fallbacks = "", false, nil
	candidates := s.candidates(now, node, ownZone, cores)
	if len(candidates) == 0 {
		return ""
	}
	slices.SortFunc(candidates, compareCandidates)
	s.registrar, s.allAvoided = candidates[0].addr, candidates[0].rank != rankUsable
	if s.allAvoided || s.lastFailed {
		s.fallbacks = s.chooseFallbacks(candidates[1:])
	}
	return s.registrar
}

func (s *registrarSelector) candidates(now monotime.Time, node ident.Node, ownZone ident.Zone, cores []ident.Addr) []candidate {
	distance := Distances(ownZone, s.cores)
	candidates := make([]candidate, 0, len(cores))
	for _, addr := range cores {
		core := candidate{addr: addr, distance: distance(addr), weight: RendezvousWeight(node, addr)}
		if avoidance := s.avoidances[addr]; avoidance.until.After(now) {
			core.rank = rankAvoided
			if avoidance.silent {
				core.rank, core.lastTried = rankSilent, s.lastTried[addr]
			}
		}
		candidates = append(candidates, core)
	}
	return candidates
}

// chooseFallbacks chooses the cores whose last attempt is oldest. A core of the sidecar's own zone
// is placed first, because a network partition between zones leaves that core reachable.
func (s *registrarSelector) chooseFallbacks(candidates []candidate) []ident.Addr {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(s.lastTried[a.addr], s.lastTried[b.addr])
	})
	nearest := slices.IndexFunc(candidates, func(core candidate) bool { return core.distance == SameZone })
	if nearest > 0 {
		moveToFront(candidates, nearest)
	}
	var fallbacks []ident.Addr
	for _, core := range candidates[:min(len(candidates), maxFallbacks)] {
		fallbacks = append(fallbacks, core.addr)
	}
	return fallbacks
}

// moveToFront moves the candidate at index to the front and keeps the order of the other candidates.
func moveToFront(candidates []candidate, index int) {
	moved := candidates[index]
	copy(candidates[1:index+1], candidates[:index])
	candidates[0] = moved
}

// Registrar returns the registrar that was chosen last.
func (s *registrarSelector) Registrar() ident.Addr { return s.registrar }

// Targets lists the cores that a renewal is sent to now: the registrar, then the fallbacks.
func (s *registrarSelector) Targets() []ident.Addr {
	return append([]ident.Addr{s.registrar}, s.fallbacks...)
}

// recordAttempt records that a renewal is sent to the targets.
func (s *registrarSelector) recordAttempt(now monotime.Time) {
	for _, core := range s.Targets() {
		s.lastTried[core] = now
	}
}

// avoid starts or extends the avoidance of a core, with exponential backoff; silent means that the
// core did not respond.
func (s *registrarSelector) avoid(now monotime.Time, core ident.Addr, silent bool) {
	entry := s.avoidances[core]
	entry.silent = silent
	entry.duration = min(max(2*entry.duration, minAvoidance), maxAvoidance)
	entry.until = now.Add(entry.duration)
	s.avoidances[core] = entry
}

// markResponsive records that an avoided core has responded after all.
func (s *registrarSelector) markResponsive(core ident.Addr) {
	if entry, avoided := s.avoidances[core]; avoided {
		entry.silent = false
		s.avoidances[core] = entry
	}
}

// clearAvoidance ends the avoidance of a core that accepted a renewal.
func (s *registrarSelector) clearAvoidance(core ident.Addr) {
	delete(s.avoidances, core)
	s.lastFailed = false
}
