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

// healthAnswer is how an endpoint answers when it is asked whether it is healthy.
type healthResponse struct {
	status int
	server string
}

// askedEndpoint is an endpoint that gives the newest healthAnswer and counts the questions.
type probedEndpoint struct {
	addr     ident.Addr
	response atomic.Pointer[healthResponse]
	probes   atomic.Int64
}

func newProbedEndpoint(t *testing.T, answer healthResponse) *probedEndpoint {
	e := &probedEndpoint{}
	e.response.Store(&answer)
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

// newRestartedSidecar makes a sidecar that remembers nothing. It has a configuration, in which one
// service names the path to ask for health and one does not.
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

// statusOf is the status under which the sidecar's registry shows a server, "" if it does not.
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

// awaitThat waits until a condition holds, however busy the machine is.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint(description))
	}
}

func aliveHeartbeat(server ident.Server, service ident.Service, addr ident.Addr, seq uint64) endpoint.Heartbeat {
	return endpoint.Heartbeat{Server: server, Service: service, Addr: addr, State: endpoint.Alive, Seq: seq, Slots: 6}
}

// A heartbeat of an endpoint that signed off comes to a sidecar that was restarted since: the endpoint
// gets no requests unless it says itself that it is healthy. Guards against a late heartbeat that brings
// an endpoint back, its sign-off forgotten with the earlier run.
func TestLateHeartbeatAfterRestartIsNotTrusted(t *testing.T) {
	for name, answer := range map[string]healthResponse{
		"it says that it leaves":            {http.StatusServiceUnavailable, "e1"},
		"another server is there now":       {http.StatusOK, "e2"},
		"what answers there has no name":    {http.StatusOK, ""},
		"what answers there is no endpoint": {http.StatusNotFound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newProbedEndpoint(t, answer)
			s := newRestartedSidecar(t)
			must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "asked", target.addr, 7)))
			waitFor(t, "it is asked twice", func() bool { return target.probes.Load() >= 2 })
			must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "asked", target.addr, 8)))
			waitFor(t, "it is asked again", func() bool { return target.probes.Load() >= 3 })
			must.Eq(t, record.Unknown, s.statusOf("e1"))
		})
	}
}

// An endpoint that lives is found by its first heartbeat after a restart: once it answers, or at once
// where its service names no path to ask. One of a service that is not configured waits.
func TestHealthyEndpointIsVerifiedAfterRestart(t *testing.T) {
	target := newProbedEndpoint(t, healthResponse{http.StatusServiceUnavailable, "e1"})
	s := newRestartedSidecar(t)
	must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "asked", target.addr, 7)))
	waitFor(t, "it is asked", func() bool { return target.probes.Load() >= 1 })
	must.Eq(t, record.Unknown, s.statusOf("e1"))
	target.response.Store(&healthResponse{http.StatusOK, "e1"})
	waitFor(t, "it is verified", func() bool { return s.statusOf("e1") == record.Healthy })
	probes := target.probes.Load()
	must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "asked", target.addr, 8)))
	must.Eq(t, record.Healthy, s.statusOf("e1"))
	must.Eq(t, probes, target.probes.Load(), must.Sprint("it is not asked again"))

	must.Nil(t, s.Heartbeat(aliveHeartbeat("e3", "silent", "127.0.0.1:1", 1)))
	waitFor(t, "a service without a path", func() bool { return s.statusOf("e3") == record.Healthy })
	must.Nil(t, s.Heartbeat(aliveHeartbeat("e4", "unconfigured", "127.0.0.1:2", 1)))
	must.Eq(t, record.Unknown, s.statusOf("e4"))
}

// The service of an endpoint is configured after its first heartbeat has come: it is asked at once, not
// at its next heartbeat.
func TestNewEndpointIsVerifiedWhenItsServiceIsConfigured(t *testing.T) {
	target := newProbedEndpoint(t, healthResponse{http.StatusOK, "e1"})
	s := newRestartedSidecar(t)
	s.config.cache.MarkJoined()
	must.Nil(t, s.Heartbeat(aliveHeartbeat("e1", "later.prairie", target.addr, 1)))
	waitFor(t, "its verification ends", func() bool { return !s.isVerifying("e1") })
	must.Eq(t, record.Unknown, s.statusOf("e1"))
	must.Eq(t, 0, target.probes.Load())
	must.NoError(t, s.acceptWhole(2, []byte(`{"services":{"later.prairie":{"checkPath":"/health"}}}`)))
	waitFor(t, "it is verified", func() bool { return s.statusOf("e1") == record.Healthy })
}

func (s *Sidecar) isVerifying(server ident.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verifying[server]
}
