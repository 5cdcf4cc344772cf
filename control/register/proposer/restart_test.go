package proposer_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// A return to a round of an earlier run, which comes to the next run at the same address,
// is none to that run's round of the same count. Found by cottonarch explore: a response to a
// confirm that was late behind a restart made an accept look taken by a disk that had not
// taken it, so a write was acknowledged that one disk alone held, and was lost.
func TestResponseToAnEarlierRunDoesNotCount(t *testing.T) {
	c := newCluster(t, "a-1")
	c.submit("a-1", "read", "")
	for len(c.requests) > 0 && c.requests[0].request.Kind == quorum.Prepare {
		c.deliver(0)
	}
	var late []quorum.Response
	for _, m := range c.requests {
		if r, _, answers := c.acceptors[m.to].Step(1, m.request); answers && m.to != "d1" {
			late = append(late, r)
		}
	}
	must.SliceNotEmpty(t, late)
	// The process ends and comes back; its second round is an accept that d1 alone takes.
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
		t.Errorf("%s is acknowledged, and one disk of three has it", json.RawMessage(e.Body))
	}
}
