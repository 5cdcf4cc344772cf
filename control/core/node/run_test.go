package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// A core is restarted while answers to its earlier run's quorum read still wait to be sent to
// it. The new run begins a quorum read too, of which nothing arrives: the old answers, from
// before a put that was acknowledged meanwhile, end it not.
func TestQuorumReadOfAnEarlierRunAnswersNothing(t *testing.T) {
	x := newTrio(t)
	put := func(ticket uint64, value string) {
		x.out("a:1", x.nodes["a:1"].Submit(x.now, ticket, proposer.Operation{Key: "key/k", Kind: "key/write", Args: []byte(`{"value":` + value + `}`)}, 4*time.Second))
		x.run(2500 * time.Millisecond)
		must.NotNil(t, x.end(ticket))
		must.Nil(t, x.end(ticket).Failure)
	}
	put(1, "1")
	x.start(t, "c:1", "", three)
	var late []message.Message
	for _, s := range x.nodes["c:1"].QuorumRead(x.now, 2, "key/", true, 4*time.Second).Sends {
		s.Msg.From = "c:1"
		for _, r := range x.nodes[s.To].Step(x.now, s.Msg).Sends {
			r.Msg.From = s.To
			late = append(late, r.Msg)
		}
	}
	must.SliceLen(t, 3, late)
	x.dead["c:1"] = true
	put(3, "2")
	x.start(t, "c:1", "", three)
	x.nodes["c:1"].QuorumRead(x.now, 4, "key/", true, 4*time.Second)
	for _, m := range late {
		x.out("c:1", x.nodes["c:1"].Step(x.now, m))
	}
	must.Nil(t, x.end(4), must.Sprint("a quorum read was answered by what an earlier run had asked"))
}

// Two runs of a core give no two forwards the same number, though both do the same from
// their start: a proposer would take the second, of a caller that names its operation
// itself, for a repeat of the first and answer it from memory.
func TestForwardsOfTwoRunsDiffer(t *testing.T) {
	x := newTrio(t)
	created, at := x.apart()
	tickets := map[uint64]bool{}
	for range 2 {
		x.start(t, at, "", three)
		var fx node.Effects
		for len(fx.Sends) == 0 { // until it hears a majority
			x.run(10 * time.Millisecond)
			fx = x.nodes[at].Submit(x.now, 7, proposer.Operation{Op: "named", Key: "number/n", Kind: "number/next"}, time.Second)
		}
		must.Eq(t, created, fx.Sends[0].To)
		ticket := forward(t, at, fx).Forward.Ticket
		must.False(t, tickets[ticket], must.Sprint("the number was used by the run before: ", ticket))
		tickets[ticket] = true
		x.dead[at] = true
	}
}
