package admission_test

import (
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/loadbalancer"
	"cottonarch.example/cottonarch/mesh/registry"
)

// balancer chooses endpoints in the sidecar of a client.
type balancer interface {
	ChooseForRoute(now monotime.Time, route string, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool)
	Started(ident.Server)
	Finished(now monotime.Time, entry registry.Entry, uncertain, unreachable bool)
	Rejected(monotime.Time, ident.Server)
}

// randomBalancer chooses a uniformly random endpoint that was not tried yet.
type randomBalancer struct{ rng *rand.Rand }

func (b randomBalancer) ChooseForRoute(_ monotime.Time, _ string, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool) {
	for range 100 {
		if e := entries[b.rng.IntN(len(entries))]; !tried[e.UID] {
			return e, true
		}
	}
	return registry.Entry{}, false
}
func (randomBalancer) Started(ident.Server)                               {}
func (randomBalancer) Finished(monotime.Time, registry.Entry, bool, bool) {}
func (randomBalancer) Rejected(monotime.Time, ident.Server)               {}

// legacyBalancer is the balancer as it was before load reports existed: the cheaper of two random
// endpoints, by own requests in flight and by zone. Suspects are used only if no other endpoint is
// left.
type legacyBalancer struct {
	rng          *rand.Rand
	zone         ident.Zone
	inFlight     map[ident.Server]int
	suspectUntil map[ident.Server]monotime.Time
}

func (l *legacyBalancer) ChooseForRoute(now monotime.Time, _ string, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool) {
	var preferred, suspects []registry.Entry
	for _, e := range entries {
		switch {
		case tried[e.UID]:
		case l.suspectUntil[e.UID].After(now):
			suspects = append(suspects, e)
		default:
			preferred = append(preferred, e)
		}
	}
	if len(preferred) == 0 {
		preferred = suspects
	}
	if len(preferred) == 0 {
		return registry.Entry{}, false
	}
	cost := func(e registry.Entry) float64 {
		c := float64(l.inFlight[e.UID]) + 1
		if e.Zone != l.zone {
			c *= 1.3
		}
		return c
	}
	a, b := preferred[l.rng.IntN(len(preferred))], preferred[l.rng.IntN(len(preferred))]
	if cost(b) < cost(a) {
		a = b
	}
	return a, true
}

func (l *legacyBalancer) Started(s ident.Server) { l.inFlight[s]++ }

func (l *legacyBalancer) Finished(now monotime.Time, e registry.Entry, uncertain, _ bool) {
	l.inFlight[e.UID]--
	if uncertain {
		l.suspectUntil[e.UID] = now.Add(time.Second)
	}
}
func (l *legacyBalancer) Rejected(now monotime.Time, s ident.Server) {
	l.suspectUntil[s] = now.Add(250 * ms)
}

// policy selects the load balancing and the admission control of a simulation.
type policy struct {
	name          string
	balancer      string // "random", "legacy" or "current"
	admission     bool
	maxAttempts   int // attempts per call; 0 means two
	tuneBalancer  func(*loadbalancer.Settings)
	tuneAdmission func(*admission.Settings)
}

// newBalancer returns the balancer of a client.
func (m *model) newBalancer(i int, seed uint64) balancer {
	rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
	switch m.policy.balancer {
	case "random":
		return randomBalancer{rng}
	case "legacy":
		return &legacyBalancer{rng: rng, zone: m.zone(i), inFlight: map[ident.Server]int{}, suspectUntil: map[ident.Server]monotime.Time{}}
	}
	current := loadbalancer.New(m.zone(i), seed*1000+uint64(i))
	if m.policy.tuneBalancer != nil {
		m.policy.tuneBalancer(&current.Settings)
	}
	return current
}
