package world

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

// How long an application's operation is worked at, and after what silence it moves on.
const (
	clientBudget  = 900 * time.Millisecond
	clientTimeout = time.Second
)

// KeyspaceUsers puts, reads and watches the cells of a few groups, as applications do that move
// on to another core after a second of silence and repeat what got no clear return.
type KeyspaceUsers struct {
	world         *World
	keyspaceCount int
	entryCount    int
	valueCount    int
	Checker       *invariant.KeyspaceChecker
}

// StartKeyspaceUsers starts n applications that put and read, and a watcher a group.
func (w *World) StartKeyspaceUsers(clients, keyspaceCount, entryCount int, interval time.Duration) *KeyspaceUsers {
	c := &KeyspaceUsers{world: w, keyspaceCount: keyspaceCount, entryCount: entryCount, Checker: w.Checker.NewKeyspaceChecker()}
	for range clients {
		w.After(time.Duration(w.Rng.Int64N(int64(interval))), func() { c.round(interval) })
	}
	for g := range keyspaceCount {
		c.watch(fmt.Sprintf("g%d.", g), 0, 0)
	}
	return c
}

func (c *KeyspaceUsers) scheduleRound(interval time.Duration) {
	c.world.After(interval/2+time.Duration(c.world.Rng.Int64N(int64(interval))), func() { c.round(interval) })
}

func (c *KeyspaceUsers) round(interval time.Duration) {
	w := c.world
	if w.Closed {
		return
	}
	g, name := fmt.Sprintf("g%d.", w.Rng.IntN(c.keyspaceCount)), fmt.Sprintf("c%d", w.Rng.IntN(c.entryCount))
	c.valueCount++
	floor := c.Checker.EntryFloor[g+name]
	switch w.Rng.IntN(4) {
	case 0:
		w.requestWithin(proposer.Operation{Key: keyspace.ControlKey(g), Kind: "group/read", Args: operation.Encode(keyspace.Args{Name: name})}, clientBudget, clientTimeout, func(e *node.Result) {
			var p keyspace.Put
			switch {
			case e != nil && e.Failure != nil && e.Failure.Kind == failure.NotFound:
				c.Checker.Read(w.now, g, name, "", floor, 0)
			case e != nil && e.Failure == nil && json.Unmarshal(e.Body, &p) == nil:
				c.Checker.Read(w.now, g, name, string(p.Value), floor, p.Revision)
			}
			c.scheduleRound(interval)
		})
	case 1:
		c.put(g, name, &floor, c.Checker.KeyspaceFloor[g], 4, func() { c.scheduleRound(interval) })
	default:
		c.put(g, name, nil, c.Checker.KeyspaceFloor[g], 4, func() { c.scheduleRound(interval) })
	}
}

// put puts a new value until its return is clear, tries times at most.
func (c *KeyspaceUsers) put(space, name string, base *ident.Revision, newestBefore ident.Revision, tries int, done func()) {
	w := c.world
	value := string(operation.Encode(fmt.Sprintf("v%d", c.valueCount)))
	args := keyspace.Args{Name: name, Value: json.RawMessage(value), IfRevision: base}
	var send func(remaining int)
	send = func(remaining int) {
		w.requestWithin(proposer.Operation{Key: keyspace.ControlKey(space), Kind: "group/put", Args: operation.Encode(args)}, clientBudget, clientTimeout, func(e *node.Result) {
			var p keyspace.Put
			switch {
			case e != nil && e.Failure == nil && json.Unmarshal(e.Body, &p) == nil:
				c.Checker.PutAcknowledged(w.now, space, name, value, base, newestBefore, p.Revision)
				done()
				return
			case notExecuted(e) && e.Failure.Kind == failure.Conflict:
				c.Checker.PutEnded(space, name, value, true)
				done()
				return
			}
			c.Checker.PutEnded(space, name, value, notExecuted(e) || w.Mutant == "cell-fate")
			if remaining > 1 && !notExecuted(e) && w.Mutant != "cell-fate" {
				w.After(50*time.Millisecond, func() { send(remaining - 1) })
				return
			}
			done()
		})
	}
	send(tries)
}

// watch watches a group from the revision that was given at a moment; now and then it
// looks away for a while.
func (c *KeyspaceUsers) watch(space string, after ident.Revision, givenAt monotime.Time) {
	w := c.world
	pause := time.Duration(100+w.Rng.IntN(400)) * time.Millisecond
	if w.Rng.IntN(12) == 0 {
		pause = time.Duration(2+w.Rng.IntN(14)) * time.Second
	}
	w.After(pause, func() {
		if w.Closed {
			return
		}
		floor := c.Checker.KeyspaceFloor[space]
		args := keyspace.Args{}
		if after > 0 {
			args.After = &after
		}
		sent := w.now
		w.requestWithin(proposer.Operation{Key: keyspace.ControlKey(space), Kind: "group/since", Args: operation.Encode(args)}, clientBudget, clientTimeout, func(e *node.Result) {
			var batch keyspace.Changes
			switch {
			case e != nil && e.Failure != nil && e.Failure.Kind == failure.Compacted:
				c.Checker.WatchCompacted(w.now, space, after, sent.Since(givenAt), w.HistoryRetention)
				after = 0
			case e != nil && e.Failure == nil && json.Unmarshal(e.Body, &batch) == nil:
				if after > 0 {
					var events []invariant.Event
					for _, p := range batch.Events {
						events = append(events, invariant.Event{Name: p.Name, Value: string(p.Value), Revision: p.Revision})
					}
					c.Checker.Watch(w.now, space, after, batch.Revision, floor, events)
				}
				after, givenAt = batch.Revision, w.now
			}
			c.watch(space, after, givenAt)
		})
	})
}

// StartPlatformLockers starts n applications that hold locks as the platform's do: a claim by the
// holder keeps its fence, a release names the grant it read, and whoever hears nothing for
// a second moves on and claims anew.
func (w *World) StartPlatformLockers(clients, lockCount int, interval time.Duration) {
	grants, highestFence, fenceHolder := map[string][]*grant{}, map[string]uint64{}, map[string]string{}
	for i := range clients {
		locker := &platformLocker{Locker: &Locker{world: w, name: fmt.Sprintf("keeper%d", i), lockCount: lockCount, grants: grants, highestFence: highestFence}, fenceHolder: fenceHolder}
		w.After(time.Duration(w.Rng.Int64N(int64(interval))), func() { locker.round(interval) })
	}
}

type platformLocker struct {
	*Locker
	fenceHolder map[string]string // who was given each fence, shared by all keepers
}

func (l *platformLocker) round(interval time.Duration) {
	w := l.world
	if w.Closed {
		return
	}
	name := fmt.Sprintf("kept%d", w.Rng.IntN(l.lockCount))
	ttl := time.Duration(300+w.Rng.IntN(2500)) * time.Millisecond
	l.acquire(name, ttl, 1+w.Rng.IntN(4), func() {
		w.After(interval/2+time.Duration(w.Rng.Int64N(int64(interval))), func() { l.round(interval) })
	})
}

// acquire claims, some times over, and then lets go, or dies holding.
func (l *platformLocker) acquire(name string, ttl time.Duration, remaining int, done func()) {
	w, key := l.world, ident.Key("lock/"+name)
	sent := w.now
	w.requestWithin(proposer.Operation{Key: key, Kind: "lock/claim", Args: operation.Encode(lock.Args{Holder: l.name, TTL: ttl.Milliseconds(), KeepToken: true})}, clientBudget, clientTimeout, func(e *node.Result) {
		var given lock.Grant
		if e == nil || e.Failure != nil || json.Unmarshal(e.Body, &given) != nil || w.now >= sent.Add(ttl) {
			done()
			return
		}
		held := &grant{holder: l.name, fence: given.FencingToken, expiresAt: sent.Add(ttl)}
		l.recordGrant(name, held)
		id := fmt.Sprint(name, "/", given.FencingToken)
		if holder, ok := l.fenceHolder[id]; ok && holder != l.name {
			w.Violate("lock-shared", "%s: fence %d was given to %s and %s", name, given.FencingToken, holder, l.name)
		}
		l.fenceHolder[id] = l.name
		switch w.Rng.IntN(4) {
		case 0: // dies holding
			w.After(ttl/2, done)
			return
		case 1: // again, while it holds
			if remaining > 1 {
				w.After(ttl/4, func() { l.acquire(name, ttl, remaining-1, done) })
				return
			}
		}
		w.After(ttl/3, func() {
			for _, other := range l.grants[name] {
				if other.holder == l.name {
					other.expiresAt = min(other.expiresAt, w.now) // it counts on none of its grants any more
				}
			}
			repeat := func() {
				if remaining > 1 {
					l.acquire(name, ttl, remaining-1, done)
					return
				}
				done()
			}
			deadline := w.now.Add(clientTimeout)
			w.requestWithin(proposer.Operation{Key: key, Kind: "lock/read"}, clientBudget, clientTimeout, func(e *node.Result) {
				var seen lock.Grant
				if e == nil || e.Failure != nil || json.Unmarshal(e.Body, &seen) != nil || w.now >= deadline {
					repeat()
					return
				}
				args := lock.Args{Holder: l.name, FencingToken: given.FencingToken, GrantNumber: seen.Number}
				w.requestWithin(proposer.Operation{Key: key, Kind: "lock/release", Args: operation.Encode(args)}, max(1, deadline.Since(w.now)), deadline.Since(w.now), func(*node.Result) { repeat() })
			})
		})
	})
}
