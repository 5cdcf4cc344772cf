package priorityqueue

import (
	"slices"
	"testing"
	"time"

	"cottonarch.example/cottonarch/kernel/monotime"
	"github.com/shoenig/test/must"
)

const start = monotime.Time(time.Second)

// Every order of eight offers, takes and ends: no queue and no sender is used over its
// bound, an urgent request never waits while a sender is free, and requests of one kind
// go in the order they came.
func TestAllOrdersOfOffersAndEnds(t *testing.T) {
	for n := range 1 << 16 { // two bits a step: normal, urgent, take, end
		l := New[int](4, 2)
		var out []bool
		seen := map[bool]int{}
		for step := range 8 {
			switch n >> (2 * step) & 3 {
			case 0:
				l.Offer(start, step, false, start.Add(time.Second))
			case 1:
				l.Offer(start, step, true, start.Add(time.Second))
			case 2:
				before := len(l.urgent)
				i, urgent, ok := l.Take()
				must.True(t, ok || before == 0 || len(out) == 4, must.Sprintf("%x: an urgent one waits beside a free sender", n))
				if ok {
					must.True(t, urgent || before == 0, must.Sprintf("%x: an urgent one is passed over", n))
					must.GreaterEq(t, seen[urgent], i)
					seen[urgent] = i
					out = append(out, urgent)
				}
			case 3:
				if len(out) > 0 {
					l.Done(out[0], time.Millisecond)
					out = out[1:]
				}
			}
			plain := 0
			for _, u := range out {
				if !u {
					plain++
				}
			}
			must.LessEq(t, 4, len(out))
			must.LessEq(t, 3, plain)
			must.LessEq(t, 2, len(l.ordinary))
			must.LessEq(t, 2, len(l.urgent))
		}
	}
}

// What would be late before its turn is turned away when it comes; an urgent one is not,
// for it has a queue of its own.
func TestLateIsTurnedAwayEarly(t *testing.T) {
	l := New[int](4, 100)
	for range 400 {
		l.Offer(start, 0, false, start.Add(time.Hour))
		_, urgent, ok := l.Take()
		must.True(t, ok)
		l.Done(urgent, time.Second)
	}
	for range 30 {
		must.True(t, l.Offer(start, 0, false, start.Add(time.Hour)))
	}
	must.False(t, l.Offer(start, 0, false, start.Add(5*time.Second)))
	must.True(t, l.Offer(start, 0, true, start.Add(5*time.Second)))
	must.Eq(t, 1, l.Rejected)
}

// Who leaves is taken out of its queue, once; the others keep their order and their places.
func TestWhoQuitsIsPassedOver(t *testing.T) {
	for gone := range 6 {
		l := New[int](10, 3)
		for i := range 6 {
			must.True(t, l.Offer(start, i, i%2 == 0, start.Add(time.Second)))
		}
		is := func(i int) bool { return i == gone }
		must.True(t, l.Remove(is))
		must.False(t, l.Remove(is))
		must.Eq(t, 5, l.Len())
		var got []int
		for i, _, ok := l.Take(); ok; i, _, ok = l.Take() {
			got = append(got, i)
		}
		want := slices.DeleteFunc([]int{0, 2, 4, 1, 3, 5}, is)
		must.Eq(t, want, got)
		must.True(t, l.Offer(start, gone, gone%2 == 0, start.Add(time.Second)))
	}
}
