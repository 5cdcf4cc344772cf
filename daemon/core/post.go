package core

import (
	"context"
	"errors"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/kernel/queue"
)

func (c *Core) peer(addr ident.Addr) *queue.Ring[message.Message] {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.peers[addr]
	if q == nil {
		q = queue.Make[message.Message](peerSize)
		c.peers[addr] = q
		go c.post(addr, q)
	}
	return q
}

// Batch is what one core posts to another.
type Batch struct {
	Messages []message.Message `json:"messages"`
}

// post is the duty of sending to one peer. A batch whose fate is unknown is not sent
// again: the steps repeat what they need.
func (c *Core) post(addr ident.Addr, q *queue.Ring[message.Message]) {
	var held []message.Message
	for {
		held = held[:0]
		select {
		case m := <-q.Out():
			held = append(held, m)
		case <-c.done:
			return
		}
		held = q.Drain(held, batchMost)
		for len(held) > 0 {
			n, bulk := 0, 0
			for n < len(held) && (n == 0 || bulk < bulkMost) {
				bulk += weight(held[n])
				n++
			}
			ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			if err := c.pool.Ask(ctx, addr, "POST", "/cottonarch/v1/messages", Batch{held[:n]}, nil); err != nil {
				c.Board.Add("posts_failed", 1)
				if errors.Is(err, syscall.ECONNREFUSED) {
					c.Do(func(now moment.Moment) node.Effects { return c.node.Down(now, addr) })
				}
			}
			stop()
			c.Board.Add("posts", 1)
			held = held[n:]
		}
	}
}

func weight(m message.Message) int {
	switch {
	case m.Ask != nil:
		if m.Ask.Patch != nil {
			return len(m.Ask.Patch.Mid) + 400
		}
		return len(m.Ask.Value) + 200
	case m.Return != nil:
		return len(m.Return.Cell.Value) + 200
	case m.Carried != nil:
		return len(m.Carried.Body) + 200
	case m.Forward != nil:
		return len(m.Forward.Deed.Args) + 200
	case m.ScanReturn != nil:
		return 1 << 20
	}
	return 400
}

// Take takes a batch of messages in.
func (c *Core) Take(b Batch) {
	for _, m := range b.Messages {
		c.Do(func(now moment.Moment) node.Effects { return c.node.Step(now, m) })
	}
}
