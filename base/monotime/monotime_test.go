package monotime

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// For every sequence of four kinds of readings: the limited time exceeds the time that really
// elapsed by at most MaxStep per forward jump, and never goes back.
func TestAllOrdersOfJumps(t *testing.T) {
	steps := []struct{ elapsed, shown time.Duration }{
		{20 * time.Millisecond, 20 * time.Millisecond}, // a tick
		{20 * time.Millisecond, 30 * time.Second},      // the clock jumps forward
		{5 * time.Second, 5 * time.Second},             // the process is paused
		{20 * time.Millisecond, -time.Second},          // the clock goes back
	}
	for order := range 256 {
		var limiter StepLimiter
		now, elapsed, jumps := Time(time.Second), time.Duration(0), 0
		start := limiter.Observe(now)
		previous := start
		for _, i := range []int{order % 4, order / 4 % 4, order / 16 % 4, order / 64} {
			step := steps[i]
			now, elapsed = now.Add(step.shown), elapsed+step.elapsed
			if step.shown > step.elapsed {
				jumps++
			}
			observed := limiter.Observe(now)
			must.GreaterEq(t, previous, observed)
			must.LessEq(t, elapsed+time.Duration(jumps)*MaxStep, observed.Since(start))
			previous = observed
		}
	}
}

// The process clock never goes back and never returns the zero Time, which means "never".
func TestProcessClock(t *testing.T) {
	clock := ProcessClock()
	first := clock()
	must.GreaterEq(t, Time(time.Second), first)
	must.GreaterEq(t, first, clock())
}
