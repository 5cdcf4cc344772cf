package world

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/number"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/sim/check"
)

// ask sends a deed to some core, as an application does; end gets a nil End when no
// return came.
func (w *World) ask(d owner.Deed, end func(*node.End)) {
	c := w.Cores[w.Rng.IntN(len(w.Cores))]
	over := false
	began := w.now
	say := func(e *node.End) {
		if over {
			return
		}
		over = true
		if e != nil && e.Defect == nil {
			w.Took = append(w.Took, w.now.Since(began))
		}
		switch {
		case e == nil || e.Defect != nil && e.Defect.Fate == defect.FateUnknown:
			w.Served["deed-unknown"]++
		case e.Defect != nil:
			w.Served["deed-no"]++
		default:
			w.Served["deed-yes"]++
		}
		end(e)
	}
	if !c.up {
		w.After(time.Millisecond, func() { say(&node.End{Defect: defect.New(defect.Unreached, "down")}) })
		return
	}
	gen := c.gen
	w.After(6*time.Second, func() { say(nil) })
	// Who waits at a process that ends sees its connection end.
	c.resets = append(c.resets, func() { say(nil) })
	w.After(w.delay(), func() {
		if c.gen != gen || !c.up {
			return
		}
		c.run(gen, func() {
			c.Deed(d, 4*time.Second, func(e node.End) {
				w.After(w.delay(), func() { say(&e) })
			})
		})
	})
}

// sure tells whether the deed certainly had no effect.
func sure(e *node.End) bool {
	return e != nil && e.Defect != nil && e.Defect.Fate == defect.FateNo
}

type hold struct {
	who   string
	fence uint64
	until moment.Moment
}

// Locker claims, renews and releases locks and checks that nobody else holds one.
type Locker struct {
	w     *World
	who   string
	locks int
	holds map[string][]*hold // shared by all lockers
	tops  map[string]uint64
}

// Lockers starts n applications over a number of locks.
func (w *World) Lockers(n, locks int, gap time.Duration) {
	holds, tops := map[string][]*hold{}, map[string]uint64{}
	for i := range n {
		l := &Locker{w: w, who: fmt.Sprintf("app%d", i), locks: locks, holds: holds, tops: tops}
		w.After(time.Duration(w.Rng.Int64N(int64(gap))), func() { l.round(gap) })
	}
}

func (l *Locker) round(gap time.Duration) {
	w := l.w
	if w.Closed {
		return
	}
	name := fmt.Sprintf("l%d", w.Rng.IntN(l.locks))
	ttl := time.Duration(500+w.Rng.IntN(2000)) * time.Millisecond
	sent := w.now
	again := func() { w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), func() { l.round(gap) }) }
	args := book.JSON(lock.Args{Holder: l.who, TTL: ttl.Milliseconds()})
	w.ask(owner.Deed{Key: ident.Key("lock/" + name), Kind: "lock/claim", Args: args}, func(e *node.End) {
		var g lock.Grant
		if e == nil || e.Defect != nil || json.Unmarshal(e.Body, &g) != nil || w.now >= sent.Add(ttl) {
			again()
			return
		}
		h := &hold{who: l.who, fence: g.Fence, until: sent.Add(ttl)}
		l.granted(name, h)
		l.keep(name, h, ttl, w.Rng.IntN(4), again)
	})
}

func (l *Locker) granted(name string, h *hold) {
	w := l.w
	w.Check.Seen["lock-shared"]++
	for _, o := range l.holds[name] {
		if o.who != h.who && o.until > w.now {
			w.Breach("lock-shared", "%s is held by %s (fence %d) and %s (fence %d)", name, o.who, o.fence, h.who, h.fence)
		}
	}
	if h.fence < l.tops[name] {
		w.Breach("lock-shared", "%s: fence %d after %d", name, h.fence, l.tops[name])
	}
	l.tops[name] = max(l.tops[name], h.fence)
	var live []*hold
	for _, o := range l.holds[name] {
		if o.until > w.now && o != h {
			live = append(live, o)
		}
	}
	l.holds[name] = append(live, h)
}

// keep renews a few times and then lets go, or is forgetful and lets it run out.
func (l *Locker) keep(name string, h *hold, ttl time.Duration, left int, again func()) {
	w := l.w
	w.After(ttl/3, func() {
		if w.now >= h.until {
			again()
			return
		}
		args := book.JSON(lock.Args{Holder: l.who, Fence: h.fence})
		k := ident.Key("lock/" + name)
		if left == 0 {
			if w.Rng.IntN(3) > 0 {
				h.until = w.now // from here on it does not count on it
				w.ask(owner.Deed{Key: k, Kind: "lock/release", Args: args}, func(*node.End) { again() })
				return
			}
			w.After(h.until.Since(w.now), again)
			return
		}
		sent := w.now
		w.ask(owner.Deed{Key: k, Kind: "lock/renew", Args: args}, func(e *node.End) {
			if e != nil && e.Defect == nil && w.now < h.until {
				h.until = max(h.until, sent.Add(ttl))
				l.granted(name, h)
			}
			l.keep(name, h, ttl, left-1, again)
		})
	})
}

// Counters takes rising numbers and checks that none comes twice or goes back.
func (w *World) Counters(n, names int, gap time.Duration) {
	given, floor := map[string]bool{}, map[string]uint64{}
	var round func()
	round = func() {
		if w.Closed {
			return
		}
		name := fmt.Sprintf("n%d", w.Rng.IntN(names))
		low := floor[name]
		w.ask(owner.Deed{Key: ident.Key("number/" + name), Kind: "number/next"}, func(e *node.End) {
			var got number.Number
			if e != nil && e.Defect == nil && json.Unmarshal(e.Body, &got) == nil {
				w.Check.Seen["number-repeated"]++
				id := fmt.Sprint(name, "/", got.N)
				if given[id] || got.N <= low {
					w.Breach("number-repeated", "%s gave %d, given before %v, newest confirmed before the call %d", name, got.N, given[id], low)
				}
				given[id] = true
				floor[name] = max(floor[name], got.N)
			}
			w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), round)
		})
	}
	for range n {
		w.After(time.Duration(w.Rng.Int64N(int64(gap))), round)
	}
}

type keyIn struct {
	kind string
	val  string
	cas  ident.Revision
}

type keyOut struct {
	rev     ident.Revision
	val     string
	unknown bool
	no      bool
}

// model is the sequential key, for porcupine.
var model = porcupine.Model{
	Init: func() any { return keyOut{} },
	Step: func(st, in, out any) (bool, any) {
		s, i, o := st.(keyOut), in.(keyIn), out.(keyOut)
		next := keyOut{rev: s.rev + 1, val: i.val}
		switch {
		case i.kind == "read" && o.unknown:
			return true, s
		case i.kind == "read":
			return o.rev == s.rev && o.val == s.val, s
		case i.kind == "cas" && o.no:
			return s.rev != i.cas, s
		case i.kind == "cas" && s.rev != i.cas:
			return o.unknown, s
		case o.unknown:
			return true, next
		}
		return o.rev == next.rev, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// Keys reads, writes and compares keys, and keeps their histories.
type Keys struct {
	w     *World
	names int
	ops   map[string][]porcupine.Operation
	floor map[string]ident.Revision
	vals  map[string]string
	n     int
}

// KeyUsers starts n applications over a number of keys.
func (w *World) KeyUsers(n, names int, gap time.Duration) *Keys {
	k := &Keys{w: w, names: names, ops: map[string][]porcupine.Operation{}, floor: map[string]ident.Revision{}, vals: map[string]string{}}
	for i := range n {
		w.After(time.Duration(w.Rng.Int64N(int64(gap))), func() { k.round(i, gap) })
	}
	return k
}

func (k *Keys) round(who int, gap time.Duration) {
	w := k.w
	if w.Closed {
		return
	}
	name := fmt.Sprintf("k%d", w.Rng.IntN(k.names))
	k.n++
	in := keyIn{kind: []string{"read", "read", "write", "cas"}[w.Rng.IntN(4)], val: fmt.Sprintf("v%d", k.n)}
	d := owner.Deed{Key: ident.Key("key/" + name), Kind: "key/read", Args: book.JSON(key.Args{})}
	low, began := k.floor[name], w.now
	raw, _ := json.Marshal(in.val)
	switch in.kind {
	case "write":
		d.Kind, d.Args = "key/write", book.JSON(key.Args{Value: raw})
	case "cas":
		in.cas = low
		d.Kind, d.Args = "key/write", book.JSON(key.Args{Value: raw, If: &in.cas})
	}
	w.ask(d, func(e *node.End) {
		var got key.Reading
		out := keyOut{}
		end := int64(w.now)
		switch {
		case sure(e) && e.Defect.Kind == defect.Conflict:
			out.no = true
		case sure(e):
			// Certainly nothing happened and nothing was read.
			w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), func() { k.round(who, gap) })
			return
		case e == nil || e.Defect != nil:
			out.unknown = true
			end = 1 << 60
		default:
			if json.Unmarshal(e.Body, &got) != nil {
				w.Breach("damaged", "a reading of %s can't be decoded", name)
			}
			out.rev = got.Revision
			if in.kind == "read" {
				_ = json.Unmarshal(got.Value, &out.val)
			}
			w.Check.Seen["stale-read"]++
			if got.Revision < low || in.kind != "read" && got.Revision <= low {
				w.Breach("stale-read", "%s of %s shows revision %d, %d was confirmed before", in.kind, name, got.Revision, low)
			}
			v := in.val
			if in.kind == "read" {
				v = out.val
			}
			id := fmt.Sprint(name, "/", got.Revision)
			if old, ok := k.vals[id]; ok && old != v {
				w.Breach("number-repeated", "revision %d of %s was %s and is %s", got.Revision, name, old, v)
			}
			k.vals[id] = v
			k.floor[name] = max(k.floor[name], got.Revision)
		}
		if !(in.kind == "read" && out.unknown) {
			k.ops[name] = append(k.ops[name], porcupine.Operation{ClientId: who, Input: in, Call: int64(began), Output: out, Return: end})
		}
		w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), func() { k.round(who, gap) })
	})
}

// Judge checks every key's history for linearisability.
func (k *Keys) Judge() {
	for i := range k.names {
		name := fmt.Sprintf("k%d", i)
		k.w.Check.Seen["stale-read"]++
		if porcupine.CheckOperationsTimeout(model, k.ops[name], 2*time.Second) == porcupine.Illegal {
			k.w.Breach("stale-read", "the history of %s (%d operations) is not linearisable", name, len(k.ops[name]))
		}
	}
}

// Watcher follows all keys from core to core by its place.
func (w *World) Watcher(gap time.Duration) {
	place := watch.Place{}
	last := w.now
	var round func()
	later := func() { w.After(gap, round) }
	round = func() {
		c := w.Cores[w.Rng.IntN(len(w.Cores))]
		if !c.up || c.frozen {
			later()
			return
		}
		over := false
		gen := c.gen
		w.After(5*time.Second, func() {
			if !over {
				over = true
				later()
			}
		})
		c.ticket++
		c.ends[c.ticket] = func(e node.End) {
			if over {
				return
			}
			if e.Defect != nil {
				over = true
				later()
				return
			}
			seen := map[ident.Key]ident.Revision{}
			for k, f := range e.Found {
				seen[k] = f.Cell.Revision
			}
			due := place.Due(seen)
			w.tell(c, gen, place, due, &last, func() {
				if !over {
					over = true
					later()
				}
			})
		}
		c.out(c.node.Survey(c.clock(), c.ticket, "key/", false, 3*time.Second))
	}
	later()
}

func (w *World) tell(c *Core, gen int, place watch.Place, due []ident.Key, last *moment.Moment, done func()) {
	if len(due) == 0 {
		*last = w.now
		done()
		return
	}
	if !c.up || c.gen != gen {
		done()
		return
	}
	k := due[0]
	at := place[k]
	c.Deed(owner.Deed{Key: k, Kind: "key/read", Args: book.JSON(key.Args{Since: &at})}, 3*time.Second, func(e node.End) {
		if e.Defect != nil {
			done()
			return
		}
		var r key.Reading
		if json.Unmarshal(e.Body, &r) != nil {
			w.Breach("damaged", "a reading of %s can't be decoded", k)
		}
		w.Check.Seen["watch-forgotten"]++
		events, d := place.Tell(k, r)
		if d != nil && w.now.Since(*last) < 20*time.Second {
			w.Breach("watch-forgotten", "%s after %v: %v", k, w.now.Since(*last), d)
		}
		for i, ev := range events {
			w.told++
			if want := at + ident.Revision(i) + 1; at != 0 && ev.Revision != want {
				w.Breach("watch-forgotten", "%s: told revision %d, wanted %d", k, ev.Revision, want)
			}
		}
		w.tell(c, gen, place, due[1:], last, done)
	})
}

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
	a.Body = book.JSON(tree)
	began := o.top
	w.ask(owner.Deed{Key: offer.Key, Kind: "manifest/offer", Args: book.JSON(a)}, func(e *node.End) {
		w.Check.Seen["manifest-turned"]++
		switch {
		case sure(e):
			w.Served["manifest-no"]++
			w.Check.TurnedAway(mark, string(e.Defect.Kind))
		case e == nil || e.Defect != nil:
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
func (o *Operators) inForce(e ident.Epoch, at moment.Moment) {
	for _, s := range o.w.Sides {
		o.open++
		o.follow(s, e, at, "")
	}
}

func (o *Operators) follow(s *Side, e ident.Epoch, from moment.Moment, cause string) {
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
			if e.Defect != nil || !ok {
				w.Breach("audit", "the audit log can't be read at day's end: %v", e.Defect)
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
		c.out(c.node.Survey(c.clock(), c.ticket, chunk.Prefix, true, 4*time.Second))
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
		c.Deed(owner.Deed{Key: offer.Key, Kind: "manifest/read"}, 4*time.Second, func(e node.End) {
			var h offer.Held
			if e.Defect != nil || json.Unmarshal(e.Body, &h) != nil {
				w.Breach("slow-recovery", "core %s can't read the manifest at day's end: %v", c.Addr, e.Defect)
				return
			}
			w.Check.Seen["manifest-turned"]++
			if h.Epoch < want {
				w.Breach("manifest-turned", "core %s reads epoch %d at day's end, %d was confirmed", c.Addr, h.Epoch, want)
			}
		})
	}
}
