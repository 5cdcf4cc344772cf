// Package queue is a bounded queue between goroutines.
package queue

// Queue passes items between goroutines. Invariant: it never holds more than its size; a
// full queue rejects items instead of growing.
type Queue[T any] struct{ items chan T }

// New makes a queue that holds up to size items.
func New[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// TryPut puts an item in, or returns false at once when the queue is full.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Put puts an item in, waiting for room; it returns false when done closes first.
func (q *Queue[T]) Put(item T, done <-chan struct{}) bool {
	select {
	case q.items <- item:
		return true
	case <-done:
		return false
	}
}

// Out is the channel that items are received from. It is never closed.
func (q *Queue[T]) Out() <-chan T { return q.items }

// Len is the number of items that are held now.
func (q *Queue[T]) Len() int { return len(q.items) }

// Free is the number of items that there is room for now.
func (q *Queue[T]) Free() int { return cap(q.items) - len(q.items) }

// Drain appends items without waiting until there are limit of them, or the queue is empty.
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
