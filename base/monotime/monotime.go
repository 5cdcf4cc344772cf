// Package monotime holds monotonic time. Nothing here can be compared between
// processes: safety rests on no agreed clock.
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

// Add moves a time.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Since is the span from o to t.
func (t Time) Since(earlier Time) Duration { return Duration(t - earlier) }

// After tells whether t is later than o.
func (t Time) After(other Time) bool { return t > other }

// Clock reads the time of one process.
type Clock func() Time

// ProcessClock gives the clock of this process; it starts at one second so that the zero
// Time always means "never". It goes on while the machine is suspended, which the
// monotonic clock that Go reads does not: to a process, a machine's sleep then looks
// like any other time in which it was held up.
func ProcessClock() Clock {
	start := readBootTime()
	return func() Time { return readBootTime() - start + Time(time.Second) }
}

func readBootTime() Time {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading)
	}
	return Time(reading.Nano())
}

// StepLimiter counts time that was watched go by. Invariant: between two looks it moves by
// StepMost at most, however far the clock moved; so a clock that jumps forward, or a
// process that was held up, never makes a wait look longer than it was by more.
type StepLimiter struct {
	lastReading, observed Time
}

// MaxStep is the most that one look adds. It is far below every margin that a lease
// leaves, and far above the time between two ticks of a duty.
const MaxStep = 100 * time.Millisecond

// Observe moves the watch to a reading of the clock and gives the time watched so far.
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

// LimitSteps is a clock that shows the time watched go by; many may read it.
func LimitSteps(clock Clock) Clock {
	var mu sync.Mutex
	var limiter StepLimiter
	return func() Time {
		mu.Lock()
		defer mu.Unlock()
		return limiter.Observe(clock())
	}
}
