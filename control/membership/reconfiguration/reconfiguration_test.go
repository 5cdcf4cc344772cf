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

func membershipOf(epoch ident.MembershipEpoch, voters ...quorum.Voter) quorum.Membership {
	return quorum.Membership{Epoch: epoch, Voters: voters}
}

func countedVoter(disk ident.Disk, addr ident.Addr) quorum.Voter {
	return quorum.Voter{Disk: disk, Addr: addr, Counted: true}
}

// copyingVoter is a voter that has a slot and is not counted yet.
func copyingVoter(disk ident.Disk, addr ident.Addr) quorum.Voter {
	return quorum.Voter{Disk: disk, Addr: addr}
}

// envelope is a request on its way from a proposer to an acceptor.
type envelope struct {
	from    ident.Disk
	to      ident.Disk
	request acceptor.Request
}

// newcomers are two reconfigurers that want the slot of one dead voter, with the acceptors of the
// two live voters and the requests to them.
type newcomers struct {
	t             *testing.T
	now           monotime.Time
	base          quorum.Membership
	heard         []ident.Disk
	acceptors     map[ident.Disk]*acceptor.Acceptor
	reconfigurers map[ident.Disk]*reconfiguration.Reconfigurer
	mailbox       []envelope
	chosen        *quorum.Membership // nil while none is chosen
}

// newcomerDisks are the disks of the reconfigurers, in the order in which they act.
var newcomerDisks = []ident.Disk{"n1", "n2"}

func newNewcomers(t *testing.T) *newcomers {
	c := &newcomers{
		t:         t,
		now:       monotime.Time(time.Second),
		base:      membershipOf(1, countedVoter("d1", "1"), countedVoter("d2", "2"), countedVoter("dead", "3")),
		heard:     []ident.Disk{"d1", "d2"},
		acceptors: map[ident.Disk]*acceptor.Acceptor{},
		reconfigurers: map[ident.Disk]*reconfiguration.Reconfigurer{
			"n1": reconfiguration.New("n1", "m1"),
			"n2": reconfiguration.New("n2", "m2"),
		},
	}
	for _, d := range c.heard {
		c.acceptors[d] = acceptor.New(d)
		c.acceptors[d].Adopt(c.base)
	}
	return c
}

// post queues the requests to the live voters.
func (c *newcomers) post(from ident.Disk, sends []reconfiguration.Send) {
	for _, s := range sends {
		if c.acceptors[s.To.Disk] != nil {
			c.mailbox = append(c.mailbox, envelope{from, s.To.Disk, s.Request})
		}
	}
}

// begin has a newcomer try to take the dead voter's slot.
func (c *newcomers) begin(n ident.Disk) {
	change := reconfiguration.TakeSlot(quorum.Voter{Disk: n, Addr: ident.Addr(n)}, 3, false)
	c.post(n, c.reconfigurers[n].Begin(c.now, c.base, change))
}

// tick lets time pass, and has both newcomers repeat their requests or begin again.
func (c *newcomers) tick() {
	c.now = c.now.Add(250 * time.Millisecond)
	for _, n := range newcomerDisks {
		c.post(n, c.reconfigurers[n].Tick(c.now))
		c.begin(n)
	}
}

// deliver delivers request i, and its response at once. It reports whether that chose a membership,
// which must be the one that was chosen before, if any.
func (c *newcomers) deliver(i, seed int) bool {
	delivered := c.mailbox[i]
	c.mailbox = append(c.mailbox[:i:i], c.mailbox[i+1:]...)
	response, _, answered := c.acceptors[delivered.to].Step(delivered.request, c.heard)
	if !answered {
		return false
	}
	sends, next := c.reconfigurers[delivered.from].Step(c.now, response)
	c.post(delivered.from, sends)
	if next == nil {
		return false
	}
	must.Eq(c.t, ident.MembershipEpoch(2), next.Epoch)
	if c.chosen != nil {
		must.Eq(c.t, c.chosen.Voters, next.Voters, must.Sprintf("seed %d: two memberships at one epoch", seed))
	}
	c.chosen = next
	return true
}

// Two machines start with empty disks at once and both want the dead voter's slot: in every order of
// their messages at most one membership is chosen, and whichever proposer completes agrees with it.
func TestAllOrdersOfTwoNewcomers(t *testing.T) {
	chosen := 0
	for seed := range 4 * 4 * 4 * 4 * 4 * 4 {
		c := newNewcomers(t)
		for _, n := range newcomerDisks {
			c.begin(n)
		}
		choices := seed
		for step := 0; step < 300; step++ {
			if len(c.mailbox) == 0 {
				c.tick()
			}
			if len(c.mailbox) == 0 {
				continue
			}
			i := choices % 4 % len(c.mailbox)
			choices /= 4
			if c.deliver(i, seed) && step > 60 {
				break
			}
		}
		if c.chosen != nil {
			chosen++
		}
	}
	must.Greater(t, 3000, chosen)
}

// A voter that some voter of the majority has heard is not replaced, nor is one without which there is
// no majority.
func TestOnlyADeadSlotIsTaken(t *testing.T) {
	me := quorum.Voter{Disk: "n", Addr: "9"}
	three := membershipOf(4, countedVoter("a", "1"), countedVoter("b", "2"), countedVoter("c", "3"))
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
	// One slot is being copied already: without another counted voter there is no majority.
	copying := membershipOf(5, countedVoter("a", "1"), countedVoter("b", "2"), copyingVoter("n", "9"))
	must.Nil(t, reconfiguration.TakeSlot(quorum.Voter{Disk: "m", Addr: "8"}, 3, false)(copying, map[ident.Disk]bool{"a": true, "n": true}))
}

// The first membership needs the vote of every founder that it is empty. A founder that is bound to one
// first membership votes for no other while the disk that bound it is still a founder.
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
		must.Eq(t, i == 2, next != nil, must.Sprint("chosen only by the last vote"))
	}
	// Another founder proposes another set that d1 is in: rejected.
	other := membershipOf(1, countedVoter("d1", "1"), countedVoter("d2", "2"), countedVoter("d9", "3"))
	response, _, _ := acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 1, Disk: "d9", Next: &other}, nil)
	must.False(t, response.OK)
	// The disk that bound it is not in the set any more: accepted.
	fresh := membershipOf(1, countedVoter("d8", "1"), countedVoter("d2", "2"), countedVoter("d3", "3"))
	response, _, _ = acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 1, Disk: "d8", Next: &fresh}, nil)
	must.True(t, response.OK)
	// A disk that has a membership votes for no first one.
	acceptors["2"].Adopt(fresh)
	_, _, answered := acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 2, Disk: "d8", Next: &fresh}, nil)
	must.False(t, answered)
}
