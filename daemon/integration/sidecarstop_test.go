package integration

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/standin/endpoint"
	"cottonarch.example/cottonarch/wire/response"
)

const (
	testHost = "a.host"
	// testApp is the id of the endpoint.
	testApp = "e1"
)

const minimalConfig = `{"services":{"a.x":{}},"ways":{"w":{"host":"a.host","service":"a.x","timeoutMs":90000}}}`

// smallMesh is one core, two sidecars, and an endpoint beside the second.
type smallMesh struct {
	*coreCluster
	callerSide, endpointSide *sidecarProcess
	app                      *endpoint.Endpoint
}

// startSmallMesh starts the mesh and waits until both sidecars reach the endpoint.
func startSmallMesh(t *testing.T, workTime, stopTimeout time.Duration) *smallMesh {
	cluster := startCores(t, 1)
	m := &smallMesh{
		coreCluster:  cluster,
		callerSide:   startSidecar(t, cluster.addrs, stopTimeout),
		endpointSide: startSidecar(t, cluster.addrs, stopTimeout),
	}
	t.Cleanup(func() {
		m.callerSide.kill()
		m.endpointSide.kill()
	})
	eventually(t, "a configuration", func() bool {
		status, _ := request(http.MethodPut, cluster.addrs[0], "", "/manifest", []byte(minimalConfig), nil)
		return status == http.StatusOK
	})
	app, err := endpoint.Start(endpoint.Options{
		Server:      testApp,
		Service:     "a.x",
		Addr:        freeAddr(t),
		SidecarAddr: m.endpointSide.addr,
		Behavior:    endpoint.Behavior{WorkTime: workTime},
	})
	must.NoError(t, err)
	m.app = app
	t.Cleanup(app.Kill)
	for _, side := range []*sidecarProcess{m.callerSide, m.endpointSide} {
		m.awaitServing(side, "/warm")
	}
	return m
}

// get sends a request through a sidecar.
func (m *smallMesh) get(side *sidecarProcess, path string) (status int, headers http.Header, echo endpoint.Echo) {
	status, headers = request(http.MethodGet, side.callerAddr, testHost, path, nil, &echo)
	return status, headers, echo
}

// awaitServing waits until a request through a sidecar reaches the endpoint.
func (m *smallMesh) awaitServing(side *sidecarProcess, path string) {
	m.t.Helper()
	eventually(m.t, "a response", func() bool {
		status, _, echo := m.get(side, path)
		return status == http.StatusOK && echo.Path == path
	})
}

// holdRequests sends n requests and waits until the endpoint has them, which holds them until they
// are released. wait waits for the responses: each must be whole and the endpoint's own.
func (m *smallMesh) holdRequests(side *sidecarProcess, n int) (release, wait func()) {
	held := make(chan struct{})
	m.app.SetBehavior(endpoint.Behavior{Release: held})
	release = sync.OnceFunc(func() { close(held) })
	m.t.Cleanup(release)
	var requests sync.WaitGroup
	var answered atomic.Int64
	for i := range n {
		requests.Go(func() {
			path := fmt.Sprintf("/held/%d", i)
			status, headers, echo := m.get(side, path)
			ofEndpoint := echo.Path == path && echo.Server == testApp && headers.Get(response.OutcomeHeader) == ""
			if status == http.StatusOK && ofEndpoint {
				answered.Add(1)
			}
		})
	}
	eventually(m.t, "requests in flight", func() bool { return m.app.InFlight() == int64(n) })
	wait = func() {
		requests.Wait()
		must.Eq(m.t, int64(n), answered.Load())
	}
	return release, wait
}

// Requests that are in flight for longer than the time of the planned stop, at the caller's sidecar
// and at the endpoint's, all get the endpoint's response.
func TestStopLongerThanItsWarning(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"the caller's sidecar", "the endpoint's sidecar"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startSmallMesh(t, 0, 300*time.Millisecond)
			release, wait := m.holdRequests(m.callerSide, 6)
			stopping := m.callerSide
			if name == "the endpoint's sidecar" {
				stopping = m.endpointSide
			}
			time.AfterFunc(1700*time.Millisecond, release)
			stopping.stop()
			wait()
		})
	}
}

// A configuration that removes the route and the service of requests in flight drops none of them,
// nor does the endpoint's planned stop.
func TestConfigRemovesRouteOfRequestsInFlight(t *testing.T) {
	t.Parallel()
	m := startSmallMesh(t, 0, time.Second)
	release, wait := m.holdRequests(m.callerSide, 6)
	revision := m.putConfig(`{"services":{"b.x":{}},"ways":{"v":{"host":"b.host","service":"b.x"}}}`)
	m.awaitConfig(m.callerSide, revision)
	m.awaitConfig(m.endpointSide, revision)
	status, _, _ := m.get(m.callerSide, "/gone")
	must.Eq(t, http.StatusNotFound, status)
	must.Eq(t, 6, m.app.InFlight())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.app.Stop(30 * time.Second)
	}()
	time.AfterFunc(300*time.Millisecond, release)
	wait()
	<-done
}

// putConfig puts a configuration and gives its revision.
func (m *smallMesh) putConfig(config string) ident.ConfigRevision {
	var accepted struct {
		Revision ident.ConfigRevision `json:"epoch"`
	}
	status, _ := request(http.MethodPut, m.addrs[0], "", "/manifest", []byte(config), &accepted)
	must.Eq(m.t, http.StatusOK, status)
	return accepted.Revision
}

// awaitConfig waits until a configuration is active at a sidecar.
func (m *smallMesh) awaitConfig(side *sidecarProcess, revision ident.ConfigRevision) {
	m.t.Helper()
	eventually(m.t, "the active configuration", func() bool {
		var got struct {
			Revision ident.ConfigRevision `json:"manifest"`
		}
		status, _ := request(http.MethodGet, side.addr, "", "/status", nil, &got)
		return status == http.StatusOK && got.Revision >= revision
	})
}

// A caller that keeps sending until the sidecar has stopped gets whole responses, each either the
// endpoint's or a rejection with Retry-After, until no connection is taken any more.
func TestCallerThatKeepsSending(t *testing.T) {
	t.Parallel()
	m := startSmallMesh(t, 5*time.Millisecond, 4*time.Second)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		m.callerSide.stop()
	}()
	served, refused := 0, 0
	for n := 0; refused < 3; n++ {
		path := fmt.Sprintf("/on/%d", n)
		status, headers, echo := m.get(m.callerSide, path)
		switch status {
		case http.StatusOK:
			must.Eq(t, path, echo.Path)
			served++
		case http.StatusServiceUnavailable:
			must.Eq(t, string(failure.NotExecuted), headers.Get(response.OutcomeHeader))
			must.NotEq(t, "", headers.Get("Retry-After"))
		default:
			// Only when nobody listens any more.
			must.Eq(t, 0, status)
			refused++
		}
	}
	<-stopped
	must.Positive(t, served)
}
