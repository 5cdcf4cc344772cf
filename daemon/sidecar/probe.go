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
	// maxProbes is how often a sidecar that starts probes its endpoint, probeInterval the pause
	// between, and probeTimeout the bound of one probe.
	maxProbes     = 4
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// configWaitInterval is how often it looks whether a configuration is active.
	configWaitInterval = 5 * time.Millisecond
	// defaultSlots is the number of requests at once for an endpoint that does not tell its own,
	// until its first heartbeat.
	defaultSlots = 4
	// loadFields is the number of fields of an endpoint's load header; the last is its slots.
	loadFields = 3
)

// probeEndpoint asks the endpoint beside a sidecar that was just started whether it is healthy.
// Its next heartbeat may be a whole interval away, and until then nothing could be sent to it: a
// good answer counts as a heartbeat. It needs settings that tell the endpoint's address and
// service, and a configuration that names the path to ask.
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

// canAskEndpoints reports whether an endpoint's answer to a probe tells which one it is.
func (s *Sidecar) canProbeEndpoints() bool { return s.Settings.Headers.ServerID != "" }

// awaitConfig waits until a configuration is active; it is false if the duties end before.
func (s *Sidecar) awaitConfig() bool {
	for !s.configActive.Load() {
		if s.sleep(configWaitInterval); s.closed() {
			return false
		}
	}
	return true
}

// probePath is the path to ask; a probe is not wanted when there is none, when a heartbeat came
// meanwhile, or when this sidecar is leaving.
func (s *Sidecar) probePath() (path string, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	path = s.planner.Config().Services[s.Settings.EndpointService].HealthCheckPath
	known := len(s.endpoints.Workloads()) > 0
	return path, path != "" && !known && !s.leaving.Load()
}

// probe asks the endpoint once, and reports whether its answer was taken as a heartbeat.
func (s *Sidecar) probe(path string) bool {
	heartbeat, ok := s.heartbeatFromProbe(s.checkHealth(s.Settings.EndpointAddr, path))
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.endpoints.Workloads()) == 0 {
		_ = s.applyHeartbeat(heartbeat) // a heartbeat that is rejected is made good by the next one
		s.applyEndpointChange(s.endpoints.MarkVerified(s.clock(), heartbeat.Server))
	}
	return true
}

// askHealth asks an endpoint for its health once; the response is nil if there is none.
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

// healthyServer returns the server that a response to a probe comes from, "" unless it says that it
// is healthy.
func (s *Sidecar) healthyServer(resp *exchange.Response) ident.Server {
	if resp == nil || resp.Status != http.StatusOK {
		return ""
	}
	return ident.Server(firstValue(resp.Header, s.Settings.Headers.ServerID))
}

// heartbeatFromProbe makes a heartbeat of the endpoint's answer; there is none unless the answer
// says that the endpoint is healthy, and which one it is.
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

// slotsFromLoad reads the slots of an endpoint's load header, or gives defaultSlots.
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
