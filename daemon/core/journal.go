package core

import (
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/node"
)

// journalLoop is the disk's duty: it writes the records of a batch of steps, syncs once
// and only then lets out what rests on them.
func (c *Core) journalLoop() {
	var batch []node.Effects
	for {
		batch = batch[:0]
		select {
		case effects := <-c.journalQueue.Out():
			batch = append(batch, effects)
		case <-c.done:
			return
		}
		batch = c.journalQueue.Drain(batch, maxBatch)
		wrote := false
		var err error
		c.diskBusySince.Store(int64(c.clock()))
		for _, effects := range batch {
			if len(effects.Records) > 0 && err == nil {
				wrote = true
				err = c.ring.Append(effects.Records)
			}
		}
		if wrote && err == nil {
			err = c.ring.Sync()
			c.Metrics.Add("syncs", 1)
		}
		if wrote && err != nil && !c.diskFailed.Swap(true) {
			c.Log.Error("the disk failed; this core votes no more", zap.Error(err))
		}
		c.diskBusySince.Store(0)
		for _, effects := range batch {
			if !c.diskFailed.Load() {
				c.release(effects)
			}
		}
		c.pendingEffects.Add(-int64(len(batch)))
		c.diskFull.Store(c.ring.FreeFraction() < 0.25)
		c.Metrics.Set("ring_room_percent", int64(c.ring.FreeFraction()*100))
		c.Metrics.Set("ring_appends", int64(c.ring.Appends))
		c.Metrics.Set("ring_moves", int64(c.ring.Moves))
		c.Metrics.Set("ring_bytes", int64(c.ring.BytesWritten))
	}
}

func (c *Core) release(effects node.Effects) {
	for _, send := range effects.Sends {
		send.Msg.From = c.Settings.Addr
		if send.To == c.Settings.Addr {
			msg := send.Msg
			c.RunStep(func(now monotime.Time) node.Effects { return c.node.Step(now, msg) })
			continue
		}
		if !c.queueTo(send.To).push(send.Msg) {
			c.Metrics.Add("messages_dropped", 1)
		}
	}
	for _, end := range effects.Results {
		c.mu.Lock()
		waiter := c.waiters[end.Ticket]
		delete(c.waiters, end.Ticket)
		c.mu.Unlock()
		if waiter != nil {
			waiter <- end
		}
	}
	if len(effects.Learned) > 0 {
		c.mu.Lock()
		close(c.keysChanged)
		c.keysChanged = make(chan struct{})
		c.mu.Unlock()
		for _, learned := range effects.Learned {
			c.notifyKeyChanged(learned.Key)
			if learned.Key == proposal.Key && effects.ConfirmedConfig == nil {
				c.wakeConfigFollower()
			}
		}
	}
	if effects.SidecarViewChanged {
		c.notifyRegistryChanged()
	}
	if effects.ConfirmedConfig != nil {
		select {
		case c.confirmedConfigs <- effects.ConfirmedConfig:
		default:
			c.wakeConfigFollower()
		}
	}
}

// notifyKeyChanged wakes who waits for a key.
func (c *Core) notifyKeyChanged(key ident.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.keyChanged[key]; ch != nil {
		close(ch)
		delete(c.keyChanged, key)
	}
}
