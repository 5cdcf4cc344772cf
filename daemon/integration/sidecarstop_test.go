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
	// testServerID is the server ID of the endpoint.
	testServerID = "e1"
)

const minimalConfig = `{"services":{"a.x":{}},"ways":{"w":{"host":"a.host","service":"a.x","timeoutMs":90000}}}`

// smallMesh consists of one core, two sidecars, and an endpoint that is local to the second sidecar.
type smallMesh struct {
	*coreCluster
	clientSidecar, endpointSidecar *sidecarProcess
	app                            *endpoint.Endpoint
}

// startSmallMesh starts the mesh and waits until requests through both sidecars reach the endpoint.
func startSmallMesh(t *testing.T, workTime, stopTimeout time.Duration) *smallMesh {
	cluster := startCores(t, 1)
	m := &smallMesh{
		coreCluster:     cluster,
		clientSidecar:   startSidecar(t, cluster.addrs, stopTimeout),
		endpointSidecar: startSidecar(t, cluster.addrs, stopTimeout),
	}
	t.Cleanup(func() {
		m.clientSidecar.kill()
		m.endpointSidecar.kill()
	})
	eventually(t, "a configuration", func() bool {
		status, _ := request(http.MethodPut, cluster.addrs[0], "", "/manifest", []byte(minimalConfig), nil)
		return status == http.StatusOK
	})
	app, err := endpoint.Start(endpoint.Options{
		Server:      testServerID,
		Service:     "a.x",
		Addr:        freeAddr(t),
		SidecarAddr: m.endpointSidecar.addr,
		Behavior:    endpoint.Behavior{WorkTime: workTime},
	})
	must.NoError(t, err)
	m.app = app
	t.Cleanup(app.Kill)
	for _, sidecar := range []*sidecarProcess{m.clientSidecar, m.endpointSidecar} {
		m.awaitServing(sidecar, "/warm")
	}
	return m
}

// get sends a request through a sidecar.
func (m *smallMesh) get(sidecar *sidecarProcess, path string) (status int, headers http.Header, echo endpoint.Echo) {
	status, headers = request(http.MethodGet, sidecar.clientAddr, testHost, path, nil, &echo)
	return status, headers, echo
}

// awaitServing waits until a request through a sidecar reaches the endpoint.
func (m *smallMesh) awaitServing(sidecar *sidecarProcess, path string) {
	m.t.Helper()
	eventually(m.t, "a response", func() bool {
		status, _, echo := m.get(sidecar, path)
		return status == http.StatusOK && echo.Path == path
	})
}

// holdRequests sends n requests and waits until the endpoint has received them. The endpoint does not
// respond until release is called. wait waits for the responses, each of which must be complete and
// from the endpoint.
func (m *smallMesh) holdRequests(sidecar *sidecarProcess, n int) (release, wait func()) {
	held := make(chan struct{})
	m.app.SetBehavior(endpoint.Behavior{Release: held})
	release = sync.OnceFunc(func() { close(held) })
	m.t.Cleanup(release)
	var requests sync.WaitGroup
	var succeeded atomic.Int64
	for i := range n {
		requests.Go(func() {
			path := fmt.Sprintf("/held/%d", i)
			status, headers, echo := m.get(sidecar, path)
			fromEndpoint := echo.Path == path && echo.Server == testServerID && headers.Get(response.OutcomeHeader) == ""
			if status == http.StatusOK && fromEndpoint {
				succeeded.Add(1)
			}
		})
	}
	eventually(m.t, "requests in flight", func() bool { return m.app.InFlight() == int64(n) })
	wait = func() {
		requests.Wait()
		must.Eq(m.t, int64(n), succeeded.Load())
	}
	return release, wait
}

// Guards against a planned stop that drops requests. Requests that are in flight for longer than the
// stop timeout must all get the endpoint's response, whether the client's sidecar or the endpoint's
// sidecar stops.
func TestRequestsInFlightLongerThanStopTimeout(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"the client's sidecar", "the endpoint's sidecar"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startSmallMesh(t, 0, 300*time.Millisecond)
			release, wait := m.holdRequests(m.clientSidecar, 6)
			stopping := m.clientSidecar
			if name == "the endpoint's sidecar" {
				stopping = m.endpointSidecar
			}
			time.AfterFunc(1700*time.Millisecond, release)
			stopping.stop()
			wait()
		})
	}
}

// Requests in flight must complete if a configuration removes their route and service and the endpoint
// then performs a planned stop.
func TestConfigRemovesRouteOfRequestsInFlight(t *testing.T) {
	t.Parallel()
	m := startSmallMesh(t, 0, time.Second)
	release, wait := m.holdRequests(m.clientSidecar, 6)
	revision := m.putConfig(`{"services":{"b.x":{}},"ways":{"v":{"host":"b.host","service":"b.x"}}}`)
	m.awaitConfig(m.clientSidecar, revision)
	m.awaitConfig(m.endpointSidecar, revision)
	status, _, _ := m.get(m.clientSidecar, "/gone")
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

// putConfig puts a configuration and returns its revision.
func (m *smallMesh) putConfig(config string) ident.ConfigRevision {
	var accepted struct {
		Revision ident.ConfigRevision `json:"epoch"`
	}
	status, _ := request(http.MethodPut, m.addrs[0], "", "/manifest", []byte(config), &accepted)
	must.Eq(m.t, http.StatusOK, status)
	return accepted.Revision
}

// awaitConfig waits until a sidecar uses a configuration of the given or a later revision.
func (m *smallMesh) awaitConfig(sidecar *sidecarProcess, revision ident.ConfigRevision) {
	m.t.Helper()
	eventually(m.t, "the active configuration", func() bool {
		var got struct {
			Revision ident.ConfigRevision `json:"manifest"`
		}
		status, _ := request(http.MethodGet, sidecar.addr, "", "/status", nil, &got)
		return status == http.StatusOK && got.Revision >= revision
	})
}

// Guards against incomplete responses during the planned stop of a sidecar. A client that sends
// requests throughout the stop must get complete responses, each from the endpoint or a rejection with
// Retry-After, until connections are refused.
func TestClientSendsDuringSidecarStop(t *testing.T) {
	t.Parallel()
	m := startSmallMesh(t, 5*time.Millisecond, 4*time.Second)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		m.clientSidecar.stop()
	}()
	served, refused := 0, 0
	for n := 0; refused < 3; n++ {
		path := fmt.Sprintf("/on/%d", n)
		status, headers, echo := m.get(m.clientSidecar, path)
		switch status {
		case http.StatusOK:
			must.Eq(t, path, echo.Path)
			served++
		case http.StatusServiceUnavailable:
			must.Eq(t, string(failure.NotExecuted), headers.Get(response.OutcomeHeader))
			must.NotEq(t, "", headers.Get("Retry-After"))
		default:
			// No complete response is allowed only when the sidecar no longer listens.
			must.Eq(t, 0, status)
			refused++
		}
	}
	<-stopped
	must.Positive(t, served)
}
