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

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/link"
	"cottonarch.example/cottonarch/wire/reply"
	"cottonarch.example/cottonarch/wire/server"
)

// countedBodies counts the bytes of bodies that a peer reads.
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

// gatedThrough is gated, with the bodies counted that the sidecar reads.
func (c *countedBodies) gatedThrough(t *testing.T, s func() *Sidecar) ident.Addr {
	near := server.New("127.0.0.1:0", func(w http.ResponseWriter, r *http.Request) bool {
		counted := *r // the server must go on to see its own body
		counted.Body = countedBody{r.Body, &c.bytes}
		return s().Gated(w, &counted)
	})
	at := httptest.NewServer(near.Handler)
	t.Cleanup(at.Close)
	return ident.Addr(strings.TrimPrefix(at.URL, "http://"))
}

// A machine whose link is full of what comes in does not ask for another large body: the
// sender is told so, as not run, before the body leaves; a small one is still taken. Once the
// link is free the large one is taken too.
func TestBodyWaitsForRoomOnTheLink(t *testing.T) {
	const large, comingIn = 300 << 10, 2_000_000
	st := newStage(t)
	j := newJournal(nil, nil)
	st.journals.Store("1", j)
	destination := node("b", "127.0.0.1:2", st.endpoints...)
	destination.inbound = link.NewInbound(11 * boot.BytesPerMegabit)
	_, ok := destination.inbound.Admit(comingIn)
	must.True(t, ok)
	st.peer.Store(destination)
	read := &countedBodies{}
	s := node("a", "127.0.0.1:1")
	s.knows("b", read.gatedThrough(t, st.peer.Load), "b0", "b1")
	s.limits.Store(&check.Limits{HeadBytes: 4 << 10, BodyBytes: 32 << 20})
	post := func(id string, size int) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "/once/x", bytes.NewReader(make([]byte, size)))
		r.Host = "h"
		r.Header.Set(testId, id)
		w := httptest.NewRecorder()
		s.Intake(w, r)
		return w
	}
	refused := post("1-large", large)
	must.Eq(t, http.StatusServiceUnavailable, refused.Code, must.Sprint(refused.Body))
	must.Eq(t, string(failure.NotExecuted), refused.Header().Get(reply.FateHeader))
	must.Eq(t, 0, read.bytes.Load())
	must.Positive(t, destination.Board.At("bodies_not_asked_for").Load())
	must.Eq(t, http.StatusOK, post("1-small", 100).Code)
	destination.inbound.Received(comingIn)
	must.Eq(t, http.StatusOK, post("1-free", large).Code)
	must.Eq(t, 0, len(j.arrivals["1-large"]))
	must.Eq(t, 1, len(j.arrivals["1-free"]))
}
