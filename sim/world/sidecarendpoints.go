package world

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/sim/invariant"
)

const (
	// probeSlots is the number of slots that the daemon assumes for an endpoint found by a probe.
	probeSlots = 4
	// probeLatency is the time that a probe of an endpoint takes.
	probeLatency = time.Millisecond
	// verifyPause is the delay between two probes of an endpoint's health.
	verifyPause = 300 * time.Millisecond
)

// recordLosses records the endpoints whose heartbeat timeout has ended, by the local clock and the
// accepted heartbeats. recordLosses does not use the sidecar's endpoint tracker, because the
// invariants check the tracker's decisions against these records.
func (s *Sidecar) recordLosses() {
	for _, e := range s.Endpoints {
		if e.lossConfirmedAt == 0 && e.lastHeartbeat != 0 && s.localTime().Since(e.lastHeartbeat) > s.world.heartbeatTimeout() {
			e.lossConfirmedAt = s.world.now
			s.world.Checker.Observe(invariant.RequestAfterLeave)
		}
	}
}

// handleHeartbeat passes a heartbeat of an endpoint to the tracker and to the admission queue, and
// reports whether the tracker accepted the heartbeat.
func (s *Sidecar) handleHeartbeat(e *Endpoint, heartbeat endpoint.Heartbeat) bool {
	change, rejection := s.tracker.HandleHeartbeat(s.localTime(), heartbeat)
	if rejection != nil {
		return false
	}
	s.handleEndpointChange(change)
	s.setSlots(heartbeat)
	e.lastHeartbeat, e.lossConfirmedAt = s.localTime(), 0
	for _, unverified := range s.tracker.Unverified() {
		s.verify(unverified.Server)
	}
	return true
}

// verify probes a server that is known only from heartbeats, as the daemon does, until the tracker
// no longer lists that server as unverified.
func (s *Sidecar) verify(server ident.Server) {
	if s.verifying[server] {
		return
	}
	s.verifying[server] = true
	generation := s.generation
	var probe func()
	probe = func() {
		s.runInGeneration(generation, func() {
			heartbeat, unverified := s.unverifiedHeartbeat(server)
			if !unverified {
				delete(s.verifying, server)
				return
			}
			if s.router.Revision() > 0 && s.world.respondsAsHealthy(heartbeat) {
				s.handleEndpointChange(s.tracker.MarkVerified(s.localTime(), server))
			}
			s.world.After(verifyPause, probe)
		})
	}
	s.world.After(probeLatency, probe)
}

// unverifiedHeartbeat returns the newest heartbeat of a server that the tracker lists as unverified.
// The second result is false if the tracker does not list the server.
func (s *Sidecar) unverifiedHeartbeat(server ident.Server) (endpoint.Heartbeat, bool) {
	for _, heartbeat := range s.tracker.Unverified() {
		if heartbeat.Server == server {
			return heartbeat, true
		}
	}
	return endpoint.Heartbeat{}, false
}

// respondsAsHealthy reports whether the process at a heartbeat's address is the server of that
// heartbeat and is healthy.
func (w *World) respondsAsHealthy(heartbeat endpoint.Heartbeat) bool {
	e := w.endpoints[heartbeat.Addr]
	return e != nil && e.running && !e.hung && e.Server == heartbeat.Server && e.state == endpoint.Alive
}

// handleEndpointChange applies a change of the tracker to the admission queue.
func (s *Sidecar) handleEndpointChange(change endpoint.Change) {
	if s.world.Platform && change.WorkloadsChanged && !(s.leaving && s.world.Mutant == MutantQueueInStop) {
		s.syncAdmission()
	}
}

// syncAdmission removes from the admission queue the endpoints that the tracker no longer knows, and
// rejects the attempts that wait for endpoints that are not healthy.
func (s *Sidecar) syncAdmission() {
	known := map[ident.Server]bool{}
	for _, workload := range s.tracker.Workloads() {
		known[workload.UID] = true
		if workload.Status != record.Healthy {
			s.deliverVerdicts(s.admission.RejectAll(workload.UID))
		}
	}
	admitting := s.admittedEndpoints[:0]
	for _, server := range s.admittedEndpoints {
		if known[server] {
			admitting = append(admitting, server)
			continue
		}
		s.deliverVerdicts(s.admission.Remove(server))
	}
	s.admittedEndpoints = admitting
}

// setSlots sets the endpoint's number of slots in the admission queue to the number that a heartbeat
// reports.
func (s *Sidecar) setSlots(heartbeat endpoint.Heartbeat) {
	if !s.world.Platform || heartbeat.State != endpoint.Alive || heartbeat.Slots == 0 {
		return
	}
	if !slices.Contains(s.admittedEndpoints, heartbeat.Server) {
		s.admittedEndpoints = append(s.admittedEndpoints, heartbeat.Server)
	}
	s.deliverVerdicts(s.admission.SetSlots(s.localTime(), heartbeat.Server, heartbeat.Slots, 0))
}

// probeFirstEndpoint probes the first local endpoint once after a start of the sidecar, when a
// configuration is active. The daemon does so too, but repeats a failed probe.
func (s *Sidecar) probeFirstEndpoint() {
	if s.probed || s.router.Revision() == 0 {
		return
	}
	s.probed = true
	if len(s.Endpoints) == 0 || s.Endpoints[0].hung || s.Endpoints[0].state != endpoint.Alive {
		return
	}
	e, generation := s.Endpoints[0], s.generation
	heartbeat := endpoint.Heartbeat{Server: e.Server, Service: e.Service, Addr: e.Addr, State: endpoint.Alive, Slots: probeSlots}
	s.world.After(probeLatency, func() {
		s.runInGeneration(generation, func() {
			if len(s.tracker.Workloads()) == 0 && !s.leaving {
				s.handleHeartbeat(e, heartbeat)
				s.handleEndpointChange(s.tracker.MarkVerified(s.localTime(), e.Server))
			}
		})
	})
}
