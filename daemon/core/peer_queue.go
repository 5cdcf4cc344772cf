package core

import (
	"sync"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/queue"
	"cottonarch.example/cottonarch/control/core/message"
)

// peerQueue is what waits to be sent to one peer. Invariant: of heartbeats only the newest
// waits, merged with what the ones before it said; an empty message in the queue holds its
// place.
type peerQueue struct {
	*queue.Queue[message.Message]
	mu        sync.Mutex
	heartbeat *message.Heartbeat
}

// push puts a message in; it returns false when there is no room.
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

// attachHeartbeat puts the waiting heartbeat into the message that holds its place.
func (q *peerQueue) attachHeartbeat(messages []message.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range messages {
		if m := &messages[i]; m.Empty() && q.heartbeat != nil {
			m.Heartbeat, q.heartbeat = q.heartbeat, nil
		}
	}
}

// queueTo returns the queue of a peer, and starts its sender when the peer is new.
func (c *Core) queueTo(addr ident.Addr) *peerQueue {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	q := c.peers[addr]
	if q == nil {
		q = &peerQueue{Queue: queue.New[message.Message](peerQueueSize)}
		c.peers[addr] = q
		go c.sendTo(addr, q)
	}
	return q
}
