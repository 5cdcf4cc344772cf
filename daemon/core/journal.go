package core

import (
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/control/core/node"
)

// minFreeFraction is the free fraction of the ring below which the disk counts as full.
const minFreeFraction = 0.25

// journalLoop writes the records of queued effects in batches. Each batch is synced once, and its
// effects are dispatched only after the sync succeeds. After a failed write or sync, journalLoop
// dispatches no further effects.
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
		batch = c.journalQueue.Drain(batch, maxBatchItems)
		c.diskBusySince.Store(int64(c.clock()))
		if err := c.writeBatch(batch); err != nil && !c.diskFailed.Swap(true) {
			c.Log.Error("disk failed; this core no longer votes", zap.Error(err))
		}
		c.diskBusySince.Store(0)
		for _, effects := range batch {
			if !c.diskFailed.Load() {
				c.dispatch(effects)
			}
		}
		c.pendingEffects.Add(-int64(len(batch)))
		c.updateRingMetrics()
	}
}

// writeBatch appends the records of a batch and syncs the ring if the batch has any records.
func (c *Core) writeBatch(batch []node.Effects) error {
	appended := false
	for _, effects := range batch {
		if len(effects.Records) == 0 {
			continue
		}
		appended = true
		if err := c.ring.Append(effects.Records); err != nil {
			return err
		}
	}
	if !appended {
		return nil
	}
	c.Metrics.Add("syncs", 1)
	return c.ring.Sync()
}

func (c *Core) updateRingMetrics() {
	free := c.ring.FreeFraction()
	c.diskFull.Store(free < minFreeFraction)
	c.Metrics.Set("ring_room_percent", int64(free*100))
	c.Metrics.Set("ring_appends", int64(c.ring.Appends))
	c.Metrics.Set("ring_moves", int64(c.ring.Moves))
	c.Metrics.Set("ring_bytes", int64(c.ring.BytesWritten))
}
