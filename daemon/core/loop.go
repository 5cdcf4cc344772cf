package core

import (
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/node"
)

const (
	// viewRefreshInterval is the time between two refreshes of the View.
	viewRefreshInterval = 200 * time.Millisecond
	// stallTimeout is the duration of a journal batch after which the disk counts as stalled.
	stallTimeout = 1500 * time.Millisecond
)

// RunStep queues a step for execution by loop. RunStep returns false if the step queue is full.
func (c *Core) RunStep(step func(monotime.Time) node.Effects) bool {
	if c.stepQueue.TryPut(step) {
		return true
	}
	c.Metrics.Add("inbox_turned_away", 1)
	return false
}

// loop runs the queued steps and the ticks, one at a time, until the daemon stops.
func (c *Core) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	refreshedAt := c.clock()
	for {
		var effects node.Effects
		select {
		case step := <-c.stepQueue.Out():
			effects = step(c.clock())
		case <-ticker.C:
			now := c.clock()
			effects = c.tick(now)
			if now.Since(refreshedAt) > viewRefreshInterval {
				refreshedAt = now
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

// tick updates the node's disk health and advances the node to the current time.
func (c *Core) tick(now monotime.Time) node.Effects {
	stalled, failed := c.diskStalled(now), c.diskFailed.Load()
	if c.node.SetDiskFailed(stalled || failed) {
		c.Log.Warn("disk health changed", zap.Bool("stalled", stalled), zap.Bool("failed", failed))
	}
	effects := c.node.Tick(now)
	c.knownConfigRevision.Store(uint64(c.node.ConfigRevision))
	return effects
}

// diskStalled reports whether the current journal batch exceeds stallTimeout. A stalled disk is not
// used until the batch ends; a failed disk is not used again while the process runs.
func (c *Core) diskStalled(now monotime.Time) bool {
	since := c.diskBusySince.Load()
	return since != 0 && now.Since(monotime.Time(since)) > stallTimeout
}

// apply dispatches the effects that don't depend on unsynced records, and queues the other effects
// for the journal. apply returns false if the daemon stops.
func (c *Core) apply(effects node.Effects) bool {
	durable := effects.SplitDurable()
	c.dispatch(effects)
	switch {
	case len(durable.Records) == 0 && len(durable.Sends) == 0:
		return true
	case len(durable.Records) == 0 && c.allSynced():
		c.dispatch(durable)
		return true
	}
	c.pendingEffects.Add(1)
	return c.journalQueue.Put(durable, c.done)
}

// allSynced reports whether all records of earlier steps are synced. Only loop may call allSynced.
func (c *Core) allSynced() bool { return c.pendingEffects.Load() == 0 && !c.diskFailed.Load() }

// dispatch sends the messages, delivers the results and signals the changes of effects. Any records
// of the effects must already be synced.
func (c *Core) dispatch(effects node.Effects) {
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
	c.deliverConfig(effects)
}

// send queues a message for a peer, or as a step if this core is the receiver. If the queue is
// full, the message is dropped: the node sends again whatever is still needed.
func (c *Core) send(outgoing node.Send) {
	msg := outgoing.Msg
	msg.From = c.Settings.Addr
	if outgoing.To == c.Settings.Addr {
		c.RunStep(func(now monotime.Time) node.Effects { return c.node.Step(now, msg) })
		return
	}
	if !c.peerQueueFor(outgoing.To).push(msg) {
		c.Metrics.Add("messages_dropped", 1)
	}
}

// deliverConfig passes a confirmed configuration to followConfig. If the configuration is not part
// of the effects, or the channel is full, followConfig is woken to read the configuration itself.
func (c *Core) deliverConfig(effects node.Effects) {
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
