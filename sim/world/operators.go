package world

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/sim/check"
)

// Operators offers manifests: whole and partial, good and bad, in races.
type Operators struct {
	w      *World
	base   func(mark string) map[string]any
	n      int
	open   int // epochs that sidecars are still awaited to have
	top    ident.Epoch
	bodies map[ident.Epoch]string
	shown  map[ident.Addr]*ident.Epoch
}

// Operate starts the operators; base makes the whole manifest around a mark.
func (w *World) Operate(gap time.Duration, base func(mark string) map[string]any) *Operators {
	o := &Operators{w: w, base: base, bodies: map[ident.Epoch]string{}, shown: map[ident.Addr]*ident.Epoch{}}
	var round func()
	round = func() {
		if w.Closed {
			return
		}
		n := 1
		if w.Rng.IntN(4) == 0 {
			n = 2 + w.Rng.IntN(3) // a race
		}
		for range n {
			o.Offer()
		}
		w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), round)
	}
	round()
	return o
}

// Offer sends one manifest to some core.
func (o *Operators) Offer() {
	w := o.w
	o.n++
	mark := fmt.Sprintf("mark-%d", o.n)
	tree := o.base(mark)
	a := offer.Args{}
	bad := false
	switch w.Rng.IntN(10) {
	case 0: // dangling
		tree["ways"].(map[string]any)["bad"] = map[string]any{"host": "x", "service": "nobody"}
		bad = true
	case 1: // unknown field
		tree["surprise"] = 1
		bad = true
	case 2, 3: // stale or true base
		base := o.top
		if w.Rng.IntN(2) == 0 && base > 0 {
			base--
			bad = true
		}
		a.Base = &base
	case 4, 5, 6: // a part: only one service's namespace
		all := tree["services"].(map[string]any)
		for name, s := range all {
			if s.(map[string]any)["namespace"] == mark {
				tree = map[string]any{"services": map[string]any{name: s}}
			}
		}
		a.Partial = true
		if o.top == 0 {
			a.Partial, tree = false, o.base(mark)
		}
	}
	a.Body = operation.Encode(tree)
	began := o.top
	w.ask(proposer.Operation{Key: offer.Key, Kind: "manifest/offer", Args: operation.Encode(a)}, func(e *node.End) {
		w.Check.Seen["manifest-turned"]++
		switch {
		case sure(e):
			w.Served["manifest-no"]++
			w.Check.TurnedAway(mark, string(e.Failure.Kind))
		case e == nil || e.Failure != nil:
			w.Served["manifest-unknown"]++
		default:
			var y offer.Yes
			if json.Unmarshal(e.Body, &y) != nil || y.Epoch == 0 {
				w.Breach("damaged", "a yes without epoch")
				return
			}
			w.Served["manifest-yes"]++
			if bad {
				w.Breach("manifest-turned", "a bad or stale manifest (%s) was confirmed as epoch %d", mark, y.Epoch)
			}
			if old, ok := o.bodies[y.Epoch]; ok {
				w.Breach("number-repeated", "epoch %d was given to %s and %s", y.Epoch, old, mark)
			}
			if y.Epoch <= began {
				w.Breach("number-repeated", "epoch %d was given after %d was confirmed", y.Epoch, began)
			}
			o.bodies[y.Epoch] = mark
			o.top = max(o.top, y.Epoch)
			o.inForce(y.Epoch, w.now)
		}
	})
}

// inForce follows the epoch to every sidecar. The bound runs from the confirmation, or
// from the end of what kept everybody from making that sidecar know it.
func (o *Operators) inForce(e ident.Epoch, at monotime.Time) {
	for _, s := range o.w.Sides {
		o.open++
		o.follow(s, e, at, "")
	}
}

func (o *Operators) follow(s *Side, e ident.Epoch, from monotime.Time, cause string) {
	w := o.w
	const rule = "manifest-late"
	have := ident.Epoch(0)
	if s.up {
		have = s.path.Epoch()
	}
	if have < e {
		if why := w.out(s, e); why != "" {
			from, cause = w.now, why
		}
	}
	late := w.now.Since(from) > check.ManifestMax
	if have < e && !late {
		w.After(20*time.Millisecond, func() { o.follow(s, e, from, cause) })
		return
	}
	o.open--
	w.Check.Look(rule)
	if cause != "" {
		w.Check.Wait(rule, cause)
	}
	if late {
		w.Breach(rule, "%s has epoch %d more than two seconds after %d was confirmed, waited for the end of %q; %s", s.Node, have, e, cause, s.wit.Text())
	}
}

// Close counts what was still out at the day's end.
func (o *Operators) Close() {
	for range o.open {
		o.w.Check.Excuse("manifest-late", causeDayEnd)
	}
}

// Audit looks whether the audit log has every confirmed epoch once, and in order.
func (o *Operators) Audit() {
	w := o.w
	for _, c := range w.Cores {
		if !c.Well() {
			continue
		}
		c.ticket++
		c.ends[c.ticket] = func(e node.End) {
			leaves, ok := node.Leaves(e.Found)
			if e.Failure != nil || !ok {
				w.Breach("audit", "the audit log can't be read at day's end: %v", e.Failure)
				return
			}
			have := map[ident.Epoch]bool{}
			last := ident.Epoch(0)
			for _, l := range leaves {
				if l.Epoch <= last || len(l.Sum) != 64 {
					w.Breach("audit", "epoch %d stands after %d", l.Epoch, last)
				}
				last, have[l.Epoch] = l.Epoch, true
			}
			for _, epoch := range slices.Sorted(maps.Keys(o.bodies)) {
				w.Check.Seen["audit"]++
				if !have[epoch] {
					w.Breach("audit", "epoch %d was confirmed and is not in the log", epoch)
				}
			}
		}
		c.out(c.node.QuorumRead(c.clock(), c.ticket, chunk.Prefix, true, 4*time.Second))
		return
	}
}

// ReadBack reads the manifest at every core at the end of the day.
func (o *Operators) ReadBack() {
	w := o.w
	for _, c := range w.Cores {
		if !c.up || c.frozen {
			continue
		}
		want := o.top
		c.Deed(proposer.Operation{Key: offer.Key, Kind: "manifest/read"}, 4*time.Second, func(e node.End) {
			var h offer.Held
			if e.Failure != nil || json.Unmarshal(e.Body, &h) != nil {
				w.Breach("slow-recovery", "core %s can't read the manifest at day's end: %v", c.Addr, e.Failure)
				return
			}
			w.Check.Seen["manifest-turned"]++
			if h.Epoch < want {
				w.Breach("manifest-turned", "core %s reads epoch %d at day's end, %d was confirmed", c.Addr, h.Epoch, want)
			}
		})
	}
}
