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
	"cottonarch.example/cottonarch/sim/invariant"
)

// contendedLock is a lock that half of all attempts are for.
const contendedLock = "l0"

// grant is a lease of a lock as its holder counts on it.
type grant struct {
	holder       string
	fencingToken uint64
	expiresAt    monotime.Time
}

// lockChecker checks that no lock has two holders. All clients of a set of locks share it.
type lockChecker struct {
	world        *World
	grants       map[string][]*grant // by lock
	highestToken map[string]uint64   // by lock
	tokenHolder  map[string]string   // by lock and token
}

func newLockChecker(w *World) *lockChecker {
	return &lockChecker{world: w, grants: map[string][]*grant{}, highestToken: map[string]uint64{}, tokenHolder: map[string]string{}}
}

// granted takes a grant that was given or renewed.
func (c *lockChecker) granted(name string, held *grant) {
	w := c.world
	w.Checker.Observe(invariant.LockShared)
	for _, other := range c.grants[name] {
		if other.holder != held.holder && other.expiresAt > w.now {
			w.Violate(invariant.LockShared, "%s is held by %s (fence %d) and %s (fence %d)", name, other.holder, other.fencingToken, held.holder, held.fencingToken)
		}
	}
	if held.fencingToken < c.highestToken[name] {
		w.Violate(invariant.LockShared, "%s: fence %d after %d", name, held.fencingToken, c.highestToken[name])
	}
	c.highestToken[name] = max(c.highestToken[name], held.fencingToken)
	var live []*grant
	for _, other := range c.grants[name] {
		if other.expiresAt > w.now && other != held {
			live = append(live, other)
		}
	}
	c.grants[name] = append(live, held)
}

// checkToken checks that a fencing token is given to one holder only.
func (c *lockChecker) checkToken(name string, held *grant) {
	id := fmt.Sprint(name, "/", held.fencingToken)
	if other, ok := c.tokenHolder[id]; ok && other != held.holder {
		c.world.Violate(invariant.LockShared, "%s: fence %d was given to %s and %s", name, held.fencingToken, other, held.holder)
	}
	c.tokenHolder[id] = held.holder
}

// abandon ends all grants of a holder now: it counts on none of them any longer.
func (c *lockChecker) abandon(name, holder string) {
	for _, g := range c.grants[name] {
		if g.holder == holder {
			g.expiresAt = min(g.expiresAt, c.world.now)
		}
	}
}

// lockClient is a client that acquires, renews and releases locks.
type lockClient struct {
	*lockChecker
	name      string
	lockCount int
	interval  time.Duration
}

// StartLockClients starts clients over a number of locks, which begin anew about once an interval.
func (w *World) StartLockClients(clients, lockCount int, interval time.Duration) {
	checker := newLockChecker(w)
	for i := range clients {
		l := &lockClient{lockChecker: checker, name: fmt.Sprintf("app%d", i), lockCount: lockCount, interval: interval}
		w.After(w.randomUpTo(interval), l.acquire)
	}
}

func lockKey(name string) ident.Key { return ident.Key("lock/" + name) }

// pause has the client begin anew later.
func (l *lockClient) pause() { l.world.After(l.world.jittered(l.interval), l.acquire) }

// acquire asks for some lock.
func (l *lockClient) acquire() {
	w := l.world
	if w.ClientsStopped {
		return
	}
	name := fmt.Sprintf("l%d", w.Rng.IntN(l.lockCount))
	if w.Rng.IntN(2) == 0 {
		name = contendedLock
	}
	ttl := time.Duration(500+w.Rng.IntN(2000)) * time.Millisecond
	sentAt := w.now
	args := operation.Encode(lock.Args{Holder: l.name, TTL: ttl.Milliseconds()})
	w.request(proposer.Operation{Key: lockKey(name), Kind: lock.AcquireKind, Args: args}, func(result *node.Result) {
		var given lock.Grant
		if !succeeded(result, &given) || w.now >= sentAt.Add(ttl) {
			l.pause()
			return
		}
		held := &grant{holder: l.name, fencingToken: given.FencingToken, expiresAt: sentAt.Add(ttl)}
		l.granted(name, held)
		l.renewOrRelease(name, held, ttl, w.Rng.IntN(4))
	})
}

// renewOrRelease renews a few times and then releases the lock, or lets it expire.
func (l *lockClient) renewOrRelease(name string, held *grant, ttl time.Duration, renewals int) {
	l.world.After(ttl/3, func() {
		switch {
		case l.world.now >= held.expiresAt:
			l.pause()
		case renewals > 0:
			l.renew(name, held, ttl, renewals)
		default:
			l.releaseOrForget(name, held)
		}
	})
}

func (l *lockClient) renew(name string, held *grant, ttl time.Duration, renewals int) {
	w, sentAt := l.world, l.world.now
	args := operation.Encode(lock.Args{Holder: l.name, FencingToken: held.fencingToken})
	w.request(proposer.Operation{Key: lockKey(name), Kind: lock.RenewKind, Args: args}, func(result *node.Result) {
		if result != nil && result.Failure == nil && w.now < held.expiresAt {
			held.expiresAt = max(held.expiresAt, sentAt.Add(ttl))
			l.granted(name, held)
		}
		l.renewOrRelease(name, held, ttl, renewals-1)
	})
}

func (l *lockClient) releaseOrForget(name string, held *grant) {
	w := l.world
	if w.Rng.IntN(3) == 0 {
		w.After(held.expiresAt.Since(w.now), l.pause)
		return
	}
	held.expiresAt = w.now // from here on the client does not count on it
	args := operation.Encode(lock.Args{Holder: l.name, FencingToken: held.fencingToken})
	w.request(proposer.Operation{Key: lockKey(name), Kind: lock.ReleaseKind, Args: args}, func(*node.Result) { l.pause() })
}
