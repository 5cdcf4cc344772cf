package world

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/storage/ring"
)

// order is one order of an operator. It puts in a service of its own name, which nothing
// takes away, so the last manifest tells whether it was taken.
type order struct {
	name           string
	args           offer.Args
	acked, refused bool
}

// orders are operators who send orders at once, each again until it has a clear answer.
type orders struct {
	w     *World
	all   []*order
	top   uint64 // newest release that was acknowledged
	open  int
	stop  bool
	again int // repeats of orders that had an answer
}

// send gives an order to some core, and loses one acknowledgement in three.
func (o *orders) send(r *order, then func(clear bool)) {
	d := proposer.Operation{Key: offer.Key, Kind: "manifest/offer", Args: operation.Encode(r.args), Repeatable: true}
	o.w.asking(d, 900*time.Millisecond, time.Second, func(e *node.End) {
		if o.w.Rng.IntN(3) == 0 {
			e = nil
		}
		switch {
		case e != nil && e.Failure == nil:
			var yes offer.Yes
			_ = json.Unmarshal(e.Body, &yes)
			o.top = max(o.top, yes.Release)
			r.acked = true
			then(true)
		case e != nil && e.Failure.Outcome == failure.NotExecuted && (e.Failure.Kind == failure.Conflict || e.Failure.Kind == failure.Invalid):
			r.refused = true
			then(true)
		default:
			then(false)
		}
	})
}

// operate has one operator go on from order to order; now and then it sends one of
// anybody's earlier orders once more.
func (o *orders) operate(who int) {
	if o.stop {
		return
	}
	w := o.w
	base := o.top
	r := &order{name: fmt.Sprintf("o%d-%d", who, len(o.all)), args: offer.Args{Kind: offer.Change, BaseRelease: &base, Loose: true}}
	r.args.Body = json.RawMessage(fmt.Sprintf(`{"release":%d,"upsert":{"services":{"%s":{}}}}`, base+1+w.Rng.Uint64N(3), r.name))
	o.all = append(o.all, r)
	o.open++
	var try func()
	try = func() {
		o.send(r, func(clear bool) {
			if !clear {
				w.After(time.Duration(w.Rng.Int64N(int64(100*time.Millisecond))), try)
				return
			}
			o.open--
			if w.Rng.IntN(3) == 0 {
				o.again++
				o.send(o.all[w.Rng.IntN(len(o.all))], func(bool) {})
			}
			w.After(time.Duration(w.Rng.Int64N(int64(200*time.Millisecond))), func() { o.operate(who) })
		})
	}
	try()
}

// Eight operators at once over five cores, links that lose and double, cores that are
// killed and lose power, one acknowledgement in three lost: an order that is in force at
// the end was never refused, at any core and time, and one that was acknowledged is in
// force; no order was both.
func TestOrdersUnderWayOverLossyLinks(t *testing.T) {
	const cores, operators, span, wanted = 5, 8, 60 * time.Second, 150
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			u := newLongUse(t, seed, cores, ring.Boot{Files: 4, Size: 512 << 10})
			w := u.w
			w.Links.Lose, w.Links.Double, w.Links.Late = 0.01, 0.02, 0.01
			u.change()
			o := &orders{w: w, top: u.release}
			for who := range operators {
				o.operate(who)
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
			o.stop = true
			w.RunFor(10 * time.Second)
			must.Eq(t, 0, o.open, must.Sprint("orders without a clear answer"))
			var h offer.Held
			e := u.do(w.Cores[0], proposer.Operation{Key: offer.Key, Kind: "manifest/read"}, 4*time.Second)
			must.NotNil(t, e)
			must.NoError(t, json.Unmarshal(e.Body, &h))
			var last struct {
				Services map[string]any `json:"services"`
			}
			must.NoError(t, json.Unmarshal(h.Manifest, &last))
			taken, refused := 0, 0
			for _, r := range o.all {
				_, in := last.Services[r.name]
				must.False(t, in && r.refused, must.Sprint(r.name, " was taken and refused"))
				must.False(t, !in && r.acked, must.Sprint(r.name, " was acknowledged and is not in force"))
				if in {
					taken++
				}
				if r.refused {
					refused++
				}
			}
			t.Logf("%d orders, %d taken, %d refused, %d sent again after their answer; epoch %d", len(o.all), taken, refused, o.again, h.Epoch)
			must.Greater(t, wanted, taken)
			must.Positive(t, refused)
			must.Eq(t, ident.Epoch(taken+1), h.Epoch)
			must.Eq(t, 0, len(w.Check.Breaches), must.Sprint(w.Check.Breaches))
		})
	}
}
