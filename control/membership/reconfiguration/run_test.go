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

// A newcomer is restarted while the voters' answers to its earlier run are still on their
// way, and meanwhile another newcomer's membership is chosen. The new run counts none of the
// old promises: they were given to another ballot, and say nothing of what was taken since.
func TestPromisesToAnEarlierRunCountForNothing(t *testing.T) {
	base := quorum.Membership{Epoch: 1, Voters: []quorum.Voter{{Disk: "d1", Addr: "1", Counted: true}, {Disk: "d2", Addr: "2", Counted: true}, {Disk: "dead", Addr: "3", Counted: true}}}
	heard := []ident.Disk{"d1", "d2"}
	acceptors := map[ident.Disk]*acceptor.Acceptor{}
	for _, d := range heard {
		acceptors[d] = acceptor.New(d)
		acceptors[d].Adopt(base)
	}
	now := monotime.Time(time.Second)
	takeSlot := func(n ident.Disk) reconfiguration.Change {
		return reconfiguration.TakeSlot(quorum.Voter{Disk: n, Addr: ident.Addr(n)}, 3, false)
	}
	answers := func(sends []reconfiguration.Send) (out []acceptor.Response) {
		for _, s := range sends {
			if a := acceptors[s.To.Disk]; a != nil {
				if r, _, answered := a.Step(s.Request, heard); answered {
					out = append(out, r)
				}
			}
		}
		return out
	}
	late := answers(reconfiguration.New("n1", "m1").Begin(now, base, takeSlot("n1")))
	must.SliceLen(t, 2, late)

	// Another newcomer's membership is chosen.
	other, chosen := reconfiguration.New("n2", "m2"), (*quorum.Membership)(nil)
	for round := answers(other.Begin(now, base, takeSlot("n2"))); len(round) > 0 && chosen == nil; {
		var next []acceptor.Response
		for _, r := range round {
			sends, membership := other.Step(now, r)
			next = append(next, answers(sends)...)
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
		must.SliceEmpty(t, sends, must.Sprint("it proposes a roster on promises that its ballot was never given"))
		must.Nil(t, membership)
	}
}
