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

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/mesh/registry/record"
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
	name string
	runs bool
	says func(id string, past []string) string
	end  connectionEnd
	evidence
}

const (
	testId   = "X-Call-Id"
	testSeal = "X-Sealed"
)

func ownBody(id string) string { return `{"ran":"` + id + `"}` }

func answerTo(status int, id, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, testId, id, extra, len(ownBody(id)), ownBody(id))
}

func sealedAnswer(id string, _ []string) string { return answerTo(200, id, testSeal+": s\r\n") }

// newest is the answer to the request before this one, said once more.
func newest(past []string) string {
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
	{"answers an older one late, then this", true, func(id string, past []string) string { return newest(past) + sealedAnswer(id, nil) }, stays, proven},
	{"fails", true, func(id string, _ []string) string { return answerTo(500, id, testSeal+": s\r\n") }, stays, proven},
	{"refuses", false, func(id string, _ []string) string { return answerTo(503, id, "X-Not-Run: 1\r\n") }, stays, refused},
	{"is another", false, func(id string, _ []string) string { return answerTo(421, id, "") }, stays, refused},
	{"answers an older one only", true, func(_ string, past []string) string { return newest(past) }, closes, doubt},
	{"runs and resets", true, func(string, []string) string { return "" }, resets, doubt},
	{"resets when full", false, func(string, []string) string { return "" }, resets, doubt},
	{"runs and breaks off", true, func(id string, _ []string) string { return sealedAnswer(id, nil)[:60] }, resets, doubt},
	{"runs and garbles", true, func(string, []string) string { return "\x00\x01 garbage\r\n\r\n" }, stays, doubt},
	{"answers without a seal", true, func(id string, _ []string) string { return answerTo(200, id, "") }, stays, doubt},
	{"runs and hangs", true, func(string, []string) string { return "" }, hangs, doubt},
}

// journal is what the peers of the sidecars saw in one order. Moves are played in the order
// in which requests come in, whatever the endpoint and the connection; then every one is the
// first.
type journal struct {
	mu       sync.Mutex
	script   []endpointMove
	relays   []relayMove
	past     []string
	arrivals map[string][]endpointMove // at endpoints, by id
	lost     map[string]bool           // a relay left it in doubt
	ended    bool                      // a connection was ended by its far end
}

func (j *journal) next(id string) (endpointMove, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	move := endpointMoves[0]
	if len(j.script) > 0 {
		move, j.script = j.script[0], j.script[1:]
	}
	past := slices.Clone(j.past)
	j.past = append(j.past, id)
	j.arrivals[id] = append(j.arrivals[id], move)
	j.ended = j.ended || move.end != stays
	return move, past
}

// listens serves every connection of a listener of its own until the test ends.
func listens(t testing.TB, serve func(*net.TCPConn)) ident.Addr {
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

// ends carries out the end of a connection and tells whether it stays.
func ends(c *net.TCPConn, r *bufio.Reader, end connectionEnd) bool {
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

// stage holds the sockets of one place of endpoints and peers, which serve one order after
// the other: each has a journal and sidecars of its own. Ids begin with the number of their
// order, so a request that arrives after its order is over is still seen.
type stage struct {
	orders    atomic.Int64
	journals  sync.Map
	endpoints []ident.Addr
	peer      atomic.Pointer[Sidecar]
	hop       ident.Addr // the relay before the peer
}

func newStage(t *testing.T) *stage {
	st := &stage{}
	st.endpoints = []ident.Addr{st.endpoint(t), st.endpoint(t)}
	peer := gated(t, func() *Sidecar { return st.peer.Load() })
	anew := node("b", "127.0.0.1:2")
	st.hop = st.relay(t, peer, gated(t, func() *Sidecar { return anew }))
	return st
}

// journal is that of the order which an id belongs to.
func (st *stage) journal(id string) *journal {
	order, _, _ := strings.Cut(id, "-")
	j, _ := st.journals.Load(order)
	return j.(*journal)
}

// endpoint plays the moves of the journals.
func (st *stage) endpoint(t *testing.T) ident.Addr {
	return listens(t, func(c *net.TCPConn) {
		eachRequest(c, func(r *bufio.Reader, req *http.Request, _ []byte) bool {
			id := req.Header.Get(testId)
			move, past := st.journal(id).next(id)
			_, _ = io.WriteString(c, move.says(id, past))
			return ends(c, r, move.end)
		})
	})
}

// relayMove is what the hop between two sidecars does with one request.
type relayMove struct {
	name     string
	forwards bool               // to the sidecar behind
	reborn   bool               // that sidecar was started anew and knows no endpoint yet
	part     func(size int) int // how many bytes of the answer come through
	end      connectionEnd
	doubt    bool
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
	if len(j.relays) > 0 {
		move, j.relays = j.relays[0], j.relays[1:]
	}
	j.lost[id] = j.lost[id] || move.doubt
	j.ended = j.ended || move.end != stays
	return move
}

// relay stands between two sidecars: behind it are one that knows its endpoints, and one
// that was started anew.
func (st *stage) relay(t *testing.T, behind, reborn ident.Addr) ident.Addr {
	return listens(t, func(c *net.TCPConn) {
		eachRequest(c, func(r *bufio.Reader, req *http.Request, body []byte) bool {
			req.Body = io.NopCloser(bytes.NewReader(body))
			id := req.Header.Get(testId)
			move := st.journal(id).nextRelay(id)
			to := behind
			if move.reborn {
				to = reborn
			}
			if move.forwards {
				answer := forwarded(t, to, req)
				_, _ = c.Write(answer[:move.part(len(answer))])
			}
			return ends(c, r, move.end)
		})
	})
}

// forwarded sends a request on over a connection of its own and gives the answer's bytes.
func forwarded(t *testing.T, to ident.Addr, req *http.Request) []byte {
	c, err := net.Dial("tcp", string(to))
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, req.Write(c))
	answer, err := http.ReadResponse(bufio.NewReader(c), req)
	must.NoError(t, err)
	raw, err := httputil.DumpResponse(answer, true)
	must.NoError(t, err)
	return raw
}

var testManifest = &check.Manifest{Epoch: 1, Services: map[ident.Service]check.Service{"s": {Hostname: "s", Part: 0.2}}, Ways: []check.Way{
	{Name: "again", Host: "h", PathStart: "/again/", Service: "s", Limit: time.Minute, Tries: 3, Repeat: check.Repeatable},
	{Name: "once", Host: "h", PathStart: "/once/", Service: "s", Limit: time.Minute, Tries: 3, Repeat: check.OneShot},
}}

// node is a sidecar without its duties, with the endpoints of its own machine.
func node(name ident.Node, addr ident.Addr, endpoints ...ident.Addr) *Sidecar {
	s := New(boot.Sidecar{Node: name, Addr: addr, District: "d", Senders: 16, Queue: 16, Hand: 64, Fenced: true, Beat: time.Hour,
		Headers: boot.Headers{Id: testId, Limit: "X-Limit-Left-Ms", Calling: "X-Calling-Service", Seal: testSeal, NotRun: "X-Not-Run", Fractions: true}}, zap.NewNop())
	s.path.Tree.Free = true
	s.path.Enforce(testManifest)
	for n, at := range endpoints {
		_ = s.Beat(gate.Beat{Server: ident.Server(fmt.Sprint(name, n)), Service: "s", Addr: at, State: gate.Alive, Seq: 1})
	}
	return s
}

// knows lets a sidecar know the endpoints of a node, behind an address.
func (s *Sidecar) knows(author ident.Node, behind ident.Addr, servers ...ident.Server) {
	var records []record.Address
	for _, id := range servers {
		records = append(records, record.Address{Workload: &record.Workload{UID: id, Service: "s", Gate: behind, Weight: 1, Status: record.Healthy}})
	}
	s.path.Index.Merge([]record.Set{{Author: author, LeaseEpoch: 1, Records: records}})
}

// gated serves a sidecar towards the mesh, on the daemon's own kind of server.
func gated(t *testing.T, s func() *Sidecar) ident.Addr {
	near := server.New("127.0.0.1:0", func(w http.ResponseWriter, r *http.Request) bool { return s().Gated(w, r) })
	at := httptest.NewServer(near.Handler)
	t.Cleanup(at.Close)
	return ident.Addr(strings.TrimPrefix(at.URL, "http://"))
}

// asks sends a request to a sidecar as its caller would.
func (s *Sidecar) asks(path, id string, limit time.Duration) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", path, strings.NewReader(`{"to":"`+id+`"}`))
	r.Host = "h"
	if id != "" {
		r.Header.Set(testId, id)
	}
	r.Header.Set("X-Limit-Left-Ms", fmt.Sprint(limit.Milliseconds()))
	w := httptest.NewRecorder()
	s.Intake(w, r)
	return w
}

func newJournal(script []endpointMove, relays []relayMove) *journal {
	return &journal{script: script, relays: relays, arrivals: map[string][]endpointMove{}, lost: map[string]bool{}}
}
