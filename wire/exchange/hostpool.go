package exchange

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// hostPool holds the connections to one address. Pool.mu guards all fields. Invariants: openCount
// is the number of connections that are in use, idle or being dialed; idle is ordered by last use,
// the most recently used connection last; calls wait only while openCount is at the limit.
type hostPool struct {
	addr      ident.Addr
	settings  *Settings
	idle      []*conn
	openCount int
	// waiters has one channel for each waiting call, in the order of arrival. A waiting call
	// receives a connection, or nil for a slot in which the call may dial. The channels are
	// closed when the address is dropped.
	waiters []chan *conn
	dropped bool
}

// popIdle removes and returns the most recently used idle connection that the call may use, or
// nil. Expired connections found on the way are removed and appended to expired, and their slots
// are released.
func (h *hostPool) popIdle(now time.Time, call *Call, expired *[]*conn) *conn {
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		age := now.Sub(c.lastUsed)
		if age < c.maxIdle && call.MaxIdleAge > 0 && age >= call.MaxIdleAge {
			return nil
		}
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		if age < c.maxIdle {
			return c
		}
		h.releaseSlot()
		*expired = append(*expired, c)
	}
	return nil
}

// evictIdle removes the least recently used idle connections until a new connection fits within
// the limit or no idle connection is left.
func (h *hostPool) evictIdle(limit int) (evicted []*conn) {
	for limit > 0 && h.openCount >= limit && len(h.idle) > 0 {
		evicted = append(evicted, h.popOldest())
	}
	return evicted
}

func (h *hostPool) popOldest() *conn {
	oldest := h.idle[0]
	h.idle = slices.Delete(h.idle, 0, 1)
	h.openCount--
	return oldest
}

// removeExpired removes and returns the idle connections that have exceeded their idle time.
// openCount still includes the returned connections.
func (h *hostPool) removeExpired(now time.Time) (expired []*conn) {
	fresh := h.idle[:0]
	for _, c := range h.idle {
		if now.Sub(c.lastUsed) < c.maxIdle {
			fresh = append(fresh, c)
			continue
		}
		expired = append(expired, c)
	}
	clear(h.idle[len(fresh):])
	h.idle = fresh
	return expired
}

// put passes a reusable connection to the first waiting call or adds the connection to the idle
// ones. put returns the connection that was evicted for this, or nil.
func (h *hostPool) put(c *conn) (evicted *conn) {
	if len(h.waiters) > 0 {
		h.waiters[0] <- c
		h.waiters = h.waiters[1:]
		return nil
	}
	if len(h.idle) >= h.settings.MaxIdleConns {
		evicted = h.popOldest()
	}
	h.idle = append(h.idle, c)
	return evicted
}

// releaseSlot passes the slot of a closed connection to the first waiting call, or frees the slot.
func (h *hostPool) releaseSlot() {
	if len(h.waiters) > 0 {
		h.waiters[0] <- nil
		h.waiters = h.waiters[1:]
		return
	}
	h.openCount--
}

// removeWaiter removes a waiting call from the queue and reports whether the call was still queued.
func (h *hostPool) removeWaiter(waiter chan *conn) bool {
	n := slices.Index(h.waiters, waiter)
	if n < 0 {
		return false
	}
	h.waiters = slices.Delete(h.waiters, n, n+1)
	return true
}
