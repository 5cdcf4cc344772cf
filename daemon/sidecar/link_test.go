package sidecar

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/boot"
)

// A request whose answer has no room on this machine's link is turned away before anything
// of it is done, with a time to come back; one that ended without an answer takes no room.
func TestFullLinkTurnsAway(t *testing.T) {
	s := New(boot.Sidecar{Hand: 8, Link: 11 * boot.BytesPerMegabit}, zap.NewNop())
	ask := func(bytes int) (word, retryAfter string) {
		r := httptest.NewRequest("GET", "/x", nil)
		r.Header.Set(TargetHeader, "gone")
		r.Header.Set(ServiceHeader, "s.prairie")
		r.Header.Set(LimitHeader, "500")
		r.Header.Set(WantHeader, want{work: time.Millisecond, bytes: bytes}.text())
		rec := httptest.NewRecorder()
		must.True(t, s.Gated(rec, r))
		must.Eq(t, 503, rec.Code)
		return rec.Header().Get(GateHeader), rec.Header().Get("Retry-After")
	}
	for range 20 {
		word, _ := ask(90_000) // there is no such endpoint: nothing was sent
		must.Eq(t, gateTurned, word)
	}
	s.link.Sent(s.clock(), 0, 1_000_000)
	word, retryAfter := ask(90_000)
	must.Eq(t, gateNoRoom, word)
	must.NotEq(t, "", retryAfter)
	must.Eq(t, int64(1), s.Board.At("link_turned_away").Load())
	word, _ = ask(0)
	must.Eq(t, gateTurned, word)
}

// What a release that knows six fields of a want wrote is read as before.
func TestWantOfAnEarlierRelease(t *testing.T) {
	w := want{rank: 2, work: time.Millisecond, early: 2 * time.Millisecond, aim: 3 * time.Millisecond, peers: 0.25, must: true, bytes: 77}
	must.Eq(t, w, wantOf(w.text()))
	w.bytes = 0
	must.Eq(t, w, wantOf("2,1000,2000,3000,250,1"))
}
