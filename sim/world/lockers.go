package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/coordination/lock"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

type hold struct {
	who   string
	fence uint64
	until monotime.Time
}

// Locker claims, renews and releases locks and checks that nobody else holds one.
type Locker struct {
	w     *World
	who   string
	locks int
	holds map[string][]*hold // shared by all lockers
	tops  map[string]uint64
}

// Lockers starts n applications over a number of locks.
func (w *World) Lockers(n, locks int, gap time.Duration) {
	holds, tops := map[string][]*hold{}, map[string]uint64{}
	for i := range n {
		l := &Locker{w: w, who: fmt.Sprintf("app%d", i), locks: locks, holds: holds, tops: tops}
		w.After(time.Duration(w.Rng.Int64N(int64(gap))), func() { l.round(gap) })
	}
}

func (l *Locker) granted(name string, h *hold) {
	w := l.w
	w.Check.Seen["lock-shared"]++
	for _, o := range l.holds[name] {
		if o.who != h.who && o.until > w.now {
			w.Breach("lock-shared", "%s is held by %s (fence %d) and %s (fence %d)", name, o.who, o.fence, h.who, h.fence)
		}
	}
	if h.fence < l.tops[name] {
		w.Breach("lock-shared", "%s: fence %d after %d", name, h.fence, l.tops[name])
	}
	l.tops[name] = max(l.tops[name], h.fence)
	var live []*hold
	for _, o := range l.holds[name] {
		if o.until > w.now && o != h {
			live = append(live, o)
		}
	}
	l.holds[name] = append(live, h)
}

// keep renews a few times and then lets go, or is forgetful and lets it run out.
func (l *Locker) keep(name string, h *hold, ttl time.Duration, left int, again func()) {
	w := l.w
	w.After(ttl/3, func() {
		if w.now >= h.until {
			again()
			return
		}
		args := operation.Encode(lock.Args{Holder: l.who, Fence: h.fence})
		k := ident.Key("lock/" + name)
		if left == 0 {
			if w.Rng.IntN(3) > 0 {
				h.until = w.now // from here on it does not count on it
				w.ask(proposer.Operation{Key: k, Kind: "lock/release", Args: args}, func(*node.End) { again() })
				return
			}
			w.After(h.until.Since(w.now), again)
			return
		}
		sent := w.now
		w.ask(proposer.Operation{Key: k, Kind: "lock/renew", Args: args}, func(e *node.End) {
			if e != nil && e.Failure == nil && w.now < h.until {
				h.until = max(h.until, sent.Add(ttl))
				l.granted(name, h)
			}
			l.keep(name, h, ttl, left-1, again)
		})
	})
}
