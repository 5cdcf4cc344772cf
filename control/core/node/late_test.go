package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
)

// apart gives the proposer of a number, which stands at 1, and another core.
func (x *trio) apart() (created, at ident.Addr) {
	x.submit("a:1", 1, "number/next", "number/n")
	x.run(200 * time.Millisecond)
	created = x.ownerOf("number/n")
	if at = three[0]; created == at {
		at = three[1]
	}
	return
}

func forward(t *testing.T, from ident.Addr, fx node.Effects) message.Message {
	for _, s := range fx.Sends {
		if s.Msg.Forward != nil {
			s.Msg.From = from
			return s.Msg
		}
	}
	t.Fatal("nothing was forwarded")
	return message.Message{}
}

// A forward that its receiver rejected is not begun when a copy of it comes later,
// though the receiver could serve it by then: its sender was told that it was not run.
func TestRejectedForwardIsNeverBegun(t *testing.T) {
	x := newTrio(t)
	created, at := x.apart()
	m := forward(t, at, x.nodes[at].Submit(x.now, 2, proposer.Operation{Key: "number/n", Kind: "number/next"}, 900*time.Millisecond))
	must.Between(t, 1, m.Forward.LeftMs, 900)
	for _, broken := range []bool{true, false, false} {
		x.nodes[created].Break(broken)
		fx := x.nodes[created].Step(x.now, m)
		must.Len(t, 1, fx.Sends)
		must.NotNil(t, fx.Sends[0].Msg.Carried)
		must.True(t, fx.Sends[0].Msg.Carried.Abandoned)
		must.False(t, fx.Sends[0].Msg.Carried.MayHaveTakenEffect)
	}
	x.dead[at] = true // so it sends no forward of its own that may be begun
	x.run(2 * time.Second)
	x.submit(created, 3, "number/read", "number/n")
	x.run(200 * time.Millisecond)
	must.Eq(t, `{"number":1}`, string(x.end(3).Body))
}

// What a caller is told of an operation with a budget is true, and said in time, whichever
// messages between the cores are lost for how long: no one is told of a no that comes
// about, and nothing is begun after the budget.
func TestOutcomeWithinTheBudget(t *testing.T) {
	const budget = 900 * time.Millisecond
	kinds := map[string]func(message.Message) bool{
		"forward": func(m message.Message) bool { return m.Forward != nil },
		"carried": func(m message.Message) bool { return m.Carried != nil },
		"return":  func(m message.Message) bool { return m.Response != nil },
		"ask":     func(m message.Message) bool { return m.Request != nil },
	}
	told := map[string]int{}
	for what, is := range kinds {
		for _, span := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 850 * time.Millisecond, time.Second, 1300 * time.Millisecond, 3 * time.Second} {
			x := newTrio(t)
			_, at := x.apart()
			began := x.now
			x.lost = func(_ ident.Addr, m message.Message) bool { return is(m) && x.now.Since(began) < span }
			x.out(at, x.nodes[at].Submit(x.now, 2, proposer.Operation{Op: "once", Key: "number/n", Kind: "number/next"}, budget))
			for x.end(2) == nil && x.now.Since(began) < 2*time.Second {
				x.run(10 * time.Millisecond)
			}
			must.LessEq(t, budget+50*time.Millisecond, x.now.Since(began), must.Sprint(what, span))
			x.lost = nil
			x.run(3 * time.Second)
			x.submit(at, 3, "number/read", "number/n")
			x.run(500 * time.Millisecond)
			end, now := x.end(2), string(x.end(3).Body)
			switch {
			case end.Failure == nil:
				told["yes"]++
				must.Eq(t, `{"number":2}`, now, must.Sprint(what, span))
			case end.Failure.Outcome == "no":
				told["no"]++
				must.Eq(t, `{"number":1}`, now, must.Sprint(what, span))
			default:
				told["unknown"]++
			}
		}
	}
	must.Greater(t, 8, told["yes"], must.Sprint(told))
	must.Positive(t, told["unknown"], must.Sprint(told))
}
