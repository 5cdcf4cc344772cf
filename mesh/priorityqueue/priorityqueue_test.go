package priorityqueue

import (
	"slices"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"github.com/shoenig/test/must"
)

const start = monotime.Time(time.Second)

// Covers every sequence of eight calls of Enqueue, Dequeue and Done: no queue and no sender limit
// is exceeded, an urgent request never waits while a sender is free, and requests of the same
// urgency are sent in the order of their arrival.
func TestAllOrdersOfEnqueueDequeueAndDone(t *testing.T) {
	for n := range 1 << 16 { // two bits per step: enqueue ordinary, enqueue urgent, dequeue, done
		queue := New[int](4, 2)
		var inFlight []bool
		lastTaken := map[bool]int{}
		for step := range 8 {
			switch n >> (2 * step) & 3 {
			case 0:
				queue.Enqueue(start, step, false, start.Add(time.Second))
			case 1:
				queue.Enqueue(start, step, true, start.Add(time.Second))
			case 2:
				waitingUrgent := len(queue.urgent)
				i, urgent, ok := queue.Dequeue()
				must.True(t, ok || waitingUrgent == 0 || len(inFlight) == 4, must.Sprintf("%x: an urgent request waits while a sender is free", n))
				if ok {
					must.True(t, urgent || waitingUrgent == 0, must.Sprintf("%x: an urgent request is passed over", n))
					must.GreaterEq(t, lastTaken[urgent], i)
					lastTaken[urgent] = i
					inFlight = append(inFlight, urgent)
				}
			case 3:
				if len(inFlight) > 0 {
					queue.Done(inFlight[0], time.Millisecond)
					inFlight = inFlight[1:]
				}
			}
			ordinary := 0
			for _, urgent := range inFlight {
				if !urgent {
					ordinary++
				}
			}
			must.LessEq(t, 4, len(inFlight))
			must.LessEq(t, 3, ordinary)
			must.LessEq(t, 2, len(queue.ordinary))
			must.LessEq(t, 2, len(queue.urgent))
		}
	}
}

// A request whose deadline would pass in the queue is rejected on Enqueue. An urgent request with
// the same deadline is accepted, because urgent requests have a queue of their own.
func TestLateRequestsAreRejectedOnEnqueue(t *testing.T) {
	queue := New[int](4, 100)
	for range 400 {
		queue.Enqueue(start, 0, false, start.Add(time.Hour))
		_, urgent, ok := queue.Dequeue()
		must.True(t, ok)
		queue.Done(urgent, time.Second)
	}
	for range 30 {
		must.True(t, queue.Enqueue(start, 0, false, start.Add(time.Hour)))
	}
	must.False(t, queue.Enqueue(start, 0, false, start.Add(5*time.Second)))
	must.True(t, queue.Enqueue(start, 0, true, start.Add(5*time.Second)))
	must.Eq(t, 1, queue.Rejected)
}

// A removed request leaves its queue exactly once, and the other requests keep their order. The
// freed place can be used again.
func TestRemovedRequestsAreNotDequeued(t *testing.T) {
	for removed := range 6 {
		queue := New[int](10, 3)
		for i := range 6 {
			must.True(t, queue.Enqueue(start, i, i%2 == 0, start.Add(time.Second)))
		}
		isRemoved := func(i int) bool { return i == removed }
		must.True(t, queue.Remove(isRemoved))
		must.False(t, queue.Remove(isRemoved))
		must.Eq(t, 5, queue.Len())
		var got []int
		for i, _, ok := queue.Dequeue(); ok; i, _, ok = queue.Dequeue() {
			got = append(got, i)
		}
		want := slices.DeleteFunc([]int{0, 2, 4, 1, 3, 5}, isRemoved)
		must.Eq(t, want, got)
		must.True(t, queue.Enqueue(start, removed, removed%2 == 0, start.Add(time.Second)))
	}
}
