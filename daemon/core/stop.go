package core

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/node"
)

// leavePollInterval is the time between two calls of continueLeave during a planned stop.
const leavePollInterval = 30 * time.Millisecond

// Leave performs a planned stop: the core hands its keys over to their next proposers, completes the
// requests in progress, and waits until no confirmed value depends on its disk. Leave returns when the
// stop is complete, or after the limit. A second call returns immediately.
func (c *Core) Leave(limit time.Duration) {
	if c.leaving.Swap(true) {
		return
	}
	c.Log.Info("planned stop started")
	close(c.stopping)
	c.RunStep(func(now monotime.Time) node.Effects { return c.node.Leave(now, limit) })
	deadline := time.Now().Add(limit)
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for time.Now().Before(deadline) {
		<-ticker.C
		if c.continueLeave() {
			return
		}
	}
}

// continueLeave advances the planned stop and reports whether the stop is complete.
func (c *Core) continueLeave() bool {
	result := make(chan bool, 1)
	queued := c.RunStep(func(now monotime.Time) node.Effects {
		finished, effects := c.node.ContinueLeave(now)
		result <- finished
		return effects
	})
	return queued && <-result
}

// Leaving reports whether a planned stop has begun.
func (c *Core) Leaving() bool { return c.leaving.Load() }

// Stopping returns a channel that is closed when a planned stop begins, so that long polls end.
func (c *Core) Stopping() <-chan struct{} { return c.stopping }

// Ready reports whether the core can serve requests, that is, has a majority and is not leaving.
func (c *Core) Ready() bool {
	view := c.View()
	return view != nil && view.Majority && !c.leaving.Load()
}
