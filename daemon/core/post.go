package core

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/kernel/queue"
)

// line is what waits to be sent to one peer. Invariant: of hellos only the newest waits,
// with what the ones before it said laid under it; an empty message in the queue stands
// for it.
type line struct {
	*queue.Ring[message.Message]
	mu    sync.Mutex
	hello *message.Hello
}

// offer puts a message in, or says false when there is no room.
func (l *line) offer(m message.Message) bool {
	if m.Hello == nil {
		return l.Offer(m)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hello != nil {
		h := *m.Hello
		if l.hello.Run == h.Run {
			h = l.hello.Over(h)
		}
		l.hello = &h
		return true
	}
	if !l.Offer(message.Message{From: m.From, To: m.To}) {
		return false
	}
	l.hello = m.Hello
	return true
}

// take puts the hello in the place that stands for it.
func (l *line) take(list []message.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range list {
		if m := &list[i]; m.Empty() && l.hello != nil {
			m.Hello, l.hello = l.hello, nil
		}
	}
}

func (c *Core) peer(addr ident.Addr) *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.peers[addr]
	if q == nil {
		q = &line{Ring: queue.Make[message.Message](peerSize)}
		c.peers[addr] = q
		go c.post(addr, q)
	}
	return q
}

// Batch is what one core posts to another, and what that one has to say at once. From is
// the sender of every message that names none.
type Batch struct {
	From     ident.Addr        `json:"from,omitempty"`
	Messages []message.Message `json:"messages,omitempty"`
}

// post is the duty of sending to one peer. A batch whose fate is unknown is not sent
// again: the steps repeat what they need.
func (c *Core) post(addr ident.Addr, q *line) {
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
		q.take(held)
		for i := range held {
			held[i].From = "" // the batch says it
		}
		for len(held) > 0 {
			n, bulk := 0, 0
			for n < len(held) && (n == 0 || bulk < bulkMost) {
				bulk += weight(held[n])
				n++
			}
			ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			var back Batch
			if err := c.pool.Ask(ctx, addr, "POST", "/cottonarch/v1/messages", Batch{c.Boot.Addr, held[:n]}, &back); err != nil {
				c.Board.Add("posts_failed", 1)
				if errors.Is(err, syscall.ECONNREFUSED) {
					c.Do(func(now monotime.Time) node.Effects { return c.node.Down(now, addr) })
				}
			}
			stop()
			for _, m := range back.Messages {
				m.From = addr
				c.Do(func(now monotime.Time) node.Effects { return c.node.Step(now, m) })
			}
			c.Board.Add("posts", 1)
			held = held[n:]
		}
	}
}

func weight(m message.Message) int {
	switch {
	case m.Request != nil:
		if m.Request.Patch != nil {
			return len(m.Request.Patch.Middle) + 400
		}
		return len(m.Request.Value) + 200
	case m.Response != nil:
		return len(m.Response.Record.Value) + 200
	case m.Carried != nil:
		return len(m.Carried.Body) + 200
	case m.Forward != nil:
		return len(m.Forward.Operation.Args) + 200
	case m.ScanResponse != nil:
		return 1 << 20
	}
	return 400
}

// Take takes a batch of messages in, and gives what the steps want said to their sender at
// once: it goes back as the return. What has to wait for the disk is posted later.
func (c *Core) Take(ctx context.Context, b Batch) (back Batch) {
	last := make(chan []message.Message, len(b.Messages))
	waits := 0
	for _, m := range b.Messages {
		if m.From == "" {
			m.From = b.From
		}
		if c.Do(func(now monotime.Time) node.Effects {
			fx := c.node.Step(now, m)
			last <- c.say(m.From, &fx)
			return fx
		}) {
			waits++
		}
	}
	for ; waits > 0; waits-- {
		select {
		case list := <-last:
			back.Messages = append(back.Messages, list...)
		case <-ctx.Done():
			return back
		case <-c.done:
			return back
		}
	}
	return back
}

// say takes out of the effects what goes to one core and rests on nothing that is not
// synced; it runs in the loop.
func (c *Core) say(to ident.Addr, fx *node.Effects) (out []message.Message) {
	gated := fx.Gate()
	var rest []node.Send
	pick := func(list []node.Send) {
		for _, s := range list {
			if s.To != to || to == c.Boot.Addr {
				rest = append(rest, s)
				continue
			}
			out = append(out, s.Msg)
		}
	}
	pick(fx.Sends)
	if len(gated.Records) == 0 && c.synced() {
		pick(gated.Sends)
		gated.Sends = nil
	}
	fx.Records, fx.Sends = gated.Records, append(rest, gated.Sends...)
	return out
}
