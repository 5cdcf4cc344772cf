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

// proposerAndSender increments a number to 1, and returns the number's proposer and another core.
func (cluster *threeCores) proposerAndSender() (proposing, other ident.Addr) {
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
	t.Fatal("the effects contain no forward")
	return message.Message{}
}

// A core rejects a forwarded operation, and a duplicate of the forward arrives when the core could
// execute the operation. The duplicate must be rejected too, because the sender was told that the
// operation was not executed.
func TestRejectedForwardIsNeverExecuted(t *testing.T) {
	cluster := newThreeCores(t)
	proposing, sender := cluster.proposerAndSender()
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
	cluster.down[sender] = true // the sender's own forward must not be executed
	cluster.advance(2 * time.Second)
	cluster.submit(proposing, 3, "number/read", "number/n")
	cluster.advance(200 * time.Millisecond)
	must.Eq(t, `{"number":1}`, string(cluster.ticketResult(3).Body))
}

// Messages of one kind between the cores are lost for various times while an operation runs. The
// caller must receive the correct outcome within the budget: an operation that is reported as not
// executed must not take effect, and no operation may start after its budget.
func TestOutcomeIsReportedWithinBudget(t *testing.T) {
	const budget = 900 * time.Millisecond
	kinds := map[string]func(message.Message) bool{
		"forward":        func(m message.Message) bool { return m.Forward != nil },
		"forward result": func(m message.Message) bool { return m.ForwardResult != nil },
		"response":       func(m message.Message) bool { return m.Response != nil },
		"request":        func(m message.Message) bool { return m.Request != nil },
	}
	outcomes := map[string]int{}
	for lostKind, matches := range kinds {
		for _, lossDurationMs := range []int{0, 100, 500, 850, 1000, 1300, 3000} {
			lossDuration := time.Duration(lossDurationMs) * time.Millisecond
			cluster := newThreeCores(t)
			_, sender := cluster.proposerAndSender()
			began := cluster.now
			cluster.drop = func(_ ident.Addr, m message.Message) bool {
				return matches(m) && cluster.now.Since(began) < lossDuration
			}
			cluster.submitOperation(sender, 2, proposer.Operation{Op: "once", Key: "number/n", Kind: "number/next"}, budget)
			for cluster.ticketResult(2) == nil && cluster.now.Since(began) < 2*time.Second {
				cluster.advance(10 * time.Millisecond)
			}
			must.LessEq(t, budget+50*time.Millisecond, cluster.now.Since(began), must.Sprint(lostKind, lossDuration))
			cluster.drop = nil
			cluster.advance(3 * time.Second)
			cluster.submit(sender, 3, "number/read", "number/n")
			cluster.advance(500 * time.Millisecond)
			result, number := cluster.ticketResult(2), string(cluster.ticketResult(3).Body)
			switch {
			case result.Failure == nil:
				outcomes["yes"]++
				must.Eq(t, `{"number":2}`, number, must.Sprint(lostKind, lossDuration))
			case result.Failure.Outcome == "no":
				outcomes["no"]++
				must.Eq(t, `{"number":1}`, number, must.Sprint(lostKind, lossDuration))
			default:
				outcomes["unknown"]++
			}
		}
	}
	must.Greater(t, 8, outcomes["yes"], must.Sprint(outcomes))
	must.Positive(t, outcomes["unknown"], must.Sprint(outcomes))
}
