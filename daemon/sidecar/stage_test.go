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

// connectionEnd is what a peer does with its connection after a move.
type connectionEnd int

const (
	stays connectionEnd = iota
	closes
	resets
	forgets // resets once the next bytes come, which it does not read
	hangs   // says nothing more until the other end closes
)

// evidence is what the answer to a request proves of its run.
type evidence int

const (
	proven  evidence = iota // it ran, and its own answer says so
	refused                 // it did not run, and its own answer says so
	doubt                   // nothing was said that proves either
)

// endpointMove is what an endpoint does with one request that it has read whole.
type endpointMove struct {
	name   string
	runs   bool
	answer func(id string, past []string) string
	end    connectionEnd
	evidence
}

const (
	testIDHeader   = "X-Call-Id"
	testSealHeader = "X-Sealed"
)

func ownBody(id string) string { return `{"ran":"` + id + `"}` }

func answerTo(status int, id, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status,
		testIDHeader, id, extra, len(ownBody(id)), ownBody(id))
}

func sealedAnswer(id string, _ []string) string { return answerTo(200, id, testSealHeader+": s\r\n") }

// newestAnswer is the answer to the request before this one, once more.
func newestAnswer(past []string) string {
	if len(past) == 0 {
		return sealedAnswer("before", nil)
	}
	return sealedAnswer(past[len(past)-1], nil)
}

var endpointMoves = []endpointMove{
	{"answers", true, sealedAnswer, stays, proven},
	{"answers and closes", true, sealedAnswer, closes, proven},
	{"answers and forgets the connection", true, sealedAnswer, forgets, proven},
	{"answers twice", true, func(id string, _ []string) string { return sealedAnswer(id, nil) + sealedAnswer(id, nil) }, stays, proven},
	{"answers an older one late, then this", true, func(id string, past []string) string { return newestAnswer(past) + sealedAnswer(id, nil) }, stays, proven},
	{"fails", true, func(id string, _ []string) string { return answerTo(500, id, testSealHeader+": s\r\n") }, stays, proven},
	{"refuses", false, func(id string, _ []string) string { return answerTo(503, id, "X-Not-Run: 1\r\n") }, stays, refused},
	{"is another", false, func(id string, _ []string) string { return answerTo(421, id, "") }, stays, refused},
	{"answers an older one only", true, func(_ string, past []string) string { return newestAnswer(past) }, closes, doubt},
	{"runs and resets", true, func(string, []string) string { return "" }, resets, doubt},
	{"resets when full", false, func(string, []string) string { return "" }, resets, doubt},
	{"runs and breaks off", true, func(id string, _ []string) string { return sealedAnswer(id, nil)[:60] }, resets, doubt},
	{"runs and garbles", true, func(string, []string) string { return "\x00\x01 garbage\r\n\r\n" }, stays, doubt},
	{"answers without a seal", true, func(id string, _ []string) string { return answerTo(200, id, "") }, stays, doubt},
	{"runs and hangs", true, func(string, []string) string { return "" }, hangs, doubt},
}

// journal is what the peers of the sidecars saw in one order of moves. The moves are played in the
// order in which requests come in, at whichever endpoint and connection; after the last of them, the
// first move of endpointMoves goes on.
type journal struct {
	mu              sync.Mutex
	script          []endpointMove
	relayScript     []relayMove
	pastIDs         []string
	arrivals        map[string][]endpointMove // at endpoints, by id
	inDoubt         map[string]bool           // a relay left it in doubt
	connectionEnded bool                      // a connection was ended by its far end
}

func (j *journal) next(id string) (endpointMove, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	move := endpointMoves[0]
	if len(j.script) > 0 {
		move, j.script = j.script[0], j.script[1:]
	}
	past := slices.Clone(j.pastIDs)
	j.pastIDs = append(j.pastIDs, id)
	j.arrivals[id] = append(j.arrivals[id], move)
	j.connectionEnded = j.connectionEnded || move.end != stays
	return move, past
}

// listen serves every connection of a listener of its own until the test ends.
func listen(t testing.TB, serve func(*net.TCPConn)) ident.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return ident.Addr(l.Addr().String())
}

// endConnection ends a connection as a move asks, and reports whether it stays open.
func endConnection(c *net.TCPConn, r *bufio.Reader, end connectionEnd) bool {
	switch end {
	case stays:
		return true
	case forgets:
		_, _ = r.Peek(1)
		fallthrough
	case resets:
		_ = c.SetLinger(0)
	case hangs:
		_, _ = io.Copy(io.Discard, r)
	}
	return false
}

// testStage holds the sockets of endpoints and peers, which serve one order of moves after the other:
// each order has a journal and sidecars of its own. Ids of requests begin with the number of their
// order, so that one which arrives after its order is over is still seen.
type testStage struct {
	orders    atomic.Int64
	journals  sync.Map
	endpoints []ident.Addr
	peer      atomic.Pointer[Sidecar]
	relayAddr ident.Addr // the relay before the peer
}

func newStage(t *testing.T) *testStage {
	st := &testStage{}
	st.endpoints = []ident.Addr{st.endpoint(t), st.endpoint(t)}
	peer := startPeerServer(t, func() *Sidecar { return st.peer.Load() })
	restarted := newTestSidecar("b", "127.0.0.1:2")
	st.relayAddr = st.relay(t, peer, startPeerServer(t, func() *Sidecar { return restarted }))
	return st
}

// journalOf is the journal of the order to which an id belongs.
func (st *testStage) journalOf(id string) *journal {
	order, _, _ := strings.Cut(id, "-")
	log, _ := st.journals.Load(order)
	return log.(*journal)
}

// endpoint plays the moves of the journals.
func (st *testStage) endpoint(t *testing.T) ident.Addr {
	return listen(t, func(c *net.TCPConn) {
		eachRequest(c, func(r *bufio.Reader, req *http.Request, _ []byte) bool {
			id := req.Header.Get(testIDHeader)
			move, past := st.journalOf(id).next(id)
			_, _ = io.WriteString(c, move.answer(id, past))
			return endConnection(c, r, move.end)
		})
	})
}

// relayMove is what the hop between two sidecars does with one request.
type relayMove struct {
	name      string
	forwards  bool               // to the sidecar behind
	restarted bool               // that sidecar was started anew and knows no endpoint yet
	truncate  func(size int) int // how many bytes of the answer come through
	end       connectionEnd
	inDoubt   bool
}

func allOf(size int) int { return size }
func none(int) int       { return 0 }

var relayMoves = []relayMove{
	{"passes", true, false, allOf, stays, false},
	{"passes, then closes", true, false, allOf, closes, false},
	{"passes, then resets", true, false, allOf, resets, false},
	{"passes, then forgets the connection", true, false, allOf, forgets, false},
	{"was started anew", true, true, allOf, stays, false},
	{"was started anew, connections reset", true, true, allOf, resets, false},
	{"loses the request", false, false, none, resets, true},
	{"loses the answer", true, false, none, resets, true},
	{"closes without an answer", true, false, none, closes, true},
	{"breaks the answer off", true, false, func(size int) int { return size - 2 }, resets, true},
	{"breaks the answer's head off", true, false, func(int) int { return 30 }, closes, true},
}

func (j *journal) nextRelay(id string) relayMove {
	j.mu.Lock()
	defer j.mu.Unlock()
	move := relayMoves[0]
	if len(j.relayScript) > 0 {
		move, j.relayScript = j.relayScript[0], j.relayScript[1:]
	}
	j.inDoubt[id] = j.inDoubt[id] || move.inDoubt
	j.connectionEnded = j.connectionEnded || move.end != stays
	return move
}

// relay is the hop between two sidecars. It forwards to one that knows its endpoints, or to one that
// was started anew.
func (st *testStage) relay(t *testing.T, peer, restarted ident.Addr) ident.Addr {
	return listen(t, func(c *net.TCPConn) {
		eachRequest(c, func(r *bufio.Reader, req *http.Request, body []byte) bool {
			req.Body = io.NopCloser(bytes.NewReader(body))
			id := req.Header.Get(testIDHeader)
			move := st.journalOf(id).nextRelay(id)
			target := peer
			if move.restarted {
				target = restarted
			}
			if move.forwards {
				answer := forwarded(t, target, req)
				_, _ = c.Write(answer[:move.truncate(len(answer))])
			}
			return endConnection(c, r, move.end)
		})
	})
}

// forwarded forwards a request over a connection of its own and gives the bytes of the answer.
func forwarded(t *testing.T, target ident.Addr, req *http.Request) []byte {
	c, err := net.Dial("tcp", string(target))
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, req.Write(c))
	answer, err := http.ReadResponse(bufio.NewReader(c), req)
	must.NoError(t, err)
	raw, err := httputil.DumpResponse(answer, true)
	must.NoError(t, err)
	return raw
}

var testConfig = &validation.Config{
	Revision: 1,
	Services: map[ident.Service]validation.Service{"s": {Hostname: "s", RetryRatio: 0.2}},
	Routes: []validation.Route{
		{Name: "again", Host: "h", PathPrefix: "/again/", Service: "s", Timeout: time.Minute, MaxAttempts: 3, Repeat: validation.Repeatable},
		{Name: "once", Host: "h", PathPrefix: "/once/", Service: "s", Timeout: time.Minute, MaxAttempts: 3, Repeat: validation.OneShot},
	},
}

// newTestSidecar makes a sidecar whose duties do not run, with endpoints of its own machine.
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
			SuccessMark:          testSealHeader,
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

// addWorkloads adds the endpoints of a node to a sidecar's registry, behind an address.
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

// startPeerServer serves a sidecar's address for peers, on the daemon's own kind of server.
func startPeerServer(t *testing.T, s func() *Sidecar) ident.Addr {
	peerServer := server.New("127.0.0.1:0", func(w http.ResponseWriter, r *http.Request) bool { return s().ServePeer(w, r) })
	listener := httptest.NewServer(peerServer.Handler)
	t.Cleanup(listener.Close)
	return ident.Addr(strings.TrimPrefix(listener.URL, "http://"))
}

// sendAsCaller sends a request to a sidecar as its caller would.
func (s *Sidecar) sendAsCaller(path, id string, limit time.Duration) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", path, strings.NewReader(`{"to":"`+id+`"}`))
	r.Host = "h"
	if id != "" {
		r.Header.Set(testIDHeader, id)
	}
	r.Header.Set("X-Limit-Left-Ms", fmt.Sprint(limit.Milliseconds()))
	w := httptest.NewRecorder()
	s.ServeCaller(w, r)
	return w
}

func newJournal(script []endpointMove, relays []relayMove) *journal {
	return &journal{script: script, relayScript: relays, arrivals: map[string][]endpointMove{}, inDoubt: map[string]bool{}}
}
