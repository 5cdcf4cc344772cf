// Package priorityqueue holds the requests that wait for a free sender, in two bounded queues, one
// of them for urgent routes, and selects the request to send next.
package priorityqueue

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

// Queue selects the request to send next. Queue reads no clock. Invariants: neither queue exceeds
// its size; at most as many requests as there are senders are in flight, and requests of ordinary
// routes use at most three quarters of the senders (at least one); a request whose deadline would
// pass in the queue is rejected by Enqueue, never later.
type Queue[T any] struct {
	senders, size              int
	urgent, ordinary           []T // waiting requests
	inFlight, ordinaryInFlight int // requests in flight, in total and of ordinary routes
	meanRunTime                time.Duration
	// IgnoreUrgency treats urgent routes as ordinary routes. Only tests set IgnoreUrgency, to
	// verify that the checkers detect the violation.
	IgnoreUrgency bool
	// Rejected is the number of requests that Enqueue rejected.
	Rejected uint64
}

// New returns an empty queue for the given number of senders. size is the maximum length of each
// of the two queues.
func New[T any](senders, size int) *Queue[T] { return &Queue[T]{senders: senders, size: size} }

// ordinaryLimit returns the maximum number of requests of ordinary routes in flight.
func (q *Queue[T]) ordinaryLimit() int { return max(1, q.senders-q.senders/4) }

// Enqueue adds a request and returns true, or returns false if the queue for its urgency is full
// or the deadline would pass before the request is sent.
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

// Dequeue returns the next request for a free sender, if there is one. After the request has
// ended, the caller must call Done with the returned urgency.
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

// Remove removes the first waiting request that matches and reports whether there was one.
func (q *Queue[T]) Remove(matches func(T) bool) bool {
	for _, list := range []*[]T{&q.urgent, &q.ordinary} {
		if i := slices.IndexFunc(*list, matches); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			return true
		}
	}
	return false
}

// Done ends a request that Dequeue returned. elapsed is the time that the request was in flight.
func (q *Queue[T]) Done(urgent bool, elapsed time.Duration) {
	q.inFlight--
	if !urgent {
		q.ordinaryInFlight--
	}
	// Each sample is limited, so that after a suspension of the process, the requests that were in
	// flight do not count as slow.
	q.meanRunTime += (min(elapsed, 2*q.meanRunTime+20*time.Millisecond) - q.meanRunTime) / 16
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.urgent) + len(q.ordinary) }
