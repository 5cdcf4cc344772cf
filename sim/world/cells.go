package world

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/group"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/sim/check"
)

// How long an application's operation is worked at, and after what silence it moves on.
const (
	appBudget  = 900 * time.Millisecond
	appSilence = time.Second
)

// Cells puts, reads and watches the cells of a few groups, as applications do that move
// on to another core after a second of silence and repeat what got no clear return.
type Cells struct {
	w      *World
	groups int
	names  int
	n      int
	Judge  *check.Cells
}

// CellUsers starts n applications that put and read, and a watcher a group.
func (w *World) CellUsers(n, groups, names int, gap time.Duration) *Cells {
	c := &Cells{w: w, groups: groups, names: names, Judge: w.Check.NewCells()}
	for range n {
		w.After(time.Duration(w.Rng.Int64N(int64(gap))), func() { c.round(gap) })
	}
	for g := range groups {
		c.follow(fmt.Sprintf("g%d.", g), 0, 0)
	}
	return c
}

func (c *Cells) later(gap time.Duration) {
	c.w.After(gap/2+time.Duration(c.w.Rng.Int64N(int64(gap))), func() { c.round(gap) })
}

func (c *Cells) round(gap time.Duration) {
	w := c.w
	if w.Closed {
		return
	}
	g, name := fmt.Sprintf("g%d.", w.Rng.IntN(c.groups)), fmt.Sprintf("c%d", w.Rng.IntN(c.names))
	c.n++
	floor := c.Judge.Floor[g+name]
	switch w.Rng.IntN(4) {
	case 0:
		w.asking(proposer.Operation{Key: group.Key(g), Kind: "group/read", Args: operation.Encode(group.Args{Name: name})}, appBudget, appSilence, func(e *node.End) {
			var p group.Put
			switch {
			case e != nil && e.Failure != nil && e.Failure.Kind == failure.Missing:
				c.Judge.Read(w.now, g, name, "", floor, 0)
			case e != nil && e.Failure == nil && json.Unmarshal(e.Body, &p) == nil:
				c.Judge.Read(w.now, g, name, string(p.Value), floor, p.Revision)
			}
			c.later(gap)
		})
	case 1:
		c.put(g, name, &floor, c.Judge.Top[g], 4, func() { c.later(gap) })
	default:
		c.put(g, name, nil, c.Judge.Top[g], 4, func() { c.later(gap) })
	}
}

// put puts a new value until its return is clear, tries times at most.
func (c *Cells) put(g, name string, base *ident.Revision, top ident.Revision, tries int, done func()) {
	w := c.w
	val := string(operation.Encode(fmt.Sprintf("v%d", c.n)))
	a := group.Args{Name: name, Value: json.RawMessage(val), If: base}
	var send func(left int)
	send = func(left int) {
		w.asking(proposer.Operation{Key: group.Key(g), Kind: "group/put", Args: operation.Encode(a)}, appBudget, appSilence, func(e *node.End) {
			var p group.Put
			switch {
			case e != nil && e.Failure == nil && json.Unmarshal(e.Body, &p) == nil:
				c.Judge.Put(w.now, g, name, val, base, top, p.Revision)
				done()
				return
			case sure(e) && e.Failure.Kind == failure.Conflict:
				c.Judge.Turned(g, name, val, true)
				done()
				return
			}
			c.Judge.Turned(g, name, val, sure(e) || w.Break == "cell-fate")
			if left > 1 && !sure(e) && w.Break != "cell-fate" {
				w.After(50*time.Millisecond, func() { send(left - 1) })
				return
			}
			done()
		})
	}
	send(tries)
}

// follow watches a group from the revision that was given at a moment; now and then it
// looks away for a while.
func (c *Cells) follow(g string, after ident.Revision, given monotime.Time) {
	w := c.w
	gap := time.Duration(100+w.Rng.IntN(400)) * time.Millisecond
	if w.Rng.IntN(12) == 0 {
		gap = time.Duration(2+w.Rng.IntN(14)) * time.Second
	}
	w.After(gap, func() {
		if w.Closed {
			return
		}
		floor := c.Judge.Top[g]
		a := group.Args{}
		if after > 0 {
			a.After = &after
		}
		sent := w.now
		w.asking(proposer.Operation{Key: group.Key(g), Kind: "group/since", Args: operation.Encode(a)}, appBudget, appSilence, func(e *node.End) {
			var n group.News
			switch {
			case e != nil && e.Failure != nil && e.Failure.Kind == failure.Forgotten:
				c.Judge.Forgotten(w.now, g, after, sent.Since(given), w.History)
				after = 0
			case e != nil && e.Failure == nil && json.Unmarshal(e.Body, &n) == nil:
				if after > 0 {
					var told []check.Event
					for _, p := range n.Events {
						told = append(told, check.Event{Name: p.Name, Value: string(p.Value), Revision: p.Revision})
					}
					c.Judge.Watch(w.now, g, after, n.Revision, floor, told)
				}
				after, given = n.Revision, w.now
			}
			c.follow(g, after, given)
		})
	})
}

// Keepers starts n applications that hold locks as the platform's do: a claim by the
// holder keeps its fence, a release names the grant it read, and whoever hears nothing for
// a second moves on and claims anew.
func (w *World) Keepers(n, locks int, gap time.Duration) {
	holds, tops, takers := map[string][]*hold{}, map[string]uint64{}, map[string]string{}
	for i := range n {
		k := &keeper{Locker: &Locker{w: w, who: fmt.Sprintf("keeper%d", i), locks: locks, holds: holds, tops: tops}, takers: takers}
		w.After(time.Duration(w.Rng.Int64N(int64(gap))), func() { k.round(gap) })
	}
}

type keeper struct {
	*Locker
	takers map[string]string // who was given each fence, shared by all keepers
}

func (k *keeper) round(gap time.Duration) {
	w := k.w
	if w.Closed {
		return
	}
	name := fmt.Sprintf("kept%d", w.Rng.IntN(k.locks))
	ttl := time.Duration(300+w.Rng.IntN(2500)) * time.Millisecond
	k.hold(name, ttl, 1+w.Rng.IntN(4), func() {
		w.After(gap/2+time.Duration(w.Rng.Int64N(int64(gap))), func() { k.round(gap) })
	})
}

// hold claims, some times over, and then lets go, or dies holding.
func (k *keeper) hold(name string, ttl time.Duration, times int, done func()) {
	w, key := k.w, ident.Key("lock/"+name)
	sent := w.now
	w.asking(proposer.Operation{Key: key, Kind: "lock/claim", Args: operation.Encode(lock.Args{Holder: k.who, TTL: ttl.Milliseconds(), Keep: true})}, appBudget, appSilence, func(e *node.End) {
		var g lock.Grant
		if e == nil || e.Failure != nil || json.Unmarshal(e.Body, &g) != nil || w.now >= sent.Add(ttl) {
			done()
			return
		}
		h := &hold{who: k.who, fence: g.Fence, until: sent.Add(ttl)}
		k.granted(name, h)
		id := fmt.Sprint(name, "/", g.Fence)
		if who, ok := k.takers[id]; ok && who != k.who {
			w.Breach("lock-shared", "%s: fence %d was given to %s and %s", name, g.Fence, who, k.who)
		}
		k.takers[id] = k.who
		switch w.Rng.IntN(4) {
		case 0: // dies holding
			w.After(ttl/2, done)
			return
		case 1: // again, while it holds
			if times > 1 {
				w.After(ttl/4, func() { k.hold(name, ttl, times-1, done) })
				return
			}
		}
		w.After(ttl/3, func() {
			for _, o := range k.holds[name] {
				if o.who == k.who {
					o.until = min(o.until, w.now) // it counts on none of its grants any more
				}
			}
			again := func() {
				if times > 1 {
					k.hold(name, ttl, times-1, done)
					return
				}
				done()
			}
			over := w.now.Add(appSilence)
			w.asking(proposer.Operation{Key: key, Kind: "lock/read"}, appBudget, appSilence, func(e *node.End) {
				var seen lock.Grant
				if e == nil || e.Failure != nil || json.Unmarshal(e.Body, &seen) != nil || w.now >= over {
					again()
					return
				}
				args := lock.Args{Holder: k.who, Fence: g.Fence, Grant: seen.Grant}
				w.asking(proposer.Operation{Key: key, Kind: "lock/release", Args: operation.Encode(args)}, max(1, over.Since(w.now)), over.Since(w.now), func(*node.End) { again() })
			})
		})
	})
}
