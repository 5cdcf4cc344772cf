package bandwidth

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// While a large body is received, no other body that would exceed maxInboundWait is admitted.
// Small bodies are always admitted, and a body is never rejected while no other body is received.
func TestLargeBodiesAreLimitedWhileReceiving(t *testing.T) {
	link := NewInbound(6 * megabit)
	_, ok := link.Admit(5_000_000)
	must.True(t, ok)
	retryAfter, ok := link.Admit(responseBytes)
	must.False(t, ok)
	must.Positive(t, retryAfter)
	_, ok = link.Admit(smallBodyBytes)
	must.True(t, ok)
	link.Received(5_000_000)
	link.Received(smallBodyBytes)
	_, ok = link.Admit(responseBytes)
	must.True(t, ok)
	_, ok = link.Admit(responseBytes)
	must.False(t, ok)
	unknown := NewInbound(0)
	for range 100 {
		_, ok = unknown.Admit(1 << 30)
		must.True(t, ok)
	}
}

// Machines send random bodies to one link at four times its rate. With admission control, the wait
// at the link stays short, so that a configuration behind the bodies arrives in time, and the link
// is still well utilized. Without admission control, the wait grows without bound.
func TestInboundWaitIsBoundedUnderOverload(t *testing.T) {
	const rate, step, length = 6 * megabit, 5 * time.Millisecond, 20 * time.Second
	for _, admission := range []bool{true, false} {
		rng := rand.New(rand.NewPCG(1, 2))
		link := NewInbound(rate)
		type body struct{ size, left float64 }
		var queue []body // on the link, in order
		waiting, longest, carried := 0.0, 0.0, 0.0
		for now := time.Duration(0); now < length; now += step {
			for range 2 {
				size := float64(20_000 + rng.IntN(80_000))
				if rng.Float64() > 4*rate*step.Seconds()/60_000/2 {
					continue
				}
				if _, ok := link.Admit(int64(size)); ok || !admission {
					queue = append(queue, body{size, size})
					waiting += size
				}
			}
			for budget := rate * step.Seconds(); budget > 0 && len(queue) > 0; {
				part := min(budget, queue[0].left)
				queue[0].left -= part
				budget, waiting, carried = budget-part, waiting-part, carried+part
				if queue[0].left <= 0 {
					link.Received(int64(queue[0].size))
					queue = queue[1:]
				}
			}
			longest = max(longest, waiting/rate)
		}
		if !admission {
			must.Greater(t, 10, longest)
			continue
		}
		must.Less(t, 0.25, longest)
		must.Greater(t, 0.8*rate*length.Seconds(), carried)
	}
}
