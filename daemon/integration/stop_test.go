package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/standin/endpoint"
	"cottonarch.example/cottonarch/wire/response"
)

const minimalConfig = `{"services":{"a.x":{}},"ways":{"w":{"host":"a.host","service":"a.x","timeoutMs":90000}}}`

// smallMesh is one core, two sidecars, and an endpoint beside the second.
type smallMesh struct {
	*coreCluster
	callerSide, endpointSide *sidecarProcess
	app                      *endpoint.Endpoint
}

func startSmallMesh(t *testing.T, workTime, stopTimeout time.Duration) *smallMesh {
	c := startCores(t, 1)
	m := &smallMesh{coreCluster: c, callerSide: startSidecar(t, c.addrs, stopTimeout), endpointSide: startSidecar(t, c.addrs, stopTimeout)}
	t.Cleanup(func() { m.callerSide.kill(); m.endpointSide.kill() })
	eventually(t, "a yes", func() bool {
		code, _ := request("PUT", c.addrs[0], "", "/manifest", []byte(minimalConfig), nil)
		return code == 200
	})
	app, err := endpoint.Start(endpoint.Options{Server: "e1", Service: "a.x", Addr: freeAddr(t), SidecarAddr: m.endpointSide.addr, Behavior: endpoint.Behavior{WorkTime: workTime}})
	must.NoError(t, err)
	m.app = app
	t.Cleanup(app.Kill)
	for _, s := range []*sidecarProcess{m.callerSide, m.endpointSide} {
		m.awaitServing(s, "/warm")
	}
	return m
}

func (m *smallMesh) get(s *sidecarProcess, path string) (int, http.Header, endpoint.Echo) {
	var echo endpoint.Echo
	code, h := request("GET", s.callerAddr, "a.host", path, nil, &echo)
	return code, h, echo
}

func (m *smallMesh) awaitServing(s *sidecarProcess, path string) {
	m.t.Helper()
	eventually(m.t, "a return", func() bool { code, _, echo := m.get(s, path); return code == 200 && echo.Path == path })
}

// holdRequests sends n requests and waits until the endpoint has them, which holds them until it is
// told to let go; wait gives their returns, each whole and the endpoint's own.
func (m *smallMesh) holdRequests(s *sidecarProcess, n int) (release, wait func()) {
	held := make(chan struct{})
	m.app.SetBehavior(endpoint.Behavior{Release: held})
	release = sync.OnceFunc(func() { close(held) })
	m.t.Cleanup(release)
	var requests sync.WaitGroup
	var answered atomic.Int64
	for i := range n {
		requests.Add(1)
		go func() {
			defer requests.Done()
			path := fmt.Sprintf("/hand/%d", i)
			if code, h, echo := m.get(s, path); code == 200 && echo.Path == path && echo.Server == "e1" && h.Get(response.OutcomeHeader) == "" {
				answered.Add(1)
			}
		}()
	}
	eventually(m.t, "requests in hand", func() bool { return m.app.InFlight() == int64(n) })
	return release, func() { requests.Wait(); must.Eq(m.t, int64(n), answered.Load()) }
}

// Requests in hand longer than the stop's warning, at the caller's sidecar and at the
// endpoint's, all get the endpoint's own return.
func TestStopLongerThanItsWarning(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"the caller's sidecar", "the endpoint's sidecar"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startSmallMesh(t, 0, 300*time.Millisecond)
			release, wait := m.holdRequests(m.callerSide, 6)
			s := m.callerSide
			if name == "the endpoint's sidecar" {
				s = m.endpointSide
			}
			time.AfterFunc(1700*time.Millisecond, release)
			s.stop()
			wait()
		})
	}
}

// A manifest that removes the way and the service of requests in hand drops none of them,
// nor does the endpoint's planned end.
func TestConfigRemovesRouteOfRequestsInFlight(t *testing.T) {
	t.Parallel()
	m := startSmallMesh(t, 0, time.Second)
	release, wait := m.holdRequests(m.callerSide, 6)
	var accepted, status struct {
		Epoch    ident.Epoch `json:"epoch"`
		Manifest ident.Epoch `json:"manifest"`
	}
	code, _ := request("PUT", m.addrs[0], "", "/manifest", []byte(`{"services":{"b.x":{}},"ways":{"v":{"host":"b.host","service":"b.x"}}}`), &accepted)
	must.Eq(t, 200, code)
	for _, s := range []*sidecarProcess{m.callerSide, m.endpointSide} {
		eventually(t, "the manifest in force", func() bool {
			code, _ := request("GET", s.addr, "", "/status", nil, &status)
			return code == 200 && status.Manifest >= accepted.Epoch
		})
	}
	code, _, _ = m.get(m.callerSide, "/gone")
	must.Eq(t, 404, code)
	must.Eq(t, 6, m.app.InFlight())
	done := make(chan struct{})
	go func() { m.app.Stop(30 * time.Second); close(done) }()
	time.AfterFunc(300*time.Millisecond, release)
	wait()
	<-done
}

// A caller that keeps sending until the end gets whole returns, each either the
// endpoint's own or a plain no with Retry-After, until no connection is taken any more.
func TestCallerThatKeepsSending(t *testing.T) {
	t.Parallel()
	m := startSmallMesh(t, 5*time.Millisecond, 4*time.Second)
	stopped := make(chan struct{})
	go func() { m.callerSide.stop(); close(stopped) }()
	served, refused := 0, 0
	for n := 0; refused < 3; n++ {
		path := fmt.Sprintf("/on/%d", n)
		code, h, echo := m.get(m.callerSide, path)
		switch {
		case code == 200:
			must.Eq(t, path, echo.Path)
			served++
		case code == 503:
			must.Eq(t, "no", h.Get(response.OutcomeHeader))
			must.NotEq(t, "", h.Get("Retry-After"))
		default:
			// Only when nobody listens any more.
			must.Eq(t, 0, code)
			refused++
		}
	}
	<-stopped
	must.Positive(t, served)
}

// A core's planned stop: a watch, a sidecar's long poll and operations in hand all get a whole
// return, and what was told a yes holds at the others.
func TestCoreStopWithWatchesAndOperationsInFlight(t *testing.T) {
	t.Parallel()
	c := startCores(t, 3)
	last := uint64(0)
	c.takeNumber(&last, 0)
	type told struct {
		code int
		kind string
	}
	watches := make(chan told, 4)
	var first struct {
		Place string `json:"place"`
	}
	eventually(t, "a key", func() bool {
		code, _ := request("PUT", c.addrs[0], "", "/keys/k", []byte(`1`), nil)
		return code == 200
	})
	eventually(t, "a place", func() bool {
		code, _ := request("GET", c.addrs[0], "", "/watch?prefix=&waitMs=2000", nil, &first)
		return code == 200 && first.Place != ""
	})
	var started sync.WaitGroup
	for range 4 {
		started.Add(1)
		go func() {
			started.Done()
			var got struct {
				Defect string `json:"defect"`
			}
			code, _ := request("GET", c.addrs[0], "", "/watch?prefix=&waitMs=15000&place="+first.Place, nil, &got)
			watches <- told{code, got.Defect}
		}()
	}
	started.Wait()
	polls := make(chan int, 2)
	go func() {
		var got json.RawMessage
		code, _ := request("GET", c.addrs[0], "", "/cottonarch/v1/news?manifest=99999", nil, &got)
		polls <- code
	}()
	var operations sync.WaitGroup
	var highest atomic.Uint64
	var succeeded, failed, disconnected atomic.Int64
	stopSending := make(chan struct{})
	for range 8 {
		operations.Add(1)
		go func() {
			defer operations.Done()
			for {
				select {
				case <-stopSending:
					return
				default:
				}
				var got struct {
					N    uint64 `json:"number"`
					Fate string `json:"fate"`
				}
				code, _ := request("POST", c.addrs[0], "", "/numbers/n/next", nil, &got)
				switch {
				case code == 200:
					succeeded.Add(1)
					for old := highest.Load(); got.N > old && !highest.CompareAndSwap(old, got.N); old = highest.Load() {
					}
				case code > 0 && got.Fate != "":
					failed.Add(1)
				case code == 0: // nobody took it, or it was dropped
					disconnected.Add(1)
					return
				}
			}
		}()
	}
	eventually(t, "deeds", func() bool { return succeeded.Load() > 20 })
	c.processes[0].stop()
	c.processes[0] = nil
	close(stopSending)
	operations.Wait()
	for range 4 {
		w := <-watches
		must.True(t, w.code == 503 && w.kind == "stopping" || w.code == 200, must.Sprint(w))
	}
	must.Eq(t, 200, <-polls)
	must.LessEq(t, 8, disconnected.Load()) // each sender only finds once that nobody listens
	last = highest.Load()
	c.takeNumber(&last, 1, 2)
}
