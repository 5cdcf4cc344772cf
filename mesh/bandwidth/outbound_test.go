package bandwidth

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/monotime"
)

const (
	megabit       = 1e6 / 8
	responseBytes = 90_000
)

func at(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

// The first large response is admitted whatever its size. While that response is expected, no
// other response that would wait too long is admitted. A rejected response is admitted after its
// retryAfter.
func TestLargeResponsesAreLimitedWhileOneIsExpected(t *testing.T) {
	link := NewOutbound(11 * megabit)
	_, ok := link.Admit(at(0), 2_000_000, false)
	must.True(t, ok)
	_, ok = link.Admit(at(0), responseBytes, false)
	must.False(t, ok)
	link.Sent(at(0), 2_000_000, 0) // the request ended without a response
	_, ok = link.Admit(at(0), responseBytes, false)
	must.True(t, ok)
	link.Sent(at(0), responseBytes, 4*responseBytes) // the response was larger than expected
	retryAfter, ok := link.Admit(at(0), responseBytes, false)
	must.False(t, ok)
	_, ok = link.Admit(at(retryAfter), responseBytes, false)
	must.True(t, ok)
}

// A full link admits small responses and, as a last resort, responses that wait longer. A link
// with an unknown rate imposes no limit.
func TestFullLinkAdmitsSmallAndLastResortResponses(t *testing.T) {
	link := NewOutbound(11 * megabit)
	link.Sent(at(0), 0, 600_000)
	must.Positive(t, link.Wait(at(0)))
	_, ok := link.Admit(at(0), smallBodyBytes, false)
	must.True(t, ok)
	_, ok = link.Admit(at(0), responseBytes, false)
	must.False(t, ok)
	_, ok = link.Admit(at(0), responseBytes, true)
	must.True(t, ok)
	unknown := NewOutbound(0)
	for range 100 {
		_, ok = unknown.Admit(at(0), 1<<30, false)
		must.True(t, ok)
		unknown.Sent(at(0), 1<<30, 1<<30)
	}
	must.Eq(t, 0, unknown.Wait(at(0)))
}

// A machine gets requests for twice the rate of its link. With admission control, the queue of a
// simulated link stays short and the link is well utilized. Without admission control, the queue
// grows without bound.
func TestOutboundQueueIsBoundedUnderOverload(t *testing.T) {
	for _, admission := range []bool{true, false} {
		rng := rand.New(rand.NewPCG(3, 4))
		rate := 11 * megabit
		link := NewOutbound(rate)
		queued, longest, carried := 0.0, 0.0, 0.0
		running := map[monotime.Time][]int{}
		step := 2 * time.Millisecond
		for now := at(0); now < at(20*time.Second); now = now.Add(step) {
			sent := min(queued, rate*step.Seconds())
			queued, carried = queued-sent, carried+sent
			for _, size := range running[now] {
				link.Sent(now, responseBytes, size)
				queued += float64(size)
				longest = max(longest, queued/rate)
			}
			if rng.Float64() > 2*rate/responseBytes*step.Seconds() {
				continue
			}
			if _, ok := link.Admit(now, responseBytes, false); ok || !admission {
				end := now.Add(time.Duration(20+rng.IntN(120)) * step)
				running[end] = append(running[end], responseBytes/2+rng.IntN(responseBytes))
			}
		}
		utilization := carried / rate / 20
		if !admission {
			must.Greater(t, 3, longest)
			continue
		}
		must.Less(t, 0.35, longest)
		must.Greater(t, 0.6, utilization)
	}
}
