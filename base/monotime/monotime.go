// Package monotime is monotonic time. Times of two processes cannot be compared: safety rests on
// no agreement of clocks.
package monotime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of one process's monotonic clock, in nanoseconds.
type Time int64

// Duration is a length of monotonic time.
type Duration = time.Duration

// Add returns the time that is d later.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Since is the time that passed from earlier to t.
func (t Time) Since(earlier Time) Duration { return Duration(t - earlier) }

// After reports whether t is later than other.
func (t Time) After(other Time) bool { return t > other }

// Clock reads the monotonic time of one process.
type Clock func() Time

// ProcessClock returns a clock of this process; it starts at one second so that the zero Time
// always means "never". Unlike the monotonic clock of package time it goes on while the machine
// is suspended: to the process that looks like any other pause.
func ProcessClock() Clock {
	start := readBootTime()
	return func() Time { return readBootTime() - start + Time(time.Second) }
}

// readBootTime reads the time since the machine started, suspension included.
func readBootTime() Time {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading)
	}
	return Time(reading.Nano())
}

// StepLimiter follows a clock by bounded steps. Invariant: between two readings it advances by
// MaxStep at most, however far the clock moved; so a clock that jumps forward, or a pause of the
// process, makes a wait look longer than it was by MaxStep at most.
type StepLimiter struct {
	lastReading Time
	observed    Time // the limited time as last returned
}

// MaxStep is the most that the limited time advances between two readings. It is far below every margin that a lease leaves,
// and far above the time between two ticks of a loop.
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

// LimitSteps returns a clock that follows another by bounded steps; any goroutine may read it.
func LimitSteps(clock Clock) Clock {
	var mu sync.Mutex
	var limiter StepLimiter
	return func() Time {
		mu.Lock()
		defer mu.Unlock()
		return limiter.Observe(clock())
	}
}
