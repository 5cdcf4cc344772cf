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

// copyingVoter returns a voter that has a slot and is not counted yet.
func copyingVoter(disk ident.Disk, addr ident.Addr) quorum.Voter {
	return quorum.Voter{Disk: disk, Addr: addr}
}

// envelope is a request in flight from a proposer to an acceptor.
type envelope struct {
	from    ident.Disk
	to      ident.Disk
	request acceptor.Request
}

// contenders holds two reconfigurers that propose to take the slot of the same dead voter, the
// acceptors of the two live voters and the requests in flight to them.
type contenders struct {
	t             *testing.T
	now           monotime.Time
	base          quorum.Membership
	liveDisks     []ident.Disk
	acceptors     map[ident.Disk]*acceptor.Acceptor
	reconfigurers map[ident.Disk]*reconfiguration.Reconfigurer
	requests      []envelope
	chosen        *quorum.Membership // nil while none is chosen
}

// contenderDisks lists the disks of the reconfigurers in the order in which the test runs them.
var contenderDisks = []ident.Disk{"n1", "n2"}

func newContenders(t *testing.T) *contenders {
	c := &contenders{
		t:         t,
		now:       monotime.Time(time.Second),
		base:      membershipOf(1, countedVoter("d1", "1"), countedVoter("d2", "2"), countedVoter("dead", "3")),
		liveDisks: []ident.Disk{"d1", "d2"},
		acceptors: map[ident.Disk]*acceptor.Acceptor{},
		reconfigurers: map[ident.Disk]*reconfiguration.Reconfigurer{
			"n1": reconfiguration.New("n1", "m1"),
			"n2": reconfiguration.New("n2", "m2"),
		},
	}
	for _, d := range c.liveDisks {
		c.acceptors[d] = acceptor.New(d)
		c.acceptors[d].Adopt(c.base)
	}
	return c
}

// post queues the requests to the live voters.
func (c *contenders) post(from ident.Disk, sends []reconfiguration.Send) {
	for _, s := range sends {
		if c.acceptors[s.To.Disk] != nil {
			c.requests = append(c.requests, envelope{from, s.To.Disk, s.Request})
		}
	}
}

// begin has the reconfigurer of disk n begin a change that takes the slot of the dead voter.
func (c *contenders) begin(n ident.Disk) {
	change := reconfiguration.TakeSlot(quorum.Voter{Disk: n, Addr: ident.Addr(n)}, 3, false)
	c.post(n, c.reconfigurers[n].Begin(c.now, c.base, change))
}

// tick advances the time, and has both reconfigurers resend their requests or begin again.
func (c *contenders) tick() {
	c.now = c.now.Add(250 * time.Millisecond)
	for _, n := range contenderDisks {
		c.post(n, c.reconfigurers[n].Tick(c.now))
		c.begin(n)
	}
}

// deliver delivers request i and immediately delivers its response. It reports whether a membership
// was chosen, which must equal the membership chosen before, if any.
func (c *contenders) deliver(i, seed int) bool {
	delivered := c.requests[i]
	c.requests = append(c.requests[:i:i], c.requests[i+1:]...)
	response, _, answered := c.acceptors[delivered.to].Step(delivered.request, c.liveDisks)
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

// Two machines with empty disks start at the same time and both propose to take the slot of the dead
// voter. In every delivery order of their first messages at most one membership is chosen, and
// every proposer that completes reports that membership.
func TestTwoContendersUnderAllDeliveryOrders(t *testing.T) {
	chosen := 0
	for seed := range 4 * 4 * 4 * 4 * 4 * 4 {
		c := newContenders(t)
		for _, n := range contenderDisks {
			c.begin(n)
		}
		choices := seed
		for step := 0; step < 300; step++ {
			if len(c.requests) == 0 {
				c.tick()
			}
			if len(c.requests) == 0 {
				continue
			}
			i := choices % 4 % len(c.requests)
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

// A voter that some voter of the majority does not presume dead is not replaced. No voter is
// replaced if the remaining counted voters would be no majority.
func TestOnlySlotOfDeadVoterIsTaken(t *testing.T) {
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
	// Voter n still copies the control state: without another counted voter there is no majority.
	copying := membershipOf(5, countedVoter("a", "1"), countedVoter("b", "2"), copyingVoter("n", "9"))
	must.Nil(t, reconfiguration.TakeSlot(quorum.Voter{Disk: "m", Addr: "8"}, 3, false)(copying, map[ident.Disk]bool{"a": true, "n": true}))
}

// The first membership needs the votes of all founders, and every founder must be empty. A founder
// that is bound to one first membership does not vote for another that still includes the disk
// that bound the founder.
func TestBootstrapNeedsVoteOfEveryFounder(t *testing.T) {
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
		must.Eq(t, i == 2, next != nil, must.Sprint("the membership is chosen by the last vote only"))
	}
	// Another founder proposes a set that still includes d1, which bound d2: rejected.
	other := membershipOf(1, countedVoter("d1", "1"), countedVoter("d2", "2"), countedVoter("d9", "3"))
	response, _, _ := acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 1, Disk: "d9", Next: &other}, nil)
	must.False(t, response.OK)
	// The set no longer includes d1, which bound d2: accepted.
	fresh := membershipOf(1, countedVoter("d8", "1"), countedVoter("d2", "2"), countedVoter("d3", "3"))
	response, _, _ = acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 1, Disk: "d8", Next: &fresh}, nil)
	must.True(t, response.OK)
	// A disk that has a membership does not vote for a first membership.
	acceptors["2"].Adopt(fresh)
	_, _, answered := acceptors["2"].Step(acceptor.Request{Kind: acceptor.Form, Round: 2, Disk: "d8", Next: &fresh}, nil)
	must.False(t, answered)
}
