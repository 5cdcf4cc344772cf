package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/settings"
)

// healthResponse is an endpoint's response to a health check.
type healthResponse struct {
	status int
	server string
}

// probedEndpoint is an endpoint that sends the current healthResponse and counts the health checks.
type probedEndpoint struct {
	addr     ident.Addr
	response atomic.Pointer[healthResponse]
	probes   atomic.Int64
}

func newProbedEndpoint(t *testing.T, initial healthResponse) *probedEndpoint {
	e := &probedEndpoint{}
	e.response.Store(&initial)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		current := e.response.Load()
		w.Header().Set("X-Who", current.server)
		w.WriteHeader(current.status)
		e.probes.Add(1)
	}))
	t.Cleanup(server.Close)
	e.addr = ident.Addr(strings.TrimPrefix(server.URL, "http://"))
	return e
}

// newRestartedSidecar returns a sidecar without any state but a configuration, in which one service
// has a health check path and one does not.
func newRestartedSidecar(t *testing.T) *Sidecar {
	s := New(settings.Sidecar{HeartbeatInterval: time.Hour, Headers: settings.Headers{ServerID: "X-Who"}}, zap.NewNop())
	t.Cleanup(s.Close)
	s.planner.Enforce(&validation.Config{
		Revision: 1,
		Services: map[ident.Service]validation.Service{"asked": {HealthCheckPath: "/health"}, "silent": {}},
	})
	s.configActive.Store(true)
	return s
}

// statusOf returns the status of a server in the sidecar's own workloads, or "" if there is no such
// server.
func (s *Sidecar) statusOf(server ident.Server) record.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, workload := range s.endpoints.Workloads() {
		if workload.UID == server {
			return workload.Status
		}
	}
	return ""
}

// waitFor waits until a condition holds, for at most a minute, because the machine may be busy.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint(description))
	}
}

func aliveHeartbeat(server ident.Server, service ident.Service, addr ident.Addr, seq uint64) endpoint.Heartbeat {
	return endpoint.Heartbeat{Server: server, Service: service, Addr: addr, State: endpoint.Alive, Seq: seq, Slots: 6}
}

// A delayed heartbeat of an endpoint that has signed off arrives at a restarted sidecar: the
// endpoint receives no requests unless its own health check succeeds. Guards against a late
// heartbeat that makes an endpoint available again because the restarted sidecar has no record of
// the sign-off.
func TestLateHeartbeatAfterRestartIsNotTrusted(t *testing.T) {
	for name, health := range map[string]healthResponse{
		"responds that it is leaving":      {http.StatusServiceUnavailable, "e1"},
		"another server has its address":   {http.StatusOK, "e2"},
		"response without a server id":     {http.StatusOK, ""},
		"response is not from an endpoint": {http.StatusNotFound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newProbedEndpoint(t, health)
			s := newRestartedSidecar(t)
			must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "asked", target.addr, 7)))
			waitFor(t, "two health checks", func() bool { return target.probes.Load() >= 2 })
			must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "asked", target.addr, 8)))
			waitFor(t, "a third health check", func() bool { return target.probes.Load() >= 3 })
			must.Eq(t, record.Unknown, s.statusOf("e1"))
		})
	}
}

// A healthy endpoint is verified after the first heartbeat that follows a restart: when its health
// check succeeds, or at once if its service has no health check path. An endpoint of a service that
// is not configured must wait.
func TestHealthyEndpointIsVerifiedAfterRestart(t *testing.T) {
	target := newProbedEndpoint(t, healthResponse{http.StatusServiceUnavailable, "e1"})
	s := newRestartedSidecar(t)
	must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "asked", target.addr, 7)))
	waitFor(t, "the first health check", func() bool { return target.probes.Load() >= 1 })
	must.Eq(t, record.Unknown, s.statusOf("e1"))
	target.response.Store(&healthResponse{http.StatusOK, "e1"})
	waitFor(t, "verification of the endpoint", func() bool { return s.statusOf("e1") == record.Healthy })
	probes := target.probes.Load()
	must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "asked", target.addr, 8)))
	must.Eq(t, record.Healthy, s.statusOf("e1"))
	must.Eq(t, probes, target.probes.Load(), must.Sprint("no further health check"))

	must.Nil(t, s.Heartbeat(aliveHeartbeat("e3", "silent", "127.0.0.1:1", 1)))
	waitFor(t, "verification without a health check path", func() bool { return s.statusOf("e3") == record.Healthy })
	must.Nil(t, s.Heartbeat(aliveHeartbeat("e4", "unconfigured", "127.0.0.1:2", 1)))
	must.Eq(t, record.Unknown, s.statusOf("e4"))
}

// The service of an endpoint is configured after the endpoint's first heartbeat: the endpoint is
// checked immediately, not only at its next heartbeat.
func TestNewEndpointIsVerifiedWhenItsServiceIsConfigured(t *testing.T) {
	target := newProbedEndpoint(t, healthResponse{http.StatusOK, "e1"})
	s := newRestartedSidecar(t)
	s.config.cache.MarkJoined()
	must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "later.prairie", target.addr, 1)))
	waitFor(t, "the end of the verification", func() bool { return !s.isVerifying("e1") })
	must.Eq(t, record.Unknown, s.statusOf("e1"))
	must.Eq(t, 0, target.probes.Load())
	must.NoError(t, s.acceptWhole(2, []byte(`{"services":{"later.prairie":{"checkPath":"/health"}}}`)))
	waitFor(t, "verification of the endpoint", func() bool { return s.statusOf("e1") == record.Healthy })
}

func (s *Sidecar) isVerifying(server ident.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verifying[server]
}
