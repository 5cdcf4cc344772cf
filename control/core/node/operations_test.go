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

// A proposer is killed. Its keys must move to another proposer as soon as the killed proposer's
// address refuses connections, not only after the heartbeat timeout, and its slot in the membership
// must remain.
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

// A forwarded operation must take effect exactly once if the forward is duplicated, or if the
// forward or its result is lost and the forward is sent again.
func TestForwardTakesEffectOnce(t *testing.T) {
	for _, lostPart := range []string{"", "forward", "forward result"} {
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
				cluster.mailbox = append(cluster.mailbox, envelope{to, m}) // deliver the forward twice
				return false
			}
			if (m.Forward != nil && lostPart == "forward" || m.ForwardResult != nil && lostPart == "forward result") && !dropped {
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

// A planned stop must hand over the core's keys: the next proposer holds the keys before the
// leaving core stops, and no operation in progress is lost.
func TestPlannedStopHandsOverKeys(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.submit("a:1", 1, "number/next", "number/n")
	cluster.advance(200 * time.Millisecond)
	leaver := cluster.proposerOf("number/n")
	cluster.apply(leaver, cluster.nodes[leaver].Leave(cluster.now, stopLimit))
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

// A change is forwarded to a proposer that has just begun to leave, and the first messages are
// delivered in every order. The change must take effect at most once, and its sender must receive
// the correct outcome.
func TestHandoverInEveryMessageOrder(t *testing.T) {
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
		cluster.apply(leaver, cluster.nodes[leaver].Leave(cluster.now, stopLimit))
		for choices, n := seed, 0; n < 60 && len(cluster.mailbox) > 0; n++ {
			i := 0
			if n < 5 {
				i, choices = choices%4%len(cluster.mailbox), choices/4
			}
			next := cluster.mailbox[i]
			cluster.mailbox = append(cluster.mailbox[:i:i], cluster.mailbox[i+1:]...)
			cluster.apply(next.to, cluster.nodes[next.to].Step(cluster.now, next.msg))
		}
		for n := 0; n < 20; n++ {
			left, fx := cluster.nodes[leaver].ContinueLeave(cluster.now)
			cluster.apply(leaver, fx)
			cluster.advance(20 * time.Millisecond)
			if left {
				cluster.down[leaver] = true
			}
		}
		must.True(t, cluster.down[leaver], must.Sprintf("seed %d: the leaving proposer did not stop", seed))
		cluster.advance(2 * time.Second)
		result := cluster.ticketResult(2)
		must.NotNil(t, result)
		cluster.submit(sender, 3, "number/read", "number/n")
		cluster.advance(500 * time.Millisecond)
		must.Nil(t, cluster.ticketResult(3).Failure)
		number := string(cluster.ticketResult(3).Body)
		switch {
		case result.Failure == nil:
			succeeded++
			must.Eq(t, `{"number":2}`, string(result.Body), must.Sprintf("seed %d", seed))
			must.Eq(t, `{"number":2}`, number, must.Sprintf("seed %d", seed))
		case result.Failure.Outcome == "no":
			must.Eq(t, `{"number":1}`, number, must.Sprintf("seed %d", seed))
		default:
			must.True(t, number == `{"number":1}` || number == `{"number":2}`)
		}
	}
	must.Greater(t, 900, succeeded)
}
