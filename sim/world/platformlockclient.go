package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// platformLockClient is a client that uses locks as the clients of the users' platform do: a
// holder that acquires its lock again keeps the fencing token, a release names the grant that was
// read before, and a client without a response in time starts over.
type platformLockClient struct {
	*lockChecker
	name      string
	lockCount int
	interval  time.Duration
}

// heldLock is a lock that a platformLockClient acquires a number of times in a row.
type heldLock struct {
	name      string
	ttl       time.Duration
	remaining int
}

// StartPlatformLockClients starts clients that share a number of locks; after each lock, a client
// waits for about one interval.
func (w *World) StartPlatformLockClients(clients, lockCount int, interval time.Duration) {
	checker := newLockChecker(w)
	for i := range clients {
		l := &platformLockClient{lockChecker: checker, name: fmt.Sprintf("keeper%d", i), lockCount: lockCount, interval: interval}
		w.After(w.randomUpTo(interval), l.begin)
	}
}

// begin chooses a random lock and acquires it up to four times in a row.
func (l *platformLockClient) begin() {
	w := l.world
	if w.ClientsStopped {
		return
	}
	name := fmt.Sprintf("kept%d", w.Rng.IntN(l.lockCount))
	ttl := time.Duration(300+w.Rng.IntN(2500)) * time.Millisecond
	l.acquire(heldLock{name, ttl, 1 + w.Rng.IntN(4)})
}

// acquireAgain acquires the lock again, or ends the sequence of acquisitions.
func (l *platformLockClient) acquireAgain(h heldLock) {
	if h.remaining > 1 {
		h.remaining--
		l.acquire(h)
		return
	}
	l.beginLater()
}

// beginLater schedules the choice of the next lock.
func (l *platformLockClient) beginLater() { l.world.After(l.world.jittered(l.interval), l.begin) }

// acquire tries to acquire the lock and checks the grant.
func (l *platformLockClient) acquire(h heldLock) {
	w, sentAt := l.world, l.world.now
	args := operation.Encode(lock.Args{Holder: l.name, TTL: h.ttl.Milliseconds(), KeepToken: true})
	w.requestWithin(proposer.Operation{Key: lockKey(h.name), Kind: lock.AcquireKind, Args: args}, clientBudget, clientTimeout, func(result *node.Result) {
		var given lock.Grant
		if !succeeded(result, &given) || w.now >= sentAt.Add(h.ttl) {
			l.beginLater()
			return
		}
		held := &grant{holder: l.name, fencingToken: given.FencingToken, expiresAt: sentAt.Add(h.ttl)}
		l.recordGrant(h.name, held)
		l.checkToken(h.name, held)
		l.hold(h, given.FencingToken)
	})
}

// hold holds the lock for a part of its TTL. After that the client abandons the lock without a
// release, acquires the lock again, or releases the lock.
func (l *platformLockClient) hold(h heldLock, fencingToken uint64) {
	w := l.world
	switch w.Rng.IntN(4) {
	case 0:
		w.After(h.ttl/2, l.beginLater)
		return
	case 1:
		if h.remaining > 1 {
			w.After(h.ttl/4, func() { l.acquireAgain(h) })
			return
		}
	}
	w.After(h.ttl/3, func() { l.release(h, fencingToken) })
}

// release reads the lock and releases the grant that the read returned, both within one timeout.
func (l *platformLockClient) release(h heldLock, fencingToken uint64) {
	w := l.world
	l.abandon(h.name, l.name)
	deadline := w.now.Add(clientTimeout)
	w.requestWithin(proposer.Operation{Key: lockKey(h.name), Kind: lock.ReadKind}, clientBudget, clientTimeout, func(result *node.Result) {
		var seen lock.Grant
		if !succeeded(result, &seen) || w.now >= deadline {
			l.acquireAgain(h)
			return
		}
		left := deadline.Since(w.now)
		args := operation.Encode(lock.Args{Holder: l.name, FencingToken: fencingToken, GrantNumber: seen.Number})
		w.requestWithin(proposer.Operation{Key: lockKey(h.name), Kind: lock.ReleaseKind, Args: args}, max(1, left), left, func(*node.Result) { l.acquireAgain(h) })
	})
}
