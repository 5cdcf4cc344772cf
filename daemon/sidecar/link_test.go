package sidecar

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/settings"
)

// A request whose response does not fit on this machine's outbound link is rejected before any
// other check, with a Retry-After; a request that ends without a response takes no link capacity.
func TestFullOutboundLinkRejects(t *testing.T) {
	s := New(settings.Sidecar{MaxInFlight: 8, LinkBytesPerSecond: 11 * settings.BytesPerMegabit}, zap.NewNop())
	send := func(bytes int) (result peerResult, retryAfter string) {
		r := httptest.NewRequest("GET", "/x", nil)
		r.Header.Set(TargetHeader, "gone")
		r.Header.Set(ServiceHeader, "s.prairie")
		r.Header.Set(TimeoutHeader, "500")
		r.Header.Set(AdmissionHintsHeader, admissionHints{expectedServiceTime: time.Millisecond, responseBytes: bytes}.encode())
		recorder := httptest.NewRecorder()
		must.True(t, s.ServePeer(recorder, r))
		must.Eq(t, 503, recorder.Code)
		return peerResult(recorder.Header().Get(PeerResultHeader)), recorder.Header().Get("Retry-After")
	}
	for range 20 {
		result, _ := send(90_000) // there is no such endpoint: no bytes were sent
		must.Eq(t, resultRejected, result)
	}
	s.outboundLink.Sent(s.clock(), 0, 1_000_000)
	result, retryAfter := send(90_000)
	must.Eq(t, resultNoCapacity, result)
	must.NotEq(t, "", retryAfter)
	must.Eq(t, int64(1), s.Metrics.Counter(counterOutboundLinkFull).Load())
	result, _ = send(0)
	must.Eq(t, resultRejected, result)
}

// Hints of a release that wrote six fields are still decoded.
func TestAdmissionHintsOfAnEarlierRelease(t *testing.T) {
	hints := admissionHints{
		priority:            2,
		expectedServiceTime: time.Millisecond,
		earlyRejection:      2 * time.Millisecond,
		latencyTarget:       3 * time.Millisecond,
		peerFailureRate:     0.25,
		lastResort:          true,
		responseBytes:       77,
	}
	must.Eq(t, hints, parseHints(hints.encode()))
	hints.responseBytes = 0
	must.Eq(t, hints, parseHints("2,1000,2000,3000,250,1"))
}
