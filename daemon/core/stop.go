package core

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/node"
)

// leaveInterval is how often a planned stop is carried on.
const leaveInterval = 30 * time.Millisecond

// Leave is the planned stop: it names successors for this core's keys, finishes the requests
// that are out, and returns when that is done, or after the limit.
func (c *Core) Leave(limit time.Duration) {
	if c.leaving.Swap(true) {
		return
	}
	c.Log.Info("planned stop began")
	close(c.stopping)
	c.RunStep(func(now monotime.Time) node.Effects { return c.node.Leave(now, limit) })
	deadline := time.Now().Add(limit)
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	for time.Now().Before(deadline) {
		<-ticker.C
		if c.continueLeave() {
			return
		}
	}
}

// continueLeave carries the planned stop on, and reports whether it is done.
func (c *Core) continueLeave() bool {
	finished := make(chan bool, 1)
	queued := c.RunStep(func(now monotime.Time) node.Effects {
		left, effects := c.node.ContinueLeave(now)
		finished <- left
		return effects
	})
	return queued && <-finished
}

// Leaving reports whether a planned stop has begun.
func (c *Core) Leaving() bool { return c.leaving.Load() }

// Stopping is closed when a planned stop begins: long polls end then.
func (c *Core) Stopping() <-chan struct{} { return c.stopping }

// Ready reports whether the core serves.
func (c *Core) Ready() bool {
	view := c.View()
	return view != nil && view.Majority && !c.leaving.Load()
}
