package sidecar

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/mesh/bandwidth"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

// countedBodies counts the bytes that a peer reads from request bodies.
type countedBodies struct{ bytes atomic.Int64 }

type countedBody struct {
	io.ReadCloser
	count *atomic.Int64
}

func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

// startPeerServer is like the function startPeerServer, but counts the bytes that the sidecar reads
// from bodies.
func (c *countedBodies) startPeerServer(t *testing.T, s func() *Sidecar) ident.Addr {
	peerServer := server.New("127.0.0.1:0", func(w http.ResponseWriter, r *http.Request) bool {
		counted := *r // a copy, because the server must keep its own body
		counted.Body = countedBody{r.Body, &c.bytes}
		return s().ServePeer(w, &counted)
	})
	listener := httptest.NewServer(peerServer.Handler)
	t.Cleanup(listener.Close)
	return ident.Addr(strings.TrimPrefix(listener.URL, "http://"))
}

// A machine whose inbound link is full does not request another large body: the request is rejected
// as not executed before its body is sent, while a small request is still accepted. Once the link
// is free, the large request is accepted too.
func TestFullInboundLinkRejectsLargeBodies(t *testing.T) {
	const large, admittedBytes = 300 << 10, 2_000_000
	harness := newFaultHarness(t)
	sc := newScenario(nil, nil)
	harness.scenarios.Store("1", sc)
	destination := newTestSidecar("b", "127.0.0.1:2", harness.endpoints...)
	destination.inboundLink = bandwidth.NewInbound(11 * settings.BytesPerMegabit)
	_, ok := destination.inboundLink.Admit(admittedBytes)
	must.True(t, ok)
	harness.peer.Store(destination)
	bodies := &countedBodies{}
	s := newTestSidecar("a", "127.0.0.1:1")
	s.addWorkloads("b", bodies.startPeerServer(t, harness.peer.Load), "b0", "b1")
	s.bodies.limits.Store(&validation.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 32 << 20})
	post := func(id string, size int) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "/once/x", bytes.NewReader(make([]byte, size)))
		r.Host = "h"
		r.Header.Set(testIDHeader, id)
		w := httptest.NewRecorder()
		s.ServeCaller(w, r)
		return w
	}
	rejected := post("1-large", large)
	must.Eq(t, http.StatusServiceUnavailable, rejected.Code, must.Sprint(rejected.Body))
	must.Eq(t, string(failure.NotExecuted), rejected.Header().Get(response.OutcomeHeader))
	must.Eq(t, 0, bodies.bytes.Load())
	must.Positive(t, destination.Metrics.Counter(counterInboundLinkFull).Load())
	must.Eq(t, http.StatusOK, post("1-small", 100).Code)
	destination.mu.Lock()
	destination.inboundLink.Received(admittedBytes)
	destination.mu.Unlock()
	must.Eq(t, http.StatusOK, post("1-free", large).Code)
	must.Eq(t, 0, len(sc.arrivals["1-large"]))
	must.Eq(t, 1, len(sc.arrivals["1-free"]))
}
