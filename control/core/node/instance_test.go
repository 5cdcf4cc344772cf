package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// A core is restarted while responses to its earlier run's quorum read are still on their way. The
// new run begins a quorum read too, whose own responses are lost: the old ones, from before a put
// that was acknowledged meanwhile, do not complete it.
func TestQuorumReadOfAnEarlierRunAnswersNothing(t *testing.T) {
	cluster := newThreeCores(t)
	put := func(ticket uint64, value string) {
		write := proposer.Operation{Key: "key/k", Kind: "key/write", Args: []byte(`{"value":` + value + `}`)}
		cluster.submitOperation("a:1", ticket, write, 4*time.Second)
		cluster.advance(2500 * time.Millisecond)
		must.NotNil(t, cluster.ticketResult(ticket))
		must.Nil(t, cluster.ticketResult(ticket).Failure)
	}
	put(1, "1")
	cluster.start(t, "c:1", "", coreAddrs)
	var late []message.Message
	for _, s := range cluster.nodes["c:1"].QuorumRead(cluster.now, 2, "key/", true, 4*time.Second).Sends {
		s.Msg.From = "c:1"
		for _, r := range cluster.nodes[s.To].Step(cluster.now, s.Msg).Sends {
			r.Msg.From = s.To
			late = append(late, r.Msg)
		}
	}
	must.SliceLen(t, 3, late)
	cluster.down["c:1"] = true
	put(3, "2")
	cluster.start(t, "c:1", "", coreAddrs)
	cluster.nodes["c:1"].QuorumRead(cluster.now, 4, "key/", true, 4*time.Second)
	for _, m := range late {
		cluster.apply("c:1", cluster.nodes["c:1"].Step(cluster.now, m))
	}
	must.Nil(t, cluster.ticketResult(4), must.Sprint("a quorum read was completed by responses to an earlier run"))
}

// Two runs of a core never use the same number for a forward, though both do the same from their
// start: a proposer would take the second for a repeat of the first, if the client named the
// operation itself, and answer it from memory.
func TestForwardsOfTwoRunsDiffer(t *testing.T) {
	cluster := newThreeCores(t)
	proposing, sender := cluster.proposerAndAnother()
	tickets := map[uint64]bool{}
	for range 2 {
		cluster.start(t, sender, "", coreAddrs)
		var fx node.Effects
		for len(fx.Sends) == 0 { // until it hears a majority
			cluster.advance(10 * time.Millisecond)
			fx = cluster.nodes[sender].Submit(cluster.now, 7, proposer.Operation{Op: "named", Key: "number/n", Kind: "number/next"}, time.Second)
		}
		must.Eq(t, proposing, fx.Sends[0].To)
		ticket := sentForward(t, sender, fx).Forward.Ticket
		must.False(t, tickets[ticket], must.Sprint("the number was used by the earlier run: ", ticket))
		tickets[ticket] = true
		cluster.down[sender] = true
	}
}
