package reconfiguration_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/bootstrap"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/quorum"
)

type envelope struct {
	from    ident.Disk
	to      ident.Disk
	request acceptor.Request
}

// Two machines come back empty at once and both want the dead slot: in every order
// of their messages one membership is chosen at most, and whoever goes on to the end
// agrees with it.
func TestAllOrdersOfTwoNewcomers(t *testing.T) {
	base := quorum.Membership{Epoch: 1, Voters: []quorum.Voter{{Disk: "d1", Addr: "1", Counted: true}, {Disk: "d2", Addr: "2", Counted: true}, {Disk: "dead", Addr: "3", Counted: true}}}
	heard := []ident.Disk{"d1", "d2"}
	chosen := 0
	for seed := range 4 * 4 * 4 * 4 * 4 * 4 {
		acceptors := map[ident.Disk]*acceptor.Acceptor{}
		for _, d := range heard {
			acceptors[d] = acceptor.New(d)
			acceptors[d].Adopt(base)
		}
		now := monotime.Time(time.Second)
		reconfigurers := map[ident.Disk]*reconfiguration.Reconfigurer{"n1": reconfiguration.New("n1", "m1"), "n2": reconfiguration.New("n2", "m2")}
		change := func(n ident.Disk) reconfiguration.Change {
			return reconfiguration.TakeSlot(quorum.Voter{Disk: n, Addr: ident.Addr(n)}, 3, false)
		}
		var mailbox []envelope
		post := func(from ident.Disk, sends []reconfiguration.Send) {
			for _, s := range sends {
				if acceptors[s.To.Disk] != nil {
					mailbox = append(mailbox, envelope{from, s.To.Disk, s.Request})
				}
			}
		}
		order := []ident.Disk{"n1", "n2"}
		for _, n := range order {
			post(n, reconfigurers[n].Begin(now, base, change(n)))
		}
		var chosenNext *quorum.Membership
		choices := seed
		for step := 0; step < 300; step++ {
			if len(mailbox) == 0 {
				now = now.Add(250 * time.Millisecond)
				for _, n := range order {
					post(n, reconfigurers[n].Tick(now))
					post(n, reconfigurers[n].Begin(now, base, change(n)))
				}
				if len(mailbox) == 0 {
					continue
				}
			}
			i := choices % 4 % len(mailbox)
			choices /= 4
			reconfigurer := mailbox[i]
			mailbox = append(mailbox[:i:i], mailbox[i+1:]...)
			response, _, answered := acceptors[reconfigurer.to].Step(reconfigurer.request, heard)
			if !answered {
				continue
			}
			sends, next := reconfigurers[reconfigurer.from].Step(now, response)
			post(reconfigurer.from, sends)
			if next == nil {
				continue
			}
			must.Eq(t, ident.Epoch(2), next.Epoch)
			if chosenNext != nil {
				must.Eq(t, chosenNext.Voters, next.Voters, must.Sprintf("seed %d: two rosters at one epoch", seed))
			}
			chosenNext = next
			if step > 60 {
				break
			}
		}
		if chosenNext != nil {
			chosen++
		}
	}
	must.Greater(t, 3000, chosen)
}

// A voter that somebody in the majority has heard is not replaced; the last that a
// majority rests on is not either.
func TestOnlyADeadSlotIsTaken(t *testing.T) {
	me := quorum.Voter{Disk: "n", Addr: "9"}
	three := quorum.Membership{Epoch: 4, Voters: []quorum.Voter{{Disk: "a", Addr: "1", Counted: true}, {Disk: "b", Addr: "2", Counted: true}, {Disk: "c", Addr: "3", Counted: true}}}
	all := map[ident.Disk]bool{"a": true, "b": true, "c": true}
	must.Nil(t, reconfiguration.TakeSlot(me, 3, true)(three, all))
	next := reconfiguration.TakeSlot(me, 5, true)(three, all)
	must.Eq(t, 4, len(next.Voters))
	must.Nil(t, reconfiguration.TakeSlot(me, 5, false)(three, all))
	next = reconfiguration.TakeSlot(me, 5, false)(three, map[ident.Disk]bool{"a": true, "b": true})
	must.Eq(t, ident.Disk("n"), next.Voters[2].Disk)
	must.False(t, next.Voters[2].Counted)
	same := reconfiguration.TakeSlot(quorum.Voter{Disk: "n", Addr: "2"}, 5, false)(three, all)
	must.Eq(t, ident.Disk("n"), same.Voters[1].Disk)
	// One slot is copying already: taking a counted one would leave no majority.
	copying := quorum.Membership{Epoch: 5, Voters: []quorum.Voter{{Disk: "a", Addr: "1", Counted: true}, {Disk: "b", Addr: "2", Counted: true}, {Disk: "n", Addr: "9"}}}
	must.Nil(t, reconfiguration.TakeSlot(quorum.Voter{Disk: "m", Addr: "8"}, 3, false)(copying, map[ident.Disk]bool{"a": true, "n": true}))
}

// The first membership needs every founder's word that it is empty; a founder bound to
// one first membership does not join another while who asked first is still there.
func TestFormingNeedsEveryFounder(t *testing.T) {
	founders := []ident.Addr{"1", "2", "3"}
	forming := bootstrap.New("d1", "1", founders)
	now := monotime.Time(time.Second)
	must.SliceEmpty(t, forming.Tick(now, map[ident.Addr]ident.Disk{"2": "d2"}))
	sends := forming.Tick(now, map[ident.Addr]ident.Disk{"2": "d2", "3": "d3"})
	must.Eq(t, 3, len(sends))
	acceptors := map[ident.Addr]*acceptor.Acceptor{"1": acceptor.New("d1"), "2": acceptor.New("d2"), "3": acceptor.New("d3")}
	for i, s := range sends {
		response, recs, answered := acceptors[s.To].Step(s.Request, nil)
		must.True(t, answered && response.OK && len(recs) == 1)
		next := forming.Step(response)
		must.Eq(t, i == 2, next != nil, must.Sprint("chosen too early or not at all"))
	}
	// Another founder with another set, while d1 is in it: no.
	other := &quorum.Membership{Epoch: 1, Voters: []quorum.Voter{{Disk: "d1", Addr: "1", Counted: true}, {Disk: "d2", Addr: "2", Counted: true}, {Disk: "d9", Addr: "3", Counted: true}}}
	response, _, _ := acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 1, Disk: "d9", Next: other}, nil)
	must.False(t, response.OK)
	// The one that asked first is gone with its disk: then yes.
	fresh := &quorum.Membership{Epoch: 1, Voters: []quorum.Voter{{Disk: "d8", Addr: "1", Counted: true}, {Disk: "d2", Addr: "2", Counted: true}, {Disk: "d3", Addr: "3", Counted: true}}}
	response, _, _ = acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 1, Disk: "d8", Next: fresh}, nil)
	must.True(t, response.OK)
	// A disk that has a membership forms none.
	acceptors["2"].Adopt(*fresh)
	_, _, answered := acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 2, Disk: "d8", Next: fresh}, nil)
	must.False(t, answered)
}
