package core

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/queue"
	"cottonarch.example/cottonarch/control/core/message"
)

// Pushes full and brief heartbeats of two runs and other messages, and drains the queue, in every
// order of six steps. Only the newest heartbeat must be sent, and a brief heartbeat must not
// discard the fields of a full heartbeat of the same run that waits.
func TestPendingHeartbeatsMergeInAnyOrder(t *testing.T) {
	for order := range 5 * 5 * 5 * 5 * 5 * 5 {
		q := &peerQueue{Queue: queue.New[message.Message](64)}
		lastNumber, othersPushed := uint64(0), 0
		// Whether a full heartbeat of the current run, and whether any heartbeat, was pushed since the
		// last drain.
		var full, pending bool
		var run uint64
		for rest, i := order, 0; i < 6; rest, i = rest/5, i+1 {
			pushHeartbeat := func(r uint64, brief bool) {
				lastNumber++
				heartbeat := message.Heartbeat{Run: r, Seq: lastNumber, Brief: brief}
				if !brief {
					heartbeat.Disk = "d"
				}
				must.True(t, q.push(message.Message{Heartbeat: &heartbeat}))
				full = !brief || full && pending && r == run
				pending, run = true, r
			}
			switch rest % 5 {
			case 0:
				pushHeartbeat(1, false)
			case 1:
				pushHeartbeat(1, true)
			case 2:
				pushHeartbeat(2, true)
			case 3:
				othersPushed++
				must.True(t, q.push(message.Message{ResendRequest: &message.ResendRequest{}}))
			case 4:
				drained := q.Drain(nil, 64)
				q.attachHeartbeat(drained)
				heartbeats, others := 0, 0
				for _, m := range drained {
					must.False(t, m.Empty())
					if m.Heartbeat == nil {
						others++
						continue
					}
					heartbeats++
					must.Eq(t, lastNumber, m.Heartbeat.Seq, must.Sprintf("order %d", order))
					must.Eq(t, full, !m.Heartbeat.Brief, must.Sprintf("order %d", order))
					must.Eq(t, full, m.Heartbeat.Disk == "d", must.Sprintf("order %d", order))
				}
				must.Eq(t, pending, heartbeats == 1, must.Sprintf("order %d", order))
				must.Eq(t, othersPushed, others)
				pending, full, othersPushed = false, false, 0
			}
		}
	}
}
