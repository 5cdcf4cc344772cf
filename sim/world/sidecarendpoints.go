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
	// probeSlots is the number of slots that the daemon assumes of an endpoint that it finds.
	probeSlots = 4
	// probeLatency is how long the daemon takes to find it.
	probeLatency = time.Millisecond
)

// recordLosses notes whose loss is confirmed on this machine, by its own clock and by the
// heartbeats that it took: the tracker, which is judged by it, is not asked.
func (s *Sidecar) recordLosses() {
	for _, e := range s.Endpoints {
		if e.lossConfirmedAt == 0 && e.lastHeartbeat != 0 && s.localTime().Since(e.lastHeartbeat) > s.world.silenceTimeout() {
			e.lossConfirmedAt = s.world.now
			s.world.Checker.Observe(invariant.LateToLeaver)
		}
	}
}

// handleHeartbeat has the tracker and the admission queue take a heartbeat of an endpoint; it
// tells whether they did.
func (s *Sidecar) handleHeartbeat(e *Endpoint, heartbeat endpoint.Heartbeat) bool {
	change, rejection := s.tracker.HandleHeartbeat(s.localTime(), heartbeat)
	if rejection != nil {
		return false
	}
	s.endpointsChanged(change)
	s.setSlots(heartbeat)
	e.lastHeartbeat, e.lossConfirmedAt = s.localTime(), 0
	return true
}

// endpointsChanged carries a change of the tracker over to the admission queue.
func (s *Sidecar) endpointsChanged(change endpoint.Change) {
	if s.world.Platform && change.Updated && !(s.leaving && s.world.Mutant == MutantQueueInStop) {
		s.syncAdmission()
	}
}

// syncAdmission removes from the admission queue what the tracker does not know any longer, and
// rejects what waits for endpoints that are not healthy.
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

// setSlots tells the admission queue of the slots that a heartbeat reports.
func (s *Sidecar) setSlots(heartbeat endpoint.Heartbeat) {
	if !s.world.Platform || heartbeat.State != endpoint.Alive || heartbeat.Slots == 0 {
		return
	}
	if !slices.Contains(s.admittedEndpoints, heartbeat.Server) {
		s.admittedEndpoints = append(s.admittedEndpoints, heartbeat.Server)
	}
	s.deliverVerdicts(s.admission.SetSlots(s.localTime(), heartbeat.Server, heartbeat.Slots, 0))
}

// probeEndpoint asks the endpoint beside a sidecar that has just started, as the daemon does.
func (s *Sidecar) probeEndpoint() {
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
			}
		})
	})
}
