package core

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/base/queue"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
)

// peerQueue is what waits to be sent to one peer. Invariant: of hellos only the newest waits,
// with what the ones before it said laid under it; an empty message in the queue stands
// for it.
type peerQueue struct {
	*queue.Queue[message.Message]
	mu        sync.Mutex
	heartbeat *message.Heartbeat
}

// push puts a message in, or says false when there is no room.
func (q *peerQueue) push(m message.Message) bool {
	if m.Heartbeat == nil {
		return q.TryPut(m)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heartbeat != nil {
		merged := *m.Heartbeat
		if q.heartbeat.Run == merged.Run {
			merged = q.heartbeat.MergedWith(merged)
		}
		q.heartbeat = &merged
		return true
	}
	if !q.TryPut(message.Message{From: m.From, To: m.To}) {
		return false
	}
	q.heartbeat = m.Heartbeat
	return true
}

// attachHeartbeat puts the hello in the place that stands for it.
func (q *peerQueue) attachHeartbeat(messages []message.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range messages {
		if m := &messages[i]; m.Empty() && q.heartbeat != nil {
			m.Heartbeat, q.heartbeat = q.heartbeat, nil
		}
	}
}

func (c *Core) queueTo(addr ident.Addr) *peerQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.peers[addr]
	if q == nil {
		q = &peerQueue{Queue: queue.New[message.Message](peerQueueSize)}
		c.peers[addr] = q
		go c.sendTo(addr, q)
	}
	return q
}

// Batch is what one core posts to another, and what that one has to say at once. From is
// the sender of every message that names none.
type Batch struct {
	From     ident.Addr        `json:"from,omitempty"`
	Messages []message.Message `json:"messages,omitempty"`
}

// sendTo is the duty of sending to one peer. A batch whose fate is unknown is not sent
// again: the steps repeat what they need.
func (c *Core) sendTo(addr ident.Addr, q *peerQueue) {
	var messages []message.Message
	for {
		messages = messages[:0]
		select {
		case m := <-q.Out():
			messages = append(messages, m)
		case <-c.done:
			return
		}
		messages = q.Drain(messages, maxBatch)
		q.attachHeartbeat(messages)
		for i := range messages {
			messages[i].From = "" // the batch says it
		}
		for len(messages) > 0 {
			count, size := 0, 0
			for count < len(messages) && (count == 0 || size < maxBatchBytes) {
				size += approximateSize(messages[count])
				count++
			}
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			var reply Batch
			if err := c.pool.Call(ctx, addr, "POST", "/cottonarch/v1/messages", Batch{c.Settings.Addr, messages[:count]}, &reply); err != nil {
				c.Metrics.Add("posts_failed", 1)
				if errors.Is(err, syscall.ECONNREFUSED) {
					c.RunStep(func(now monotime.Time) node.Effects { return c.node.MarkUnreachable(now, addr) })
				}
			}
			cancel()
			for _, m := range reply.Messages {
				m.From = addr
				c.RunStep(func(now monotime.Time) node.Effects { return c.node.Step(now, m) })
			}
			c.Metrics.Add("posts", 1)
			messages = messages[count:]
		}
	}
}

func approximateSize(m message.Message) int {
	switch {
	case m.Request != nil:
		if m.Request.Patch != nil {
			return len(m.Request.Patch.Middle) + 400
		}
		return len(m.Request.Value) + 200
	case m.Response != nil:
		return len(m.Response.Record.Value) + 200
	case m.ForwardResult != nil:
		return len(m.ForwardResult.Body) + 200
	case m.Forward != nil:
		return len(m.Forward.Operation.Args) + 200
	case m.ScanResponse != nil:
		return 1 << 20
	}
	return 400
}

// Receive takes a batch of messages in, and gives what the steps want said to their sender at
// once: it goes back as the return. What has to wait for the disk is posted later.
func (c *Core) Receive(ctx context.Context, batch Batch) (reply Batch) {
	replies := make(chan []message.Message, len(batch.Messages))
	pending := 0
	for _, m := range batch.Messages {
		if m.From == "" {
			m.From = batch.From
		}
		if c.RunStep(func(now monotime.Time) node.Effects {
			effects := c.node.Step(now, m)
			replies <- c.takeReplies(m.From, &effects)
			return effects
		}) {
			pending++
		}
	}
	for ; pending > 0; pending-- {
		select {
		case list := <-replies:
			reply.Messages = append(reply.Messages, list...)
		case <-ctx.Done():
			return reply
		case <-c.done:
			return reply
		}
	}
	return reply
}

// takeReplies takes out of the effects what goes to one core and rests on nothing that is not
// synced; it runs in the loop.
func (c *Core) takeReplies(to ident.Addr, effects *node.Effects) (replies []message.Message) {
	gated := effects.SplitDurable()
	var others []node.Send
	split := func(sends []node.Send) {
		for _, send := range sends {
			if send.To != to || to == c.Settings.Addr {
				others = append(others, send)
				continue
			}
			replies = append(replies, send.Msg)
		}
	}
	split(effects.Sends)
	if len(gated.Records) == 0 && c.allSynced() {
		split(gated.Sends)
		gated.Sends = nil
	}
	effects.Records, effects.Sends = gated.Records, append(others, gated.Sends...)
	return replies
}
