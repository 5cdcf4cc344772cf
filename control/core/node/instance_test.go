package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// A core restarts while responses to its earlier run's quorum read are in transit. The new run also
// begins a quorum read, whose own responses are lost. The old responses must not complete the new
// read, because the old responses predate a put that was acknowledged in the meantime.
func TestResponsesToEarlierRunAreIgnored(t *testing.T) {
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
	must.Nil(t, cluster.ticketResult(4), must.Sprint("responses to an earlier run completed the quorum read"))
}

// Two runs of a core perform the same steps from their start, but must never use the same ticket
// for a forward. Otherwise, if the client chose the operation's identifier, the proposer would
// treat the second forward as a repeat of the first forward and answer it from memory.
func TestForwardTicketsOfTwoRunsDiffer(t *testing.T) {
	cluster := newThreeCores(t)
	proposing, sender := cluster.proposerAndSender()
	tickets := map[uint64]bool{}
	for range 2 {
		cluster.start(t, sender, "", coreAddrs)
		var fx node.Effects
		for len(fx.Sends) == 0 { // until the sender has a majority
			cluster.advance(10 * time.Millisecond)
			fx = cluster.nodes[sender].Submit(cluster.now, 7, proposer.Operation{Op: "named", Key: "number/n", Kind: "number/next"}, time.Second)
		}
		must.Eq(t, proposing, fx.Sends[0].To)
		ticket := sentForward(t, sender, fx).Forward.Ticket
		must.False(t, tickets[ticket], must.Sprint("ticket was already used by the earlier run: ", ticket))
		tickets[ticket] = true
		cluster.down[sender] = true
	}
}
