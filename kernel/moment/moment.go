// Package moment holds monotonic time. Nothing here can be compared between
// processes: safety rests on no agreed clock.
package moment

import "time"

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

// Process gives the clock of this process; it starts at one second so that the
// zero Moment always means "never".
func Process() Clock {
	base := time.Now()
	return func() Moment { return Moment(time.Since(base) + time.Second) }
}
