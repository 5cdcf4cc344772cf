// Package queue is the bounded ring that joins duties.
package queue

// Ring joins one duty to the next. Invariant: it never holds more than it was
// made for; a full ring turns work away instead of growing.
type Ring[T any] struct{ slots chan T }

// Make makes a ring of the given size.
func Make[T any](size int) *Ring[T] { return &Ring[T]{slots: make(chan T, size)} }

// Offer puts an item in, or says false at once.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.slots <- item:
		return true
	default:
		return false
	}
}

// Put waits for room until done closes.
func (r *Ring[T]) Put(item T, done <-chan struct{}) bool {
	select {
	case r.slots <- item:
		return true
	case <-done:
		return false
	}
}

// Out is the reading end.
func (r *Ring[T]) Out() <-chan T { return r.slots }

// Len is the number held now.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Room is the number of free slots.
func (r *Ring[T]) Room() int { return cap(r.slots) - len(r.slots) }

// Drain takes up to n more items without waiting.
func (r *Ring[T]) Drain(held []T, n int) []T {
	for len(held) < n {
		select {
		case item := <-r.slots:
			held = append(held, item)
		default:
			return held
		}
	}
	return held
}
