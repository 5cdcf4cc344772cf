package core

import (
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/node"
)

const (
	// viewInterval is how often the View is refreshed.
	viewInterval = 200 * time.Millisecond
	// stallTimeout is how long a batch may take before the disk counts as stalled.
	stallTimeout = 1500 * time.Millisecond
)

// RunStep has the loop run a step; it returns false when the step queue is full.
func (c *Core) RunStep(step func(monotime.Time) node.Effects) bool {
	if c.steps.TryPut(step) {
		return true
	}
	c.Metrics.Add("inbox_turned_away", 1)
	return false
}

// loop runs the steps one after the other until the daemon ends.
func (c *Core) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	viewedAt := c.clock()
	for {
		var effects node.Effects
		select {
		case step := <-c.steps.Out():
			effects = step(c.clock())
		case <-ticker.C:
			now := c.clock()
			effects = c.tick(now)
			if now.Since(viewedAt) > viewInterval {
				viewedAt = now
				c.refreshView(now)
			}
		case <-c.done:
			return
		}
		if !c.apply(effects) {
			return
		}
	}
}

// tick tells the node of the disk's health and of the time.
func (c *Core) tick(now monotime.Time) node.Effects {
	stalled, failed := c.diskStalled(now), c.diskFailed.Load()
	if c.node.SetDiskFailed(stalled || failed) {
		c.Log.Warn("disk health changed", zap.Bool("stalled", stalled), zap.Bool("failed", failed))
	}
	effects := c.node.Tick(now)
	c.knownConfigRevision.Store(uint64(c.node.ConfigRevision))
	return effects
}

// diskStalled reports whether the journal's batch takes too long. Such a disk is not used until
// the batch ends; one that failed is not used again.
func (c *Core) diskStalled(now monotime.Time) bool {
	since := c.diskBusySince.Load()
	return since != 0 && now.Since(monotime.Time(since)) > stallTimeout
}

// apply releases what rests on nothing, and hands the rest to the journal. It returns false
// when the daemon ends.
func (c *Core) apply(effects node.Effects) bool {
	durable := effects.SplitDurable()
	c.release(effects)
	switch {
	case len(durable.Records) == 0 && len(durable.Sends) == 0:
		return true
	case len(durable.Records) == 0 && c.allSynced():
		c.release(durable)
		return true
	}
	c.pendingEffects.Add(1)
	return c.journalQueue.Put(durable, c.done)
}

// allSynced reports whether the disk holds all that the steps wrote so far; only the loop may
// ask.
func (c *Core) allSynced() bool { return c.pendingEffects.Load() == 0 && !c.diskFailed.Load() }

// release sends the messages of effects, ends the requests that they answer and wakes those
// who wait for a change. The records of the effects are already synced, or there are none.
func (c *Core) release(effects node.Effects) {
	for _, send := range effects.Sends {
		c.send(send)
	}
	for _, result := range effects.Results {
		c.waiters.resolve(result)
	}
	if len(effects.Learned) > 0 {
		c.changes.notifyKeys(effects.Learned)
	}
	if effects.SidecarViewChanged {
		c.changes.notifyRegistry()
	}
	c.passConfig(effects)
}

// send queues a message for its peer, or for the loop when it is for this core. A message that
// finds a full queue is dropped: the steps repeat what they need.
func (c *Core) send(outgoing node.Send) {
	msg := outgoing.Msg
	msg.From = c.Settings.Addr
	if outgoing.To == c.Settings.Addr {
		c.RunStep(func(now monotime.Time) node.Effects { return c.node.Step(now, msg) })
		return
	}
	if !c.queueTo(outgoing.To).push(msg) {
		c.Metrics.Add("messages_dropped", 1)
	}
}

// passConfig hands a confirmed configuration to followConfig, or wakes it when it has to read
// the configuration itself.
func (c *Core) passConfig(effects node.Effects) {
	if effects.ConfirmedConfig == nil {
		for _, learned := range effects.Learned {
			if learned.Key == proposal.Key {
				c.wakeConfigFollower()
			}
		}
		return
	}
	select {
	case c.confirmedConfigs <- effects.ConfirmedConfig:
	default:
		c.wakeConfigFollower()
	}
}
