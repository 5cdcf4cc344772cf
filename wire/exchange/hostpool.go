package exchange

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// hostPool holds the connections of one address; the Pool's lock guards it. Invariants:
// openCount counts those in use, idle and being dialled; idle is ordered by last use, the
// most recent last; there are waiters only while openCount is at the limit.
type hostPool struct {
	addr      ident.Addr
	settings  *Settings
	idle      []*conn
	openCount int
	// waiters receive a connection, or nil for the slot to dial one; they are closed when the
	// address is dropped.
	waiters []chan *conn
	dropped bool
}

// popIdle takes the most recently used connection that the call may use, and moves those
// that have expired to expired.
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

// evictIdle removes the least recently used idle connections until a new one fits within the
// limit, or none is idle.
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

// takeExpired removes the idle connections that exceeded their idle time. They still count
// in openCount.
func (h *hostPool) takeExpired(now time.Time) (expired []*conn) {
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

// put takes a reusable connection back: for the first waiter, or as idle. It returns the one
// that had to give way, if any.
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

// releaseSlot hands the slot of one connection to the first waiter, or frees it.
func (h *hostPool) releaseSlot() {
	if len(h.waiters) > 0 {
		h.waiters[0] <- nil
		h.waiters = h.waiters[1:]
		return
	}
	h.openCount--
}

// removeWaiter reports whether the waiter was still in the queue.
func (h *hostPool) removeWaiter(waiter chan *conn) bool {
	n := slices.Index(h.waiters, waiter)
	if n < 0 {
		return false
	}
	h.waiters = slices.Delete(h.waiters, n, n+1)
	return true
}
