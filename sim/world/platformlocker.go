package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// platformLockClient is a client that holds locks as the platform's do: the holder that acquires
// again keeps its fencing token, a release names the grant that was read before, and whoever
// gets no response in time goes on and acquires anew.
type platformLockClient struct {
	*lockChecker
	name      string
	lockCount int
	interval  time.Duration
}

// heldLock is one lock of a platformLockClient, which it acquires a number of times in a row.
type heldLock struct {
	name      string
	ttl       time.Duration
	remaining int
}

// StartPlatformLockClients starts clients over a number of locks, which begin anew about once an
// interval.
func (w *World) StartPlatformLockClients(clients, lockCount int, interval time.Duration) {
	checker := newLockChecker(w)
	for i := range clients {
		l := &platformLockClient{lockChecker: checker, name: fmt.Sprintf("keeper%d", i), lockCount: lockCount, interval: interval}
		w.After(w.randomUpTo(interval), l.begin)
	}
}

// begin draws a lock and acquires it some times.
func (l *platformLockClient) begin() {
	w := l.world
	if w.ClientsStopped {
		return
	}
	name := fmt.Sprintf("kept%d", w.Rng.IntN(l.lockCount))
	ttl := time.Duration(300+w.Rng.IntN(2500)) * time.Millisecond
	l.acquire(heldLock{name, ttl, 1 + w.Rng.IntN(4)})
}

// again acquires the lock once more, or ends with it.
func (l *platformLockClient) again(h heldLock) {
	if h.remaining > 1 {
		h.remaining--
		l.acquire(h)
		return
	}
	l.pause()
}

func (l *platformLockClient) pause() { l.world.After(l.world.jittered(l.interval), l.begin) }

func (l *platformLockClient) acquire(h heldLock) {
	w, sentAt := l.world, l.world.now
	args := operation.Encode(lock.Args{Holder: l.name, TTL: h.ttl.Milliseconds(), KeepToken: true})
	w.requestWithin(proposer.Operation{Key: lockKey(h.name), Kind: lock.AcquireKind, Args: args}, clientBudget, clientTimeout, func(result *node.Result) {
		var given lock.Grant
		if !succeeded(result, &given) || w.now >= sentAt.Add(h.ttl) {
			l.pause()
			return
		}
		held := &grant{holder: l.name, fencingToken: given.FencingToken, expiresAt: sentAt.Add(h.ttl)}
		l.granted(h.name, held)
		l.checkToken(h.name, held)
		l.use(h, given.FencingToken)
	})
}

// use holds the lock for a while. Then the client dies, acquires the lock again, or releases
// it first.
func (l *platformLockClient) use(h heldLock, fencingToken uint64) {
	w := l.world
	switch w.Rng.IntN(4) {
	case 0:
		w.After(h.ttl/2, l.pause)
		return
	case 1:
		if h.remaining > 1 {
			w.After(h.ttl/4, func() { l.again(h) })
			return
		}
	}
	w.After(h.ttl/3, func() { l.release(h, fencingToken) })
}

// release reads the lock and releases the grant that it read, both within one timeout.
func (l *platformLockClient) release(h heldLock, fencingToken uint64) {
	w := l.world
	l.abandon(h.name, l.name)
	deadline := w.now.Add(clientTimeout)
	w.requestWithin(proposer.Operation{Key: lockKey(h.name), Kind: lock.ReadKind}, clientBudget, clientTimeout, func(result *node.Result) {
		var seen lock.Grant
		if !succeeded(result, &seen) || w.now >= deadline {
			l.again(h)
			return
		}
		left := deadline.Since(w.now)
		args := operation.Encode(lock.Args{Holder: l.name, FencingToken: fencingToken, GrantNumber: seen.Number})
		w.requestWithin(proposer.Operation{Key: lockKey(h.name), Kind: lock.ReleaseKind, Args: args}, max(1, left), left, func(*node.Result) { l.again(h) })
	})
}
