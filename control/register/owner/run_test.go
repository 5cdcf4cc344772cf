package owner_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/owner"
)

// restart makes a new run of an owner's process, with nothing of what the old one knew.
func (b *bench) restart(from, to string) {
	delete(b.own, from)
	b.own[to] = owner.New(to, put{})
	b.own[to].SetMembership(b.now, b.roster)
}

// A process is restarted while answers to its earlier run's rounds still wait in other
// cores' send queues. The new run asks the same rounds again, one after the other, but none
// of its own messages arrives: the old answers alone make no majority for it, and so it
// tells nothing. Meanwhile another owner has confirmed a newer value.
func TestAnswersToAnEarlierRunCountForNothing(t *testing.T) {
	b := newBench(t, "d1.a1", "d2.b1")
	var late []cell.Return
	// settle runs an owner until its last deed has ended, and keeps what it was answered.
	settle := func(o string) {
		for had := len(b.ends[o]); len(b.ends[o]) == had; b.tick(o, 20*time.Millisecond) {
			for len(b.asks) > 0 {
				m := b.asks[0]
				b.asks = b.asks[1:]
				if r, _, say := b.reps[m.to].Step(1, m.ask); say {
					if m.from == "d1.a1" {
						late = append(late, r)
					}
					b.take(m.from, b.own[m.from].Step(b.now, r))
				}
			}
		}
	}
	b.submit("d1.a1", "write", "one")
	settle("d1.a1")
	b.submit("d1.a1", "read", "")
	settle("d1.a1")
	must.Eq(t, `"one"`, string(b.last("d1.a1").Body))
	b.submit("d2.b1", "write", "two")
	settle("d2.b1")
	must.Eq(t, `"two"`, string(b.last("d2.b1").Body))

	b.restart("d1.a1", "d1.a2")
	b.submit("d1.a2", "write", "three")
	for _, r := range late {
		b.take("d1.a2", b.own["d1.a2"].Step(b.now, r))
	}
	must.SliceEmpty(t, b.ends["d1.a2"], must.Sprint("answered from an earlier run's returns"))
	for _, m := range b.asks {
		must.Eq(t, cell.Prepare, m.ask.Kind, must.Sprint("it went on from an earlier run's returns"))
	}
}
