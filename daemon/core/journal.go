package core

import (
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// journal is the disk's duty: it writes the records of a batch of steps, syncs once
// and only then lets out what rests on them.
func (c *Core) journal() {
	var batch []node.Effects
	for {
		batch = batch[:0]
		select {
		case fx := <-c.disk.Out():
			batch = append(batch, fx)
		case <-c.done:
			return
		}
		batch = c.disk.Drain(batch, batchMost)
		wrote := false
		var err error
		c.busy.Store(int64(c.clock()))
		for _, fx := range batch {
			if len(fx.Records) > 0 && err == nil {
				wrote = true
				err = c.ring.Append(fx.Records)
			}
		}
		if wrote && err == nil {
			err = c.ring.Sync()
			c.Board.Add("syncs", 1)
		}
		if wrote && err != nil && !c.failed.Swap(true) {
			c.Log.Error("the disk failed; this core votes no more", zap.Error(err))
		}
		c.busy.Store(0)
		for _, fx := range batch {
			if !c.failed.Load() {
				c.letOut(fx)
			}
		}
		c.unsynced.Add(-int64(len(batch)))
		c.full.Store(c.ring.Room() < 0.25)
		c.Board.Set("ring_room_percent", int64(c.ring.Room()*100))
		c.Board.Set("ring_appends", int64(c.ring.Appends))
		c.Board.Set("ring_moves", int64(c.ring.Moves))
		c.Board.Set("ring_bytes", int64(c.ring.Bytes))
	}
}

func (c *Core) letOut(fx node.Effects) {
	for _, s := range fx.Sends {
		s.Msg.From = c.Boot.Addr
		if s.To == c.Boot.Addr {
			m := s.Msg
			c.Do(func(now monotime.Time) node.Effects { return c.node.Step(now, m) })
			continue
		}
		if !c.peer(s.To).offer(s.Msg) {
			c.Board.Add("messages_dropped", 1)
		}
	}
	for _, e := range fx.Ends {
		c.mu.Lock()
		ch := c.waits[e.Ticket]
		delete(c.waits, e.Ticket)
		c.mu.Unlock()
		if ch != nil {
			ch <- e
		}
	}
	if len(fx.Learned) > 0 {
		c.mu.Lock()
		close(c.signal)
		c.signal = make(chan struct{})
		c.mu.Unlock()
		for _, l := range fx.Learned {
			c.stirred(l.Key)
			if l.Key == offer.Key && fx.Confirmed == nil {
				c.kick()
			}
		}
	}
	if fx.Changed {
		c.stir()
	}
	if fx.Confirmed != nil {
		select {
		case c.fresh <- fx.Confirmed:
		default:
			c.kick()
		}
	}
}

// stirred wakes who waits for a key.
func (c *Core) stirred(k ident.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.moved[k]; ch != nil {
		close(ch)
		delete(c.moved, k)
	}
}
