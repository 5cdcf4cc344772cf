package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"slices"
	"strings"
	"sync"
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
	"cottonarch.example/cottonarch/wire/server"
)

// connectionEnd is what an endpoint or the relay does with the connection after a behavior.
type connectionEnd int

const (
	staysOpen connectionEnd = iota
	closes
	resets
	resetsOnNextBytes // resets when the next bytes arrive, without reading them
	hangs             // sends nothing more until the other end closes
)

// evidence is what the response to a request proves about the execution of the request.
type evidence int

const (
	executed    evidence = iota // executed, according to the endpoint's own response
	notExecuted                 // not executed, according to the endpoint's own response
	unproven                    // no response proves either
)

// endpointBehavior is an endpoint's reaction to one request that was read completely.
type endpointBehavior struct {
	name     string
	executes bool
	response func(id string, previous []string) string
	end      connectionEnd
	evidence
}

const (
	testIDHeader          = "X-Call-Id"
	testSuccessMarkHeader = "X-Sealed"
)

func responseBody(id string) string { return `{"ran":"` + id + `"}` }

func rawResponse(status int, id, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status,
		testIDHeader, id, extra, len(responseBody(id)), responseBody(id))
}

func successResponse(id string, _ []string) string {
	return rawResponse(200, id, testSuccessMarkHeader+": s\r\n")
}

// previousResponse repeats the response to the request before the current one.
func previousResponse(previous []string) string {
	if len(previous) == 0 {
		return successResponse("before", nil)
	}
	return successResponse(previous[len(previous)-1], nil)
}

var endpointBehaviors = []endpointBehavior{
	{"responds", true, successResponse, staysOpen, executed},
	{"responds and closes", true, successResponse, closes, executed},
	{"responds, then resets on the next bytes", true, successResponse, resetsOnNextBytes, executed},
	{"responds twice", true, func(id string, _ []string) string { return successResponse(id, nil) + successResponse(id, nil) }, staysOpen, executed},
	{"sends the previous response, then its own", true, func(id string, previous []string) string {
		return previousResponse(previous) + successResponse(id, nil)
	}, staysOpen, executed},
	{"fails", true, func(id string, _ []string) string { return rawResponse(500, id, testSuccessMarkHeader+": s\r\n") }, staysOpen, executed},
	{"rejects as not executed", false, func(id string, _ []string) string { return rawResponse(503, id, "X-Not-Run: 1\r\n") }, staysOpen, notExecuted},
	{"rejects as misdirected", false, func(id string, _ []string) string { return rawResponse(421, id, "") }, staysOpen, notExecuted},
	{"sends the previous response only", true, func(_ string, previous []string) string { return previousResponse(previous) }, closes, unproven},
	{"executes and resets", true, func(string, []string) string { return "" }, resets, unproven},
	{"resets without executing", false, func(string, []string) string { return "" }, resets, unproven},
	{"executes and truncates the response", true, func(id string, _ []string) string { return successResponse(id, nil)[:60] }, resets, unproven},
	{"executes and sends garbage", true, func(string, []string) string { return "\x00\x01 garbage\r\n\r\n" }, staysOpen, unproven},
	{"responds without the success mark", true, func(id string, _ []string) string { return rawResponse(200, id, "") }, staysOpen, unproven},
	{"executes and hangs", true, func(string, []string) string { return "" }, hangs, unproven},
}

// scenario is one sequence of behaviors and a record of what the endpoints and relays saw. The
// behaviors apply in the order in which requests arrive, at any endpoint and on any connection;
// after the last one, the first entry of endpointBehaviors or relayBehaviors applies.
type scenario struct {
	mu               sync.Mutex
	endpointScript   []endpointBehavior
	relayScript      []relayBehavior
	previousIDs      []string
	arrivals         map[string][]endpointBehavior // behaviors of the endpoints that received a request, by id
	outcomeUnknown   map[string]bool               // a relay left the outcome of the request unknown, by id
	connectionClosed bool                          // an endpoint or the relay has closed or reset a connection
}

func (sc *scenario) nextBehavior(id string) (endpointBehavior, []string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	behavior := endpointBehaviors[0]
	if len(sc.endpointScript) > 0 {
		behavior, sc.endpointScript = sc.endpointScript[0], sc.endpointScript[1:]
	}
	previous := slices.Clone(sc.previousIDs)
	sc.previousIDs = append(sc.previousIDs, id)
	sc.arrivals[id] = append(sc.arrivals[id], behavior)
	sc.connectionClosed = sc.connectionClosed || behavior.end != staysOpen
	return behavior, previous
}

// connectionServer serves every connection of a listener until the test ends.
type connectionServer struct {
	addr  ident.Addr
	mu    sync.Mutex
	open  map[*net.TCPConn]bool // accepted connections that are being served
	ended *sync.Cond            // signals that a connection was removed from open
}

// listen serves every connection of a new listener until the test ends.
func listen(t testing.TB, serve func(*net.TCPConn)) ident.Addr {
	return startConnectionServer(t, serve).addr
}

// startConnectionServer starts a connectionServer. At the end of the test, the server closes the
// listener and its connections, and waits for its goroutines.
func startConnectionServer(t testing.TB, serve func(*net.TCPConn)) *connectionServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	cs := &connectionServer{addr: ident.Addr(l.Addr().String()), open: map[*net.TCPConn]bool{}}
	cs.ended = sync.NewCond(&cs.mu)
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			cs.start(c.(*net.TCPConn), serve)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-accepting
		cs.closeConnections()
		cs.awaitEnd()
	})
	return cs
}

// start serves a connection in a goroutine of its own.
func (cs *connectionServer) start(c *net.TCPConn, serve func(*net.TCPConn)) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open[c] = true
	go func() {
		defer func() {
			cs.mu.Lock()
			defer cs.mu.Unlock()
			delete(cs.open, c)
			cs.ended.Broadcast()
		}()
		serve(c)
	}()
}

func (cs *connectionServer) closeConnections() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		_ = c.Close()
	}
}

// awaitEnd waits until no accepted connection is being served.
func (cs *connectionServer) awaitEnd() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for len(cs.open) > 0 {
		cs.ended.Wait()
	}
}

// settle waits until every connection that was established before has been accepted and served to
// its end. The clients must have closed these connections; a request that they sent before is still
// read. settle requires a server that closes a connection after a malformed request. Connections
// are accepted in the order of their establishment, so settle sends a malformed request on a new
// connection and waits until the server closes that connection.
func (cs *connectionServer) settle(t *testing.T) {
	c, err := net.Dial("tcp", string(cs.addr))
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, c.(*net.TCPConn).SetLinger(0)) // leaves no local port in TIME_WAIT
	_, err = io.WriteString(c, "malformed\r\n\r\n")
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, c)
	must.NoError(t, err)
	cs.awaitEnd()
}

// applyConnectionEnd ends a connection as the behavior requires and reports whether the connection
// stays open.
func applyConnectionEnd(c *net.TCPConn, r *bufio.Reader, end connectionEnd) bool {
	switch end {
	case staysOpen:
		return true
	case resetsOnNextBytes:
		_, _ = r.Peek(1)
		fallthrough
	case resets:
		_ = c.SetLinger(0)
	case hangs:
		_, _ = io.Copy(io.Discard, r)
	}
	return false
}

// faultHarness has the sockets of endpoints and peers, which serve one scenario after another: each
// scenario has sidecars of its own. Request ids begin with the number of their scenario, so that a
// request is still recorded if it arrives after its scenario has ended.
type faultHarness struct {
	scenarioCount   atomic.Int64
	scenarios       sync.Map
	endpointServers []*connectionServer
	endpoints       []ident.Addr // addresses of endpointServers
	peer            atomic.Pointer[Sidecar]
	relay           *connectionServer // forwards to the peer
}

func newFaultHarness(t *testing.T) *faultHarness {
	h := &faultHarness{}
	for range 2 {
		endpointServer := h.startEndpoint(t)
		h.endpointServers, h.endpoints = append(h.endpointServers, endpointServer), append(h.endpoints, endpointServer.addr)
	}
	peer := startPeerServer(t, func() *Sidecar { return h.peer.Load() })
	restarted := newTestSidecar("b", "127.0.0.1:2")
	h.relay = h.startRelay(t, peer, startPeerServer(t, func() *Sidecar { return restarted }))
	return h
}

// scenarioOf returns the scenario to which a request id belongs.
func (h *faultHarness) scenarioOf(id string) *scenario {
	number, _, _ := strings.Cut(id, "-")
	found, _ := h.scenarios.Load(number)
	return found.(*scenario)
}

// startEndpoint starts an endpoint that behaves according to the scenarios.
func (h *faultHarness) startEndpoint(t *testing.T) *connectionServer {
	return startConnectionServer(t, func(c *net.TCPConn) {
		serveRequests(c, func(r *bufio.Reader, req *http.Request, _ []byte) bool {
			id := req.Header.Get(testIDHeader)
			behavior, previous := h.scenarioOf(id).nextBehavior(id)
			_, _ = io.WriteString(c, behavior.response(id, previous))
			return applyConnectionEnd(c, r, behavior.end)
		})
	})
}

// relayBehavior is the reaction of the relay between two sidecars to one request.
type relayBehavior struct {
	name           string
	forwards       bool               // forwards the request to the sidecar behind the relay
	restarted      bool               // that sidecar has restarted and has no endpoint yet
	truncate       func(size int) int // returns how many bytes of the response are passed on
	end            connectionEnd
	outcomeUnknown bool
}

func wholeResponse(size int) int { return size }
func noBytes(int) int            { return 0 }

var relayBehaviors = []relayBehavior{
	{"forwards", true, false, wholeResponse, staysOpen, false},
	{"forwards, then closes", true, false, wholeResponse, closes, false},
	{"forwards, then resets", true, false, wholeResponse, resets, false},
	{"forwards, then resets on the next bytes", true, false, wholeResponse, resetsOnNextBytes, false},
	{"peer restarted", true, true, wholeResponse, staysOpen, false},
	{"peer restarted, connection reset", true, true, wholeResponse, resets, false},
	{"loses the request", false, false, noBytes, resets, true},
	{"loses the response", true, false, noBytes, resets, true},
	{"closes without a response", true, false, noBytes, closes, true},
	{"truncates the response body", true, false, func(size int) int { return size - 2 }, resets, true},
	{"truncates the response header", true, false, func(int) int { return 30 }, closes, true},
}

func (sc *scenario) nextRelayBehavior(id string) relayBehavior {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	behavior := relayBehaviors[0]
	if len(sc.relayScript) > 0 {
		behavior, sc.relayScript = sc.relayScript[0], sc.relayScript[1:]
	}
	sc.outcomeUnknown[id] = sc.outcomeUnknown[id] || behavior.outcomeUnknown
	sc.connectionClosed = sc.connectionClosed || behavior.end != staysOpen
	return behavior
}

// startRelay starts the relay between two sidecars. The relay forwards a request either to peer, a
// sidecar with endpoints, or to restarted, a sidecar that has restarted and has no endpoint yet.
func (h *faultHarness) startRelay(t *testing.T, peer, restarted ident.Addr) *connectionServer {
	return startConnectionServer(t, func(c *net.TCPConn) {
		serveRequests(c, func(r *bufio.Reader, req *http.Request, body []byte) bool {
			req.Body = io.NopCloser(bytes.NewReader(body))
			id := req.Header.Get(testIDHeader)
			behavior := h.scenarioOf(id).nextRelayBehavior(id)
			target := peer
			if behavior.restarted {
				target = restarted
			}
			if behavior.forwards {
				response, err := forwardRequest(target, req)
				if err != nil {
					t.Errorf("forward %s: %v", id, err)
					return false
				}
				_, _ = c.Write(response[:behavior.truncate(len(response))])
			}
			return applyConnectionEnd(c, r, behavior.end)
		})
	})
}

// forwardRequest forwards a request over a new connection and returns the bytes of the response.
func forwardRequest(target ident.Addr, req *http.Request) ([]byte, error) {
	c, err := net.Dial("tcp", string(target))
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if err := req.Write(c); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return nil, err
	}
	return httputil.DumpResponse(response, true)
}

var testConfig = &validation.Config{
	Revision: 1,
	Services: map[ident.Service]validation.Service{"s": {Hostname: "s", RetryRatio: 0.2}},
	Routes: []validation.Route{
		{Name: "again", Host: "h", PathPrefix: "/again/", Service: "s", Timeout: time.Minute, MaxAttempts: 3, Repeat: validation.Repeatable},
		{Name: "once", Host: "h", PathPrefix: "/once/", Service: "s", Timeout: time.Minute, MaxAttempts: 3, Repeat: validation.OneShot},
	},
}

// newTestSidecar returns a sidecar without running background loops, with the given endpoints on
// its own machine.
func newTestSidecar(name ident.Node, addr ident.Addr, endpoints ...ident.Addr) *Sidecar {
	s := New(settings.Sidecar{
		Node:                  name,
		Addr:                  addr,
		Zone:                  "d",
		Senders:               16,
		QueueCapacity:         16,
		MaxInFlight:           64,
		EndpointsVerifyTarget: true,
		HeartbeatInterval:     time.Hour,
		Headers: settings.Headers{
			RequestID:            testIDHeader,
			Deadline:             "X-Limit-Left-Ms",
			CallingService:       "X-Calling-Service",
			SuccessMark:          testSuccessMarkHeader,
			NotExecuted:          "X-Not-Run",
			FractionalRetryAfter: true,
		},
	}, zap.NewNop())
	s.planner.RetryBudget.Unlimited = true
	s.planner.Enforce(testConfig)
	for n, endpointAddr := range endpoints {
		_ = s.Heartbeat(endpoint.Heartbeat{
			Server:  ident.Server(fmt.Sprint(name, n)),
			Service: "s",
			Addr:    endpointAddr,
			State:   endpoint.Alive,
			Seq:     1,
		})
	}
	return s
}

// addWorkloads adds the endpoints of a node to a sidecar's registry, behind the given sidecar
// address.
func (s *Sidecar) addWorkloads(author ident.Node, sidecarAddr ident.Addr, servers ...ident.Server) {
	var records []record.Address
	for _, id := range servers {
		records = append(records, record.Address{Workload: &record.Workload{
			UID:         id,
			Service:     "s",
			SidecarAddr: sidecarAddr,
			Weight:      1,
			Status:      record.Healthy,
		}})
	}
	s.planner.Index.Merge([]record.Set{{Author: author, LeaseEpoch: 1, Records: records}})
}

// startPeerServer serves a sidecar's address for peers with the daemon's kind of server.
func startPeerServer(t *testing.T, s func() *Sidecar) ident.Addr {
	peerServer := server.New("127.0.0.1:0", func(w http.ResponseWriter, r *http.Request) bool { return s().ServePeer(w, r) })
	listener := httptest.NewServer(peerServer.Handler)
	t.Cleanup(listener.Close)
	return ident.Addr(strings.TrimPrefix(listener.URL, "http://"))
}

// sendAsCaller sends a request to a sidecar as a caller does.
func (s *Sidecar) sendAsCaller(path, id string, timeout time.Duration) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", path, strings.NewReader(`{"to":"`+id+`"}`))
	r.Host = "h"
	if id != "" {
		r.Header.Set(testIDHeader, id)
	}
	r.Header.Set("X-Limit-Left-Ms", fmt.Sprint(timeout.Milliseconds()))
	w := httptest.NewRecorder()
	s.ServeCaller(w, r)
	return w
}

func newScenario(endpointScript []endpointBehavior, relayScript []relayBehavior) *scenario {
	return &scenario{endpointScript: endpointScript, relayScript: relayScript, arrivals: map[string][]endpointBehavior{}, outcomeUnknown: map[string]bool{}}
}
