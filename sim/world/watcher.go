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
	// watchBudget is how long a core works at one step of a round, and watchTimeout how long
	// a round takes before the next one begins.
	watchBudget  = 3 * time.Second
	watchTimeout = 5 * time.Second
	// watchRetention is for how long a watch that pauses must not lose changes.
	watchRetention = 20 * time.Second
)

// watcher is a client that follows the changes of all keys, from core to core, by its cursor.
type watcher struct {
	world        *World
	interval     time.Duration
	cursor       watch.Cursor
	lastComplete monotime.Time // when a round was last complete
}

// watchRound is one round of a watcher at one core.
type watchRound struct {
	*watcher
	core       *Core
	generation int
	ended      bool
}

// StartWatcher starts a client that follows all keys and looks for changes at an interval.
func (w *World) StartWatcher(interval time.Duration) {
	client := &watcher{world: w, interval: interval, cursor: watch.Cursor{}, lastComplete: w.now}
	client.pause()
}

func (w *watcher) pause() { w.world.After(w.interval, w.begin) }

// begin asks some core for the revisions of all keys.
func (w *watcher) begin() {
	core := w.world.Cores[w.world.Rng.IntN(len(w.world.Cores))]
	if !core.running || core.frozen {
		w.pause()
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

// end ends the round, once, and has the next one begin later.
func (r *watchRound) end() {
	if !r.ended {
		r.ended = true
		r.pause()
	}
}

// read reads the changes of keys one after the other.
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

// check moves the cursor on and checks that no change of a key is lost. A round that took too
// long may have been overtaken by the next one, which moved the cursor: the changes must
// follow on the cursor as it is now.
func (r *watchRound) check(key ident.Key, result node.Result) {
	w := r.world
	var response keyvalue.Response
	if json.Unmarshal(result.Body, &response) != nil {
		w.Violate(invariant.ResponseDamaged, "a reading of %s can't be decoded", key)
	}
	w.Checker.Observe(invariant.WatchIncomplete)
	since := r.cursor[key]
	events, forgotten := r.cursor.Advance(key, response)
	if paused := w.now.Since(r.lastComplete); forgotten != nil && paused < watchRetention {
		w.Violate(invariant.WatchIncomplete, "%s after %v: %v", key, paused, forgotten)
	}
	for i, event := range events {
		w.counters.watchEvents++
		if want := since + ident.Revision(i) + 1; since != 0 && event.Revision != want {
			w.Violate(invariant.WatchIncomplete, "%s: got revision %d, wanted %d", key, event.Revision, want)
		}
	}
}
