package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/watch"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/sim/invariant"
)

const (
	// watchBudget is the time that a core has for one step of a round, and watchTimeout is the time
	// after which a round is abandoned.
	watchBudget  = 3 * time.Second
	watchTimeout = 5 * time.Second
	// watchRetention is the longest pause of a watch after which no change may be lost.
	watchRetention = 20 * time.Second
)

// watcher is a client that watches the changes of all keys with a cursor, in rounds at random cores.
type watcher struct {
	world        *World
	interval     time.Duration
	cursor       watch.Cursor
	lastComplete monotime.Time // when the last complete round ended
}

// watchRound is one round of a watcher at one core.
type watchRound struct {
	*watcher
	core       *Core
	generation int
	ended      bool
}

// StartWatcher starts a client that watches all keys and begins a round at an interval.
func (w *World) StartWatcher(interval time.Duration) {
	client := &watcher{world: w, interval: interval, cursor: watch.Cursor{}, lastComplete: w.now}
	client.beginLater()
}

// beginLater schedules the next round.
func (w *watcher) beginLater() { w.world.After(w.interval, w.begin) }

// begin begins a round: it reads the revisions of all keys at a random core.
func (w *watcher) begin() {
	core := w.world.Cores[w.world.Rng.IntN(len(w.world.Cores))]
	if !core.running || core.frozen {
		w.beginLater()
		return
	}
	r := &watchRound{watcher: w, core: core, generation: core.generation}
	w.world.After(watchTimeout, r.end)
	core.quorumRead("key/", false, watchBudget, func(result node.Result) {
		switch {
		case r.ended:
		case result.Failure != nil:
			r.end()
		default:
			revisions := map[ident.Key]ident.Revision{}
			for key, found := range result.Found {
				revisions[key] = found.Record.Revision
			}
			r.read(w.cursor.StaleKeys(revisions))
		}
	})
}

// end ends the round and schedules the next round. Only the first call has an effect.
func (r *watchRound) end() {
	if !r.ended {
		r.ended = true
		r.beginLater()
	}
}

// read reads the changes of the given keys, one key after the other.
func (r *watchRound) read(keys []ident.Key) {
	if len(keys) == 0 {
		r.lastComplete = r.world.now
		r.end()
		return
	}
	if !r.core.running || r.core.generation != r.generation {
		r.end()
		return
	}
	key := keys[0]
	since := r.cursor[key]
	op := proposer.Operation{Key: key, Kind: keyvalue.ReadKind, Args: operation.Encode(keyvalue.Args{Since: &since})}
	r.core.Submit(op, watchBudget, func(result node.Result) {
		if result.Failure != nil {
			r.end()
			return
		}
		r.check(key, result)
		r.read(keys[1:])
	})
}

// check advances the cursor and checks that no change of a key is lost. A round that exceeded
// watchTimeout may run at the same time as the next round, which may already have advanced the
// cursor. The changes must therefore continue from the current position of the cursor.
func (r *watchRound) check(key ident.Key, result node.Result) {
	w := r.world
	var response keyvalue.Response
	if json.Unmarshal(result.Body, &response) != nil {
		w.Violate(invariant.ResponseDamaged, "the response to a read of key %s can't be decoded", key)
	}
	w.Checker.Observe(invariant.WatchIncomplete)
	since := r.cursor[key]
	events, forgotten := r.cursor.Advance(key, response)
	if paused := w.now.Since(r.lastComplete); forgotten != nil && paused < watchRetention {
		w.Violate(invariant.WatchIncomplete, "the watch lost changes of key %s after a pause of %v: %v", key, paused, forgotten)
	}
	for i, event := range events {
		w.counters.watchEvents++
		if want := since + ident.Revision(i) + 1; since != 0 && event.Revision != want {
			w.Violate(invariant.WatchIncomplete, "the watch of key %s returned revision %d instead of revision %d", key, event.Revision, want)
		}
	}
}
