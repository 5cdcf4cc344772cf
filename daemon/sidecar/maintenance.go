package sidecar

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

const (
	// maintenanceInterval is the interval between checks of all timeouts.
	maintenanceInterval = 80 * time.Millisecond
	// ticksPerPrune is how many maintenance ticks pass between calls of prune.
	ticksPerPrune = 100
)

// runMaintenance periodically advances everything that depends on time: timeouts of endpoints,
// waiting requests, the retry budget, and pending configurations.
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

// tick advances everything that depends on time to now; the caller must hold mu.
func (s *Sidecar) tick(now monotime.Time) {
	s.activatePending()
	s.planner.RetryBudget.Tick(now)
	s.stepLimitedClock() // advances by a bounded step per reading, so must be read often
	s.applyEndpointChange(s.endpoints.Tick(now))
	s.slots.deliver(s.slots.queue.Tick(now))
}

// prune closes unused connections and drops the statistics of endpoints that no longer exist; the
// caller must hold mu.
func (s *Sidecar) prune(now monotime.Time) {
	s.endpointExchange.CloseExpired()
	s.peerExchange.CloseExpired()
	s.planner.Balancer.Prune(now, func(server ident.Server) bool {
		_, ok := s.planner.Index.Lookup(string(server))
		return ok
	})
}

// Heartbeat handles a heartbeat of an endpoint.
func (s *Sidecar) Heartbeat(heartbeat endpoint.Heartbeat) *failure.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(counterHeartbeats)
	return s.applyHeartbeat(heartbeat)
}

// applyHeartbeat applies an endpoint's heartbeat and, unless the heartbeat is rejected, its number
// of slots; the caller must hold mu.
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

// applyEndpointChange carries out the consequences of a change of this machine's endpoints; the
// caller must hold mu.
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
