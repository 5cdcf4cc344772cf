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
	// verifyPause is the pause before an endpoint is asked again whether it is healthy.
	verifyPause = 300 * time.Millisecond
)

// recordLosses notes whose loss is confirmed on this machine, by its own clock and by the
// heartbeats that it took: the tracker, which is judged by it, is not asked.
func (s *Sidecar) recordLosses() {
	for _, e := range s.Endpoints {
		if e.lossConfirmedAt == 0 && e.lastHeartbeat != 0 && s.localTime().Since(e.lastHeartbeat) > s.world.silenceTimeout() {
			e.lossConfirmedAt = s.world.now
			s.world.Checker.Observe(invariant.RequestAfterLeave)
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
	for _, newcomer := range s.tracker.Unverified() {
		s.verify(newcomer.Server)
	}
	return true
}

// verify asks a server that is known by heartbeats alone, as the daemon does, until it answers that it
// is healthy or is no longer to be asked.
func (s *Sidecar) verify(server ident.Server) {
	if s.verifying[server] {
		return
	}
	s.verifying[server] = true
	generation := s.generation
	var ask func()
	ask = func() {
		s.runInGeneration(generation, func() {
			newcomer, wanted := s.newcomer(server)
			if !wanted {
				delete(s.verifying, server)
				return
			}
			if s.router.Revision() > 0 && s.world.answersAsHealthy(newcomer) {
				s.endpointsChanged(s.tracker.MarkVerified(s.localTime(), server))
			}
			s.world.After(verifyPause, ask)
		})
	}
	s.world.After(probeLatency, ask)
}

// newcomer is the newest heartbeat of a server that is to be asked; it is false if it is not.
func (s *Sidecar) newcomer(server ident.Server) (endpoint.Heartbeat, bool) {
	for _, newcomer := range s.tracker.Unverified() {
		if newcomer.Server == server {
			return newcomer, true
		}
	}
	return endpoint.Heartbeat{}, false
}

// answersAsHealthy reports whether what is at a heartbeat's address answers that it is that server and
// healthy.
func (w *World) answersAsHealthy(heartbeat endpoint.Heartbeat) bool {
	e := w.endpoints[heartbeat.Addr]
	return e != nil && e.running && !e.hung && e.Server == heartbeat.Server && e.state == endpoint.Alive
}

// endpointsChanged carries a change of the tracker over to the admission queue.
func (s *Sidecar) endpointsChanged(change endpoint.Change) {
	if s.world.Platform && change.WorkloadsChanged && !(s.leaving && s.world.Mutant == MutantQueueInStop) {
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
				s.endpointsChanged(s.tracker.MarkVerified(s.localTime(), e.Server))
			}
		})
	})
}
