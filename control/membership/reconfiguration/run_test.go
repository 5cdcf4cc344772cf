package reconfiguration_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// The core of a new disk restarts while responses of the voters to its earlier run are in flight,
// and meanwhile a membership with another new disk is chosen. The new run must not count the old
// promises: the voters promised another ballot, and the responses do not report proposals that
// were accepted since.
func TestPromisesToEarlierRunAfterCompetingChangeDoNotCount(t *testing.T) {
	base := membershipOf(1, countedVoter("d1", "1"), countedVoter("d2", "2"), countedVoter("dead", "3"))
	liveDisks := []ident.Disk{"d1", "d2"}
	acceptors := map[ident.Disk]*acceptor.Acceptor{}
	for _, d := range liveDisks {
		acceptors[d] = acceptor.New(d)
		acceptors[d].Adopt(base)
	}
	now := monotime.Time(time.Second)
	takeSlot := func(n ident.Disk) reconfiguration.Change {
		return reconfiguration.TakeSlot(quorum.Voter{Disk: n, Addr: ident.Addr(n)}, 3, false)
	}
	responsesTo := func(sends []reconfiguration.Send) (out []acceptor.Response) {
		for _, s := range sends {
			if a := acceptors[s.To.Disk]; a != nil {
				if r, _, answered := a.Step(s.Request, liveDisks); answered {
					out = append(out, r)
				}
			}
		}
		return out
	}
	late := responsesTo(reconfiguration.New("n1", "m1").Begin(now, base, takeSlot("n1")))
	must.SliceLen(t, 2, late)

	// A membership with another new disk is chosen.
	other, chosen := reconfiguration.New("n2", "m2"), (*quorum.Membership)(nil)
	for round := responsesTo(other.Begin(now, base, takeSlot("n2"))); len(round) > 0 && chosen == nil; {
		var next []acceptor.Response
		for _, r := range round {
			sends, membership := other.Step(now, r)
			next = append(next, responsesTo(sends)...)
			if membership != nil {
				chosen = membership
			}
		}
		round = next
	}
	must.NotNil(t, chosen)

	again := reconfiguration.New("n1", "m3")
	again.Begin(now, base, takeSlot("n1"))
	for _, r := range late {
		sends, membership := again.Step(now, r)
		must.SliceEmpty(t, sends, must.Sprint("a membership was proposed on promises that were given to another ballot"))
		must.Nil(t, membership)
	}
}
