package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/registry/record"
)

const (
	pollTimeout = time.Second
	// deafPolls is one in how many polls a sidecar sends with MutantIgnoreUpdates.
	deafPolls = 100
)

// registryFeed is how far a sidecar follows the registry at one core.
type registryFeed struct {
	core       ident.Addr // the core that is polled
	generation int        // of the core that the position belongs to, 0 if none
	position   uint64
	polling    bool
	polls      int  // it identifies the poll in flight
	stale      bool // as the core last said of itself
}

// reset forgets the core and the position.
func (f *registryFeed) reset() {
	f.core, f.generation, f.position, f.polling = "", 0, 0, false
}

// follow goes over to another core.
func (f *registryFeed) follow(core ident.Addr) {
	f.core, f.generation, f.polling, f.stale = core, 0, false, false
}

// restart reads the registry anew and drops the poll in flight.
func (f *registryFeed) restart() {
	f.generation, f.polling = 0, false
	f.polls++
}

// pollResponse is what a core answers to a poll.
type pollResponse struct {
	generation int
	position   uint64
	sets       []record.Set
	config     *validation.Config
	stale      bool
}

// poll follows the registry and the configuration at a core. Where the daemon polls for long,
// this polls at each tick.
func (s *Sidecar) poll() {
	if followed := s.lease.PollTarget(); followed != s.feed.core {
		s.feed.follow(followed)
	}
	if s.feed.polling || s.world.Mutant == MutantIgnoreUpdates && s.world.Rng.IntN(deafPolls) > 0 {
		return
	}
	c := s.world.coreAt(s.feed.core)
	if c == nil {
		return
	}
	s.feed.polling = true
	s.feed.polls++
	number, cost := s.feed.polls, c.messageCost
	after := uint64(0)
	if s.feed.generation == c.generation {
		after = s.feed.position
		if c.node.Leases.FeedVersion() <= after {
			cost = 0 // the daemon's long poll waits, and is no request of its own
		}
	}
	rpcWithCost(s, &c.process, cost, pollTimeout, func(respond func(pollResponse, *failure.Error)) {
		respond(pollResponse{c.generation, c.node.Leases.FeedVersion(), c.node.Leases.ChangesSince(after), c.config, c.node.Stale()}, nil)
	}, func(r reply[pollResponse]) {
		if number == s.feed.polls {
			s.polled(r)
		}
	})
}

// polled takes the reply to the poll in flight.
func (s *Sidecar) polled(r reply[pollResponse]) {
	s.feed.polling = false
	if r.lost {
		s.feed.generation = 0
		s.lease.ExpediteRenewal()
		return
	}
	response := r.value
	s.feed.generation, s.feed.position = response.generation, response.position
	s.coreHeardAt = s.localTime()
	s.router.Index.Merge(response.sets)
	s.applyConfig(response.config)
	if response.stale && !s.feed.stale {
		s.lease.ExpediteRenewal()
		s.renew()
	}
	s.feed.stale = response.stale
}
