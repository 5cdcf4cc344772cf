package core

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/kernel/queue"
)

// Whole and brief hellos of two runs, other messages and drains, in all orders: only the
// newest hello is ever sent, and a brief one never hides what a whole one still had to say.
func TestAllOrdersOfWaitingHellos(t *testing.T) {
	for n := range 5 * 5 * 5 * 5 * 5 * 5 {
		l := &line{Ring: queue.Make[message.Message](64)}
		no, asks := uint64(0), 0
		var whole, pending bool // what was offered since the last drain
		var run uint64
		for x, i := n, 0; i < 6; x, i = x/5, i+1 {
			hello := func(r uint64, brief bool) {
				no++
				h := message.Hello{Run: r, No: no, Brief: brief}
				if !brief {
					h.Disk = "d"
				}
				must.True(t, l.offer(message.Message{Hello: &h}))
				whole = !brief || whole && pending && r == run
				pending, run = true, r
			}
			switch x % 5 {
			case 0:
				hello(1, false)
			case 1:
				hello(1, true)
			case 2:
				hello(2, true)
			case 3:
				asks++
				must.True(t, l.offer(message.Message{Want: &message.Want{}}))
			case 4:
				got := l.Drain(nil, 64)
				l.take(got)
				hellos, others := 0, 0
				for _, m := range got {
					must.False(t, m.Empty())
					if m.Hello == nil {
						others++
						continue
					}
					hellos++
					must.Eq(t, no, m.Hello.No, must.Sprintf("order %d", n))
					must.Eq(t, whole, !m.Hello.Brief, must.Sprintf("order %d", n))
					must.Eq(t, whole, m.Hello.Disk == "d", must.Sprintf("order %d", n))
				}
				must.Eq(t, pending, hellos == 1, must.Sprintf("order %d", n))
				must.Eq(t, asks, others)
				pending, whole, asks = false, false, 0
			}
		}
	}
}
