package coordination

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/daemon/core"
)

// pollInterval is the time between two reads of a watch while no change is signaled.
const pollInterval = time.Second

// wakeReason is the reason why a watch stopped waiting.
type wakeReason int

const (
	// wakeRead means that a change was signaled or that the poll interval elapsed.
	wakeRead wakeReason = iota
	// wakeDeadline means that the wait time of the watch elapsed.
	wakeDeadline
	// wakeStopping means that a planned stop of the core began.
	wakeStopping
	// wakeCanceled means that the context of the request ended.
	wakeCanceled
)

// awaitChange waits until a watch must read again or end.
func awaitChange(ctx context.Context, c *core.Core, changed <-chan struct{}, deadline <-chan time.Time) wakeReason {
	nextPoll := time.NewTimer(pollInterval)
	defer nextPoll.Stop()
	select {
	case <-changed:
		return wakeRead
	case <-nextPoll.C:
		return wakeRead
	case <-deadline:
		return wakeDeadline
	case <-c.Stopping():
		return wakeStopping
	case <-ctx.Done():
		return wakeCanceled
	}
}
