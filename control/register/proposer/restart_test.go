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
func TestReturnToAnEarlierRunDoesNotCount(t *testing.T) {
	b := newBench(t, "a-1")
	b.submit("a-1", "read", "")
	for len(b.requests) > 0 && b.requests[0].request.Kind == quorum.Prepare {
		b.deliver(0)
	}
	var late []quorum.Response
	for _, m := range b.requests {
		if r, _, say := b.acceptors[m.to].Step(1, m.request); say && m.to != "d1" {
			late = append(late, r)
		}
	}
	must.SliceNotEmpty(t, late)
	// The process ends and comes back; its second round is an accept that d1 alone takes.
	b.requests = nil
	b.proposers["a-2"] = proposer.New("a-2", putMachine{})
	b.proposers["a-2"].SetMembership(b.now, b.membership)
	b.submit("a-2", "write", "one")
	b.run(func(m envelope) bool { return m.to == "d1" || m.request.Kind == quorum.Prepare && m.to == "d2" })
	must.SliceEmpty(t, b.ends["a-2"])
	for _, r := range late {
		b.collect("a-2", b.proposers["a-2"].Step(b.now, r))
	}
	for _, e := range b.ends["a-2"] {
		t.Errorf("%s is acknowledged, and one disk of three has it", json.RawMessage(e.Body))
	}
}
