// Package priorityqueue is where requests wait between intake and the senders: two bounded
// queues, one of them for urgent routes, and the rule of which request is sent next.
package priorityqueue

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// Queue is the step function. Invariants: neither queue grows over its size; no more than
// senders requests are out at once, and no more than three quarters of them for routes that
// are not urgent; what would be late before its turn is rejected when it comes, and never
// later on.
type Queue[T any] struct {
	senders, size              int
	urgent, ordinary           []entry[T]
	inFlight, ordinaryInFlight int // requests out, and those of them that are not urgent
	meanRunTime                time.Duration
	// IgnoreUrgency breaks the rule: nothing is kept for urgent routes; only tests of the checkers
	// set it.
	IgnoreUrgency bool
	// Rejected counts.
	Rejected uint64
}

type entry[T any] struct {
	item   T
	urgent bool
}

// New makes an empty queue.
func New[T any](senders, size int) *Queue[T] { return &Queue[T]{senders: senders, size: size} }

// ordinaryLimit is how many may be out for routes that are not urgent.
func (q *Queue[T]) ordinaryLimit() int { return max(1, q.senders-q.senders/4) }

// Enqueue queues a request, or rejects it at once: the queue is full, or its time
// would be over before its turn.
func (q *Queue[T]) Enqueue(now monotime.Time, item T, urgent bool, deadline monotime.Time) bool {
	urgent = urgent && !q.IgnoreUrgency
	list, limit := &q.ordinary, q.ordinaryLimit()
	if urgent {
		list, limit = &q.urgent, q.senders
	}
	expectedWait := time.Duration(len(*list)) * q.meanRunTime / time.Duration(limit)
	if len(*list) >= q.size || deadline.Since(now) < expectedWait {
		q.Rejected++
		return false
	}
	*list = append(*list, entry[T]{item, urgent})
	return true
}

// Dequeue gives the request that a free sender is to take, if there is one; Done must be
// called with the same word of its urgency when it is over.
func (q *Queue[T]) Dequeue() (item T, urgent, ok bool) {
	switch {
	case q.inFlight >= q.senders:
		return item, false, false
	case len(q.urgent) > 0:
		item, q.urgent = q.urgent[0].item, q.urgent[1:]
		urgent = true
	case len(q.ordinary) > 0 && q.ordinaryInFlight < q.ordinaryLimit():
		item, q.ordinary = q.ordinary[0].item, q.ordinary[1:]
		q.ordinaryInFlight++
	default:
		return item, false, false
	}
	q.inFlight++
	return item, urgent, true
}

// Remove takes the first waiting request that fits out of its queue, and tells whether there
// was one.
func (q *Queue[T]) Remove(matches func(T) bool) bool {
	for _, list := range []*[]entry[T]{&q.urgent, &q.ordinary} {
		if i := slices.IndexFunc(*list, func(e entry[T]) bool { return matches(e.item) }); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			return true
		}
	}
	return false
}

// Done counts a request in again that was out for a while.
func (q *Queue[T]) Done(urgent bool, elapsed time.Duration) {
	q.inFlight--
	if !urgent {
		q.ordinaryInFlight--
	}
	// One sample tells little: a process that was held up must not take all that it then
	// has in hand for slow.
	q.meanRunTime += (min(elapsed, 2*q.meanRunTime+20*time.Millisecond) - q.meanRunTime) / 16
}

// Len is how many wait.
func (q *Queue[T]) Len() int { return len(q.urgent) + len(q.ordinary) }
