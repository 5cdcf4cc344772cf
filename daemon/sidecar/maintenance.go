package sidecar

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

const (
	// maintenanceInterval is how often time-outs are looked at.
	maintenanceInterval = 80 * time.Millisecond
	// tidyEvery is at which of these rounds what is no longer used is dropped.
	ticksPerPrune = 100
)

// runMaintenance lets time pass for all that depends on it: endpoints that fell silent, waiting
// requests, the retry budget, a configuration whose wait is over.
func (s *Sidecar) runMaintenance() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-s.done:
			return
		}
		s.mu.Lock()
		s.tick(s.clock())
		if round%ticksPerPrune == 0 {
			s.prune(s.clock())
		}
		s.mu.Unlock()
	}
}

// tick lets time pass; mu is held.
func (s *Sidecar) tick(now monotime.Time) {
	s.activatePending()
	s.planner.RetryBudget.Tick(now)
	s.stepLimitedClock() // it counts only the time between calls that follow closely
	s.applyEndpointChange(s.endpoints.Tick(now))
	s.slots.deliver(s.slots.queue.Tick(now))
}

// tidy drops connections that are not used and the statistics of endpoints that are gone; mu is
// held.
func (s *Sidecar) prune(now monotime.Time) {
	s.endpointExchange.CloseExpired()
	s.peerExchange.CloseExpired()
	s.planner.Balancer.Prune(now, func(server ident.Server) bool {
		_, ok := s.planner.Index.Lookup(string(server))
		return ok
	})
}

// Heartbeat takes an endpoint's heartbeat.
func (s *Sidecar) Heartbeat(heartbeat endpoint.Heartbeat) *failure.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(counterHeartbeats)
	return s.applyHeartbeat(heartbeat)
}

// takeHeartbeat takes an endpoint's heartbeat, and its slots unless it is rejected; mu is held.
func (s *Sidecar) applyHeartbeat(heartbeat endpoint.Heartbeat) *failure.Error {
	now := s.clock()
	change, fail := s.endpoints.HandleHeartbeat(now, heartbeat)
	s.applyEndpointChange(change)
	if fail != nil {
		return fail
	}
	s.slots.update(now, heartbeat)
	s.verifyNewEndpoints()
	return nil
}

// applyEndpointChange carries out what a change of the endpoints of this machine asks for; mu
// is held.
func (s *Sidecar) applyEndpointChange(change endpoint.Change) {
	for _, addr := range change.CloseAddrs {
		s.endpointExchange.Drop(addr)
	}
	if change.WorkloadsChanged {
		s.slots.sync(s.endpoints.Workloads())
		s.reportChanged = true
		s.renewer.wake()
	}
}
