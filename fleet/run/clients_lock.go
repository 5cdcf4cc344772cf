package run

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	lockTTL  = 1500 * time.Millisecond
	maxLocks = 12 // that the clients contend for
	// Every fourth lease on average is not released and runs out by itself.
	unreleasedOneIn = 4
	sequenceCount   = 4
)

type lockRequest struct {
	Holder string `json:"holder"`
	TTLMs  int64  `json:"ttlMs,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
}

// useLock asks for a lock and, when it is given, holds it for a while. No two leases of a
// lock may be valid at the same time, and fences must not fall.
func (c *coordinationClients) useLock(ctx context.Context, holder string) {
	name := fmt.Sprintf("l%d", c.randomInt(min(c.fleet.Deployment.Locks, maxLocks)))
	var granted struct {
		Fence uint64 `json:"fence"`
	}
	askedAt := time.Now()
	code, err := c.request(http.MethodPost, "/locks/"+name+"/claim", lockRequest{Holder: holder, TTLMs: lockTTL.Milliseconds()}, &granted)
	if err != nil || code != http.StatusOK {
		return
	}
	lease := &lockLease{holder, granted.Fence, askedAt.Add(lockTTL)}
	c.judgeLease(name, lease)
	c.fleet.sleep(ctx, time.Duration(50+c.randomInt(300))*time.Millisecond)
	if c.randomInt(unreleasedOneIn) == 0 {
		return
	}
	c.mu.Lock()
	lease.expires = time.Now()
	c.mu.Unlock()
	_, _ = c.request(http.MethodPost, "/locks/"+name+"/release", lockRequest{Holder: holder, Fence: lease.fence}, nil)
}

// judgeLease judges a new lease against the one before.
func (c *coordinationClients) judgeLease(name string, lease *lockLease) {
	now := time.Now()
	c.fleet.observe(ruleLockShared)
	c.mu.Lock()
	previous := c.locks[name]
	c.locks[name] = lease
	c.mu.Unlock()
	if previous == nil {
		return
	}
	if previous.holder != lease.holder && previous.expires.After(now) && lease.expires.After(now) {
		c.fleet.violate(ruleLockShared, "%s held by %s (fence %d) and %s (fence %d)",
			name, previous.holder, previous.fence, lease.holder, lease.fence)
	}
	if lease.fence < previous.fence {
		c.fleet.violate(ruleLockShared, "%s: fence %d after %d", name, lease.fence, previous.fence)
	}
}

// takeNumber takes the next number of a sequence, which must be new and above all that were
// confirmed before it was asked for.
func (c *coordinationClients) takeNumber() {
	name := fmt.Sprintf("n%d", c.randomInt(sequenceCount))
	c.mu.Lock()
	confirmed := c.newestNumber[name]
	c.mu.Unlock()
	var answer struct {
		Number uint64 `json:"number"`
	}
	code, err := c.request(http.MethodPost, "/numbers/"+name+"/next", nil, &answer)
	if err != nil || code != http.StatusOK {
		return
	}
	c.fleet.observe(ruleNumberRepeated)
	repeated := c.recordNumber(name, answer.Number)
	if repeated || answer.Number <= confirmed {
		c.fleet.violate(ruleNumberRepeated, "%s gave %d (given before: %v), %d was confirmed", name, answer.Number, repeated, confirmed)
	}
}

// recordNumber notes a number and tells whether the sequence had given it before.
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
