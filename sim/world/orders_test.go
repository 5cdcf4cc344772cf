package world

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/storage/ring"
)

// proposalOrder is one order of an operator. It puts in a service of its own name, which nothing
// takes away, so the last manifest tells whether it was taken.
type proposalOrder struct {
	name                   string
	args                   proposal.Args
	acknowledged, rejected bool
}

// proposers are operators who send orders at once, each again until it has a clear answer.
type proposers struct {
	world         *World
	sent          []*proposalOrder
	newestVersion uint64 // newest release that was acknowledged
	pending       int
	stopped       bool
	resent        int // repeats of orders that had an answer
}

// send gives an order to some core, and loses one acknowledgement in three.
func (o *proposers) send(order *proposalOrder, done func(clear bool)) {
	op := proposer.Operation{Key: proposal.Key, Kind: "manifest/offer", Args: operation.Encode(order.args), Repeatable: true}
	o.world.requestWithin(op, 900*time.Millisecond, time.Second, func(ended *node.Result) {
		if o.world.Rng.IntN(3) == 0 {
			ended = nil
		}
		switch {
		case ended != nil && ended.Failure == nil:
			var yes proposal.Accepted
			_ = json.Unmarshal(ended.Body, &yes)
			o.newestVersion = max(o.newestVersion, yes.Version)
			order.acknowledged = true
			done(true)
		case ended != nil && ended.Failure.Outcome == failure.NotExecuted && (ended.Failure.Kind == failure.Conflict || ended.Failure.Kind == failure.Invalid):
			order.rejected = true
			done(true)
		default:
			done(false)
		}
	})
}

// run has one operator go on from order to order; now and then it sends one of
// anybody's earlier orders once more.
func (o *proposers) run(operator int) {
	if o.stopped {
		return
	}
	w := o.world
	base := o.newestVersion
	order := &proposalOrder{name: fmt.Sprintf("o%d-%d", operator, len(o.sent)), args: proposal.Args{Kind: proposal.ItemPatch, BaseVersion: &base, AllowUnknown: true}}
	order.args.Body = json.RawMessage(fmt.Sprintf(`{"release":%d,"upsert":{"services":{"%s":{}}}}`, base+1+w.Rng.Uint64N(3), order.name))
	o.sent = append(o.sent, order)
	o.pending++
	var send func()
	send = func() {
		o.send(order, func(clear bool) {
			if !clear {
				w.After(time.Duration(w.Rng.Int64N(int64(100*time.Millisecond))), send)
				return
			}
			o.pending--
			if w.Rng.IntN(3) == 0 {
				o.resent++
				o.send(o.sent[w.Rng.IntN(len(o.sent))], func(bool) {})
			}
			w.After(time.Duration(w.Rng.Int64N(int64(200*time.Millisecond))), func() { o.run(operator) })
		})
	}
	send()
}

// Eight operators at once over five cores, links that lose and double, cores that are
// killed and lose power, one acknowledgement in three lost: an order that is in force at
// the end was never refused, at any core and time, and one that was acknowledged is in
// force; no order was both.
func TestConcurrentProposalsOverLossyLinks(t *testing.T) {
	const cores, operators, span, wanted = 5, 8, 60 * time.Second, 150
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			cluster := newCoreCluster(t, seed, cores, ring.Options{FileCount: 4, FileSize: 512 << 10})
			w := cluster.world
			w.Links.LossRate, w.Links.DuplicateRate, w.Links.DelayRate = 0.01, 0.02, 0.01
			cluster.changeConfig()
			proposers := &proposers{world: w, newestVersion: cluster.version}
			for operator := range operators {
				proposers.run(operator)
			}
			for end := w.now.Add(span); w.now < end; {
				w.RunFor(time.Second + time.Duration(w.Rng.Int64N(int64(2*time.Second))))
				c := w.Cores[w.Rng.IntN(cores)]
				if w.Rng.IntN(2) == 0 {
					c.PowerOff()
				} else {
					c.Kill(false)
				}
				w.RunFor(time.Second)
				c.Start()
			}
			proposers.stopped = true
			w.RunFor(10 * time.Second)
			must.Eq(t, 0, proposers.pending, must.Sprint("orders without a clear answer"))
			var held proposal.State
			e := cluster.submit(w.Cores[0], proposer.Operation{Key: proposal.Key, Kind: "manifest/read"}, 4*time.Second)
			must.NotNil(t, e)
			must.NoError(t, json.Unmarshal(e.Body, &held))
			var last struct {
				Services map[string]any `json:"services"`
			}
			must.NoError(t, json.Unmarshal(held.Document, &last))
			taken, refused := 0, 0
			for _, order := range proposers.sent {
				_, in := last.Services[order.name]
				must.False(t, in && order.rejected, must.Sprint(order.name, " was taken and refused"))
				must.False(t, !in && order.acknowledged, must.Sprint(order.name, " was acknowledged and is not in force"))
				if in {
					taken++
				}
				if order.rejected {
					refused++
				}
			}
			t.Logf("%d orders, %d taken, %d refused, %d sent again after their answer; epoch %d", len(proposers.sent), taken, refused, proposers.resent, held.Revision)
			must.Greater(t, wanted, taken)
			must.Positive(t, refused)
			must.Eq(t, ident.Epoch(taken+1), held.Revision)
			must.Eq(t, 0, len(w.Checker.Violations), must.Sprint(w.Checker.Violations))
		})
	}
}
