// Package priorityqueue holds the requests that wait for a free sender: two bounded queues, one of
// them for urgent routes, and the rule of which request is sent next.
package priorityqueue

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// Queue decides which request is sent next. It reads no clock. Invariants: neither queue grows over
// its size; no more requests than senders are in flight, and no more than three quarters of them for
// ordinary routes; a request whose deadline would pass in the queue is rejected when it comes, and
// never later on.
type Queue[T any] struct {
	senders, size              int
	urgent, ordinary           []T // what waits
	inFlight, ordinaryInFlight int // all requests in flight, and those of ordinary routes
	meanRunTime                time.Duration
	// IgnoreUrgency treats urgent routes as ordinary ones; only tests of the checkers set it.
	IgnoreUrgency bool
	// Rejected counts the requests that Enqueue rejected.
	Rejected uint64
}

// New makes an empty queue for so many senders; size bounds each of its two queues.
func New[T any](senders, size int) *Queue[T] { return &Queue[T]{senders: senders, size: size} }

// ordinaryLimit is how many requests of ordinary routes may be in flight.
func (q *Queue[T]) ordinaryLimit() int { return max(1, q.senders-q.senders/4) }

// Enqueue queues a request, or rejects it at once: its queue is full, or its deadline would pass
// before it is sent.
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
	*list = append(*list, item)
	return true
}

// Dequeue returns the request that a free sender is to send next, if there is one. Done must be
// called with the same urgency when the request is over.
func (q *Queue[T]) Dequeue() (item T, urgent, ok bool) {
	switch {
	case q.inFlight >= q.senders:
		return item, false, false
	case len(q.urgent) > 0:
		item, q.urgent = q.urgent[0], q.urgent[1:]
		urgent = true
	case len(q.ordinary) > 0 && q.ordinaryInFlight < q.ordinaryLimit():
		item, q.ordinary = q.ordinary[0], q.ordinary[1:]
		q.ordinaryInFlight++
	default:
		return item, false, false
	}
	q.inFlight++
	return item, urgent, true
}

// Remove removes the first waiting request that matches, and reports whether there was one.
func (q *Queue[T]) Remove(matches func(T) bool) bool {
	for _, list := range []*[]T{&q.urgent, &q.ordinary} {
		if i := slices.IndexFunc(*list, matches); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			return true
		}
	}
	return false
}

// Done ends a request that Dequeue gave; elapsed is how long it was in flight.
func (q *Queue[T]) Done(urgent bool, elapsed time.Duration) {
	q.inFlight--
	if !urgent {
		q.ordinaryInFlight--
	}
	// A single sample is bounded: a process that was suspended must not take all requests that were
	// in flight for slow.
	q.meanRunTime += (min(elapsed, 2*q.meanRunTime+20*time.Millisecond) - q.meanRunTime) / 16
}

// Len is how many requests wait.
func (q *Queue[T]) Len() int { return len(q.urgent) + len(q.ordinary) }
