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

// MessagesPath is the path at which a core receives a Batch from another core.
const MessagesPath = "/cottonarch/v1/messages"

// sendTimeout is the timeout of a request that carries a batch.
const sendTimeout = 1500 * time.Millisecond

// Estimated sizes in bytes, used by approximateSize: messageOverhead is the size of a message
// without its value, otherMessageSize that of a message of any other type or of a patch without its
// content, and scanResponseEstimate that of a scan response.
const (
	messageOverhead      = 200
	otherMessageSize     = 400
	scanResponseEstimate = 1 << 20
)

// Batch holds the messages that one core posts to another, or the messages of the reply. From is
// the sender of every message whose own From is empty.
type Batch struct {
	From     ident.Addr        `json:"from,omitempty"`
	Messages []message.Message `json:"messages,omitempty"`
}

// sendLoop sends the queued messages of one peer in batches until the daemon stops.
func (c *Core) sendLoop(addr ident.Addr, q *peerQueue) {
	var messages []message.Message
	for {
		messages = messages[:0]
		select {
		case m := <-q.Out():
			messages = append(messages, m)
		case <-c.done:
			return
		}
		messages = q.Drain(messages, maxBatchItems)
		q.attachHeartbeat(messages)
		for i := range messages {
			messages[i].From = "" // Batch.From names the sender
		}
		for len(messages) > 0 {
			count := batchLength(messages)
			c.postBatch(addr, messages[:count])
			messages = messages[count:]
		}
	}
}

// batchLength returns the number of messages to send in one request: at least one, and no further
// message once the estimated size reaches maxBatchBytes.
func batchLength(messages []message.Message) int {
	count, size := 0, 0
	for count < len(messages) && (count == 0 || size < maxBatchBytes) {
		size += approximateSize(messages[count])
		count++
	}
	return count
}

// postBatch sends one batch and queues the messages of the reply as steps. A batch that may have
// been lost is not sent again: the node sends again whatever is still needed. A refused connection
// marks the peer as unreachable.
func (c *Core) postBatch(addr ident.Addr, messages []message.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var reply Batch
	if err := c.peerClient.Call(ctx, addr, http.MethodPost, MessagesPath, Batch{c.Settings.Addr, messages}, &reply); err != nil {
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

// approximateSize returns the estimated size of a message in a batch, in bytes.
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

// Receive runs a step for each message of a batch. The reply holds the messages from these steps to
// the batch's senders, except messages that depend on unsynced records. The excepted messages are
// posted after the sync.
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

// takeReplies removes from the effects, and returns, the messages to one core that don't depend on
// unsynced records. Only loop may call takeReplies.
func (c *Core) takeReplies(to ident.Addr, effects *node.Effects) (replies []message.Message) {
	durable := effects.SplitDurable()
	var otherSends []node.Send
	collectReplies := func(sends []node.Send) {
		for _, send := range sends {
			if send.To != to || to == c.Settings.Addr {
				otherSends = append(otherSends, send)
				continue
			}
			replies = append(replies, send.Msg)
		}
	}
	collectReplies(effects.Sends)
	if len(durable.Records) == 0 && c.allSynced() {
		collectReplies(durable.Sends)
		durable.Sends = nil
	}
	effects.Records, effects.Sends = durable.Records, append(otherSends, durable.Sends...)
	return replies
}
