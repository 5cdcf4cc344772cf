// Package monotime provides monotonic time. Times of different processes are not comparable, so no
// safety property may depend on synchronized clocks.
package monotime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the monotonic clock of one process, in nanoseconds.
type Time int64

// Duration is the difference between two monotonic times.
type Duration = time.Duration

// Add returns the time that is d later.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Since returns the time elapsed from earlier to t.
func (t Time) Since(earlier Time) Duration { return Duration(t - earlier) }

// After reports whether t is later than other.
func (t Time) After(other Time) bool { return t > other }

// Clock reads the monotonic time of one process.
type Clock func() Time

// ProcessClock returns a clock of this process. The clock starts at one second, so that the zero
// Time always means "never". Unlike the monotonic clock of package time, the clock keeps advancing
// while the machine is suspended, so a suspension looks like any other pause of the process.
func ProcessClock() Clock {
	start := readBootTime()
	return func() Time { return readBootTime() - start + Time(time.Second) }
}

// readBootTime returns the time since the machine booted, including time spent suspended.
func readBootTime() Time {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading)
	}
	return Time(reading.Nano())
}

// StepLimiter follows a clock in bounded steps. Invariant: between two readings, the limited time
// advances by at most MaxStep, however far the clock moved; so a clock that jumps forward, or a
// pause of the process, makes a wait look at most MaxStep longer than the wait was.
type StepLimiter struct {
	lastReading Time
	observed    Time // the most recently returned limited time
}

// MaxStep is the largest advance of the limited time between two readings. MaxStep is far below
// every safety margin of a lease, and far above the time between two ticks of a loop.
const MaxStep = 100 * time.Millisecond

// Observe takes a reading of the clock and returns the limited time.
func (l *StepLimiter) Observe(now Time) Time {
	switch {
	case l.lastReading == 0:
		l.observed = now
	case now > l.lastReading:
		l.observed = l.observed.Add(min(now.Since(l.lastReading), MaxStep))
	}
	l.lastReading = max(l.lastReading, now)
	return l.observed
}

// LimitSteps returns a clock that follows clock in bounded steps. The returned clock is safe for
// concurrent use.
func LimitSteps(clock Clock) Clock {
	var mu sync.Mutex
	var limiter StepLimiter
	return func() Time {
		mu.Lock()
		defer mu.Unlock()
		return limiter.Observe(clock())
	}
}
