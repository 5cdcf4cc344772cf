package proposer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// restart makes a new run of a proposer's process, with nothing of what the old one knew.
func (c *cluster) restart(from, to string) {
	delete(c.proposers, from)
	c.proposers[to] = proposer.New(to, putMachine{})
	c.proposers[to].SetMembership(c.now, c.membership)
}

// A process is restarted while answers to its earlier run's rounds still wait in other
// cores' send queues. The new run asks the same rounds again, one after the other, but none
// of its own messages arrives: the old answers alone make no majority for it, and so it
// tells nothing. Meanwhile another proposer has confirmed a newer value.
func TestAnswersToAnEarlierRunCountForNothing(t *testing.T) {
	c := newCluster(t, "d1.a1", "d2.b1")
	var late []quorum.Response
	// settle runs a proposer until its last operation has ended, and keeps what it was answered.
	settle := func(name string) {
		for had := len(c.outcomes[name]); len(c.outcomes[name]) == had; c.tick(name, 20*time.Millisecond) {
			for len(c.requests) > 0 {
				m := c.requests[0]
				c.requests = c.requests[1:]
				if r, _, answers := c.acceptors[m.to].Step(1, m.request); answers {
					if m.from == "d1.a1" {
						late = append(late, r)
					}
					c.collect(m.from, c.proposers[m.from].Step(c.now, r))
				}
			}
		}
	}
	c.submit("d1.a1", "write", "one")
	settle("d1.a1")
	c.submit("d1.a1", "read", "")
	settle("d1.a1")
	must.Eq(t, `"one"`, string(c.last("d1.a1").Body))
	c.submit("d2.b1", "write", "two")
	settle("d2.b1")
	must.Eq(t, `"two"`, string(c.last("d2.b1").Body))

	c.restart("d1.a1", "d1.a2")
	c.submit("d1.a2", "write", "three")
	for _, r := range late {
		c.collect("d1.a2", c.proposers["d1.a2"].Step(c.now, r))
	}
	must.SliceEmpty(t, c.outcomes["d1.a2"], must.Sprint("answered from an earlier run's returns"))
	for _, m := range c.requests {
		must.Eq(t, quorum.Prepare, m.request.Kind, must.Sprint("it went on from an earlier run's returns"))
	}
}
