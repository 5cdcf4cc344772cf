package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// The keys of a killed proposer move to another as soon as its address refuses connections, not only
// when its heartbeats time out; and its slot of the membership stays.
func TestKilledProposerIsReplacedAtOnce(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.submit("a:1", 1, "number/next", "number/n")
	cluster.advance(200 * time.Millisecond)
	must.Nil(t, cluster.ticketResult(1).Failure)
	killed := cluster.proposerOf("number/n")
	cluster.down[killed] = true
	survivor := coreAddrs[0]
	if killed == survivor {
		survivor = coreAddrs[1]
	}
	began := cluster.now
	cluster.submit(survivor, 2, "number/read", "number/n")
	for cluster.ticketResult(2) == nil && cluster.now.Since(began) < 3*time.Second {
		cluster.advance(10 * time.Millisecond)
	}
	must.NotNil(t, cluster.ticketResult(2))
	must.Less(t, 400*time.Millisecond, cluster.now.Since(began))
	must.Eq(t, `{"number":1}`, string(cluster.ticketResult(2).Body))
	must.Eq(t, ident.MembershipEpoch(1), cluster.nodes[survivor].Membership().Epoch)
}

// A forward that is duplicated or repeated takes effect once, and a lost result is sent again.
func TestForwardActsOnce(t *testing.T) {
	for _, lostPart := range []string{"", "forward", "carried"} {
		cluster := newThreeCores(t)
		cluster.submit("a:1", 1, "number/next", "number/n")
		cluster.advance(200 * time.Millisecond)
		sender := coreAddrs[0]
		if cluster.proposerOf("number/n") == sender {
			sender = coreAddrs[1]
		}
		dropped := false
		cluster.drop = func(to ident.Addr, m message.Message) bool {
			if m.Forward != nil && lostPart == "" && !dropped {
				dropped = true
				cluster.mailbox = append(cluster.mailbox, envelope{to, m}) // duplicated
				return false
			}
			if (m.Forward != nil && lostPart == "forward" || m.ForwardResult != nil && lostPart == "carried") && !dropped {
				dropped = true
				return true
			}
			return false
		}
		cluster.submitOperation(sender, 2, proposer.Operation{Key: "number/n", Kind: "number/next"}, 4*time.Second)
		cluster.advance(time.Second)
		must.True(t, dropped)
		must.NotNil(t, cluster.ticketResult(2), must.Sprint(lostPart))
		must.Eq(t, `{"number":2}`, string(cluster.ticketResult(2).Body), must.Sprint(lostPart))
		cluster.submit("a:1", 3, "number/read", "number/n")
		cluster.advance(200 * time.Millisecond)
		must.Eq(t, `{"number":2}`, string(cluster.ticketResult(3).Body), must.Sprint(lostPart))
	}
}

// A planned stop hands keys over: their next proposer holds them before the old one stops, and no
// operation in progress is lost.
func TestPlannedStopHandsOver(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.submit("a:1", 1, "number/next", "number/n")
	cluster.advance(200 * time.Millisecond)
	leaver := cluster.proposerOf("number/n")
	cluster.apply(leaver, cluster.nodes[leaver].Leave(cluster.now, stopWithin))
	cluster.advance(60 * time.Millisecond)
	left := false
	for i := 0; i < 50 && !left; i++ {
		var fx node.Effects
		left, fx = cluster.nodes[leaver].ContinueLeave(cluster.now)
		cluster.apply(leaver, fx)
		cluster.advance(20 * time.Millisecond)
	}
	must.True(t, left)
	successor := cluster.proposerOf("number/n")
	must.NotEq(t, "", successor)
	must.NotEq(t, leaver, successor)
	cluster.down[leaver] = true
	cluster.submit(successor, 2, "number/read", "number/n")
	cluster.advance(200 * time.Millisecond)
	must.Eq(t, `{"number":1}`, string(cluster.ticketResult(2).Body))
}

// A change is forwarded to a proposer that is just leaving, in every order of the first messages: it
// takes effect at most once, and the outcome that its sender gets is true.
func TestAllOrdersOfHandover(t *testing.T) {
	succeeded := 0
	for seed := range 4 * 4 * 4 * 4 * 4 {
		cluster := newThreeCores(t)
		cluster.submit("a:1", 1, "number/next", "number/n")
		cluster.advance(100 * time.Millisecond)
		leaver := cluster.proposerOf("number/n")
		sender := coreAddrs[0]
		if leaver == sender {
			sender = coreAddrs[1]
		}
		cluster.submitOperation(sender, 2, proposer.Operation{Op: "twice", Key: "number/n", Kind: "number/next"}, 2*time.Second)
		cluster.apply(leaver, cluster.nodes[leaver].Leave(cluster.now, stopWithin))
		for choices, n := seed, 0; n < 60 && len(cluster.mailbox) > 0; n++ {
			i := 0
			if n < 5 {
				i, choices = choices%4%len(cluster.mailbox), choices/4
			}
			p := cluster.mailbox[i]
			cluster.mailbox = append(cluster.mailbox[:i:i], cluster.mailbox[i+1:]...)
			cluster.apply(p.to, cluster.nodes[p.to].Step(cluster.now, p.msg))
		}
		for n := 0; n < 20; n++ {
			left, fx := cluster.nodes[leaver].ContinueLeave(cluster.now)
			cluster.apply(leaver, fx)
			cluster.advance(20 * time.Millisecond)
			if left {
				cluster.down[leaver] = true
			}
		}
		must.True(t, cluster.down[leaver], must.Sprintf("seed %d: the proposer could not leave", seed))
		cluster.advance(2 * time.Second)
		end := cluster.ticketResult(2)
		must.NotNil(t, end)
		cluster.submit(sender, 3, "number/read", "number/n")
		cluster.advance(500 * time.Millisecond)
		must.Nil(t, cluster.ticketResult(3).Failure)
		number := string(cluster.ticketResult(3).Body)
		switch {
		case end.Failure == nil:
			succeeded++
			must.Eq(t, `{"number":2}`, string(end.Body), must.Sprintf("seed %d", seed))
			must.Eq(t, `{"number":2}`, number, must.Sprintf("seed %d", seed))
		case end.Failure.Outcome == "no":
			must.Eq(t, `{"number":1}`, number, must.Sprintf("seed %d", seed))
		default:
			must.True(t, number == `{"number":1}` || number == `{"number":2}`)
		}
	}
	must.Greater(t, 900, succeeded)
}
