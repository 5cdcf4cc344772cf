package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	// maxProbes is how often a starting sidecar probes its endpoint, probeInterval is the pause
	// between two probes, and probeTimeout bounds one probe.
	maxProbes     = 4
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// configWaitInterval is the interval between checks for an active configuration.
	configWaitInterval = 5 * time.Millisecond
	// defaultSlots is the number of concurrent requests, until the first heartbeat, for an endpoint
	// that does not report its number of slots.
	defaultSlots = 4
	// loadFields is the number of fields of an endpoint's load header; the last field is the number
	// of slots.
	loadFields = 3
)

// probeEndpoint checks after startup whether the local endpoint is healthy, and treats a successful
// response as a heartbeat. The next heartbeat may be a whole interval away, and no request could be
// sent to the endpoint until then. The probe requires settings with the endpoint's address and
// service, and a configuration with a health check path for that service.
func (s *Sidecar) probeEndpoint() {
	if s.Settings.EndpointAddr == "" || s.Settings.EndpointService == "" || !s.canProbeEndpoints() {
		return
	}
	if !s.awaitConfig() {
		return
	}
	for range maxProbes {
		path, wanted := s.probePath()
		if !wanted {
			return
		}
		if s.probe(path) {
			return
		}
		if s.sleep(probeInterval); s.closed() {
			return
		}
	}
}

// canProbeEndpoints reports whether the response to a probe identifies the endpoint.
func (s *Sidecar) canProbeEndpoints() bool { return s.Settings.Headers.ServerID != "" }

// awaitConfig waits until a configuration is active; it returns false if the sidecar is closed
// first.
func (s *Sidecar) awaitConfig() bool {
	for !s.configActive.Load() {
		if s.sleep(configWaitInterval); s.closed() {
			return false
		}
	}
	return true
}

// probePath returns the health check path. No probe is wanted if the configuration has no such
// path, a heartbeat has arrived in the meantime, or this sidecar is leaving.
func (s *Sidecar) probePath() (path string, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	path = s.planner.Config().Services[s.Settings.EndpointService].HealthCheckPath
	known := len(s.endpoints.Workloads()) > 0
	return path, path != "" && !known && !s.leaving.Load()
}

// probe probes the endpoint once and reports whether the endpoint is healthy.
func (s *Sidecar) probe(path string) bool {
	heartbeat, ok := s.heartbeatFromProbe(s.checkHealth(s.Settings.EndpointAddr, path))
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.endpoints.Workloads()) == 0 {
		_ = s.applyHeartbeat(heartbeat) // if the heartbeat is rejected, the next heartbeat of the endpoint replaces it
		s.applyEndpointChange(s.endpoints.MarkVerified(s.clock(), heartbeat.Server))
	}
	return true
}

// checkHealth requests an endpoint's health once; the response is nil if none arrived.
func (s *Sidecar) checkHealth(addr ident.Addr, path string) *exchange.Response {
	call := exchange.Call{
		Method:    http.MethodGet,
		Target:    path,
		Host:      string(addr),
		SingleUse: true,
		Deadline:  time.Now().Add(probeTimeout),
	}
	resp, _, fail := s.endpointExchange.Do(context.Background(), addr, call)
	s.count(counterProbes)
	if fail != nil {
		return nil
	}
	return resp
}

// healthyServer returns the id of the server that responded to a probe, or "" unless the response
// reports a healthy server.
func (s *Sidecar) healthyServer(resp *exchange.Response) ident.Server {
	if resp == nil || resp.Status != http.StatusOK {
		return ""
	}
	return ident.Server(firstValue(resp.Header, s.Settings.Headers.ServerID))
}

// heartbeatFromProbe converts the response to a probe into a heartbeat. There is no heartbeat
// unless the response says that the endpoint is healthy and names the server.
func (s *Sidecar) heartbeatFromProbe(resp *exchange.Response) (endpoint.Heartbeat, bool) {
	server := s.healthyServer(resp)
	if server == "" {
		return endpoint.Heartbeat{}, false
	}
	return endpoint.Heartbeat{
		Server:  server,
		Service: s.Settings.EndpointService,
		Addr:    s.Settings.EndpointAddr,
		State:   endpoint.Alive,
		Slots:   slotsFromLoad(firstValue(resp.Header, s.Settings.Headers.LoadReport)),
	}, true
}

// slotsFromLoad parses the number of slots from an endpoint's load header; a malformed header
// yields defaultSlots.
func slotsFromLoad(load string) int {
	fields := strings.Split(load, ",")
	if len(fields) != loadFields {
		return defaultSlots
	}
	slots, err := strconv.Atoi(strings.TrimSpace(fields[loadFields-1]))
	if err != nil || slots <= 0 {
		return defaultSlots
	}
	return slots
}
