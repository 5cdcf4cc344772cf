package monotime

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Every order of three kinds of look: what was watched is never more than what went by
// on a clock that does not jump, but for one step a jump, and it never goes back.
func TestAllOrdersOfJumps(t *testing.T) {
	steps := []struct{ real, shown time.Duration }{
		{20 * time.Millisecond, 20 * time.Millisecond}, // a tick
		{20 * time.Millisecond, 30 * time.Second},      // the clock jumps forward
		{5 * time.Second, 5 * time.Second},             // the process is held up
		{20 * time.Millisecond, -time.Second},          // a clock that goes back
	}
	for n := range 256 {
		var w Watch
		now, real, jumps := Time(time.Second), time.Duration(0), 0
		from := w.Look(now)
		last := from
		for _, i := range []int{n % 4, n / 4 % 4, n / 16 % 4, n / 64} {
			s := steps[i]
			now, real = now.Add(s.shown), real+s.real
			if s.shown > s.real {
				jumps++
			}
			seen := w.Look(now)
			must.GreaterEq(t, last, seen)
			must.LessEq(t, real+time.Duration(jumps)*StepMost, seen.Since(from))
			last = seen
		}
	}
}

// The process's clock moves on and never reads "never".
func TestProcessClock(t *testing.T) {
	c := Process()
	a := c()
	must.GreaterEq(t, Time(time.Second), a)
	must.GreaterEq(t, a, c())
}
