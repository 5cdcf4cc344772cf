package world

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// request sends an operation to some core, as an application does; end gets a nil End when no
// return came.
func (w *World) request(op proposer.Operation, end func(*node.Result)) {
	w.requestWithin(op, 4*time.Second, 6*time.Second, end)
}

// requestWithin is ask with the core's budget and the silence after which the asker moves on.
func (w *World) requestWithin(op proposer.Operation, budget, timeout time.Duration, end func(*node.Result)) {
	core := w.Cores[w.Rng.IntN(len(w.Cores))]
	ended := false
	began := w.now
	finish := func(e *node.Result) {
		if ended {
			return
		}
		ended = true
		if e != nil && e.Failure == nil {
			w.OperationTimes = append(w.OperationTimes, w.now.Since(began))
		}
		switch {
		case e == nil || e.Failure != nil && e.Failure.Outcome == failure.OutcomeUnknown:
			w.Counters["deed-unknown"]++
		case e.Failure != nil:
			w.Counters["deed-no"]++
		default:
			w.Counters["deed-yes"]++
		}
		end(e)
	}
	if !core.running {
		w.After(time.Millisecond, func() { finish(&node.Result{Failure: failure.New(failure.Unreachable, "down")}) })
		return
	}
	generation := core.generation
	w.After(timeout, func() { finish(nil) })
	// Who waits at a process that ends sees its connection end.
	core.disconnects = append(core.disconnects, func() { finish(nil) })
	w.After(w.linkDelay(), func() {
		if core.generation != generation || !core.running {
			return
		}
		core.handleMessage(generation, core.messageCost, func() {
			core.Submit(op, budget, func(e node.Result) {
				w.After(w.linkDelay(), func() { finish(&e) })
			})
		})
	})
}

// notExecuted tells whether the operation certainly had no effect.
func notExecuted(e *node.Result) bool {
	return e != nil && e.Failure != nil && e.Failure.Outcome == failure.NotExecuted
}

func (l *Locker) round(interval time.Duration) {
	w := l.world
	if w.Closed {
		return
	}
	name := fmt.Sprintf("l%d", w.Rng.IntN(l.lockCount))
	if w.Rng.IntN(2) == 0 {
		name = "l0" // one that many want
	}
	ttl := time.Duration(500+w.Rng.IntN(2000)) * time.Millisecond
	sent := w.now
	then := func() { w.After(interval/2+time.Duration(w.Rng.Int64N(int64(interval))), func() { l.round(interval) }) }
	args := operation.Encode(lock.Args{Holder: l.name, TTL: ttl.Milliseconds()})
	w.request(proposer.Operation{Key: ident.Key("lock/" + name), Kind: "lock/claim", Args: args}, func(e *node.Result) {
		var given lock.Grant
		if e == nil || e.Failure != nil || json.Unmarshal(e.Body, &given) != nil || w.now >= sent.Add(ttl) {
			then()
			return
		}
		held := &grant{holder: l.name, fence: given.FencingToken, expiresAt: sent.Add(ttl)}
		l.recordGrant(name, held)
		l.renewOrRelease(name, held, ttl, w.Rng.IntN(4), then)
	})
}

// StartCounters takes rising numbers and checks that none comes twice or goes back.
func (w *World) StartCounters(clients, names int, gap time.Duration) {
	seen, floor := map[string]bool{}, map[string]uint64{}
	var next func()
	next = func() {
		if w.Closed {
			return
		}
		name := fmt.Sprintf("n%d", w.Rng.IntN(names))
		floorBefore := floor[name]
		w.request(proposer.Operation{Key: ident.Key("number/" + name), Kind: "number/next"}, func(e *node.Result) {
			var got sequence.State
			if e != nil && e.Failure == nil && json.Unmarshal(e.Body, &got) == nil {
				w.Checker.Observed["number-repeated"]++
				id := fmt.Sprint(name, "/", got.Last)
				if seen[id] || got.Last <= floorBefore {
					w.Violate("number-repeated", "%s gave %d, given before %v, newest confirmed before the call %d", name, got.Last, seen[id], floorBefore)
				}
				seen[id] = true
				floor[name] = max(floor[name], got.Last)
			}
			w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), next)
		})
	}
	for range clients {
		w.After(time.Duration(w.Rng.Int64N(int64(gap))), next)
	}
}

func (u *KeyUsers) round(client int, interval time.Duration) {
	w := u.world
	if w.Closed {
		return
	}
	name := fmt.Sprintf("k%d", w.Rng.IntN(u.keyCount))
	u.writeCount++
	in := keyInput{kind: []string{"read", "read", "write", "cas"}[w.Rng.IntN(4)], value: fmt.Sprintf("v%d", u.writeCount)}
	op := proposer.Operation{Key: ident.Key("key/" + name), Kind: "key/read", Args: operation.Encode(keyvalue.Args{})}
	acknowledged, began := u.acknowledged[name], w.now
	raw, _ := json.Marshal(in.value)
	switch in.kind {
	case "write":
		op.Kind, op.Args = "key/write", operation.Encode(keyvalue.Args{Value: raw})
	case "cas":
		in.base = acknowledged
		op.Kind, op.Args = "key/write", operation.Encode(keyvalue.Args{Value: raw, IfRevision: &in.base})
	}
	w.request(op, func(e *node.Result) {
		var got keyvalue.Response
		out := keyOutput{}
		end := int64(w.now)
		switch {
		case notExecuted(e) && e.Failure.Kind == failure.Conflict:
			out.conflict = true
		case notExecuted(e):
			// Certainly nothing happened and nothing was read.
			w.After(interval/2+time.Duration(w.Rng.Int64N(int64(interval))), func() { u.round(client, interval) })
			return
		case e == nil || e.Failure != nil:
			out.unknown = true
			end = 1 << 60
		default:
			if json.Unmarshal(e.Body, &got) != nil {
				w.Violate("damaged", "a reading of %s can't be decoded", name)
			}
			out.revision = got.Revision
			if in.kind == "read" {
				_ = json.Unmarshal(got.Value, &out.value)
			}
			w.Checker.Observed["stale-read"]++
			if got.Revision < acknowledged || in.kind != "read" && got.Revision <= acknowledged {
				w.Violate("stale-read", "%s of %s shows revision %d, %d was confirmed before", in.kind, name, got.Revision, acknowledged)
			}
			v := in.value
			if in.kind == "read" {
				v = out.value
			}
			id := fmt.Sprint(name, "/", got.Revision)
			if old, ok := u.valueAt[id]; ok && old != v {
				w.Violate("number-repeated", "revision %d of %s was %s and is %s", got.Revision, name, old, v)
			}
			u.valueAt[id] = v
			u.acknowledged[name] = max(u.acknowledged[name], got.Revision)
		}
		if !(in.kind == "read" && out.unknown) {
			u.histories[name] = append(u.histories[name], porcupine.Operation{ClientId: client, Input: in, Call: int64(began), Output: out, Return: end})
		}
		w.After(interval/2+time.Duration(w.Rng.Int64N(int64(interval))), func() { u.round(client, interval) })
	})
}

// StartWatcher follows all keys from core to core by its place.
func (w *World) StartWatcher(interval time.Duration) {
	positions := watch.Cursor{}
	last := w.now
	var next func()
	later := func() { w.After(interval, next) }
	next = func() {
		c := w.Cores[w.Rng.IntN(len(w.Cores))]
		if !c.running || c.frozen {
			later()
			return
		}
		ended := false
		generation := c.generation
		w.After(5*time.Second, func() {
			if !ended {
				ended = true
				later()
			}
		})
		c.lastTicket++
		c.onEnd[c.lastTicket] = func(e node.Result) {
			if ended {
				return
			}
			if e.Failure != nil {
				ended = true
				later()
				return
			}
			seen := map[ident.Key]ident.Revision{}
			for k, f := range e.Found {
				seen[k] = f.Record.Revision
			}
			due := positions.Behind(seen)
			w.readEvents(c, generation, positions, due, &last, func() {
				if !ended {
					ended = true
					later()
				}
			})
		}
		c.applyEffects(c.node.QuorumRead(c.watchedTime(), c.lastTicket, "key/", false, 3*time.Second))
	}
	later()
}

func (w *World) readEvents(c *Core, generation int, positions watch.Cursor, due []ident.Key, last *monotime.Time, done func()) {
	if len(due) == 0 {
		*last = w.now
		done()
		return
	}
	if !c.running || c.generation != generation {
		done()
		return
	}
	k := due[0]
	since := positions[k]
	c.Submit(proposer.Operation{Key: k, Kind: "key/read", Args: operation.Encode(keyvalue.Args{Since: &since})}, 3*time.Second, func(e node.Result) {
		if e.Failure != nil {
			done()
			return
		}
		var reading keyvalue.Response
		if json.Unmarshal(e.Body, &reading) != nil {
			w.Violate("damaged", "a reading of %s can't be decoded", k)
		}
		w.Checker.Observed["watch-forgotten"]++
		// A round that took too long may have been overtaken by the next one, which moved
		// the same place on: what is told must follow on the place as it is now.
		since := positions[k]
		events, forgotten := positions.Advance(k, reading)
		if forgotten != nil && w.now.Since(*last) < 20*time.Second {
			w.Violate("watch-forgotten", "%s after %v: %v", k, w.now.Since(*last), forgotten)
		}
		for i, event := range events {
			w.watchEvents++
			if want := since + ident.Revision(i) + 1; since != 0 && event.Revision != want {
				w.Violate("watch-forgotten", "%s: told revision %d, wanted %d", k, event.Revision, want)
			}
		}
		w.readEvents(c, generation, positions, due[1:], last, done)
	})
}
