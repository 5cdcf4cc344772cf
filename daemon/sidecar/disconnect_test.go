package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/mesh/priorityqueue"
	"cottonarch.example/cottonarch/wire/server"
)

// conditionTimeout bounds the wait for a condition after a client has disconnected. The requests
// have a timeout of patientLimit, so nothing but the disconnect can end them earlier.
const conditionTimeout = 15 * time.Second

// maxQueued is more than any of these tests queues.
const maxQueued = 64

// blockingEndpoint holds each request until the test releases the request or its connection is
// closed.
type blockingEndpoint struct {
	addr     ident.Addr
	mu       sync.Mutex
	arrivals []string          // ids in order of arrival
	running  map[string]func() // release function of each running request, by id
	aborted  map[string]bool   // ids of requests, true if the connection was closed during the execution
}

func startBlockingEndpoint(t *testing.T) *blockingEndpoint {
	e := &blockingEndpoint{running: map[string]func(){}, aborted: map[string]bool{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	e.addr = ident.Addr(listener.Addr().String())
	httpServer := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = httpServer.Serve(listener) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return e
}

func (e *blockingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(testIDHeader)
	_, _ = io.Copy(io.Discard, r.Body)
	released := make(chan struct{})
	e.mu.Lock()
	e.arrivals = append(e.arrivals, id)
	e.running[id] = sync.OnceFunc(func() { close(released) })
	e.mu.Unlock()
	select {
	case <-released:
	case <-r.Context().Done():
	}
	e.mu.Lock()
	delete(e.running, id)
	e.aborted[id] = r.Context().Err() != nil
	e.mu.Unlock()
	w.Header().Set(testIDHeader, id)
	w.Header().Set(testSuccessMarkHeader, "s")
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, responseBody(id))
}

// state returns copies of the arrived, running and aborted requests.
func (e *blockingEndpoint) state() (arrivals []string, running, aborted map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, aborted = map[string]bool{}, map[string]bool{}
	for id := range e.running {
		running[id] = true
	}
	for id, was := range e.aborted {
		aborted[id] = was
	}
	return slices.Clone(e.arrivals), running, aborted
}

func (e *blockingEndpoint) release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if release := e.running[id]; release != nil {
		release()
	}
}

// peerTraffic tracks the connections to the endpoint's sidecar and the requests that it serves.
type peerTraffic struct {
	mu      sync.Mutex
	open    map[net.Conn]bool // true for each open connection
	serving []string          // ids of the requests that the sidecar serves
}

// trackConn is a hook for http.Server.ConnState.
func (p *peerTraffic) trackConn(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.open[c] = true
	case http.StateClosed:
		delete(p.open, c)
	}
}

// track returns a handler that calls serve and tracks the request meanwhile.
func (p *peerTraffic) track(serve func(http.ResponseWriter, *http.Request) bool) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get(testIDHeader)
		p.mu.Lock()
		p.serving = append(p.serving, id)
		p.mu.Unlock()
		defer func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			i := slices.Index(p.serving, id)
			p.serving = slices.Delete(p.serving, i, i+1)
		}()
		return serve(w, r)
	}
}

// settled reports whether every open connection carries a request that is being served, and the
// only requests of disconnected clients among them are running. No connection is used for a second
// request before the endpoint has responded, so no unread request remains on the connections.
func (p *peerTraffic) settled(running, disconnected map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) == len(p.serving) &&
		!slices.ContainsFunc(p.serving, func(id string) bool { return disconnected[id] && !running[id] })
}

// disconnectHarness is a sidecar for callers and a blocking endpoint, either behind the same
// sidecar or behind another one.
type disconnectHarness struct {
	t               *testing.T
	callerSidecar   *Sidecar
	endpointSidecar *Sidecar // the sidecar on the endpoint's machine
	endpoint        *blockingEndpoint
	addr            string       // address for callers
	peerTraffic     *peerTraffic // to endpointSidecar, nil if that is callerSidecar
	peerAddr        ident.Addr   // address of endpointSidecar for callerSidecar
}

// startDisconnectHarness starts a harness with the given number of slots at the endpoint and of
// senders at the caller's sidecar.
func startDisconnectHarness(t *testing.T, remote bool, slots, senders int) *disconnectHarness {
	h := &disconnectHarness{t: t, endpoint: startBlockingEndpoint(t)}
	h.callerSidecar = newTestSidecar("a", "127.0.0.1:1")
	h.endpointSidecar = h.callerSidecar
	h.peerAddr = "127.0.0.1:1"
	if remote {
		h.endpointSidecar = newTestSidecar("b", "127.0.0.1:2")
		h.peerTraffic = &peerTraffic{open: map[net.Conn]bool{}}
		h.peerAddr = ident.Addr(h.listen(h.peerTraffic.track(h.endpointSidecar.ServePeer), h.peerTraffic.trackConn))
	}
	admissionSettings := admission.DefaultSettings()
	admissionSettings.ExtraRequests = 0
	h.endpointSidecar.slots.queue = admission.New(admissionSettings)
	_ = h.endpointSidecar.Heartbeat(endpoint.Heartbeat{
		Server:  "e0",
		Service: "s",
		Addr:    h.endpoint.addr,
		State:   endpoint.Alive,
		Slots:   slots,
		Seq:     1,
	})
	h.callerSidecar.sendQueue = priorityqueue.New[*queuedRequest](senders, maxQueued)
	h.callerSidecar.addWorkloads("b", h.peerAddr, "e0")
	h.addr = h.listen(h.callerSidecar.HandleCaller, nil)
	return h
}

// listen starts a server with the options that the daemon uses; connState, if not nil, is told the
// states of its connections.
func (h *disconnectHarness) listen(serve func(http.ResponseWriter, *http.Request) bool, connState func(net.Conn, http.ConnState)) string {
	front := server.New("127.0.0.1:0", serve, server.DeadPeerTimeout(3*time.Second), server.PolledCloseDetection())
	front.ConnState = connState
	endpointURL, err := front.Endpoint()
	must.NoError(h.t, err)
	done := make(chan struct{})
	go func() { defer close(done); _ = front.Start(context.Background()) }()
	h.t.Cleanup(func() { _ = front.Close(); <-done })
	return endpointURL.Host
}

// send sends a request on a new connection.
func (h *disconnectHarness) send(path, id string) net.Conn {
	c, err := net.Dial("tcp", h.addr)
	must.NoError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nX-Limit-Left-Ms: %d\r\nContent-Length: 2\r\n\r\n{}",
		path, testIDHeader, id, patientLimit.Milliseconds())
	must.NoError(h.t, err)
	return c
}

// await waits until a condition holds.
func (h *disconnectHarness) await(description string, condition func() bool) {
	h.t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(conditionTimeout); !condition(); <-ticker.C {
		if time.Now().After(deadline) {
			arrivals, running, aborted := h.endpoint.state()
			h.t.Fatalf("%s did not happen: arrived %v, running %v, aborted %v", description, arrivals, running, aborted)
		}
	}
}

func (h *disconnectHarness) isRunning(id string) bool {
	_, running, _ := h.endpoint.state()
	return running[id]
}

// inFlight returns the number of requests in flight at a sidecar.
func inFlight(s *Sidecar) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// awaitInFlight waits until both sidecars have the given numbers of requests in flight.
func (h *disconnectHarness) awaitInFlight(atCaller, beside int) {
	h.t.Helper()
	h.await(fmt.Sprint("requests in flight: ", atCaller, " and ", beside), func() bool {
		return inFlight(h.callerSidecar) == atCaller && (h.endpointSidecar == h.callerSidecar || inFlight(h.endpointSidecar) == beside)
	})
}

// A client disconnects at each stage of its request, with the endpoint behind the caller's sidecar
// and behind another one.
func TestClientDisconnects(t *testing.T) {
	for stage, test := range map[string]func(t *testing.T, remote bool){
		"repeatable request at its endpoint":  clientDisconnectsDuringRepeatableRequest,
		"one-shot request at its endpoint":    clientDisconnectsDuringOneShotRequest,
		"repeatable request waits for a slot": clientDisconnectsInAdmissionQueue("/again/x"),
		"one-shot request waits for a slot":   clientDisconnectsInAdmissionQueue("/once/x"),
		"request waits to be sent":            clientDisconnectsInSendQueue,
	} {
		for place, remote := range map[string]bool{"local endpoint": false, "remote endpoint": true} {
			t.Run(stage+", "+place, func(t *testing.T) {
				t.Parallel()
				test(t, remote)
			})
		}
	}
}

// When the client of a repeatable request disconnects, the execution is canceled at the endpoint.
func clientDisconnectsDuringRepeatableRequest(t *testing.T, remote bool) {
	h := startDisconnectHarness(t, remote, 4, 8)
	c := h.send("/again/x", "r0")
	h.await("the run", func() bool { return h.isRunning("r0") })
	must.NoError(t, c.Close())
	h.await("the end of the run", func() bool { _, _, aborted := h.endpoint.state(); return aborted["r0"] })
	h.awaitInFlight(0, 0)
	arrivals, _, _ := h.endpoint.state()
	must.Eq(t, []string{"r0"}, arrivals)
}

// A non-repeatable request that is being executed continues to its end after its client
// disconnects, so that it takes effect exactly once and completely; its response is discarded.
func clientDisconnectsDuringOneShotRequest(t *testing.T, remote bool) {
	h := startDisconnectHarness(t, remote, 1, 8)
	c := h.send("/once/x", "r0")
	h.await("the run", func() bool { return h.isRunning("r0") })
	other := h.send("/again/x", "other") // waits for the slot of r0
	h.awaitInFlight(2, 2)
	must.NoError(t, c.Close())
	must.NoError(t, other.Close())
	h.awaitInFlight(selectByPlacement(remote, 0, 1), 1)
	must.True(t, h.isRunning("r0"))
	h.endpoint.release("r0")
	h.awaitInFlight(0, 0)
	arrivals, _, aborted := h.endpoint.state()
	must.Eq(t, []string{"r0"}, arrivals)
	must.False(t, aborted["r0"])
}

// checkRunsInOrder waits for and releases the given runs one after another, and checks that the
// endpoint received no other requests.
func (h *disconnectHarness) checkRunsInOrder(ids ...string) {
	h.t.Helper()
	for _, id := range ids {
		h.await("the run of "+id, func() bool { return h.isRunning(id) })
		h.endpoint.release(id)
	}
	h.awaitInFlight(0, 0)
	arrivals, _, _ := h.endpoint.state()
	must.Eq(h.t, ids, arrivals)
}

// selectByPlacement returns whenRemote if the endpoint is behind a peer, otherwise whenLocal.
func selectByPlacement(remote bool, whenRemote, whenLocal int) int {
	if remote {
		return whenRemote
	}
	return whenLocal
}

// A request that waits for a slot at its endpoint leaves the admission queue when its client
// disconnects, whether or not the request is repeatable, and the requests behind it move up.
func clientDisconnectsInAdmissionQueue(path string) func(t *testing.T, remote bool) {
	return func(t *testing.T, remote bool) {
		h := startDisconnectHarness(t, remote, 1, 8)
		h.send("/again/x", "first")
		h.await("the run", func() bool { return h.isRunning("first") })
		disconnecting := h.send(path, "leaving")
		h.awaitInFlight(2, 2)
		h.send("/again/x", "last")
		h.awaitInFlight(3, 3)
		must.NoError(t, disconnecting.Close())
		h.awaitInFlight(2, 2)
		h.checkRunsInOrder("first", "last")
	}
}

// A request that waits to be sent leaves the send queue of the caller's sidecar when its client
// disconnects.
func clientDisconnectsInSendQueue(t *testing.T, remote bool) {
	h := startDisconnectHarness(t, remote, 4, 1)
	h.send("/again/x", "first")
	h.await("the run", func() bool { return h.isRunning("first") })
	disconnecting := h.send("/once/x", "leaving")
	h.awaitInFlight(2, 1)
	must.NoError(t, disconnecting.Close())
	h.awaitInFlight(1, 1)
	h.send("/again/x", "last")
	h.checkRunsInOrder("first", "last")
}

const (
	// disconnectSeeds is the number of seeds of TestManyClientsDisconnect.
	disconnectSeeds = 8
	// disconnectClients is the number of clients, with one request each, in sendAndDisconnect.
	disconnectClients = 16
	// minSlots is high enough that all requests may wait: none is rejected.
	minSlots = 3
)

// Many clients send requests, and some of them disconnect at random times. Afterwards only the
// requests of the remaining clients and the non-repeatable executions are in flight. All other
// requests have ended without being released by the endpoint, and are not sent again.
func TestManyClientsDisconnect(t *testing.T) {
	for seed := range uint64(disconnectSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 26))
			h := startDisconnectHarness(t, seed%2 == 0, minSlots+rng.IntN(6), 4+rng.IntN(12))
			h.sendAndDisconnect(rng)
		})
	}
}

// sendAndDisconnect sends requests, closes the connections of some of them, and then releases the
// running ones.
func (h *disconnectHarness) sendAndDisconnect(rng *rand.Rand) {
	conns, disconnected, paths := make([]net.Conn, disconnectClients), map[string]bool{}, map[string]string{}
	for i := range conns {
		id := fmt.Sprint("r", i)
		paths[id] = []string{"/again/x", "/once/x"}[rng.IntN(2)]
		conns[i] = h.send(paths[id], id)
		if j := rng.IntN(i + 1); rng.IntN(3) > 0 {
			disconnected[fmt.Sprint("r", j)] = true
			_ = conns[j].Close()
		}
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
	h.await("the arrival of all requests", func() bool { return h.routedRequests() == disconnectClients })
	if h.peerTraffic != nil {
		h.awaitLastAbandonedSend(disconnectClients - len(disconnected))
	}
	h.await("the end of the abandoned requests", func() bool {
		_, running, _ := h.endpoint.state()
		return h.holdsOnly(disconnectClients-len(disconnected), countAbandonedRequests(running, disconnected)) &&
			!hasAbandonedRepeatableRequest(running, disconnected, paths) &&
			(h.peerTraffic == nil || h.peerTraffic.settled(running, disconnected))
	})
	releasedIDs := map[string]bool{}
	h.await("the end of all requests", func() bool {
		_, running, _ := h.endpoint.state()
		for id := range running {
			must.False(h.t, disconnected[id] && paths[id] == "/again/x" && !releasedIDs[id], must.Sprint(id, " started after its client disconnected"))
			releasedIDs[id] = true
			h.endpoint.release(id)
		}
		return inFlight(h.callerSidecar) == 0 && inFlight(h.endpointSidecar) == 0
	})
	h.checkArrivals(paths)
}

// awaitLastAbandonedSend waits until the caller's sidecar holds only the given number of requests of
// remaining clients, so that it sends no abandoned request any more, and until the endpoint's sidecar
// has accepted all earlier connections. The endpoint's sidecar detects the close of a connection
// later than the caller's sidecar closes it, and may begin to execute the request until then.
func (h *disconnectHarness) awaitLastAbandonedSend(staying int) {
	h.await("the end of the abandoned requests at the caller's sidecar", func() bool { return inFlight(h.callerSidecar) == staying })
	client := &http.Client{Timeout: conditionTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + string(h.peerAddr)) // on a connection that is accepted after the earlier ones
	must.NoError(h.t, err)
	must.NoError(h.t, resp.Body.Close())
}

// routedRequests returns the number of requests that the caller's sidecar has routed.
func (h *disconnectHarness) routedRequests() uint64 {
	h.callerSidecar.mu.Lock()
	defer h.callerSidecar.mu.Unlock()
	return h.callerSidecar.planner.Calls
}

// hasAbandonedRepeatableRequest reports whether a repeatable request is running although its client
// has disconnected.
func hasAbandonedRepeatableRequest(running, disconnected map[string]bool, paths map[string]string) bool {
	for id := range running {
		if disconnected[id] && paths[id] == "/again/x" {
			return true
		}
	}
	return false
}

// countAbandonedRequests counts the running requests whose clients have disconnected.
func countAbandonedRequests(running, disconnected map[string]bool) (count int) {
	for id := range running {
		if disconnected[id] {
			count++
		}
	}
	return count
}

// holdsOnly reports whether the sidecars hold exactly the requests of the remaining clients and, at
// the endpoint's sidecar, the given number of executions without a client.
func (h *disconnectHarness) holdsOnly(staying, orphans int) bool {
	if h.endpointSidecar == h.callerSidecar {
		return inFlight(h.callerSidecar) == staying+orphans
	}
	h.callerSidecar.mu.Lock()
	atCaller, queued := h.callerSidecar.inFlight, h.callerSidecar.sendQueue.Len()
	h.callerSidecar.mu.Unlock()
	return atCaller == staying && inFlight(h.endpointSidecar) == staying-queued+orphans
}

// checkArrivals checks that no request reached the endpoint twice and that no non-repeatable
// execution was canceled.
func (h *disconnectHarness) checkArrivals(paths map[string]string) {
	arrivals, running, aborted := h.endpoint.state()
	must.MapEmpty(h.t, running)
	slices.Sort(arrivals)
	must.Eq(h.t, slices.Compact(slices.Clone(arrivals)), arrivals)
	for id, was := range aborted {
		must.False(h.t, was && paths[id] == "/once/x", must.Sprint(id, " was canceled"))
	}
}
