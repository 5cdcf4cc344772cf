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
	// maxProbes is how often a sidecar that starts asks the endpoint beside it, greetEvery
	// the pause between, and greetWait how long one question waits.
	maxProbes     = 4
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// defaultSlots is how many requests an endpoint is given at once that did not say how
	// many it works on, until its first beat.
	defaultSlots = 4
)

// probeEndpoint asks the endpoint beside a sidecar that was just started whether it is well: its
// next beat may be a whole pace away, and until then nothing could be sent to it. What it
// says counts as a beat. It needs to be told where the endpoint is and which service it
// serves, and a manifest that names the path to ask.
func (s *Sidecar) probeEndpoint() {
	if s.Settings.EndpointAddr == "" || s.Settings.EndpointService == "" || s.Settings.Headers.ServerID == "" {
		return
	}
	for !s.configActive.Load() {
		if s.sleep(5 * time.Millisecond); s.closing() {
			return
		}
	}
	for range maxProbes {
		s.mu.Lock()
		checkPath := s.router.Config().Services[s.Settings.EndpointService].HealthCheckPath
		hasWorkloads := len(s.endpoints.Workloads()) > 0 || s.leaving.Load()
		s.mu.Unlock()
		if hasWorkloads || checkPath == "" {
			return
		}
		resp, _, fail := s.endpointExchange.Do(context.Background(), s.Settings.EndpointAddr, exchange.Call{Method: http.MethodGet, Target: checkPath, Host: string(s.Settings.EndpointAddr), SingleUse: true, Deadline: time.Now().Add(probeTimeout)})
		s.Metrics.Add("greetings", 1)
		if heartbeat, ok := s.heartbeatFromProbe(resp); fail == nil && ok {
			s.mu.Lock()
			if hasWorkloads := len(s.endpoints.Workloads()) > 0; !hasWorkloads {
				now := s.clock()
				if change, fail := s.endpoints.HandleHeartbeat(now, heartbeat); fail == nil {
					s.applyEndpointChange(change)
					s.updateSlots(now, heartbeat)
				}
			}
			s.mu.Unlock()
			return
		}
		if s.sleep(probeInterval); s.closing() {
			return
		}
	}
}

// heartbeatFromProbe makes a beat of what the endpoint said; it is none unless it says that it is
// well, and who it is.
func (s *Sidecar) heartbeatFromProbe(resp *exchange.Response) (endpoint.Heartbeat, bool) {
	if resp == nil || resp.Status != http.StatusOK || firstValue(resp.Header, s.Settings.Headers.ServerID) == "" {
		return endpoint.Heartbeat{}, false
	}
	heartbeat := endpoint.Heartbeat{Server: ident.Server(firstValue(resp.Header, s.Settings.Headers.ServerID)), Service: s.Settings.EndpointService, Addr: s.Settings.EndpointAddr, State: endpoint.Alive, Slots: defaultSlots}
	if fields := strings.Split(firstValue(resp.Header, s.Settings.Headers.LoadReport), ","); len(fields) == 3 {
		if slots, err := strconv.Atoi(strings.TrimSpace(fields[2])); err == nil && slots > 0 {
			heartbeat.Slots = slots
		}
	}
	return heartbeat, true
}

// closing tells whether the duties end.
func (s *Sidecar) closing() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
