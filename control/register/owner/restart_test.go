package owner_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/owner"
)

// A return to a round of an earlier run, which comes to the next run at the same address,
// is none to that run's round of the same count. Found by cottonarch explore: a return to a
// confirm that was late behind a restart made an accept look taken by a disk that had not
// taken it, so a write was acknowledged that one disk alone held, and was lost.
func TestReturnToAnEarlierRunDoesNotCount(t *testing.T) {
	b := newBench(t, "a-1")
	b.submit("a-1", "read", "")
	for len(b.asks) > 0 && b.asks[0].ask.Kind == cell.Prepare {
		b.deliver(0)
	}
	var late []cell.Return
	for _, m := range b.asks {
		if r, _, say := b.reps[m.to].Step(1, m.ask); say && m.to != "d1" {
			late = append(late, r)
		}
	}
	must.SliceNotEmpty(t, late)
	// The process ends and comes back; its second round is an accept that d1 alone takes.
	b.asks = nil
	b.own["a-2"] = owner.New("a-2", put{})
	b.own["a-2"].SetMembership(b.now, b.roster)
	b.submit("a-2", "write", "one")
	b.run(func(m mail) bool { return m.to == "d1" || m.ask.Kind == cell.Prepare && m.to == "d2" })
	must.SliceEmpty(t, b.ends["a-2"])
	for _, r := range late {
		b.take("a-2", b.own["a-2"].Step(b.now, r))
	}
	for _, e := range b.ends["a-2"] {
		t.Errorf("%s is acknowledged, and one disk of three has it", json.RawMessage(e.Body))
	}
}
