package maker_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/roster/acceptor"
	"cottonarch.example/cottonarch/control/roster/maker"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

// A newcomer is restarted while the voters' answers to its earlier run are still on their
// way, and meanwhile another newcomer's roster is chosen. The new run counts none of the
// old promises: they were given to another ballot, and say nothing of what was taken since.
func TestPromisesToAnEarlierRunCountForNothing(t *testing.T) {
	base := cell.Roster{Epoch: 1, Voters: []cell.Voter{{Disk: "d1", Addr: "1", Counted: true}, {Disk: "d2", Addr: "2", Counted: true}, {Disk: "dead", Addr: "3", Counted: true}}}
	alive := []ident.Disk{"d1", "d2"}
	acc := map[ident.Disk]*acceptor.Acceptor{}
	for _, d := range alive {
		acc[d] = acceptor.New(d)
		acc[d].Adopt(base)
	}
	now := moment.Moment(time.Second)
	take := func(n ident.Disk) maker.Plan {
		return maker.Take(cell.Voter{Disk: n, Addr: ident.Addr(n)}, 3, false)
	}
	answers := func(sends []maker.Send) (out []acceptor.Return) {
		for _, s := range sends {
			if a := acc[s.To.Disk]; a != nil {
				if r, _, say := a.Step(s.Ask, alive); say {
					out = append(out, r)
				}
			}
		}
		return out
	}
	late := answers(maker.New("n1", "m1").Begin(now, base, take("n1")))
	must.SliceLen(t, 2, late)

	// Another newcomer's roster is chosen.
	other, chosen := maker.New("n2", "m2"), (*cell.Roster)(nil)
	for round := answers(other.Begin(now, base, take("n2"))); len(round) > 0 && chosen == nil; {
		var next []acceptor.Return
		for _, r := range round {
			sends, roster := other.Step(now, r)
			next = append(next, answers(sends)...)
			if roster != nil {
				chosen = roster
			}
		}
		round = next
	}
	must.NotNil(t, chosen)

	again := maker.New("n1", "m3")
	again.Begin(now, base, take("n1"))
	for _, r := range late {
		sends, roster := again.Step(now, r)
		must.SliceEmpty(t, sends, must.Sprint("it proposes a roster on promises that its ballot was never given"))
		must.Nil(t, roster)
	}
}
