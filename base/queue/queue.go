// Package queue implements a bounded queue between goroutines.
package queue

// Queue passes items between goroutines. Invariant: a queue never holds more items than its size; a
// full queue rejects items instead of growing.
type Queue[T any] struct{ items chan T }

// New returns a queue that holds up to size items.
func New[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// TryPut appends an item. It returns false without waiting if the queue is full.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Put appends an item, and waits while the queue is full. It returns false if done is closed first.
func (q *Queue[T]) Put(item T, done <-chan struct{}) bool {
	select {
	case q.items <- item:
		return true
	case <-done:
		return false
	}
}

// Out returns the channel from which items are received. The channel is never closed.
func (q *Queue[T]) Out() <-chan T { return q.items }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Free returns the number of items that can be appended before the queue is full.
func (q *Queue[T]) Free() int { return cap(q.items) - len(q.items) }

// Drain moves queued items to items, without waiting, until items has limit elements or the queue is
// empty.
func (q *Queue[T]) Drain(items []T, limit int) []T {
	for len(items) < limit {
		select {
		case item := <-q.items:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}
