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

// proposerAndAnother returns the proposer of a number that stands at 1, and another core.
func (cluster *threeCores) proposerAndAnother() (proposing, other ident.Addr) {
	cluster.submit("a:1", 1, "number/next", "number/n")
	cluster.advance(200 * time.Millisecond)
	proposing = cluster.proposerOf("number/n")
	if other = coreAddrs[0]; proposing == other {
		other = coreAddrs[1]
	}
	return
}

func sentForward(t *testing.T, from ident.Addr, fx node.Effects) message.Message {
	for _, s := range fx.Sends {
		if s.Msg.Forward != nil {
			s.Msg.From = from
			return s.Msg
		}
	}
	t.Fatal("nothing was forwarded")
	return message.Message{}
}

// A forward that its receiver rejected is not begun when a copy of it comes later, though the
// receiver could serve it by then: its sender was answered that it was not executed.
func TestRejectedForwardIsNeverBegun(t *testing.T) {
	cluster := newThreeCores(t)
	proposing, sender := cluster.proposerAndAnother()
	next := proposer.Operation{Key: "number/n", Kind: "number/next"}
	m := sentForward(t, sender, cluster.nodes[sender].Submit(cluster.now, 2, next, 900*time.Millisecond))
	must.Between(t, 1, m.Forward.RemainingMs, 900)
	for _, diskFailed := range []bool{true, false, false} {
		cluster.nodes[proposing].SetDiskFailed(diskFailed)
		fx := cluster.nodes[proposing].Step(cluster.now, m)
		must.Len(t, 1, fx.Sends)
		must.NotNil(t, fx.Sends[0].Msg.ForwardResult)
		must.True(t, fx.Sends[0].Msg.ForwardResult.Abandoned)
		must.False(t, fx.Sends[0].Msg.ForwardResult.MayHaveTakenEffect)
	}
	cluster.down[sender] = true // so it sends no forward of its own that may be begun
	cluster.advance(2 * time.Second)
	cluster.submit(proposing, 3, "number/read", "number/n")
	cluster.advance(200 * time.Millisecond)
	must.Eq(t, `{"number":1}`, string(cluster.ticketResult(3).Body))
}

// The outcome that a caller gets of an operation with a budget is true and comes in time, whichever
// messages between the cores are lost for how long: nothing that is reported as not executed takes
// effect, and nothing is begun after the budget.
func TestOutcomeWithinTheBudget(t *testing.T) {
	const budget = 900 * time.Millisecond
	kinds := map[string]func(message.Message) bool{
		"forward": func(m message.Message) bool { return m.Forward != nil },
		"carried": func(m message.Message) bool { return m.ForwardResult != nil },
		"return":  func(m message.Message) bool { return m.Response != nil },
		"ask":     func(m message.Message) bool { return m.Request != nil },
	}
	outcomes := map[string]int{}
	for what, matches := range kinds {
		for _, spanMs := range []int{0, 100, 500, 850, 1000, 1300, 3000} {
			span := time.Duration(spanMs) * time.Millisecond
			cluster := newThreeCores(t)
			_, sender := cluster.proposerAndAnother()
			began := cluster.now
			cluster.drop = func(_ ident.Addr, m message.Message) bool { return matches(m) && cluster.now.Since(began) < span }
			cluster.submitOperation(sender, 2, proposer.Operation{Op: "once", Key: "number/n", Kind: "number/next"}, budget)
			for cluster.ticketResult(2) == nil && cluster.now.Since(began) < 2*time.Second {
				cluster.advance(10 * time.Millisecond)
			}
			must.LessEq(t, budget+50*time.Millisecond, cluster.now.Since(began), must.Sprint(what, span))
			cluster.drop = nil
			cluster.advance(3 * time.Second)
			cluster.submit(sender, 3, "number/read", "number/n")
			cluster.advance(500 * time.Millisecond)
			end, number := cluster.ticketResult(2), string(cluster.ticketResult(3).Body)
			switch {
			case end.Failure == nil:
				outcomes["yes"]++
				must.Eq(t, `{"number":2}`, number, must.Sprint(what, span))
			case end.Failure.Outcome == "no":
				outcomes["no"]++
				must.Eq(t, `{"number":1}`, number, must.Sprint(what, span))
			default:
				outcomes["unknown"]++
			}
		}
	}
	must.Greater(t, 8, outcomes["yes"], must.Sprint(outcomes))
	must.Positive(t, outcomes["unknown"], must.Sprint(outcomes))
}
