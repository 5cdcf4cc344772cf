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
	// With MutantIgnoreUpdates, a sidecar sends on average one of pollsPerSentPoll due polls.
	pollsPerSentPoll = 100
)

// registryFeed is the position up to which a sidecar has read the registry at one core.
type registryFeed struct {
	core       ident.Addr // the core that is polled
	generation int        // generation of the core to which the position belongs, 0 if none
	position   uint64
	polling    bool
	pollNumber int  // identifies the poll in flight
	stale      bool // whether the core last reported its own state as stale
}

// reset forgets the core and the position.
func (f *registryFeed) reset() {
	f.core, f.generation, f.position, f.polling = "", 0, 0, false
}

// switchTo switches to another core and drops the position.
func (f *registryFeed) switchTo(core ident.Addr) {
	f.core, f.generation, f.polling, f.stale = core, 0, false, false
}

// restart makes the next poll read the whole registry, and drops the poll in flight.
func (f *registryFeed) restart() {
	f.generation, f.polling = 0, false
	f.pollNumber++
}

// pollResponse is the response of a core to a poll.
type pollResponse struct {
	generation int
	position   uint64
	sets       []record.Set
	config     *validation.Config
	stale      bool
}

// poll requests the changes of the registry and the configuration from a core. The daemon uses a
// long poll; the simulation polls at each tick.
func (s *Sidecar) poll() {
	if target := s.lease.PollTarget(); target != s.feed.core {
		s.feed.switchTo(target)
	}
	if s.feed.polling || s.world.Mutant == MutantIgnoreUpdates && s.world.Rng.IntN(pollsPerSentPoll) > 0 {
		return
	}
	c := s.world.coreAt(s.feed.core)
	if c == nil {
		return
	}
	s.feed.polling = true
	s.feed.pollNumber++
	pollNumber, cost := s.feed.pollNumber, c.messageCost
	after := uint64(0)
	if s.feed.generation == c.generation {
		after = s.feed.position
		if c.node.Leases.FeedVersion() <= after {
			cost = 0 // the daemon's long poll would still be waiting, and send no new request
		}
	}
	rpcWithCost(s, &c.process, cost, pollTimeout, func(respond func(pollResponse, *failure.Error)) {
		respond(pollResponse{c.generation, c.node.Leases.FeedVersion(), c.node.Leases.ChangesSince(after), c.config, c.node.Stale()}, nil)
	}, func(r rpcResult[pollResponse]) {
		if pollNumber == s.feed.pollNumber {
			s.handlePollResult(r)
		}
	})
}

// handlePollResult handles the result of the poll in flight.
func (s *Sidecar) handlePollResult(r rpcResult[pollResponse]) {
	s.feed.polling = false
	if r.lost {
		s.feed.generation = 0
		s.lease.ExpediteRenewal()
		return
	}
	response := r.value
	s.feed.generation, s.feed.position = response.generation, response.position
	s.lastCoreContact = s.localTime()
	s.router.Index.Merge(response.sets)
	s.addConfig(response.config)
	if response.stale && !s.feed.stale {
		s.lease.ExpediteRenewal()
		s.renew()
	}
	s.feed.stale = response.stale
}
