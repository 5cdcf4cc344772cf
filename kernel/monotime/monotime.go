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

// Span is a length of monotonic time.
type Span = time.Duration

// Add moves a time.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Since is the span from o to t.
func (t Time) Since(o Time) Span { return Span(t - o) }

// After tells whether t is later than o.
func (t Time) After(o Time) bool { return t > o }

// Clock reads the time of one process.
type Clock func() Time

// Process gives the clock of this process; it starts at one second so that the zero
// Time always means "never". It goes on while the machine is suspended, which the
// monotonic clock that Go reads does not: to a process, a machine's sleep then looks
// like any other time in which it was held up.
func Process() Clock {
	base := boottime()
	return func() Time { return boottime() - base + Time(time.Second) }
}

func boottime() Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return Time(t.Nano())
}

// Watch counts time that was watched go by. Invariant: between two looks it moves by
// StepMost at most, however far the clock moved; so a clock that jumps forward, or a
// process that was held up, never makes a wait look longer than it was by more.
type Watch struct {
	last, seen Time
}

// StepMost is the most that one look adds. It is far below every margin that a lease
// leaves, and far above the time between two ticks of a duty.
const StepMost = 100 * time.Millisecond

// Look moves the watch to a reading of the clock and gives the time watched so far.
func (w *Watch) Look(now Time) Time {
	switch {
	case w.last == 0:
		w.seen = now
	case now > w.last:
		w.seen = w.seen.Add(min(now.Since(w.last), StepMost))
	}
	w.last = max(w.last, now)
	return w.seen
}

// Watched is a clock that shows the time watched go by; many may read it.
func Watched(c Clock) Clock {
	var mu sync.Mutex
	var w Watch
	return func() Time {
		mu.Lock()
		defer mu.Unlock()
		return w.Look(c())
	}
}
