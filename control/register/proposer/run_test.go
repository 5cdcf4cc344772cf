package proposer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// restart makes a new run of a proposer's process, with nothing of what the old one knew.
func (b *bench) restart(from, to string) {
	delete(b.proposers, from)
	b.proposers[to] = proposer.New(to, putMachine{})
	b.proposers[to].SetMembership(b.now, b.membership)
}

// A process is restarted while answers to its earlier run's rounds still wait in other
// cores' send queues. The new run asks the same rounds again, one after the other, but none
// of its own messages arrives: the old answers alone make no majority for it, and so it
// tells nothing. Meanwhile another proposer has confirmed a newer value.
func TestAnswersToAnEarlierRunCountForNothing(t *testing.T) {
	b := newBench(t, "d1.a1", "d2.b1")
	var late []quorum.Response
	// settle runs a proposer until its last operation has ended, and keeps what it was answered.
	settle := func(o string) {
		for had := len(b.ends[o]); len(b.ends[o]) == had; b.tick(o, 20*time.Millisecond) {
			for len(b.requests) > 0 {
				m := b.requests[0]
				b.requests = b.requests[1:]
				if r, _, say := b.acceptors[m.to].Step(1, m.request); say {
					if m.from == "d1.a1" {
						late = append(late, r)
					}
					b.collect(m.from, b.proposers[m.from].Step(b.now, r))
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
		b.collect("d1.a2", b.proposers["d1.a2"].Step(b.now, r))
	}
	must.SliceEmpty(t, b.ends["d1.a2"], must.Sprint("answered from an earlier run's returns"))
	for _, m := range b.requests {
		must.Eq(t, quorum.Prepare, m.request.Kind, must.Sprint("it went on from an earlier run's returns"))
	}
}
