// Package queue is the bounded ring that joins duties.
package queue

// Queue joins one duty to the next. Invariant: it never holds more than it was
// made for; a full ring turns work away instead of growing.
type Queue[T any] struct{ items chan T }

// New makes a ring of the given size.
func New[T any](size int) *Queue[T] { return &Queue[T]{items: make(chan T, size)} }

// TryPut puts an item in, or says false at once.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Put waits for room until done closes.
func (q *Queue[T]) Put(item T, done <-chan struct{}) bool {
	select {
	case q.items <- item:
		return true
	case <-done:
		return false
	}
}

// Out is the reading end.
func (q *Queue[T]) Out() <-chan T { return q.items }

// Len is the number held now.
func (q *Queue[T]) Len() int { return len(q.items) }

// Free is the number of free slots.
func (q *Queue[T]) Free() int { return cap(q.items) - len(q.items) }

// Drain takes up to n more items without waiting.
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
