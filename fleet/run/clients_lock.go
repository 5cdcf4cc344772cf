package run

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	lockTTL  = 1500 * time.Millisecond
	maxLocks = 12 // maximum number of locks that the clients request
	// One lease in unreleasedOneIn, on average, is not released and expires.
	unreleasedOneIn = 4
	sequenceCount   = 4
)

type lockRequest struct {
	Holder string `json:"holder"`
	TTLMs  int64  `json:"ttlMs,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
}

// acquireLock requests a random lock, holds a granted lock for a while, and checks that no two
// holders have a valid lease of the lock at the same time and that fencing tokens never decrease.
func (c *coordinationClients) acquireLock(ctx context.Context, holder string) {
	name := fmt.Sprintf("l%d", c.randomInt(min(c.fleet.Deployment.Locks, maxLocks)))
	var granted struct {
		Fence uint64 `json:"fence"`
	}
	sentAt := time.Now()
	code, err := c.request(http.MethodPost, "/locks/"+name+"/claim", lockRequest{Holder: holder, TTLMs: lockTTL.Milliseconds()}, &granted)
	if err != nil || code != http.StatusOK {
		return
	}
	lease := &lockLease{holder, granted.Fence, sentAt.Add(lockTTL)}
	c.checkLease(name, lease)
	c.fleet.sleep(ctx, time.Duration(50+c.randomInt(300))*time.Millisecond)
	if c.randomInt(unreleasedOneIn) == 0 {
		return
	}
	c.mu.Lock()
	lease.expiresAt = time.Now()
	c.mu.Unlock()
	_, _ = c.request(http.MethodPost, "/locks/"+name+"/release", lockRequest{Holder: holder, Fence: lease.fencingToken}, nil)
}

// checkLease checks a new lease against the previous lease of the same lock.
func (c *coordinationClients) checkLease(name string, lease *lockLease) {
	now := time.Now()
	c.fleet.recordObservation(ruleLockShared)
	c.mu.Lock()
	previous := c.locks[name]
	c.locks[name] = lease
	c.mu.Unlock()
	if previous == nil {
		return
	}
	if previous.holder != lease.holder && previous.expiresAt.After(now) && lease.expiresAt.After(now) {
		c.fleet.recordViolation(ruleLockShared, "lock %s is held by %s (fencing token %d) and %s (fencing token %d)",
			name, previous.holder, previous.fencingToken, lease.holder, lease.fencingToken)
	}
	if lease.fencingToken < previous.fencingToken {
		c.fleet.recordViolation(ruleLockShared, "lock %s: fencing token %d was granted after fencing token %d", name, lease.fencingToken, previous.fencingToken)
	}
}

// nextNumber requests the next number of a random sequence. The number must be new and higher than
// all numbers returned before the request was sent.
func (c *coordinationClients) nextNumber() {
	name := fmt.Sprintf("n%d", c.randomInt(sequenceCount))
	c.mu.Lock()
	confirmed := c.newestNumber[name]
	c.mu.Unlock()
	var response struct {
		Number uint64 `json:"number"`
	}
	code, err := c.request(http.MethodPost, "/numbers/"+name+"/next", nil, &response)
	if err != nil || code != http.StatusOK {
		return
	}
	c.fleet.recordObservation(ruleSequenceRepeated)
	repeated := c.recordNumber(name, response.Number)
	if repeated || response.Number <= confirmed {
		c.fleet.recordViolation(ruleSequenceRepeated, "sequence %s returned %d (returned before: %v), %d was confirmed before", name, response.Number, repeated, confirmed)
	}
}

// recordNumber records a number and reports whether the sequence had returned the same number
// before.
func (c *coordinationClients) recordNumber(name string, number uint64) (repeated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.numbers[name] == nil {
		c.numbers[name] = map[uint64]bool{}
	}
	repeated = c.numbers[name][number]
	c.numbers[name][number] = true
	c.newestNumber[name] = max(c.newestNumber[name], number)
	return repeated
}
