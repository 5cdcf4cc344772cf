package machine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// What the kernel says is read, and anything else says nothing; of two looks the thread that
// waited most counts.
func TestWaits(t *testing.T) {
	for text, want := range map[string]time.Duration{"805010 700772 1\n": 700772, "0 0 0": 0, "1 2": -1, "": -1, "1 x 3": -1, "1 -5 3": -1, "1 2 3 4": -1} {
		n, ok := waited(text)
		must.Eq(t, want >= 0, ok, must.Sprint(text))
		if ok {
			must.Eq(t, want, n)
		}
	}
	look := func(a, b, c time.Duration) map[string]time.Duration {
		return map[string]time.Duration{"a": a, "b": b, "c": c}
	}
	must.Eq(t, 30, Withheld(look(10, 20, 5), look(20, 50, 5)))
	must.Eq(t, 0, Withheld(look(10, 20, 5), look(10, 20, 5)))
	must.Eq(t, 7, Withheld(nil, map[string]time.Duration{"a": 7}))
	must.Eq(t, 0, Withheld(look(1, 1, 1), nil))
	must.MapEmpty(t, (&Machine{}).Waits())
}
