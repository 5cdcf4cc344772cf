package core

import (
	"sync"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/queue"
	"cottonarch.example/cottonarch/control/core/message"
)

// peerQueue holds the messages that wait to be sent to one peer. Invariant: at most one heartbeat
// waits, the newest, merged with the waiting heartbeats of the same run that the newest replaced; an
// empty message in the queue is the placeholder of the waiting heartbeat.
type peerQueue struct {
	*queue.Queue[message.Message]
	mu        sync.Mutex
	heartbeat *message.Heartbeat
}

// push appends a message, or merges a heartbeat into the waiting heartbeat. push returns false if
// the queue is full.
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

// attachHeartbeat moves the waiting heartbeat into its placeholder among messages.
func (q *peerQueue) attachHeartbeat(messages []message.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range messages {
		if m := &messages[i]; m.Empty() && q.heartbeat != nil {
			m.Heartbeat, q.heartbeat = q.heartbeat, nil
		}
	}
}

// peerQueueFor returns the queue of a peer. For a new peer, peerQueueFor creates the queue and
// starts a sendLoop.
func (c *Core) peerQueueFor(addr ident.Addr) *peerQueue {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	q := c.peers[addr]
	if q == nil {
		q = &peerQueue{Queue: queue.New[message.Message](peerQueueSize)}
		c.peers[addr] = q
		go c.sendLoop(addr, q)
	}
	return q
}
