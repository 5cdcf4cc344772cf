// Package line is where requests wait between intake and the senders: two bounded
// queues, one of them for urgent ways, and the rule of who comes next.
package line

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/monotime"
)

// Line is the step function. Invariants: neither queue grows over its size; no more than
// senders requests are out at once, and no more than three quarters of them for ways that
// are not urgent; what would be late before its turn is turned away when it comes, and
// never later on.
type Line[T any] struct {
	senders, size  int
	urgent, normal []entry[T]
	out, plain     int // requests out, and those of them that are not urgent
	pace           time.Duration
	// Level breaks the rule: nothing is kept for urgent ways; only tests of the checkers
	// set it.
	Level bool
	// TurnedAway counts.
	TurnedAway uint64
}

type entry[T any] struct {
	item   T
	urgent bool
}

// New makes an empty line.
func New[T any](senders, size int) *Line[T] { return &Line[T]{senders: senders, size: size} }

// open is how many may be out for ways that are not urgent.
func (l *Line[T]) open() int { return max(1, l.senders-l.senders/4) }

// Offer puts a request in line, or turns it away at once: the queue is full, or its time
// would be over before its turn.
func (l *Line[T]) Offer(now monotime.Time, item T, urgent bool, until monotime.Time) bool {
	urgent = urgent && !l.Level
	q, wide := &l.normal, l.open()
	if urgent {
		q, wide = &l.urgent, l.senders
	}
	wait := time.Duration(len(*q)) * l.pace / time.Duration(wide)
	if len(*q) >= l.size || until.Since(now) < wait {
		l.TurnedAway++
		return false
	}
	*q = append(*q, entry[T]{item, urgent})
	return true
}

// Next gives the request that a free sender is to take, if there is one; Done must be
// called with the same word of its urgency when it is over.
func (l *Line[T]) Next() (item T, urgent, ok bool) {
	switch {
	case l.out >= l.senders:
		return item, false, false
	case len(l.urgent) > 0:
		item, l.urgent = l.urgent[0].item, l.urgent[1:]
		urgent = true
	case len(l.normal) > 0 && l.plain < l.open():
		item, l.normal = l.normal[0].item, l.normal[1:]
		l.plain++
	default:
		return item, false, false
	}
	l.out++
	return item, urgent, true
}

// Quit takes the first waiting request that fits out of its queue, and tells whether there
// was one.
func (l *Line[T]) Quit(fits func(T) bool) bool {
	for _, q := range []*[]entry[T]{&l.urgent, &l.normal} {
		if n := slices.IndexFunc(*q, func(e entry[T]) bool { return fits(e.item) }); n >= 0 {
			*q = slices.Delete(*q, n, n+1)
			return true
		}
	}
	return false
}

// Done counts a request in again that was out for a while.
func (l *Line[T]) Done(urgent bool, took time.Duration) {
	l.out--
	if !urgent {
		l.plain--
	}
	// One sample tells little: a process that was held up must not take all that it then
	// has in hand for slow.
	l.pace += (min(took, 2*l.pace+20*time.Millisecond) - l.pace) / 16
}

// Len is how many wait.
func (l *Line[T]) Len() int { return len(l.urgent) + len(l.normal) }
