package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

type grant struct {
	holder    string
	fence     uint64
	expiresAt monotime.Time
}

// Locker claims, renews and releases locks and checks that nobody else holds one.
type Locker struct {
	world        *World
	name         string
	lockCount    int
	grants       map[string][]*grant // shared by all lockers
	highestFence map[string]uint64
}

// StartLockers starts n applications over a number of locks.
func (w *World) StartLockers(clients, lockCount int, interval time.Duration) {
	grants, highestFence := map[string][]*grant{}, map[string]uint64{}
	for i := range clients {
		l := &Locker{world: w, name: fmt.Sprintf("app%d", i), lockCount: lockCount, grants: grants, highestFence: highestFence}
		w.After(time.Duration(w.Rng.Int64N(int64(interval))), func() { l.round(interval) })
	}
}

func (l *Locker) recordGrant(name string, held *grant) {
	w := l.world
	w.Checker.Observed["lock-shared"]++
	for _, other := range l.grants[name] {
		if other.holder != held.holder && other.expiresAt > w.now {
			w.Violate("lock-shared", "%s is held by %s (fence %d) and %s (fence %d)", name, other.holder, other.fence, held.holder, held.fence)
		}
	}
	if held.fence < l.highestFence[name] {
		w.Violate("lock-shared", "%s: fence %d after %d", name, held.fence, l.highestFence[name])
	}
	l.highestFence[name] = max(l.highestFence[name], held.fence)
	var live []*grant
	for _, other := range l.grants[name] {
		if other.expiresAt > w.now && other != held {
			live = append(live, other)
		}
	}
	l.grants[name] = append(live, held)
}

// renewOrRelease renews a few times and then lets go, or is forgetful and lets it run out.
func (l *Locker) renewOrRelease(name string, held *grant, ttl time.Duration, renewals int, then func()) {
	w := l.world
	w.After(ttl/3, func() {
		if w.now >= held.expiresAt {
			then()
			return
		}
		args := operation.Encode(lock.Args{Holder: l.name, FencingToken: held.fence})
		k := ident.Key("lock/" + name)
		if renewals == 0 {
			if w.Rng.IntN(3) > 0 {
				held.expiresAt = w.now // from here on it does not count on it
				w.request(proposer.Operation{Key: k, Kind: "lock/release", Args: args}, func(*node.Result) { then() })
				return
			}
			w.After(held.expiresAt.Since(w.now), then)
			return
		}
		sent := w.now
		w.request(proposer.Operation{Key: k, Kind: "lock/renew", Args: args}, func(e *node.Result) {
			if e != nil && e.Failure == nil && w.now < held.expiresAt {
				held.expiresAt = max(held.expiresAt, sent.Add(ttl))
				l.recordGrant(name, held)
			}
			l.renewOrRelease(name, held, ttl, renewals-1, then)
		})
	})
}
