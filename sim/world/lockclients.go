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

// contendedLock is the lock that half of all attempts try to acquire.
const contendedLock = "l0"

// grant is the lease of a lock, as its holder sees it.
type grant struct {
	holder       string
	fencingToken uint64
	expiresAt    monotime.Time
}

// lockChecker checks that no lock has two holders at the same time. All clients of a set of locks
// share one lockChecker.
type lockChecker struct {
	world        *World
	grants       map[string][]*grant // by lock
	highestToken map[string]uint64   // by lock
	tokenHolder  map[string]string   // by lock and token
}

func newLockChecker(w *World) *lockChecker {
	return &lockChecker{world: w, grants: map[string][]*grant{}, highestToken: map[string]uint64{}, tokenHolder: map[string]string{}}
}

// recordGrant checks and records a grant that was given or renewed.
func (c *lockChecker) recordGrant(name string, held *grant) {
	w := c.world
	w.Checker.Observe(invariant.LockShared)
	for _, other := range c.grants[name] {
		if other.holder != held.holder && other.expiresAt > w.now {
			w.Violate(invariant.LockShared, "lock %s is held by %s (fencing token %d) and by %s (fencing token %d)", name, other.holder, other.fencingToken, held.holder, held.fencingToken)
		}
	}
	if held.fencingToken < c.highestToken[name] {
		w.Violate(invariant.LockShared, "lock %s: fencing token %d was granted after %d", name, held.fencingToken, c.highestToken[name])
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

// checkToken checks that a fencing token is granted to one holder only.
func (c *lockChecker) checkToken(name string, held *grant) {
	id := fmt.Sprint(name, "/", held.fencingToken)
	if other, ok := c.tokenHolder[id]; ok && other != held.holder {
		c.world.Violate(invariant.LockShared, "lock %s: fencing token %d was granted to %s and to %s", name, held.fencingToken, other, held.holder)
	}
	c.tokenHolder[id] = held.holder
}

// abandon ends all grants of a lock's holder now, because the holder no longer relies on them.
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

// StartLockClients starts clients that share a number of locks; after each lock, a client waits
// for about one interval.
func (w *World) StartLockClients(clients, lockCount int, interval time.Duration) {
	checker := newLockChecker(w)
	for i := range clients {
		l := &lockClient{lockChecker: checker, name: fmt.Sprintf("app%d", i), lockCount: lockCount, interval: interval}
		w.After(w.randomUpTo(interval), l.acquire)
	}
}

// lockKey returns the key of a lock in the control state.
func lockKey(name string) ident.Key { return ident.Key("lock/" + name) }

// acquireLater schedules the next acquisition.
func (l *lockClient) acquireLater() { l.world.After(l.world.jittered(l.interval), l.acquire) }

// acquire tries to acquire a random lock.
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
			l.acquireLater()
			return
		}
		held := &grant{holder: l.name, fencingToken: given.FencingToken, expiresAt: sentAt.Add(ttl)}
		l.recordGrant(name, held)
		l.renewOrRelease(name, held, ttl, w.Rng.IntN(4))
	})
}

// renewOrRelease renews the lock the given number of times, and then releases it or lets it expire.
func (l *lockClient) renewOrRelease(name string, held *grant, ttl time.Duration, renewals int) {
	l.world.After(ttl/3, func() {
		switch {
		case l.world.now >= held.expiresAt:
			l.acquireLater()
		case renewals > 0:
			l.renew(name, held, ttl, renewals)
		default:
			l.releaseOrExpire(name, held)
		}
	})
}

// renew sends one renewal and extends the grant if the renewal succeeds.
func (l *lockClient) renew(name string, held *grant, ttl time.Duration, renewals int) {
	w, sentAt := l.world, l.world.now
	args := operation.Encode(lock.Args{Holder: l.name, FencingToken: held.fencingToken})
	w.request(proposer.Operation{Key: lockKey(name), Kind: lock.RenewKind, Args: args}, func(result *node.Result) {
		if result != nil && result.Failure == nil && w.now < held.expiresAt {
			held.expiresAt = max(held.expiresAt, sentAt.Add(ttl))
			l.recordGrant(name, held)
		}
		l.renewOrRelease(name, held, ttl, renewals-1)
	})
}

// releaseOrExpire releases the lock in two of three cases, and otherwise lets the grant expire.
func (l *lockClient) releaseOrExpire(name string, held *grant) {
	w := l.world
	if w.Rng.IntN(3) == 0 {
		w.After(held.expiresAt.Since(w.now), l.acquireLater)
		return
	}
	held.expiresAt = w.now // the client no longer relies on the grant
	args := operation.Encode(lock.Args{Holder: l.name, FencingToken: held.fencingToken})
	w.request(proposer.Operation{Key: lockKey(name), Kind: lock.ReleaseKind, Args: args}, func(*node.Result) { l.acquireLater() })
}
