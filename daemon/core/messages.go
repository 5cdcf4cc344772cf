package core

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
)

// MessagesPath takes a Batch of another core.
const MessagesPath = "/cottonarch/v1/messages"

// sendTimeout bounds one request that carries a batch.
const sendTimeout = 1500 * time.Millisecond

// What a message takes in a batch besides its values, roughly, in bytes.
const (
	messageOverhead      = 200
	otherMessageSize     = 400
	scanResponseEstimate = 1 << 20
)

// Batch is what one core posts to another, and the reply to it. From is the sender of every
// message that names none.
type Batch struct {
	From     ident.Addr        `json:"from,omitempty"`
	Messages []message.Message `json:"messages,omitempty"`
}

// sendTo sends what waits for one peer until the daemon ends.
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
			messages[i].From = "" // the batch names the sender
		}
		for len(messages) > 0 {
			count := batchLength(messages)
			c.postBatch(addr, messages[:count])
			messages = messages[count:]
		}
	}
}

// batchLength is how many of the messages go into one request: at least one, and no more once
// maxBatchBytes are reached.
func batchLength(messages []message.Message) int {
	count, size := 0, 0
	for count < len(messages) && (count == 0 || size < maxBatchBytes) {
		size += approximateSize(messages[count])
		count++
	}
	return count
}

// postBatch sends one batch and takes in the reply. A batch that may have been lost is not
// sent again: the steps repeat what they need.
func (c *Core) postBatch(addr ident.Addr, messages []message.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var reply Batch
	if err := c.pool.Call(ctx, addr, http.MethodPost, MessagesPath, Batch{c.Settings.Addr, messages}, &reply); err != nil {
		c.Metrics.Add("posts_failed", 1)
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.RunStep(func(now monotime.Time) node.Effects { return c.node.MarkUnreachable(now, addr) })
		}
	}
	for _, m := range reply.Messages {
		m.From = addr
		c.RunStep(func(now monotime.Time) node.Effects { return c.node.Step(now, m) })
	}
	c.Metrics.Add("posts", 1)
}

// approximateSize is about how many bytes a message takes in a batch.
func approximateSize(m message.Message) int {
	switch {
	case m.Request != nil && m.Request.Patch != nil:
		return len(m.Request.Patch.Middle) + otherMessageSize
	case m.Request != nil:
		return len(m.Request.Value) + messageOverhead
	case m.Response != nil:
		return len(m.Response.Record.Value) + messageOverhead
	case m.ForwardResult != nil:
		return len(m.ForwardResult.Body) + messageOverhead
	case m.Forward != nil:
		return len(m.Forward.Operation.Args) + messageOverhead
	case m.ScanResponse != nil:
		return scanResponseEstimate
	}
	return otherMessageSize
}

// Receive has the loop take in a batch of messages. The reply holds what the steps want sent
// to the batch's senders at once; what has to wait for the disk is posted later.
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

// takeReplies takes out of the effects the messages to one core that rest on nothing unsynced;
// it runs in the loop.
func (c *Core) takeReplies(to ident.Addr, effects *node.Effects) (replies []message.Message) {
	durable := effects.SplitDurable()
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
	if len(durable.Records) == 0 && c.allSynced() {
		split(durable.Sends)
		durable.Sends = nil
	}
	effects.Records, effects.Sends = durable.Records, append(others, durable.Sends...)
	return replies
}
