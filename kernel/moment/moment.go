// Package moment holds monotonic time. Nothing here can be compared between
// processes: safety rests on no agreed clock.
package moment

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a reading of one process's monotonic clock, in nanoseconds.
type Moment int64

// Span is a length of monotonic time.
type Span = time.Duration

// Add moves a moment.
func (m Moment) Add(s Span) Moment { return m + Moment(s) }

// Since is the span from o to m.
func (m Moment) Since(o Moment) Span { return Span(m - o) }

// After tells whether m is later than o.
func (m Moment) After(o Moment) bool { return m > o }

// Clock reads the time of one process.
type Clock func() Moment

// Process gives the clock of this process; it starts at one second so that the zero
// Moment always means "never". It goes on while the machine is suspended, which the
// monotonic clock that Go reads does not: to a process, a machine's sleep then looks
// like any other time in which it was held up.
func Process() Clock {
	base := boottime()
	return func() Moment { return boottime() - base + Moment(time.Second) }
}

func boottime() Moment {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return Moment(t.Nano())
}

// Watch counts time that was watched go by. Invariant: between two looks it moves by
// StepMost at most, however far the clock moved; so a clock that jumps forward, or a
// process that was held up, never makes a wait look longer than it was by more.
type Watch struct {
	last, seen Moment
}

// StepMost is the most that one look adds. It is far below every margin that a claim
// leaves, and far above the time between two ticks of a duty.
const StepMost = 100 * time.Millisecond

// Look moves the watch to a reading of the clock and gives the time watched so far.
func (w *Watch) Look(now Moment) Moment {
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
	return func() Moment {
		mu.Lock()
		defer mu.Unlock()
		return w.Look(c())
	}
}
