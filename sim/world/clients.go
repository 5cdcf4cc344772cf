package world

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/number"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// ask sends an operation to some core, as an application does; end gets a nil End when no
// return came.
func (w *World) ask(d proposer.Operation, end func(*node.End)) {
	w.asking(d, 4*time.Second, 6*time.Second, end)
}

// asking is ask with the core's budget and the silence after which the asker moves on.
func (w *World) asking(d proposer.Operation, budget, silence time.Duration, end func(*node.End)) {
	c := w.Cores[w.Rng.IntN(len(w.Cores))]
	over := false
	began := w.now
	say := func(e *node.End) {
		if over {
			return
		}
		over = true
		if e != nil && e.Failure == nil {
			w.Took = append(w.Took, w.now.Since(began))
		}
		switch {
		case e == nil || e.Failure != nil && e.Failure.Outcome == failure.OutcomeUnknown:
			w.Served["deed-unknown"]++
		case e.Failure != nil:
			w.Served["deed-no"]++
		default:
			w.Served["deed-yes"]++
		}
		end(e)
	}
	if !c.up {
		w.After(time.Millisecond, func() { say(&node.End{Failure: failure.New(failure.Unreached, "down")}) })
		return
	}
	gen := c.gen
	w.After(silence, func() { say(nil) })
	// Who waits at a process that ends sees its connection end.
	c.resets = append(c.resets, func() { say(nil) })
	w.After(w.delay(), func() {
		if c.gen != gen || !c.up {
			return
		}
		c.handle(gen, c.cost, func() {
			c.Deed(d, budget, func(e node.End) {
				w.After(w.delay(), func() { say(&e) })
			})
		})
	})
}

// sure tells whether the operation certainly had no effect.
func sure(e *node.End) bool {
	return e != nil && e.Failure != nil && e.Failure.Outcome == failure.NotExecuted
}

func (l *Locker) round(gap time.Duration) {
	w := l.w
	if w.Closed {
		return
	}
	name := fmt.Sprintf("l%d", w.Rng.IntN(l.locks))
	if w.Rng.IntN(2) == 0 {
		name = "l0" // one that many want
	}
	ttl := time.Duration(500+w.Rng.IntN(2000)) * time.Millisecond
	sent := w.now
	again := func() { w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), func() { l.round(gap) }) }
	args := operation.Encode(lock.Args{Holder: l.who, TTL: ttl.Milliseconds()})
	w.ask(proposer.Operation{Key: ident.Key("lock/" + name), Kind: "lock/claim", Args: args}, func(e *node.End) {
		var g lock.Grant
		if e == nil || e.Failure != nil || json.Unmarshal(e.Body, &g) != nil || w.now >= sent.Add(ttl) {
			again()
			return
		}
		h := &hold{who: l.who, fence: g.Fence, until: sent.Add(ttl)}
		l.granted(name, h)
		l.keep(name, h, ttl, w.Rng.IntN(4), again)
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
		w.ask(proposer.Operation{Key: ident.Key("number/" + name), Kind: "number/next"}, func(e *node.End) {
			var got number.Number
			if e != nil && e.Failure == nil && json.Unmarshal(e.Body, &got) == nil {
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

func (k *Keys) round(who int, gap time.Duration) {
	w := k.w
	if w.Closed {
		return
	}
	name := fmt.Sprintf("k%d", w.Rng.IntN(k.names))
	k.n++
	in := keyIn{kind: []string{"read", "read", "write", "cas"}[w.Rng.IntN(4)], val: fmt.Sprintf("v%d", k.n)}
	d := proposer.Operation{Key: ident.Key("key/" + name), Kind: "key/read", Args: operation.Encode(key.Args{})}
	low, began := k.floor[name], w.now
	raw, _ := json.Marshal(in.val)
	switch in.kind {
	case "write":
		d.Kind, d.Args = "key/write", operation.Encode(key.Args{Value: raw})
	case "cas":
		in.cas = low
		d.Kind, d.Args = "key/write", operation.Encode(key.Args{Value: raw, If: &in.cas})
	}
	w.ask(d, func(e *node.End) {
		var got key.Reading
		out := keyOut{}
		end := int64(w.now)
		switch {
		case sure(e) && e.Failure.Kind == failure.Conflict:
			out.no = true
		case sure(e):
			// Certainly nothing happened and nothing was read.
			w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), func() { k.round(who, gap) })
			return
		case e == nil || e.Failure != nil:
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
			if e.Failure != nil {
				over = true
				later()
				return
			}
			seen := map[ident.Key]ident.Revision{}
			for k, f := range e.Found {
				seen[k] = f.Record.Revision
			}
			due := place.Due(seen)
			w.tell(c, gen, place, due, &last, func() {
				if !over {
					over = true
					later()
				}
			})
		}
		c.out(c.node.QuorumRead(c.clock(), c.ticket, "key/", false, 3*time.Second))
	}
	later()
}

func (w *World) tell(c *Core, gen int, place watch.Place, due []ident.Key, last *monotime.Time, done func()) {
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
	c.Deed(proposer.Operation{Key: k, Kind: "key/read", Args: operation.Encode(key.Args{Since: &at})}, 3*time.Second, func(e node.End) {
		if e.Failure != nil {
			done()
			return
		}
		var r key.Reading
		if json.Unmarshal(e.Body, &r) != nil {
			w.Breach("damaged", "a reading of %s can't be decoded", k)
		}
		w.Check.Seen["watch-forgotten"]++
		// A round that took too long may have been overtaken by the next one, which moved
		// the same place on: what is told must follow on the place as it is now.
		at := place[k]
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
