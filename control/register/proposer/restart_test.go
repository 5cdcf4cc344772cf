package proposer_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// A response to a round of an earlier run that reaches the next run at the same address does not
// count in a round of the next run. Found by cottonarch explore, when both runs used the same
// round numbers: a late response to a confirm request sent before the restart counted as the
// acceptance of a write by a disk that had not accepted the write. The write was acknowledged
// while only one disk held it, and was lost.
func TestConfirmResponseToEarlierRunDoesNotCountAsAccept(t *testing.T) {
	c := newCluster(t, "a-1")
	c.submit("a-1", "read", "")
	for len(c.requests) > 0 && c.requests[0].request.Kind == quorum.Prepare {
		c.deliver(0)
	}
	var late []quorum.Response
	for _, m := range c.requests {
		if r, _, responds := c.acceptors[m.to].Step(1, m.request); responds && m.to != "d1" {
			late = append(late, r)
		}
	}
	must.SliceNotEmpty(t, late)
	// The process restarts; its second round is an accept that d1 alone gets.
	c.requests = nil
	c.proposers["a-2"] = proposer.New("a-2", putMachine{})
	c.proposers["a-2"].SetMembership(c.now, c.membership)
	c.submit("a-2", "write", "one")
	c.run(func(m envelope) bool { return m.to == "d1" || m.request.Kind == quorum.Prepare && m.to == "d2" })
	must.SliceEmpty(t, c.outcomes["a-2"])
	for _, r := range late {
		c.collect("a-2", c.proposers["a-2"].Step(c.now, r))
	}
	for _, e := range c.outcomes["a-2"] {
		t.Errorf("write of %s is acknowledged, but only one disk of three holds it", json.RawMessage(e.Body))
	}
}

// A process restarts while responses to rounds of its earlier run still wait in the send queues of
// other cores, and another proposer has confirmed a newer value. None of the new run's own
// messages arrives. The old responses must not count as a majority in the new run, so the new run
// reports no outcome.
func TestQueuedResponsesToEarlierRunDoNotCount(t *testing.T) {
	c := newCluster(t, "d1.a1", "d2.b1")
	var late []quorum.Response
	// settle runs a proposer until its last operation has ended, and collects the responses to
	// the earlier run.
	settle := func(name string) {
		for had := len(c.outcomes[name]); len(c.outcomes[name]) == had; c.tick(name, 20*time.Millisecond) {
			for len(c.requests) > 0 {
				m := c.requests[0]
				c.requests = c.requests[1:]
				if r, _, responds := c.acceptors[m.to].Step(1, m.request); responds {
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
	must.SliceEmpty(t, c.outcomes["d1.a2"], must.Sprint("an operation ended on responses to an earlier run"))
	for _, m := range c.requests {
		must.Eq(t, quorum.Prepare, m.request.Kind, must.Sprint("a prepare round ended on responses to an earlier run"))
	}
}
